// Package policy decides who plays, where and at what rung. Callers start a director with New and
// hand each thing that happened to Step, which returns what is to be done, in order. The interface
// (events, actions, start facts) is in types.go; everything that is decided is decided here.
// Times are spans since the director's start. See docs/design.md for the mechanism's source.
package policy

import (
	"fmt"
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
