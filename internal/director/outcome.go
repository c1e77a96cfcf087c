package director

import "fordusher/policy"

// A legOutcome is how a leg ended, as far as this director can know.
type legOutcome int

const (
	outcomeFull                 legOutcome = iota // the node rejected it without starting it
	outcomeUnconnected                            // its node could not be connected to
	outcomeConnectAttemptFailed                   // one connect attempt failed, which says little about the node
	outcomeWithdrawn                              // withdrawn before one byte was passed to the kernel
	outcomeUnsent                                 // the connection ended before one byte was passed to the kernel
	outcomeNodeRestarted                          // its node has restarted, and nothing of the set-up had been passed to the kernel
	outcomeFailed                                 // the node reports that the set-up failed
	outcomeTimedOut                               // no answer in time
	outcomeReset                                  // the connection ended after the set-up was passed to the kernel
	outcomeCancelled                              // the client cancelled it, or the director is shutting down
	outcomeEndedElsewhere                         // it played, and its node reports that its client ended it, or that it was moved
	outcomeServed                                 // it played to its regular end
	outcomeBroken                                 // it played, and its node or the connection to it was lost
)

var legOutcomeNames = [...]string{"rejected by the server", "not connected", "one connect attempt failed",
	"withdrawn unsent", "connection ended unsent",
	"server restarted, unsent", "server failed", "no answer in time", "server connection ended",
	"cancelled", "ended elsewhere", "served", "server lost"}

func (o legOutcome) String() string { return legOutcomeNames[o] }

// neverRanReasons are the proofs that a leg never ran, as metrics and logs name them. Index 0 stands for no proof.
var neverRanReasons = [...]string{"", "full", "unconnected", "withdrawn", "unsent"}

// NeverRanByReason returns the numbers of legs that provably never ran, by proof.
func (c *Counts) NeverRanByReason() map[string]uint64 {
	by := map[string]uint64{}
	for i, reason := range neverRanReasons[1:] {
		by[reason] = c.NeverRan[i+1]
	}
	return by
}

// neverRan alone decides what the end of a leg proves. It returns the outcome for the decider and the proof that the
// leg never ran, as an index of neverRanReasons; 0 means that it may have run. There are four proofs: the node answered
// "full"; no connection was established; the set-up was withdrawn before one byte of it was passed to the kernel; the
// connection ended before that. In all other cases the leg may have run, above all when the connection broke after the
// first byte.
func neverRan(result legOutcome) (outcome policy.Outcome, proof int) {
	switch result {
	case outcomeFull:
		return policy.Full, 1
	case outcomeUnconnected:
		return policy.ConnectFailed, 2
	case outcomeConnectAttemptFailed:
		return policy.NeverStarted, 2
	case outcomeWithdrawn:
		return policy.ConnectFailed, 3
	case outcomeUnsent:
		return policy.ConnectFailed, 4
	case outcomeNodeRestarted: // no fault of the node: the decider chooses again, knowing that the node is in slow start
		return policy.NeverStarted, 3
	case outcomeFailed:
		return policy.Errored, 0
	case outcomeTimedOut:
		return policy.TimedOut, 0
	case outcomeCancelled, outcomeEndedElsewhere:
		return policy.Cancelled, 0
	case outcomeServed:
		return policy.Served, 0
	}
	return policy.Reset, 0
}
