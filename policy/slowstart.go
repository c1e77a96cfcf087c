package policy

import (
	"slices"
	"time"
)

// Warmth: what a node that may have just started can take.

// allows keeps all directors together under the fall budget of a node that may be cold. A node that the
// list tells to have started is cold to all of them: each has its whole part of the budget, and where
// that is under one set-up, one director, told by the node's name, has all of it. A failure that this
// director has seen was seen by no more directors than the node has places; with one set-up each in the
// time that the budget takes to fill the places they stay within it on average, not at every moment. One
// that has just started, and can't know which nodes its predecessor saw fail, sends its part, or one.
func (w *slowStart) allows(n *node, now time.Duration) bool {
	told := n.startedAt != UnknownStart && now < n.startedAt+w.ramp.Warmup
	seen := n.suspectedAt >= 0 || now < n.warmAt
	blank := now < w.ramp.Warmup && !w.adopted
	if !told && !seen && !blank {
		return true
	}
	if now < w.ramp.OverloadWindow && blank && n.startedAt != UnknownStart {
		return false // a predecessor of this director may just have spent its part
	}
	places, fill := w.capacity(n), w.fill()
	n.sends = recent(n.sends, now-fill)
	lately := len(recent(slices.Clone(n.sends), now-w.ramp.OverloadWindow-1))
	budget := places * w.ramp.OverloadWindow.Seconds() / max(fill, time.Millisecond).Seconds()
	directors := max(1, w.peers.Directors)
	switch mine := int(budget / float64(directors)); {
	case lately < mine:
		return true
	case told:
		return mine == 0 && owner(n.name, directors) == w.peers.Index && lately < int(budget)
	case seen:
		return len(n.sends) == 0
	default:
		return lately == 0
	}
}

// capacity is how many streams a node runs at most; where its kind is not known, the least.
func (w *slowStart) capacity(n *node) float64 {
	if n.kind < len(w.ramp.MaxStreams) {
		return w.ramp.MaxStreams[n.kind]
	}
	return 1
}

// fill is the time that the fall budget takes to fill a node's places.
func (w *slowStart) fill() time.Duration {
	return max(w.ramp.OverloadWindow, time.Duration(float64(w.ramp.Warmup)/max(w.ramp.OverloadMultiple*w.ramp.InitialShare, 0.01)))
}

func (w *slowStart) sent(n *node, now time.Duration) {
	n.sends = append(recent(n.sends, now-w.fill()), now)
}
