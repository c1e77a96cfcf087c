package director

import "fordusher/policy"

// A fate is how a leg came to its end, as far as this director can know.
type fate int

const (
	fateFull           fate = iota // the node turned it away unseen
	fateUnmade                     // its node could not be connected to
	fateMissed                     // one try to connect failed, which says little of the node
	fateWithdrawn                  // taken back before one byte was handed to the kernel
	fateUnsent                     // the connection ended before one byte was handed to the kernel
	fateNew                        // its node turned out to have started anew, and nothing of it was handed over yet
	fateFailed                     // the node says that the set-up failed
	fateTimedOut                   // no answer in time
	fateReset                      // the connection ended after the set-up was handed over
	fateCalledOff                  // the viewer left, or the director closes
	fateEndedElsewhere             // it played, and its node says that its viewer has ended it, or that it was moved
	fateServed                     // it played, and ended by itself
	fateBroken                     // it played, and its node or the connection to it was lost
)

var fateNames = [...]string{"turned away", "not connected", "one try to connect failed", "withdrawn unsent", "connection ended unsent",
	"server started anew, unsent", "server failed", "no answer in time", "server connection ended", "called off", "ended elsewhere", "served", "server lost"}

func (f fate) String() string { return fateNames[f] }

// What proves that a leg never ran, for logs and metrics.
var proofWords = [...]string{"", "full", "unconnected", "withdrawn", "unsent"}

// Proofs counts the legs that provably never ran, by what proves it.
func (c *Counts) Proofs() map[string]uint64 {
	by := map[string]uint64{}
	for i, word := range proofWords[1:] {
		by[word] = c.NeverRan[i+1]
	}
	return by
}

// neverRan is the one place that says what a leg's fate proves: the outcome that the module is told, and
// which proof there is that it never ran (an index of proofWords; 0: none, it may have run). There are
// four proofs: the node said "full"; no connection was made; the set-up was withdrawn while not one byte of
// it had been handed to the kernel; the connection ended while that was so. All else may have run, a
// connection that broke after the first byte above all.
func neverRan(f fate) (outcome policy.Outcome, proof int) {
	switch f {
	case fateFull:
		return policy.Full, 1
	case fateUnmade:
		return policy.ConnectFailed, 2
	case fateMissed:
		return policy.NeverStarted, 2
	case fateWithdrawn:
		return policy.ConnectFailed, 3
	case fateUnsent:
		return policy.ConnectFailed, 4
	case fateNew: // nothing against the node: the module decides again, knowing that it is cold
		return policy.NeverStarted, 3
	case fateFailed:
		return policy.Errored, 0
	case fateTimedOut:
		return policy.TimedOut, 0
	case fateCalledOff, fateEndedElsewhere:
		return policy.Cancelled, 0
	case fateServed:
		return policy.Served, 0
	}
	return policy.Reset, 0
}
