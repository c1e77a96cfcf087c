package policy

import (
	"cmp"
	"time"
)

// Health, from symptoms alone.

// pauseLegs is how many leg times a node is left alone after a failed leg; trusted is the trickle
// at which a node counts as well again; untried is after how many more pauses a paid leg is let through too.
const (
	pauseLegs = 8
	trusted   = 8
	untried   = 8
)

// allows tells whether a leg may go to a node. One that was set aside gets a trickle of free ones first, and of
// paid ones only once no free one has come for long: it guards a fleet of paid tariffs against losing node
// after node for good.
func (h *health) allows(outs int, paid bool, now time.Duration) bool {
	if h.trickle == 0 {
		return true
	}
	from := h.until
	if paid {
		from += untried * h.pause
	}
	return now >= from && outs < h.trickle
}

func (h *health) wentWell() (well bool) {
	if h.trickle == 0 {
		return false
	}
	h.trickle *= 2
	if h.trickle >= trusted {
		*h = health{}
		return true
	}
	return false
}

// errored holds an error against its node once there is a second word on it: a free session's against the
// first node if the next one accepts it, against neither if that errs as well. It guards the health of all
// nodes against requests that none can serve, of a client that means harm or is broken.
func (d *Director) errored(n *node, s *session) {
	switch {
	case s.phase == playing:
		d.recordFailure(n, s, Errored)
	case d.rungs.tariffs[s.Tariff].AtMostOnce:
		d.unconfirmedError(n, s)
	case !s.erred:
		s.errorAt = n.name
	default:
		s.errorAt = ""
	}
	s.erred = true
}

// unconfirmedError holds an error that no other node has a word on against its node if the last such one was there too.
func (d *Director) unconfirmedError(n *node, s *session) {
	if n.errors++; n.errors > 1 {
		d.recordFailure(n, s, Errored)
	}
}

// recordFailure holds a leg's end, or its long silence, against the node.
func (d *Director) recordFailure(n *node, s *session, o Outcome) {
	s.suspected = true
	if o == Full { // it runs, but has no room: its figure must be out of date
		n.use.observe(max(d.load.link(n), cmp.Or(d.load.fleet.RefusalThreshold, 1)), n.size, 1, d.now)
		return
	}
	if o != Errored {
		n.suspectedAt = d.now
	}
	if n.health.trickle == 0 {
		d.log("node %s set aside: outcome %d after %v", n.name, o, d.now-s.sent)
	}
	pause := pauseLegs * legTime(d.rungs.tariffs[s.Tariff].GoalTime)
	n.health = health{1, pause, d.now + pause}
}
