package policy

import (
	"cmp"
	"math"
	"slices"
)

// The choice of rungs.

// rungs holds the settings that the choice of a session's rung depends on.
type rungs struct {
	ladder  Ladder
	tariffs []Tariff
}

// rate is the rate of a rung in the session's tariff, kB a second.
func (r *rungs) rate(s *session, rung int) float64 {
	return r.ladder.Rates[rung] * r.tariffs[s.Tariff].Scale
}

func (r *rungs) maxRung(s *session) int {
	t := &r.tariffs[s.Tariff]
	return max(t.Floor, min(s.MaxRung, t.Top, len(r.ladder.Rates)-1))
}

// referenceRung is the fractional rung whose rate is the fair rate, clamped to the ladder's ends.
func (r *rungs) referenceRung(s *session, fairRate float64) float64 {
	last := len(r.ladder.Rates) - 1
	for q := 0; q < last; q++ {
		low, high := r.rate(s, q), r.rate(s, q+1)
		if fairRate < high {
			return float64(q) + max(0, (fairRate-low)/(high-low))
		}
	}
	return float64(last)
}

// bias is added to the load thresholds for the sessions of a tariff. It grows with the tariff's credit, so
// that short capacity is taken first from the sessions that earn least.
func (r *rungs) bias(tariff int) float64 {
	byCredit := func(a, b Tariff) int { return cmp.Compare(a.Credit, b.Credit) }
	lowest, highest := slices.MinFunc(r.tariffs, byCredit).Credit, slices.MaxFunc(r.tariffs, byCredit).Credit
	if lowest == highest {
		return 0
	}
	return creditBias * ((r.tariffs[tariff].Credit-lowest)/(highest-lowest) - 0.5)
}

// payoff returns the rung with the best payoff from floor to fitting; of equal ones the higher. The payoff
// falls with the distance from the reference rung (fairness) and with the distances from the fitting rung
// and from the session's mean rung (the client's benefit).
func payoff(floor, fitting int, reference, mean float64) int {
	best, bestScore := floor, math.Inf(-1)
	for q := floor; q <= fitting; q++ {
		at := float64(q)
		score := -fairnessWeight*math.Abs(at-reference) -
			clientWeight*(float64(fitting)-at+math.Abs(at-mean))
		if score >= bestScore {
			best, bestScore = q, score
		}
	}
	return best
}

// fittingRung is the highest rung that fits on link and uplink by the director's load estimate. A new rung must
// leave more headroom than a rung that is kept. This protects against load reports that are noisy and seconds
// old, on which all directors take the same headroom, and against oscillation. Rungs above the reference rung
// must leave the most, so that sessions below it come first. For a step down, all directors that received the
// same report are expected to step down too.
func (d *Director) fittingRung(s *session, n *node, reference float64) int {
	floor := d.rungs.tariffs[s.Tariff].Floor
	bias, ownShare := d.rungs.bias(s.Tariff), d.load.ownShare(n)
	for q := d.rungs.maxRung(s); q > floor; q-- {
		delta := d.rungs.rate(s, q) - s.bookedRate
		onLink, onUplink := 1.0, 1.0
		if delta < 0 {
			onLink, onUplink = d.load.amplification(n)
		}
		link, uplink := d.load.projected(n, delta*onLink, delta*onUplink)
		if s.phase != playing && d.load.topology.RefusalThreshold == 0 { // otherwise a full node refuses by itself
			link += (1 - d.load.freshness(n.linkLoad.observedAt)) * d.load.linkDeviation
		}
		use := max(link, uplink)
		if use <= raiseLimit(q, reference, ownShare)+bias || s.phase == playing && q <= s.rung && use <= keepThreshold+bias {
			return q
		}
	}
	return floor
}

// raiseLimit is the demand on link and uplink up to which a new rung may be taken. It rises with this
// director's own share of the demand. The rest of the capacity protects against other directors that take the
// same headroom at the same time.
func raiseLimit(rung int, reference, ownShare float64) float64 {
	if float64(rung) > reference {
		return headroomThreshold + ownBias*ownShare
	}
	return raiseThreshold + ownBias*ownShare
}

// stepProbability is the probability with which a session steps to a rung: of all sessions that the same load reports
// affect, the part that must step like this one to bring link and uplink up to raiseLimit, or down to stepDownTarget.
// It prevents all of them from stepping at once.
func (d *Director) stepProbability(s *session, n *node, rung int, reference float64) float64 {
	onLink, onUplink := d.load.amplification(n)
	link, uplink := d.load.projected(n, 0, 0)
	delta, target := d.rungs.rate(s, rung)-s.bookedRate, d.rungs.bias(s.Tariff)+stepDownTarget
	if delta > 0 {
		target += raiseLimit(rung, reference, d.load.ownShare(n)) - stepDownTarget
	}
	byLink := (target - link) * n.linkCapacity / (delta * onLink)
	byUplink := (target - uplink) * d.load.topology.Uplink / (delta * onUplink)
	switch {
	case delta > 0:
		return min(byLink, byUplink)
	case link <= keepThreshold && uplink <= keepThreshold:
		return 1 // neither is overloaded: the step is for fairness
	}
	return max(byLink, byUplink)
}

// rescore evaluates a playing session's rung again and switches it if another rung has a better payoff.
func (d *Director) rescore(s *session) {
	if s.node < 0 {
		return
	}
	n := &d.nodes[s.node]
	if !n.linkLoad.known && !d.load.racks[n.rack].uplinkLoad.known {
		return // no load report yet to base a change on; the session is scored once there is one
	}
	window := float64(max(1, min(d.now-s.startedAt, meanWindow)))
	s.meanRung += (float64(s.rung) - s.meanRung) * min(1, float64(d.now-s.scoredAt)/window)
	s.scoredAt = d.now
	if d.now-s.switchedAt < switchEvery {
		return
	}
	d.settleFairRates(n.rack)
	reference := d.rungs.referenceRung(s, n.fairRate)
	fitting := d.fittingRung(s, n, reference)
	// A shortfall expires by itself, because the measurement that ends it is lost if its session ends first.
	if d.now-n.shortfallAt < rescoreEvery {
		fitting = min(fitting, s.rung)
	}
	mean := s.meanRung
	if s.adopted { // its earlier rungs are unknown: a step up is scored as at a set-up
		mean = max(mean, reference)
	}
	rung := payoff(d.rungs.tariffs[s.Tariff].Floor, fitting, reference, mean)
	if rung != s.rung {
		d.stepRung(s, rung, d.stepProbability(s, n, rung, reference))
	}
}

// stepRung switches a session's rung with the given probability, or with this director's own share of the demand if
// that is higher. The other directors are expected to do the same with their part of the sessions, and that expected
// change is added to the load estimate.
func (d *Director) stepRung(s *session, rung int, probability float64) {
	n, delta := &d.nodes[s.node], d.rungs.rate(s, rung)-s.bookedRate
	onLink, onUplink := d.load.amplification(n)
	probability = min(1, max(probability, 1/max(onLink, onUplink)))
	d.load.addChange(n, probability*(onLink-1)*delta, probability*(onUplink-1)*delta)
	if d.random.uniform() < probability {
		d.emit(SetRung{s.ID, rung})
		s.switchedAt, s.adopted = d.now, false
		d.bookRung(s, rung)
	}
}

// bookRung books the rate of a session's rung at its node; a negative rung removes the session's rate from it.
func (d *Director) bookRung(s *session, rung int) {
	rate := 0.0
	if rung >= 0 {
		s.rung = rung
		rate = d.rungs.rate(s, rung)
		if d.rungs.tariffs[s.Tariff].Live && d.sharesStream(s) {
			rate *= d.rungs.ladder.JoinCost
		}
	}
	n, delta := &d.nodes[s.node], rate-s.bookedRate
	d.settleFairRates(n.rack)
	n.ownLoad += delta
	d.load.racks[n.rack].ownLoad += delta
	d.load.ownLoad += delta
	d.load.addChange(n, delta, delta)
	s.bookedRate = rate
}
