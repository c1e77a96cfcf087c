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
	fairnessWeight     = 0.6
	clientWeight       = 0.4
	rescoreEvery       = 2 * time.Second
	switchEvery        = 10 * time.Second
	meanWindow         = 70 * time.Second
	fullThreshold      = 0.9  // of a link or uplink: nothing is set up where more would be asked
	raiseThreshold     = 0.85 // a rung up to the reference rung is newly taken up to here,
	headroomThreshold  = 0.75 // a higher one up to here
	stepDownTarget     = 0.85 // what is over full is stepped down to here
	keepThreshold      = 1.0  // and a rung in force is kept up to here;
	ownBias            = 0.2  // a director that holds all that is asked newly takes so much more,
	creditBias         = 0.1  // the tariffs of most and least credit lie this far apart in all four
	dropThreshold      = 0.75 // share delivered
	shortfallThreshold = 0.98 // share delivered
	smoothingFactor    = 0.8  // part of a figure's surprise that is believed: figures are noisy
)

// tickInterval is how often the director looks around unasked.
const tickInterval = rescoreEvery / 20

// Director is one session director.
type Director struct {
	now       time.Duration
	out       []Action
	random    *pcg
	rungs     rungs
	load      loadEstimate
	zone      string
	slowStart slowStart
	retries   retryBudget
	backoff   time.Duration
	watch     time.Duration // how often the list is asked for; 0: it is pushed
	askAt     time.Duration
	begun     bool
	ids       indexMap[uint64] // emptied as sessions end
	sessions  []session        // a place is used again once its session has left the door
	names     indexMap[string] // emptied as nodes leave the list and their last session ends
	nodes     []node
	index     index
	seats     map[seatKey]int // seats taken; emptied as sessions end
}

// New starts a director.
func New(seed uint64, peers Peers, tariffs []Tariff, ladder Ladder, fleet Fleet, ramp Ramp,
	legs RetryPolicy, tidings ReportTiming) *Director {
	return &Director{
		random: newPCG(seed),
		rungs:  rungs{ladder, tariffs},
		load: loadEstimate{fleet: fleet, late: tidings.Delay, fresh: tidings.Interval + 2*tidings.Delay,
			directors: float64(max(1, peers.Directors)), middle: ladder.Rates[len(ladder.Rates)/2],
			racks: make([]rack, max(1, fleet.Racks)), links: baseline{mean: defaultLoad}, uplinks: baseline{mean: defaultLoad}},
		zone:      peers.Zone,
		slowStart: slowStart{ramp: ramp, peers: peers},
		retries:   retryBudget{legs: legs},
		backoff:   tidings.MaxBackoff,
		watch:     ramp.PollWithin / 2,
		index:     newIndex(fleet.Cells),
		ids:       newIndexMap[uint64](),
		names:     newIndexMap[string](),
		seats:     map[seatKey]int{},
	}
}

// Step takes what happened at a time and returns what is to be done.
func (d *Director) Step(now time.Duration, happened Event) []Action {
	d.now, d.load.now, d.out = now, now, d.out[:0]
	if !d.begun {
		d.begun = true
		d.tick()
	}
	switch e := happened.(type) {
	case Request:
		d.request(e)
	case Accepted:
		d.accepted(e.ID)
	case LegResult:
		d.result(e)
	case Measurement:
		d.measurement(e)
	case ClientGone:
		if i, ok := d.ids.find(e.ID); ok {
			d.sessions[i].ended = true
			d.settle(i)
		}
	case ServerList:
		d.serverList(e)
	case TimerFired:
		d.tick()
	}
	return d.out
}

func (d *Director) emit(a Action) { d.out = append(d.out, a) }

func (d *Director) log(format string, figures ...any) { d.emit(Log{fmt.Sprintf(format, figures...)}) }

// Sessions.

func (d *Director) request(e Request) {
	i, grown := d.ids.assign(e.ID)
	if grown {
		d.sessions = append(d.sessions, session{})
	}
	t := &d.rungs.tariffs[e.Tariff]
	d.sessions[i] = session{Request: e, used: true, receivedAt: d.now, node: -1, rung: t.Floor}
	d.retries.recordRequest(d.now)
	if e.PlayingOn == "" {
		d.place(i)
		return
	}
	s := &d.sessions[i]
	s.sent = d.now
	d.takeSeat(s)
	d.startPlaying(s)
	s.adopted, s.scored = true, d.now-rescoreEvery
	if n, ok := d.names.find(e.PlayingOn); ok {
		s.node = n
		d.slowStart.adopted = true
		d.countLeg(&d.nodes[n], 1)
		d.book(s, s.rung)
	}
}

// giveUp answers a session that can't be set up: a nack where nothing paid may have run.
func (d *Director) giveUp(i int) {
	s := &d.sessions[i]
	if e, ok := d.names.find(s.errorAt); ok {
		d.unconfirmedError(&d.nodes[e], s)
	}
	if s.ran && d.rungs.tariffs[s.Tariff].AtMostOnce {
		d.emit(Fail{s.ID})
	} else {
		d.emit(Nack{s.ID, min(d.backoff, d.rungs.tariffs[s.Tariff].GoalTime)})
	}
	s.ended = true
	d.settle(i)
}

func (d *Director) accepted(id uint64) {
	i, ok := d.ids.find(id)
	if !ok || d.sessions[i].phase != settingUp {
		return
	}
	s := &d.sessions[i]
	d.startPlaying(s)
	n := &d.nodes[s.node]
	n.setups--
	n.errors = 0
	if e, ok := d.names.find(s.errorAt); ok { // what one node failed at, another did: it was not the session
		d.recordFailure(&d.nodes[e], s, Errored)
	}
	if n.suspectedAt >= 0 { // it runs, and is warm a warm-up from now at the latest
		n.suspectedAt, n.warmAt = -1, d.now+d.slowStart.ramp.Warmup
	}
	if n.health.wentWell() {
		d.log("node %s is trusted again", n.name)
	}
}

// startPlaying starts a session's clocks; its first switch is free of the wait.
func (d *Director) startPlaying(s *session) {
	s.phase, s.started, s.scored, s.switched = playing, d.now, d.now, d.now-switchEvery
	s.mean = float64(s.rung)
}

func (d *Director) result(e LegResult) {
	i, ok := d.ids.find(e.ID)
	if !ok || d.sessions[i].phase == waiting {
		return
	}
	s := &d.sessions[i]
	was := s.phase
	if s.node >= 0 {
		n := &d.nodes[s.node]
		d.book(s, -1)
		d.countLeg(n, -1)
		if was == settingUp {
			n.setups--
		}
		e.Load.Streams = min(e.Load.Streams, maxReportMultiple*d.slowStart.capacity(n))
		d.load.report(n, e.Load)
		switch e.Outcome {
		case Served, Cancelled, NeverStarted:
		case Errored:
			d.errored(n, s)
		default:
			d.recordFailure(n, s, e.Outcome)
		}
		s.tried = append(s.tried, s.node)
		d.dropNode(s.node)
		s.node = -1
	}
	s.phase = waiting
	d.releaseSeat(s)
	s.ran = s.ran || e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != NeverStarted
	switch {
	case e.Final || s.ended || was == playing:
		s.ended = true
		d.settle(i)
	case s.ran && d.rungs.tariffs[s.Tariff].AtMostOnce:
		d.giveUp(i)
	default:
		d.place(i)
	}
}

// tick is what is done at each pulse.
func (d *Director) tick() {
	d.emit(SetTimer{d.now + tickInterval})
	if d.watch > 0 && d.now >= d.askAt {
		d.askAt = d.now + d.watch
		d.emit(PollServerList{})
	}
	for i := range d.sessions {
		s := &d.sessions[i]
		switch {
		case !s.used || s.ended:
		case s.phase == waiting:
			d.place(i)
		case s.phase == settingUp:
			if !s.suspected && d.now-s.sent > legTime(d.rungs.tariffs[s.Tariff].GoalTime) {
				d.recordFailure(&d.nodes[s.node], s, TimedOut)
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
	d.load.legs += more
}

// measurement takes news of a session or of the node it is on.
func (d *Director) measurement(e Measurement) {
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
	case CurrentRung:
		d.book(s, max(0, min(int(e.Value), len(d.rungs.ladder.Rates)-1))) // off the ladder: its end
		s.mean = float64(s.rung)
	case DeliveredShare:
		if e.Value < shortfallThreshold {
			n.shortAt = d.now
			link, uplink := d.load.projected(n, 0, 0)
			if asked := 1 / max(e.Value, 0.1); d.load.uplinkReported && uplink > link && uplink > raiseThreshold {
				d.load.recordUplink(n, min(asked, 1/dropThreshold), d.now-d.load.late)
			} else if d.load.uplinkReported {
				d.load.recordLink(n, asked, d.now-d.load.late)
			}
		} else { // the note that ends it: there is room again
			n.shortAt = -rescoreEvery
			r, of := &d.load.racks[n.rack], d.now-d.load.late
			n.use.observe(min(d.load.link(n), raiseThreshold), n.size, 1, of)
			r.use.observe(min(d.load.uplink(n.rack), raiseThreshold), d.load.fleet.Uplink, 1, of)
		}
		floor := d.rungs.tariffs[s.Tariff].Floor
		if e.Value < dropThreshold && s.phase == playing && s.rung > floor {
			d.change(s, floor, (1-e.Value)*n.ownLoad/(s.booked-d.rungs.rate(s, floor)))
		}
	case LinkLoad, UplinkLoad:
		late := d.load.late
		if s.phase == settingUp || d.now == s.started { // the note of a set-up tells of now
			late = 0
		}
		if e.Kind == LinkLoad {
			d.load.recordLink(n, e.Value, d.now-late)
			if s.started < n.suspectedAt { // with a session from before the doubt, it never died
				n.suspectedAt = -1
			}
		} else {
			d.load.recordUplink(n, e.Value, d.now-late)
		}
		d.fairRates(n.rack)
	}
}
