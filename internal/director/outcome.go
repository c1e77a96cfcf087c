package director

import "fordusher/policy"

// A legOutcome is how a leg came to its end, as far as this director can know.
type legOutcome int

const (
	outcomeFull                 legOutcome = iota // the node turned it away unseen
	outcomeUnconnected                            // its node could not be connected to
	outcomeConnectAttemptFailed                   // one try to connect failed, which says little of the node
	outcomeWithdrawn                              // taken back before one byte was handed to the kernel
	outcomeUnsent                                 // the connection ended before one byte was handed to the kernel
	outcomeNodeRestarted                          // its node turned out to have started anew, and nothing of it was handed over yet
	outcomeFailed                                 // the node says that the set-up failed
	outcomeTimedOut                               // no answer in time
	outcomeReset                                  // the connection ended after the set-up was handed over
	outcomeCancelled                              // the viewer left, or the director closes
	outcomeEndedElsewhere                         // it played, and its node says that its viewer has ended it, or that it was moved
	outcomeServed                                 // it played, and ended by itself
	outcomeBroken                                 // it played, and its node or the connection to it was lost
)

var legOutcomeNames = [...]string{"turned away", "not connected", "one try to connect failed", "withdrawn unsent", "connection ended unsent",
	"server started anew, unsent", "server failed", "no answer in time", "server connection ended", "called off", "ended elsewhere", "served", "server lost"}

func (f legOutcome) String() string { return legOutcomeNames[f] }

// What proves that a leg never ran, for logs and metrics.
var neverRanReasons = [...]string{"", "full", "unconnected", "withdrawn", "unsent"}

// NeverRanByReason counts the legs that provably never ran, by what proves it.
func (c *Counts) NeverRanByReason() map[string]uint64 {
	by := map[string]uint64{}
	for i, word := range neverRanReasons[1:] {
		by[word] = c.NeverRan[i+1]
	}
	return by
}

// neverRan is the one place that says what a leg's fate proves: the outcome that the module is told, and
// which proof there is that it never ran (an index of proofWords; 0: none, it may have run). There are
// four proofs: the node said "full"; no connection was made; the set-up was withdrawn while not one byte of
// it had been handed to the kernel; the connection ended while that was so. All else may have run, a
// connection that broke after the first byte above all.
func neverRan(f legOutcome) (outcome policy.Outcome, proof int) {
	switch f {
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
	case outcomeNodeRestarted: // nothing against the node: the module decides again, knowing that it is cold
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
