package policy

import (
	"cmp"
	"math"
	"slices"
)

// Rungs.

type rungs struct {
	ladder  Ladder
	tariffs []Tariff
}

func (r *rungs) rate(s *session, rung int) float64 {
	return r.ladder.Rates[rung] * r.tariffs[s.Tariff].Scale
}

func (r *rungs) top(s *session) int {
	t := &r.tariffs[s.Tariff]
	return max(t.Floor, min(s.MaxRung, t.Top, len(r.ladder.Rates)-1))
}

// reference is the fractional rung of a fair rate, clamped at the ladder's ends.
func (r *rungs) reference(s *session, fair float64) float64 {
	last := len(r.ladder.Rates) - 1
	for q := 0; q < last; q++ {
		low, high := r.rate(s, q), r.rate(s, q+1)
		if fair < high {
			return float64(q) + max(0, (fair-low)/(high-low))
		}
	}
	return float64(last)
}

// bias is how much further up a link a tariff may go than the middle of all, by its credit: what is
// short is taken from those first that earn least.
func (r *rungs) bias(tariff int) float64 {
	byCredit := func(a, b Tariff) int { return cmp.Compare(a.Credit, b.Credit) }
	least, most := slices.MinFunc(r.tariffs, byCredit).Credit, slices.MaxFunc(r.tariffs, byCredit).Credit
	if least == most {
		return 0
	}
	return creditBias * ((r.tariffs[tariff].Credit-least)/(most-least) - 0.5)
}

// payoff picks the rung with the best payoff up to the fitting one; ties go to the higher rung.
func payoff(floor, fitting int, reference, mean float64) int {
	best, most := floor, math.Inf(-1)
	for q := floor; q <= fitting; q++ {
		at := float64(q)
		score := -fairnessWeight*math.Abs(at-reference) -
			clientWeight*(float64(fitting)-at+math.Abs(at-mean))
		if score >= most {
			best, most = q, score
		}
	}
	return best
}

// fitting is the highest rung that the director's count of link and uplink use has room for. What
// is newly taken leaves more room than what is kept: it guards against a figure that is noisy and
// seconds old, of which everybody takes the same room, and against stepping to and fro. Rungs over
// the reference leave most, so that sessions under it come first. On the way down all who heard the
// same figure are counted on to do the same.
func (d *Director) fitting(s *session, n *node, reference float64) int {
	floor := d.rungs.tariffs[s.Tariff].Floor
	lean, mine := d.rungs.bias(s.Tariff), d.load.ownShare(n)
	for q := d.rungs.top(s); q > floor; q-- {
		more := d.rungs.rate(s, q) - s.booked
		onLink, onUplink := 1.0, 1.0
		if more < 0 {
			onLink, onUplink = d.load.amplification(n)
		}
		link, uplink := d.load.projected(n, more*onLink, more*onUplink)
		if s.phase != playing && d.load.fleet.RefusalThreshold == 0 { // else a full node says so itself
			link += (1 - d.load.freshness(n.use.observedAt)) * d.load.spread
		}
		use := max(link, uplink)
		if use <= bar(q, reference, mine)+lean || s.phase == playing && q <= s.rung && use <= keepThreshold+lean {
			return q
		}
	}
	return floor
}

// bar is how far up link and uplink a rung may newly take: the further, the more of what is asked there is
// this director's own. What is left over guards against others that take the same room at the same time.
func bar(rung int, reference, mine float64) float64 {
	if float64(rung) > reference {
		return headroomThreshold + ownBias*mine
	}
	return raiseThreshold + ownBias*mine
}

// part is the part of those who heard the same figures that must step as this session would to bring
// link and uplink up to their bar, or down to downTo. It guards against all of them stepping at once.
func (d *Director) part(s *session, n *node, rung int, reference float64) float64 {
	onLink, onUplink := d.load.amplification(n)
	link, uplink := d.load.projected(n, 0, 0)
	more, to := d.rungs.rate(s, rung)-s.booked, d.rungs.bias(s.Tariff)+stepDownTarget
	if more > 0 {
		to += bar(rung, reference, d.load.ownShare(n)) - stepDownTarget
	}
	byLink := (to - link) * n.size / (more * onLink)
	byUplink := (to - uplink) * d.load.fleet.Uplink / (more * onUplink)
	switch {
	case more > 0:
		return min(byLink, byUplink)
	case link <= keepThreshold && uplink <= keepThreshold:
		return 1 // nothing is over full: the step is for fairness
	}
	return max(byLink, byUplink)
}

func (d *Director) rescore(s *session) {
	if s.node < 0 {
		return
	}
	n := &d.nodes[s.node]
	if !n.use.known && !d.load.racks[n.rack].use.known {
		return // nothing heard of the node yet: no ground for a change; it is scored once there is
	}
	since := float64(max(1, min(d.now-s.started, meanWindow)))
	s.mean += (float64(s.rung) - s.mean) * min(1, float64(d.now-s.scored)/since)
	s.scored = d.now
	if d.now-s.switched < switchEvery {
		return
	}
	reference := d.rungs.reference(s, n.fair)
	fitting := d.fitting(s, n, reference)
	if d.now-n.shortAt < rescoreEvery { // the note that ends it is lost with the session it was on
		fitting = min(fitting, s.rung)
	}
	mean := s.mean
	if s.adopted { // what it had before is not known: on the way up it scores as a set-up does
		mean = max(mean, reference)
	}
	rung := payoff(d.rungs.tariffs[s.Tariff].Floor, fitting, reference, mean)
	if rung != s.rung {
		d.change(s, rung, d.part(s, n, rung, reference))
	}
}

// change steps a session by its own lot, as part of those that heard the same; the others are
// counted on to go by theirs.
func (d *Director) change(s *session, rung int, part float64) {
	n, more := &d.nodes[s.node], d.rungs.rate(s, rung)-s.booked
	onLink, onUplink := d.load.amplification(n)
	part = min(1, max(part, 1/max(onLink, onUplink)))
	d.load.count(n, part*(onLink-1)*more, part*(onUplink-1)*more)
	if d.random.share() < part {
		d.emit(SetRung{s.ID, rung})
		s.switched, s.adopted = d.now, false
		d.book(s, rung)
	}
}

// book books a session's rung at its node; a rung under 0 takes the session off it.
func (d *Director) book(s *session, rung int) {
	rate := 0.0
	if rung >= 0 {
		s.rung = rung
		rate = d.rungs.rate(s, rung)
		if d.rungs.tariffs[s.Tariff].Live && d.sharesStream(s) {
			rate *= d.rungs.ladder.JoinCost
		}
	}
	n, more := &d.nodes[s.node], rate-s.booked
	n.ownLoad += more
	d.load.racks[n.rack].ownLoad += more
	d.load.ownLoad += more
	d.load.count(n, more, more)
	s.booked = rate
}
