package policy

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// A simulation drives directors with what rapid draws and checks the six rules by its own books: it
// looks at events and actions only, never at what a director keeps.
type simulation struct {
	*rapid.T
	now         time.Duration
	tariffs     []Tariff
	fleet       Fleet
	ramp        Ramp
	retryPolicy RetryPolicy
	list        []NodeEntry
	unavailable map[string]bool // draining or removed by the list
	directors   []*simDirector
	setupTimes  map[string][]time.Duration // all directors'
	slowNode    string                     // a node that answers no leg before it is overdue
	nextID      uint64
	startTimes  map[string]time.Duration // by the world's clock, of nodes that started in sight
	rungs       int
}

// A simDirector is a director and what it owes.
type simDirector struct {
	*Director
	startedAt    time.Duration
	timers       []time.Duration
	requests     map[uint64]*pendingRequest
	order        []uint64
	requestTimes []time.Duration
	retryTimes   []time.Duration
}

type pendingRequest struct {
	Request
	node       string // of the leg out
	playing    bool
	mayHaveRun bool
	legs       int
	answered   bool
	deadline   time.Duration
}

func drawOne[V any](t *rapid.T, label string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, label)
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, unavailable: map[string]bool{}, setupTimes: map[string][]time.Duration{},
		startTimes: map[string]time.Duration{}, rungs: rapid.IntRange(2, 5).Draw(t, "rungs")}
	for i := range rapid.IntRange(1, 3).Draw(t, "tariffs") {
		goal := time.Duration(rapid.IntRange(400, 1500).Draw(t, "goal")) * time.Millisecond
		w.tariffs = append(w.tariffs, Tariff{GoalTime: goal, HardStop: goal * 3, Credit: float64(1 + i),
			AtMostOnce: drawOne(t, "paid", false, true), Scale: drawOne(t, "scale", 0.7, 1, 1.4),
			Floor: rapid.IntRange(0, w.rungs-1).Draw(t, "floor"), Top: w.rungs - 1,
			Seats: drawOne(t, "seats", 0, 0, 1, 3), Live: drawOne(t, "live", false, true)})
	}
	cells := rapid.IntRange(3, 9).Draw(t, "cells")
	w.fleet = Fleet{Cells: cells, Racks: rapid.IntRange(1, 3).Draw(t, "racks"), LinkUnit: 3000, Uplink: 8000,
		RefusalThreshold: drawOne(t, "refuses", 0., 1)}
	w.ramp = Ramp{MaxStreams: []float64{20}, Warmup: 8 * time.Second, InitialShare: .4,
		OverloadMultiple: drawOne(t, "multiple", 2., 2.5, 4), OverloadWindow: drawOne(t, "tip", time.Second, 2*time.Second)}
	w.retryPolicy = RetryPolicy{MaxLegs: rapid.IntRange(1, 4).Draw(t, "most")}
	if drawOne(t, "rationed", false, true) {
		w.retryPolicy.MinRetries, w.retryPolicy.RetryRatio, w.retryPolicy.Window = 1, .1, 3*time.Second
	}
	for i := range cells {
		w.list = append(w.list, NodeEntry{Node: fmt.Sprint("n", i), StartedAt: UnknownStart, Weight: 1, Cell: i})
	}
	for range drawOne(t, "directors", 1, 2, 3, 3, 40) { // 40: far more than a fall budget has set-ups
		w.directors = append(w.directors, nil)
	}
	for i := range w.directors {
		w.start(i)
	}
	return w
}

// entries is the list as a director that started at a time is told it.
func (w *simulation) entries(born time.Duration) []NodeEntry {
	told := slices.Clone(w.list)
	for i := range told {
		if at, ok := w.startTimes[told[i].Node]; ok {
			told[i].StartedAt = at - born
		}
	}
	return told
}

func (w *simulation) start(i int) {
	ladder := Ladder{Rates: []float64{200, 350, 700, 1400, 2000}[:w.rungs], JoinCost: .3}
	p := &simDirector{startedAt: w.now, requests: map[uint64]*pendingRequest{}, Director: New(uint64(i),
		Peers{Index: i, Directors: len(w.directors)}, w.tariffs, ladder, w.fleet, w.ramp, w.retryPolicy,
		ReportTiming{Delay: time.Second})}
	w.directors[i] = p
	w.step(p, ServerList{Kind: ListRestored, Entries: w.entries(w.now)})
}

func (w *simulation) step(p *simDirector, e Event) {
	for _, a := range p.Step(w.now-p.startedAt, e) {
		w.check(p, a)
	}
}

// check holds one action against the rules.
func (w *simulation) check(p *simDirector, a Action) {
	switch a := a.(type) {
	case SetTimer:
		p.timers = append(p.timers, p.startedAt+a.At)
	case Dispatch:
		o := p.requests[a.ID]
		t := w.tariffs[o.Tariff]
		if o.answered || o.node != "" || t.AtMostOnce && o.mayHaveRun || o.legs >= w.retryPolicy.MaxLegs {
			w.Fatalf("rule 2: leg %d of %+v", o.legs, o)
		}
		at := slices.IndexFunc(w.list, func(x NodeEntry) bool { return x.Node == a.Node })
		if at < 0 || w.unavailable[a.Node] {
			w.Fatalf("rule 3: sent to %s", a.Node)
		}
		if (w.list[at].Cell-o.FirstCell+w.fleet.Cells)%w.fleet.Cells >= o.Copies {
			w.Fatalf("%s does not hold the title", a.Node)
		}
		w.setupTimes[a.Node] = append(w.setupTimes[a.Node], w.now)
		w.checkSlowStart(a.Node)
		if o.legs > 0 && w.retryPolicy.Window > 0 {
			recent := func(at time.Duration) bool { return at > w.now-w.retryPolicy.Window }
			p.retryTimes = append(p.retryTimes, w.now)
			if n := countTimes(p.retryTimes, recent); float64(n) > 1+.1*float64(countTimes(p.requestTimes, recent)) {
				w.Fatalf("rule 6: %d further legs", n)
			}
		}
		o.node, o.legs = a.Node, o.legs+1
		seated := 0
		for _, id := range p.order {
			if x := p.requests[id]; x.node != "" && x.Tariff == o.Tariff && x.Title == o.Title {
				seated++
			}
		}
		if t.Seats > 0 && seated > t.Seats {
			w.Fatalf("rule 5: %d of %d seats", seated, t.Seats)
		}
	case SetRung:
		if o := p.requests[a.ID]; a.Rung < w.tariffs[o.Tariff].Floor ||
			a.Rung > max(o.MaxRung, w.tariffs[o.Tariff].Floor) || a.Rung >= w.rungs {
			w.Fatalf("rule 5: rung %d for %+v", a.Rung, o)
		}
	case Nack:
		if o := p.requests[a.ID]; o.node != "" || o.mayHaveRun && w.tariffs[o.Tariff].AtMostOnce {
			w.Fatalf("rule 2: nacked %+v", o)
		}
		w.answer(p, a.ID)
	case Fail:
		w.answer(p, a.ID)
	}
}

// checkSlowStart counts what all directors sent to a node that started in sight of them all.
func (w *simulation) checkSlowStart(node string) {
	born, ok := w.startTimes[node]
	if !ok || w.now >= born+w.ramp.Warmup {
		return
	}
	n := countTimes(w.setupTimes[node], func(at time.Duration) bool { return at > w.now-w.ramp.OverloadWindow && at >= born })
	budget := w.ramp.OverloadMultiple * 20 * w.ramp.InitialShare * w.ramp.OverloadWindow.Seconds() / w.ramp.Warmup.Seconds()
	if float64(n) > budget {
		w.Fatalf("rule 4: %d set-ups to %s, %.1f allowed", n, node, budget)
	}
}

func countTimes(times []time.Duration, which func(time.Duration) bool) (n int) {
	for _, at := range times {
		if which(at) {
			n++
		}
	}
	return n
}

func (w *simulation) answer(p *simDirector, id uint64) {
	o := p.requests[id]
	if o.answered {
		w.Fatalf("rule 1: answered twice: %+v", o)
	}
	o.answered = true
}

// run plays some seconds: demands, outcomes in any order, notes, lists, restarts.
func (w *simulation) run() {
	for range rapid.IntRange(20, 200).Draw(w.T, "steps") {
		w.now += time.Duration(rapid.IntRange(1, 400).Draw(w.T, "ms")) * time.Millisecond
		for _, p := range w.directors {
			for len(p.timers) > 0 && p.timers[0] <= w.now {
				p.timers = p.timers[1:]
				w.step(p, TimerFired{})
			}
			for _, id := range slices.Clone(p.order) {
				w.overdue(p, id)
			}
		}
		i := rapid.IntRange(0, len(w.directors)-1).Draw(w.T, "director")
		p := w.directors[i]
		switch drawOne(w.T, "event", 0, 0, 0, 1, 1, 1, 2, 2, 3, 4) {
		case 0:
			for range rapid.IntRange(1, 6).Draw(w.T, "crowd") {
				w.request(p)
			}
			for _, p := range w.directors[:drawOne(w.T, "wave", 0, 0, len(w.directors))] {
				w.request(p)
			}
		case 1:
			w.outcome(p)
		case 2:
			w.measurement(p)
		case 3:
			for range rapid.IntRange(1, 3).Draw(w.T, "nodes") {
				w.changeList()
			}
			w.slowNode = drawOne(w.T, "slow", "", w.list[0].Node)
		case 4:
			if rapid.IntRange(0, 9).Draw(w.T, "restart") == 0 {
				w.start(i)
			}
		}
	}
}

// overdue ends what has run out of time: a leg at the hard stop; a demand must be answered by then.
func (w *simulation) overdue(p *simDirector, id uint64) {
	o := p.requests[id]
	if o.answered || o.playing || w.now < o.deadline {
		return
	}
	if o.node == "" {
		w.Fatalf("rule 1: no answer by the hard stop: %+v", o)
	}
	w.endLeg(p, o, TimedOut, false)
	if !o.answered {
		w.Fatalf("rule 1: no answer to the last time-out: %+v", o)
	}
}

func (w *simulation) request(p *simDirector) {
	w.nextID++
	tariff := rapid.IntRange(0, len(w.tariffs)-1).Draw(w.T, "tariff")
	// Rings come up to a step late, as they may when a batch is long.
	stop := w.tariffs[tariff].HardStop + 400*time.Millisecond
	d := Request{ID: w.nextID, Tariff: tariff, Title: uint64(rapid.IntRange(1, 4).Draw(w.T, "title")),
		FirstCell: rapid.IntRange(0, w.fleet.Cells-1).Draw(w.T, "base"), Copies: 3,
		MaxRung: rapid.IntRange(0, w.rungs-1).Draw(w.T, "top"), Deadline: w.now - p.startedAt + stop}
	p.requests[d.ID] = &pendingRequest{Request: d, deadline: w.now + stop}
	p.order = append(p.order, d.ID)
	p.requestTimes = append(p.requestTimes, w.now)
	w.step(p, d)
}

func (w *simulation) endLeg(p *simDirector, o *pendingRequest, outcome Outcome, final bool) {
	node := o.node
	o.node = ""
	o.mayHaveRun = o.mayHaveRun || outcome != Full && outcome != ConnectFailed && outcome != NeverStarted
	if o.playing || final {
		o.answered = true
	}
	load := Load{rapid.Float64Range(0, 20).Draw(w.T, "streams"), rapid.Float64Range(0, 2).Draw(w.T, "x"), -1}
	w.step(p, LegResult{ID: o.ID, Node: node, Outcome: outcome, Final: o.playing || final, Load: load})
	if o.answered && o.node == "" {
		delete(p.requests, o.ID)
		p.order = slices.DeleteFunc(p.order, func(id uint64) bool { return id == o.ID })
	}
}

func (w *simulation) outcome(p *simDirector) {
	for _, id := range slices.Clone(p.order) {
		o := p.requests[id]
		if o == nil || o.node == "" || o.node == w.slowNode && !o.playing {
			continue
		}
		switch kind := rapid.IntRange(0, 11).Draw(w.T, "outcome"); {
		case o.playing && kind > 2:
		case o.playing:
			w.endLeg(p, o, drawOne(w.T, "end", Served, Reset, Cancelled), true)
		case kind < 5:
			o.playing, o.answered = true, true
			w.step(p, Accepted{ID: id})
		case kind < 11:
			w.endLeg(p, o, drawOne(w.T, "how", Errored, Full, TimedOut, ConnectFailed, Reset, NeverStarted), false)
		default:
			o.answered = true
			w.step(p, ClientGone{ID: id})
			w.endLeg(p, o, Cancelled, true)
		}
	}
}

func (w *simulation) measurement(p *simDirector) {
	for _, id := range slices.Clone(p.order) {
		if o := p.requests[id]; o.playing && o.node != "" {
			kind := drawOne(w.T, "kind", DeliveredShare, LinkLoad, UplinkLoad)
			w.step(p, Measurement{ID: id, Node: o.node, Kind: kind, Value: rapid.Float64Range(0, 1.6).Draw(w.T, "x")})
		}
	}
}

// changeList changes one node for all directors: drained, removed, back, or started anew.
func (w *simulation) changeList() {
	i := rapid.IntRange(0, len(w.list)-1).Draw(w.T, "node")
	x := &w.list[i]
	x.State = drawOne(w.T, "state", Up, Up, Draining, Removed)
	w.unavailable[x.Node] = x.State != Up
	if x.State == Up {
		w.startTimes[x.Node], w.setupTimes[x.Node] = w.now, nil // what was sent in this very moment went to its predecessor
	}
	full := drawOne(w.T, "full", false, true)
	for _, p := range w.directors {
		told := ServerList{Kind: ListUpdate, Entries: w.entries(p.startedAt)[i : i+1]}
		if full {
			all := w.entries(p.startedAt)
			told = ServerList{Kind: ListReplaced, Entries: slices.DeleteFunc(all, func(x NodeEntry) bool { return x.State == Removed })}
		}
		w.step(p, told)
	}
}
