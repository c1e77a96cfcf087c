package policy

import (
	"slices"
	"time"
)

// Placing.

// crossingWeight is how much more of its link a node may have asked than one in another zone, for
// each part of a session's worth that crossing costs.
const crossingWeight = 10

// legTime is how long a leg may take before its node is suspect: two such legs and the time to
// choose fit into the goal time.
func legTime(goal time.Duration) time.Duration { return goal * 2 / 5 }

// place sends a held session's next leg, holds it while waiting can still help, or gives it up.
func (d *Director) place(i int) {
	s := &d.sessions[i]
	t := &d.rungs.tariffs[s.Tariff]
	left := s.Deadline - d.now
	late := d.now - s.receivedAt
	if left <= 2*tickInterval || late >= t.GoalTime || len(s.tried) >= d.retries.legs.MaxLegs {
		d.giveUp(i)
		return
	}
	if t.Seats > 0 && d.seated(s) >= t.Seats || len(s.tried) > 0 && !d.retries.allows(d.now) {
		return
	}
	at := d.choose(s, t)
	if at < 0 {
		return
	}
	if len(s.tried) > 0 {
		d.retries.recordRetry(d.now)
	}
	n := &d.nodes[at]
	s.node = at
	reference := d.rungs.reference(s, n.fair)
	rung := payoff(t.Floor, d.fitting(s, n, reference), reference, reference)
	if rung != s.rung {
		d.emit(SetRung{s.ID, rung})
	}
	var within time.Duration
	if !t.AtMostOnce {
		within = min(legTime(t.GoalTime), left)
	}
	d.emit(Dispatch{s.ID, n.name, within})
	s.phase, s.sent, s.suspected = settingUp, d.now, false
	d.takeSeat(s)
	d.countLeg(n, 1)
	n.setups++
	d.slowStart.sent(n, d.now)
	d.book(s, rung)
}

// choose picks the lower link share of two random holders that may take the session and have room for
// it at its lowest rung. It guards against overfilling what no step can relieve: on a link that is full
// with sessions at their floor each further one costs the others more than it earns. Holders set aside
// come last, for a paid session only where all are: trouble that strikes all is not theirs.
func (d *Director) choose(s *session, t *Tariff) int {
	var roomy, aside []int
	well, least := 0, d.rungs.rate(s, t.Floor)
	for _, i := range d.index.holders(s.FirstCell, s.Copies) {
		n := &d.nodes[i]
		if n.listed != Up {
			continue
		}
		may := n.health.allows(n.setups, t.AtMostOnce, d.now)
		if may {
			well++
		}
		link, uplink := d.load.projected(n, least, least)
		switch {
		case max(link, uplink) > fullThreshold || slices.Contains(s.tried, i) || !d.slowStart.allows(n, d.now) ||
			!may && n.setups > 0:
		case may:
			roomy = append(roomy, i)
		default:
			aside = append(aside, i)
		}
	}
	if len(roomy) == 0 && (well == 0 || !t.AtMostOnce) {
		roomy = aside
	}
	if len(roomy) == 0 {
		return -1
	}
	k := d.random.below(len(roomy))
	a := roomy[k]
	if roomy = slices.Delete(roomy, k, k+1); len(roomy) > 0 {
		if b := roomy[d.random.below(len(roomy))]; d.placementCost(&d.nodes[b]) < d.placementCost(&d.nodes[a]) {
			return b
		}
	}
	return a
}

// placementCost is a node's link share, and what crossing to its zone costs set against it.
func (d *Director) placementCost(n *node) float64 {
	share := d.load.link(n)
	if n.zone != d.zone {
		share += crossingWeight * d.load.fleet.CrossZoneCost
	}
	return share
}
