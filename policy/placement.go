package policy

import (
	"slices"
	"time"
)

// The placement of sessions at nodes.

// crossZoneWeight converts Topology.CrossZoneCost to link use: a node in the director's own zone is preferred as long
// as its link use is higher by less than CrossZoneCost times this.
const crossZoneWeight = 10

// legTimeout is the time that a leg may take to be accepted before its node becomes suspect. Two such legs and
// the time to choose their nodes fit into the goal time.
func legTimeout(goal time.Duration) time.Duration { return goal * 2 / 5 }

// place starts a waiting session's next leg. It leaves the session waiting while a node may still become
// available, and gives up when its time or its legs are used up.
func (d *Director) place(i int) {
	s := &d.sessions[i]
	tariff := &d.rungs.tariffs[s.Tariff]
	left := s.Deadline - d.now
	waited := d.now - s.receivedAt
	if left <= 2*tickInterval || waited >= tariff.GoalTime || len(s.triedNodes) >= d.retries.policy.MaxLegs {
		d.giveUp(i)
		return
	}
	if tariff.Seats > 0 && d.seatsTaken(s) >= tariff.Seats || len(s.triedNodes) > 0 && !d.retries.allows(d.now) {
		return
	}
	chosen := d.chooseNode(s, tariff)
	if chosen < 0 {
		return
	}
	if len(s.triedNodes) > 0 {
		d.retries.recordRetry(d.now)
	}
	n := &d.nodes[chosen]
	s.node = chosen
	d.settleFairRates(n.rack)
	reference := d.rungs.referenceRung(s, n.fairRate)
	rung := payoff(tariff.Floor, d.fittingRung(s, n, reference), reference, reference)
	if rung != s.rung {
		d.emit(SetRung{s.ID, rung})
	}
	var timeout time.Duration
	if !tariff.AtMostOnce {
		timeout = min(legTimeout(tariff.GoalTime), left)
	}
	d.emit(Dispatch{s.ID, n.name, timeout})
	s.phase, s.sentAt, s.failureRecorded = settingUp, d.now, false
	d.takeSeat(s)
	d.countLeg(n, 1)
	n.setups++
	d.slowStart.recordSetup(n, d.now)
	d.bookRung(s, rung)
}

// chooseNode returns the index of the node for a session's next leg, or -1. It draws two of the nodes that hold
// the title, may take the session and have capacity for its lowest rung, and returns the one with the lower
// placement cost. The capacity check keeps a link from an overload that no step down can relieve: on a link full
// of sessions at their lowest rung, each further session costs the others more than it earns. Nodes set aside
// come last. A session of an at-most-once tariff uses them only if all holders are set aside, because a
// failure that affects all nodes is not the fault of any of them.
func (d *Director) chooseNode(s *session, tariff *Tariff) int {
	var candidates, aside []int
	allowedNodes, lowestRate := 0, d.rungs.rate(s, tariff.Floor)
	for _, i := range d.index.holders(s.FirstCell, s.Copies) {
		n := &d.nodes[i]
		if n.listed != Up {
			continue
		}
		allowed := n.health.allows(n.setups, tariff.AtMostOnce, d.now)
		if allowed {
			allowedNodes++
		}
		link, uplink := d.load.projected(n, lowestRate, lowestRate)
		switch {
		case max(link, uplink) > fullThreshold || slices.Contains(s.triedNodes, i) || !d.slowStart.allows(n, d.now) ||
			!allowed && n.setups > 0:
		case allowed:
			candidates = append(candidates, i)
		default:
			aside = append(aside, i)
		}
	}
	if len(candidates) == 0 && (allowedNodes == 0 || !tariff.AtMostOnce) {
		candidates = aside
	}
	if len(candidates) == 0 {
		return -1
	}
	first := d.random.below(len(candidates))
	a := candidates[first]
	if candidates = slices.Delete(candidates, first, first+1); len(candidates) > 0 {
		if b := candidates[d.random.below(len(candidates))]; d.placementCost(&d.nodes[b]) < d.placementCost(&d.nodes[a]) {
			return b
		}
	}
	return a
}

// placementCost is a node's link use, plus the weighted zone cost if it is not in the director's zone.
func (d *Director) placementCost(n *node) float64 {
	cost := d.load.linkUse(n)
	if n.zone != d.zone {
		cost += crossZoneWeight * d.load.topology.CrossZoneCost
	}
	return cost
}
