package policy

import (
	"cmp"
	"time"
)

// The health of nodes, judged only by the outcomes of this director's legs.

const (
	// pauseLegTimeouts is how long a node is set aside after a failed leg, in leg timeouts.
	pauseLegTimeouts = 8
	// healthyLegLimit is the leg limit at which a node counts as healthy again.
	healthyLegLimit = 8
	// atMostOncePauses is the number of further pauses after which legs of at-most-once tariffs, too, may go to a
	// node that was set aside.
	atMostOncePauses = 8
)

// allows reports whether a leg may go to a node with the given number of set-ups. A node that was set aside gets legs
// again after its pause, at most legLimit at one time. At first these are legs of tariffs that allow several; legs of
// at-most-once tariffs follow only if the node is still not healthy after atMostOncePauses more pauses. Without these,
// where all sessions have at-most-once tariffs, a node set aside would never become healthy while another node is: node
// after node would be lost for good.
func (h *health) allows(setups int, atMostOnce bool, now time.Duration) bool {
	if h.legLimit == 0 {
		return true
	}
	notBefore := h.until
	if atMostOnce {
		notBefore += atMostOncePauses * h.pause
	}
	return now >= notBefore && setups < h.legLimit
}

// legSucceeded raises the leg limit and reports whether that makes the node healthy again.
func (h *health) legSucceeded() (healthy bool) {
	if h.legLimit == 0 {
		return false
	}
	h.legLimit *= 2
	if h.legLimit >= healthyLegLimit {
		*h = health{}
		return true
	}
	return false
}

// legErrored handles a leg that ended with an error. The error of a set-up is recorded against its node only if
// it is confirmed. For a session that may have several legs, the next node decides: if it accepts the session,
// the first node is to blame; if it fails too, neither is. This protects the health of all nodes against
// requests of a malicious or broken client that no node can serve.
func (d *Director) legErrored(n *node, s *session) {
	switch {
	case s.phase == playing:
		d.recordFailure(n, s, Errored)
	case d.rungs.tariffs[s.Tariff].AtMostOnce:
		d.unconfirmedError(n, s)
	case !s.hadError:
		s.firstErrorNode = n.name
	default:
		s.firstErrorNode = ""
	}
	s.hadError = true
}

// unconfirmedError handles an error that no other node can confirm. The first one since the node last accepted a
// session is only counted; each further one is recorded as a failure.
func (d *Director) unconfirmedError(n *node, s *session) {
	if n.unconfirmedErrors++; n.unconfirmedErrors > 1 {
		d.recordFailure(n, s, Errored)
	}
}

// recordFailure records a failed or overdue leg against its node: a Full outcome as load, any other by setting the
// node aside.
func (d *Director) recordFailure(n *node, s *session, outcome Outcome) {
	s.failureRecorded = true
	if outcome == Full { // the node runs but has no capacity left, so its last load report must be out of date
		n.linkLoad.observe(max(d.load.linkUse(n), cmp.Or(d.load.topology.RefusalThreshold, 1)), n.linkCapacity, 1, d.now)
		return
	}
	if outcome != Errored {
		n.suspectedAt = d.now
	}
	if n.health.legLimit == 0 {
		d.log("node %s set aside: outcome %d after %v", n.name, outcome, d.now-s.sentAt)
	}
	pause := pauseLegTimeouts * legTimeout(d.rungs.tariffs[s.Tariff].GoalTime)
	n.health = health{1, pause, d.now + pause}
}
