// Package policy decides who plays, where and at what rung. Callers start a director with New and
// hand each thing that happened to Step, which returns what is to be done, in order. The interface
// (events, actions, start facts) is in types.go; everything that is decided is decided here.
// Times are spans since the director's start. See docs/design.md for the mechanism's source.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The mechanism's own figures; docs/design.md tells which are the paper's and which ours.
const (
	fairnessWeight = 0.6
	viewerWeight   = 0.4
	rescoreEvery   = 2 * time.Second
	switchEvery    = 10 * time.Second
	meanSpan       = 70 * time.Second
	fullAt         = 0.9  // of a link or uplink: nothing is set up where more would be asked
	raiseTo        = 0.85 // a rung up to the reference rung is newly taken up to here,
	spareTo        = 0.75 // a higher one up to here
	downTo         = 0.85 // what is over full is stepped down to here
	keepTo         = 1.0  // and a rung in force is kept up to here;
	ownLean        = 0.2  // a director that holds all that is asked newly takes so much more,
	creditLean     = 0.1  // the tariffs of most and least credit lie this far apart in all four
	dropUnder      = 0.75 // share delivered
	shortUnder     = 0.98 // share delivered
	hearing        = 0.8  // part of a figure's surprise that is believed: figures are noisy
)

// pulse is how often the director looks around unasked.
const pulse = rescoreEvery / 20

// Director is one session director.
type Director struct {
	now      time.Duration
	out      []Action
	chance   *pcg
	rungs    rungs
	gauge    gauge
	zone     string
	warmth   warmth
	ration   ration
	backoff  time.Duration
	watch    time.Duration // how often the list is asked for; 0: it is pushed
	askAt    time.Duration
	begun    bool
	ids      door[uint64] // emptied as sessions end
	sessions []session    // a place is used again once its session has left the door
	names    door[string] // emptied as nodes leave the list and their last session ends
	nodes    []node
	index    index
	halls    map[hall]int // seats taken; emptied as sessions end
}

// New starts a director.
func New(seed uint64, peers Peers, tariffs []Tariff, ladder Ladder, fleet Fleet, ramp Ramp,
	legs Legs, tidings Tidings) *Director {
	return &Director{
		chance: newPCG(seed),
		rungs:  rungs{ladder, tariffs},
		gauge: gauge{fleet: fleet, late: tidings.Late, fresh: tidings.Every + 2*tidings.Late,
			directors: float64(max(1, peers.Directors)), middle: ladder.Rates[len(ladder.Rates)/2],
			racks: make([]rack, max(1, fleet.Racks)), links: usual{mean: unheard}, uplinks: usual{mean: unheard}},
		zone:    peers.Zone,
		warmth:  warmth{ramp: ramp, peers: peers},
		ration:  ration{legs: legs},
		backoff: tidings.Backoff,
		watch:   ramp.AskWithin / 2,
		index:   newIndex(fleet.Cells),
		ids:     newDoor[uint64](),
		names:   newDoor[string](),
		halls:   map[hall]int{},
	}
}

// Step takes what happened at a time and returns what is to be done.
func (d *Director) Step(now time.Duration, happened Event) []Action {
	d.now, d.gauge.now, d.out = now, now, d.out[:0]
	if !d.begun {
		d.begun = true
		d.lookAround()
	}
	switch e := happened.(type) {
	case Demand:
		d.demand(e)
	case Accepted:
		d.accepted(e.ID)
	case Result:
		d.result(e)
	case Note:
		d.note(e)
	case Gone:
		if i, ok := d.ids.find(e.ID); ok {
			d.sessions[i].ended = true
			d.settle(i)
		}
	case Roster:
		d.roster(e)
	case Ring:
		d.lookAround()
	}
	return d.out
}

func (d *Director) do(a Action) { d.out = append(d.out, a) }

func (d *Director) log(format string, figures ...any) { d.do(Log{fmt.Sprintf(format, figures...)}) }

// Sessions.

func (d *Director) demand(e Demand) {
	i, grown := d.ids.enter(e.ID)
	if grown {
		d.sessions = append(d.sessions, session{})
	}
	t := &d.rungs.tariffs[e.Tariff]
	d.sessions[i] = session{Demand: e, used: true, came: d.now, node: -1, rung: t.Floor}
	d.ration.took(d.now)
	if e.Playing == "" {
		d.place(i)
		return
	}
	s := &d.sessions[i]
	s.sent = d.now
	d.sit(s)
	d.plays(s)
	s.strange, s.scored = true, d.now-rescoreEvery
	if n, ok := d.names.find(e.Playing); ok {
		s.node = n
		d.warmth.handed = true
		d.countLeg(&d.nodes[n], 1)
		d.carry(s, s.rung)
	}
}

// giveUp answers a session that can't be set up: a nack where nothing paid may have run.
func (d *Director) giveUp(i int) {
	s := &d.sessions[i]
	if e, ok := d.names.find(s.errorAt); ok {
		d.alone(&d.nodes[e], s)
	}
	if s.ran && d.rungs.tariffs[s.Tariff].Paid {
		d.do(Fail{s.ID})
	} else {
		d.do(Nack{s.ID, min(d.backoff, d.rungs.tariffs[s.Tariff].GoalTime)})
	}
	s.ended = true
	d.settle(i)
}

func (d *Director) accepted(id uint64) {
	i, ok := d.ids.find(id)
	if !ok || d.sessions[i].phase != setting {
		return
	}
	s := &d.sessions[i]
	d.plays(s)
	n := &d.nodes[s.node]
	n.outs--
	n.errors = 0
	if e, ok := d.names.find(s.errorAt); ok { // what one node failed at, another did: it was not the session
		d.symptom(&d.nodes[e], s, Errored)
	}
	if n.doubted >= 0 { // it runs, and is warm a warm-up from now at the latest
		n.doubted, n.warmAt = -1, d.now+d.warmth.ramp.Warmup
	}
	if n.health.wentWell() {
		d.log("node %s is trusted again", n.name)
	}
}

// plays starts a session's clocks; its first switch is free of the wait.
func (d *Director) plays(s *session) {
	s.phase, s.started, s.scored, s.switched = playing, d.now, d.now, d.now-switchEvery
	s.mean = float64(s.rung)
}

func (d *Director) result(e Result) {
	i, ok := d.ids.find(e.ID)
	if !ok || d.sessions[i].phase == held {
		return
	}
	s := &d.sessions[i]
	was := s.phase
	if s.node >= 0 {
		n := &d.nodes[s.node]
		d.carry(s, -1)
		d.countLeg(n, -1)
		if was == setting {
			n.outs--
		}
		e.Load.Streams = min(e.Load.Streams, queues*d.warmth.places(n))
		d.gauge.report(n, e.Load)
		switch e.Outcome {
		case Served, Cancelled, Moot:
		case Errored:
			d.errored(n, s)
		default:
			d.symptom(n, s, e.Outcome)
		}
		s.tried = append(s.tried, s.node)
		d.dropNode(s.node)
		s.node = -1
	}
	s.phase = held
	d.stand(s)
	s.ran = s.ran || e.Outcome != Full && e.Outcome != Unconnected && e.Outcome != Moot
	switch {
	case e.Final || s.ended || was == playing:
		s.ended = true
		d.settle(i)
	case s.ran && d.rungs.tariffs[s.Tariff].Paid:
		d.giveUp(i)
	default:
		d.place(i)
	}
}

// lookAround is what is done at each pulse.
func (d *Director) lookAround() {
	d.do(Schedule{d.now + pulse})
	if d.watch > 0 && d.now >= d.askAt {
		d.askAt = d.now + d.watch
		d.do(Listen{})
	}
	for i := range d.sessions {
		s := &d.sessions[i]
		switch {
		case !s.used || s.ended:
		case s.phase == held:
			d.place(i)
		case s.phase == setting:
			if !s.suspected && d.now-s.sent > legTime(d.rungs.tariffs[s.Tariff].GoalTime) {
				d.symptom(&d.nodes[s.node], s, TimedOut)
			}
		case d.now-s.scored >= rescoreEvery:
			d.rescore(s)
		}
	}
	d.index.leaving = slices.DeleteFunc(d.index.leaving, func(i int) bool {
		d.dropNode(i)
		n := &d.nodes[i]
		n.leaving = n.listed == Removed && n.name != ""
		return !n.leaving
	})
}

// countLeg counts legs of this director at a node.
func (d *Director) countLeg(n *node, more int) {
	n.legs += more
	d.gauge.legs += more
}

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
	left := s.HardStop - d.now
	late := d.now - s.came
	if left <= 2*pulse || late >= t.GoalTime || len(s.tried) >= d.ration.legs.Most {
		d.giveUp(i)
		return
	}
	if t.Seats > 0 && d.seated(s) >= t.Seats || len(s.tried) > 0 && !d.ration.may(d.now) {
		return
	}
	at := d.choose(s, t)
	if at < 0 {
		return
	}
	if len(s.tried) > 0 {
		d.ration.spend(d.now)
	}
	n := &d.nodes[at]
	s.node = at
	reference := d.rungs.reference(s, n.fair)
	rung := payoff(t.Floor, d.fitting(s, n, reference), reference, reference)
	if rung != s.rung {
		d.do(Rate{s.ID, rung})
	}
	var within time.Duration
	if !t.Paid {
		within = min(legTime(t.GoalTime), left)
	}
	d.do(Dispatch{s.ID, n.name, within})
	s.phase, s.sent, s.suspected = setting, d.now, false
	d.sit(s)
	d.countLeg(n, 1)
	n.outs++
	d.warmth.sent(n, d.now)
	d.carry(s, rung)
}

// choose picks the lower link share of two random holders that may take the session and have room for
// it at its lowest rung. It guards against overfilling what no step can relieve: on a link that is full
// with sessions at their floor each further one costs the others more than it earns. Holders set aside
// come last, for a paid session only where all are: trouble that strikes all is not theirs.
func (d *Director) choose(s *session, t *Tariff) int {
	var roomy, aside []int
	well, least := 0, d.rungs.rate(s, t.Floor)
	for _, i := range d.index.holders(s.Base, s.Copies) {
		n := &d.nodes[i]
		if n.listed != Up {
			continue
		}
		may := n.health.may(n.outs, t.Paid, d.now)
		if may {
			well++
		}
		link, uplink := d.gauge.counts(n, least, least)
		switch {
		case max(link, uplink) > fullAt || slices.Contains(s.tried, i) || !d.warmth.may(n, d.now) ||
			!may && n.outs > 0:
		case may:
			roomy = append(roomy, i)
		default:
			aside = append(aside, i)
		}
	}
	if len(roomy) == 0 && (well == 0 || !t.Paid) {
		roomy = aside
	}
	if len(roomy) == 0 {
		return -1
	}
	k := d.chance.below(len(roomy))
	a := roomy[k]
	if roomy = slices.Delete(roomy, k, k+1); len(roomy) > 0 {
		if b := roomy[d.chance.below(len(roomy))]; d.weighed(&d.nodes[b]) < d.weighed(&d.nodes[a]) {
			return b
		}
	}
	return a
}

// weighed is a node's link share, and what crossing to its zone costs set against it.
func (d *Director) weighed(n *node) float64 {
	share := d.gauge.link(n)
	if n.zone != d.zone {
		share += crossingWeight * d.gauge.fleet.Crossing
	}
	return share
}

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
	return max(t.Floor, min(s.Top, t.Top, len(r.ladder.Rates)-1))
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

// lean is how much further up a link a tariff may go than the middle of all, by its credit: what is
// short is taken from those first that earn least.
func (r *rungs) lean(tariff int) float64 {
	byCredit := func(a, b Tariff) int { return cmp.Compare(a.Credit, b.Credit) }
	least, most := slices.MinFunc(r.tariffs, byCredit).Credit, slices.MaxFunc(r.tariffs, byCredit).Credit
	if least == most {
		return 0
	}
	return creditLean * ((r.tariffs[tariff].Credit-least)/(most-least) - 0.5)
}

// payoff picks the rung with the best payoff up to the fitting one; ties go to the higher rung.
func payoff(floor, fitting int, reference, mean float64) int {
	best, most := floor, math.Inf(-1)
	for q := floor; q <= fitting; q++ {
		at := float64(q)
		score := -fairnessWeight*math.Abs(at-reference) -
			viewerWeight*(float64(fitting)-at+math.Abs(at-mean))
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
	lean, mine := d.rungs.lean(s.Tariff), d.gauge.mine(n)
	for q := d.rungs.top(s); q > floor; q-- {
		more := d.rungs.rate(s, q) - s.carried
		onLink, onUplink := 1.0, 1.0
		if more < 0 {
			onLink, onUplink = d.gauge.echoes(n)
		}
		link, uplink := d.gauge.counts(n, more*onLink, more*onUplink)
		if s.phase != playing && d.gauge.fleet.RefusesFrom == 0 { // else a full node says so itself
			link += (1 - d.gauge.holds(n.use.of)) * d.gauge.spread
		}
		use := max(link, uplink)
		if use <= bar(q, reference, mine)+lean || s.phase == playing && q <= s.rung && use <= keepTo+lean {
			return q
		}
	}
	return floor
}

// bar is how far up link and uplink a rung may newly take: the further, the more of what is asked there is
// this director's own. What is left over guards against others that take the same room at the same time.
func bar(rung int, reference, mine float64) float64 {
	if float64(rung) > reference {
		return spareTo + ownLean*mine
	}
	return raiseTo + ownLean*mine
}

// part is the part of those who heard the same figures that must step as this session would to bring
// link and uplink up to their bar, or down to downTo. It guards against all of them stepping at once.
func (d *Director) part(s *session, n *node, rung int, reference float64) float64 {
	onLink, onUplink := d.gauge.echoes(n)
	link, uplink := d.gauge.counts(n, 0, 0)
	more, to := d.rungs.rate(s, rung)-s.carried, d.rungs.lean(s.Tariff)+downTo
	if more > 0 {
		to += bar(rung, reference, d.gauge.mine(n)) - downTo
	}
	byLink := (to - link) * n.size / (more * onLink)
	byUplink := (to - uplink) * d.gauge.fleet.Uplink / (more * onUplink)
	switch {
	case more > 0:
		return min(byLink, byUplink)
	case link <= keepTo && uplink <= keepTo:
		return 1 // nothing is over full: the step is for fairness
	}
	return max(byLink, byUplink)
}

func (d *Director) rescore(s *session) {
	if s.node < 0 {
		return
	}
	n := &d.nodes[s.node]
	if !n.use.known && !d.gauge.racks[n.rack].use.known {
		return // nothing heard of the node yet: no ground for a change; it is scored once there is
	}
	since := float64(max(1, min(d.now-s.started, meanSpan)))
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
	if s.strange { // what it had before is not known: on the way up it scores as a set-up does
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
	n, more := &d.nodes[s.node], d.rungs.rate(s, rung)-s.carried
	onLink, onUplink := d.gauge.echoes(n)
	part = min(1, max(part, 1/max(onLink, onUplink)))
	d.gauge.count(n, part*(onLink-1)*more, part*(onUplink-1)*more)
	if d.chance.share() < part {
		d.do(Rate{s.ID, rung})
		s.switched, s.strange = d.now, false
		d.carry(s, rung)
	}
}

// carry books a session's rung at its node; a rung under 0 takes the session off it.
func (d *Director) carry(s *session, rung int) {
	rate := 0.0
	if rung >= 0 {
		s.rung = rung
		rate = d.rungs.rate(s, rung)
		if d.rungs.tariffs[s.Tariff].Live && d.shares(s) {
			rate *= d.rungs.ladder.JoinAdds
		}
	}
	n, more := &d.nodes[s.node], rate-s.carried
	n.own += more
	d.gauge.racks[n.rack].own += more
	d.gauge.own += more
	d.gauge.count(n, more, more)
	s.carried = rate
}

// note takes news of a session or of the node it is on.
func (d *Director) note(e Note) {
	i, ok := d.ids.find(e.ID)
	if !ok || d.sessions[i].node < 0 {
		return
	}
	s := &d.sessions[i]
	n := &d.nodes[s.node]
	if n.name != e.Node {
		return
	}
	switch e.Kind {
	case RungNote:
		d.carry(s, max(0, min(int(e.Value), len(d.rungs.ladder.Rates)-1))) // off the ladder: its end
		s.mean = float64(s.rung)
	case ShareNote:
		if e.Value < shortUnder {
			n.shortAt = d.now
			link, uplink := d.gauge.counts(n, 0, 0)
			if asked := 1 / max(e.Value, 0.1); d.gauge.told && uplink > link && uplink > raiseTo {
				d.gauge.heardUplink(n, min(asked, 1/dropUnder), d.now-d.gauge.late)
			} else if d.gauge.told {
				d.gauge.heard(n, asked, d.now-d.gauge.late)
			}
		} else { // the note that ends it: there is room again
			n.shortAt = -rescoreEvery
			r, of := &d.gauge.racks[n.rack], d.now-d.gauge.late
			n.use.hear(min(d.gauge.link(n), raiseTo), n.size, 1, of)
			r.use.hear(min(d.gauge.uplink(n.rack), raiseTo), d.gauge.fleet.Uplink, 1, of)
		}
		floor := d.rungs.tariffs[s.Tariff].Floor
		if e.Value < dropUnder && s.phase == playing && s.rung > floor {
			d.change(s, floor, (1-e.Value)*n.own/(s.carried-d.rungs.rate(s, floor)))
		}
	case LinkNote, UplinkNote:
		late := d.gauge.late
		if s.phase == setting || d.now == s.started { // the note of a set-up tells of now
			late = 0
		}
		if e.Kind == LinkNote {
			d.gauge.heard(n, e.Value, d.now-late)
			if s.started < n.doubted { // with a session from before the doubt, it never died
				n.doubted = -1
			}
		} else {
			d.gauge.heardUplink(n, e.Value, d.now-late)
		}
		d.fairRates(n.rack)
	}
}

// Gauge: what is asked of links and uplinks, by this director's own count.

// unheard is what link and uplink use are held to be before any figure has come and once all have
// faded; surely tells how many of its own sessions a director must see on a link to believe them as
// much as what is usual.
const (
	unheard  = 0.65
	surely   = 2
	recently = 8 // figures that make up what is usual
	// What a figure counts for at most in what is held to be usual elsewhere: it guards all links against
	// one node that lies, or that hangs and delivers nothing.
	believable = 1 / dropUnder
	queues     = 2 // times its places that a node may tell of as streams, run or set up
)

// count adds to what is asked of a node's link and of its rack's uplink.
func (g *gauge) count(n *node, onLink, onUplink float64) {
	n.use.add(g.now, g.late, onLink)
	g.racks[n.rack].use.add(g.now, g.late, onUplink)
}

// heard takes a figure of a node's link that tells of a time.
func (g *gauge) heard(n *node, figure float64, of time.Duration) {
	if g.now >= n.learnt+g.late { // one that tells all the time is one node still
		n.learnt = g.now
		off := g.links.take(min(figure, believable)-n.own/n.size, recently, g.now)
		g.spread += (math.Abs(off) - g.spread) / recently
	}
	n.use.hear(figure, n.size, hearing, of)
}

// heardUplink takes a node's figure of its rack's uplink that tells of a time.
func (g *gauge) heardUplink(n *node, figure float64, of time.Duration) {
	g.told = true
	r := &g.racks[n.rack]
	r.told(n.name, figure, g.now, g.fresh)
	if g.now >= r.learnt+g.late { // one that tells all the time is one rack still
		r.learnt = g.now
		g.uplinks.take(min(figure, believable)-r.own/g.fleet.Uplink, recently, g.now)
	}
	r.use.hear(figure, g.fleet.Uplink, hearing, of)
}

// echoes tells how many times over a change of a session that plays counts: the other directors
// hear the same figure and act on it alike, each on its part of what is asked.
func (g *gauge) echoes(n *node) (link, uplink float64) {
	echo := func(asked, own float64) float64 {
		if own <= 0 {
			return 1
		}
		return min(max(1, asked/own), 2*g.directors)
	}
	return echo(g.link(n)*n.size, n.own), echo(g.uplink(n.rack)*g.fleet.Uplink, g.racks[n.rack].own)
}

// mine is the part of what is asked of a node's link, or of its uplink if less, that is the director's own.
func (g *gauge) mine(n *node) float64 {
	if n.own <= 0 {
		return 0
	}
	onLink, onUplink := g.echoes(n)
	return 1 / max(onLink, onUplink)
}

// link is the part of a node's link that is asked.
func (g *gauge) link(n *node) float64 { return g.figure(&n.use, n.size, n.own, g.links) }

// uplink is the part of a rack's uplink that is asked; where that is never told it counts as free.
func (g *gauge) uplink(r int) float64 {
	if !g.told {
		return 0
	}
	return g.figure(&g.racks[r].use, g.fleet.Uplink, g.racks[r].own, g.uplinks)
}

// holds is how far what was heard at a time still holds: half as far a switching time after more was due.
func (g *gauge) holds(at time.Duration) float64 {
	return math.Exp2(-max(0, float64(g.now-at-g.fresh)/float64(switchEvery)))
}

// figure is the last one heard and what was changed since; as that fades it gives way to what is usual
// elsewhere and this director's own use as a sample of all directors', weighed by what each can tell.
// What is usual fades too: it guards against figures that nothing keeps true, be it one of a node that
// is no longer heard or all of them, and against one session read as a full link.
func (g *gauge) figure(m *meter, size, own float64, u usual) float64 {
	usually := unheard + (u.mean-unheard)*g.holds(u.at)
	share := surely * g.middle
	guess := (share + own) / (share/max(0.01, usually) + size/g.directors)
	if !m.known {
		return guess
	}
	trust := g.holds(m.of)
	return max(0, trust*(m.heard+m.since()/size)+(1-trust)*guess)
}

// counts tells what would be asked of a node's link and uplink with so much more. An uplink that is full by one other
// node's word alone has room left for the lowest rung, unless uplinks elsewhere are near full too: a second node's
// word closes the rack.
func (g *gauge) counts(n *node, onLink, onUplink float64) (link, uplink float64) {
	link, uplink = g.link(n)+onLink/n.size, g.uplink(n.rack)+onUplink/g.fleet.Uplink
	if g.racks[n.rack].onOneWord(n.name, g.now) && g.uplinks.mean < spareTo {
		uplink = min(uplink, fullAt)
	}
	return link, uplink
}

// streams counts a node's streams: from its report, else from its link use.
func (g *gauge) streams(n *node) float64 {
	if n.reported < 0 || n.use.known && g.now-n.reportedAt > g.fresh {
		return g.link(n) * n.size / g.usual
	}
	return max(0, n.reported+float64(n.legs-n.legsThen))
}

func (g *gauge) report(n *node, load Load) {
	if load.Streams >= 0 {
		n.reported, n.legsThen, n.reportedAt = load.Streams, n.legs, g.now
	}
	if load.Link >= 0 && (!n.use.known || g.now-n.use.of > g.fresh) {
		g.heard(n, load.Link, g.now-g.late)
	}
	if up := &g.racks[n.rack].use; load.Uplink >= 0 && (!up.known || g.now-up.of > g.fresh) {
		g.heardUplink(n, load.Uplink, g.now-g.late)
	}
}

// fairRates computes the fair rate of every node of a rack. A stream's usual rate is that of this
// director's own sessions, of which the middle rung's counts as one.
func (d *Director) fairRates(r int) {
	g := &d.gauge
	g.usual = (g.middle + g.own) / float64(1+g.legs)
	members, total := d.index.inRack(r, d.nodes), 0.0
	for _, n := range members {
		n.streams = g.streams(n)
		total += n.streams
	}
	fair(g.fleet.Uplink/max(1, total), members)
}

// fair is the paper's algorithm 2: nodes whose cap lies at or under the parent rate keep it and
// pool what they leave; the rest, by rising cap, share the pool.
func fair(parent float64, nodes []*node) {
	pool, entitled := 0.0, 0.0
	for _, n := range nodes {
		n.fair = n.size / max(1, n.streams)
		if n.fair <= parent {
			pool += (parent - n.fair) * n.streams
		} else {
			entitled += n.streams
		}
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(a.fair, b.fair) })
	for _, n := range nodes {
		if cap := n.fair; cap > parent {
			if entitled > 0 {
				n.fair = min(cap, parent+pool/entitled)
			} // an entitled node without streams keeps its cap
			pool -= (n.fair - parent) * n.streams
			entitled -= n.streams
		}
	}
}

// Nodes and the list.

// sameBirth is how much later a birth may be told again and be the same one.
const sameBirth = 100 * time.Millisecond

func (d *Director) roster(e Roster) {
	if e.Kind == Replace || e.Kind == Restored { // the whole list: who is not named is gone
		for i := range d.nodes {
			d.nodes[i].listed = Removed
			d.index.left(i, &d.nodes[i])
		}
	}
	for _, x := range e.Entries {
		i, known := d.names.find(x.Node)
		if !known {
			if x.State == Removed {
				continue
			}
			var grown bool
			if i, grown = d.names.enter(x.Node); grown {
				d.nodes = append(d.nodes, node{})
			}
			d.nodes[i] = node{name: x.Node, born: LongAgo, reported: -1, doubted: -1, shortAt: -rescoreEvery,
				learnt: LongAgo / 2, use: meter{of: LongAgo / 2}}
		}
		n := &d.nodes[i]
		if x.Born > n.born+sameBirth && known { // what was seen and heard of it before has ended
			n.health, n.doubted, n.warmAt = health{}, -1, 0
			n.use, n.reported, n.shortAt = meter{of: LongAgo / 2}, -1, -rescoreEvery
		}
		if known {
			d.index.remove(i, n)
		}
		n.listed, n.zone, n.cell, n.kind, n.born = x.State, x.Zone, x.Cell, x.Kind, x.Born
		d.gauge.racks[n.rack].own -= n.own
		n.rack = x.Cell % len(d.gauge.racks)
		d.gauge.racks[n.rack].own += n.own
		d.index.add(i, n)
		if n.listed == Removed {
			d.index.left(i, n)
		}
		n.size = d.gauge.fleet.LinkUnit * x.Weight
		if n.size <= 0 {
			n.size = max(1, d.gauge.fleet.LinkUnit)
		}
	}
	for _, i := range d.index.leaving {
		d.dropNode(i)
	}
	for r := range d.gauge.racks {
		d.fairRates(r)
	}
}

// Health, from symptoms alone.

// pauseLegs is how many leg times a node is left alone after a failed leg; trusted is the trickle
// at which a node counts as well again; untried is after how many more pauses a paid leg is let through too.
const (
	pauseLegs = 8
	trusted   = 8
	untried   = 8
)

// may tells whether a leg may go to a node. One that was set aside gets a trickle of free ones first, and of
// paid ones only once no free one has come for long: it guards a fleet of paid tariffs against losing node
// after node for good.
func (h *health) may(outs int, paid bool, now time.Duration) bool {
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
		d.symptom(n, s, Errored)
	case d.rungs.tariffs[s.Tariff].Paid:
		d.alone(n, s)
	case !s.erred:
		s.errorAt = n.name
	default:
		s.errorAt = ""
	}
	s.erred = true
}

// alone holds an error that no other node has a word on against its node if the last such one was there too.
func (d *Director) alone(n *node, s *session) {
	if n.errors++; n.errors > 1 {
		d.symptom(n, s, Errored)
	}
}

// symptom holds a leg's end, or its long silence, against the node.
func (d *Director) symptom(n *node, s *session, o Outcome) {
	s.suspected = true
	if o == Full { // it runs, but has no room: its figure must be out of date
		n.use.hear(max(d.gauge.link(n), cmp.Or(d.gauge.fleet.RefusesFrom, 1)), n.size, 1, d.now)
		return
	}
	if o != Errored {
		n.doubted = d.now
	}
	if n.health.trickle == 0 {
		d.log("node %s set aside: outcome %d after %v", n.name, o, d.now-s.sent)
	}
	pause := pauseLegs * legTime(d.rungs.tariffs[s.Tariff].GoalTime)
	n.health = health{1, pause, d.now + pause}
}

// Warmth: what a node that may have just started can take.

// may keeps all directors together under the fall budget of a node that may be cold. A node that the
// list tells to have started is cold to all of them: each has its whole part of the budget, and where
// that is under one set-up, one director, told by the node's name, has all of it. A failure that this
// director has seen was seen by no more directors than the node has places; with one set-up each in the
// time that the budget takes to fill the places they stay within it on average, not at every moment. One
// that has just started, and can't know which nodes its predecessor saw fail, sends its part, or one.
func (w *warmth) may(n *node, now time.Duration) bool {
	told := n.born != LongAgo && now < n.born+w.ramp.Warmup
	seen := n.doubted >= 0 || now < n.warmAt
	blank := now < w.ramp.Warmup && !w.handed
	if !told && !seen && !blank {
		return true
	}
	if now < w.ramp.TipAfter && blank && n.born != LongAgo {
		return false // a predecessor of this director may just have spent its part
	}
	places, fill := w.places(n), w.fill()
	n.sends = recent(n.sends, now-fill)
	lately := len(recent(slices.Clone(n.sends), now-w.ramp.TipAfter-1))
	budget := places * w.ramp.TipAfter.Seconds() / max(fill, time.Millisecond).Seconds()
	directors := max(1, w.peers.Directors)
	switch mine := int(budget / float64(directors)); {
	case lately < mine:
		return true
	case told:
		return mine == 0 && owner(n.name, directors) == w.peers.Me && lately < int(budget)
	case seen:
		return len(n.sends) == 0
	default:
		return lately == 0
	}
}

// places is how many streams a node runs at most; where its kind is not known, the least.
func (w *warmth) places(n *node) float64 {
	if n.kind < len(w.ramp.Places) {
		return w.ramp.Places[n.kind]
	}
	return 1
}

// fill is the time that the fall budget takes to fill a node's places.
func (w *warmth) fill() time.Duration {
	return max(w.ramp.TipAfter, time.Duration(float64(w.ramp.Warmup)/max(w.ramp.Multiple*w.ramp.ColdFrom, 0.01)))
}

func (w *warmth) sent(n *node, now time.Duration) {
	n.sends = append(recent(n.sends, now-w.fill()), now)
}

// Rations of further legs.

func (r *ration) may(now time.Duration) bool {
	if r.legs.Span == 0 {
		return true
	}
	r.taken, r.spent = recent(r.taken, now-r.legs.Span), recent(r.spent, now-r.legs.Span)
	return float64(len(r.spent)+1) <= r.legs.Spare+r.legs.Share*float64(len(r.taken))
}
