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
	now       time.Duration
	tariffs   []Tariff
	fleet     Fleet
	ramp      Ramp
	legs      RetryPolicy
	list      []NodeEntry
	gone      map[string]bool // draining or removed by the list
	directors []*simDirector
	sends     map[string][]time.Duration // all directors'
	slow      string                     // a node that answers no leg before it is overdue
	nextID    uint64
	births    map[string]time.Duration // by the world's clock, of nodes that started in sight
	rungs     int
}

// A simDirector is a director and what it owes.
type simDirector struct {
	*Director
	born  time.Duration
	due   []time.Duration
	open  map[uint64]*owed
	order []uint64
	taken []time.Duration
	spare []time.Duration
}

type owed struct {
	Request
	node     string // of the leg out
	plays    bool
	ran      bool
	legs     int
	answered bool
	by       time.Duration
}

func pick[V any](t *rapid.T, label string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, label)
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, gone: map[string]bool{}, sends: map[string][]time.Duration{},
		births: map[string]time.Duration{}, rungs: rapid.IntRange(2, 5).Draw(t, "rungs")}
	for i := range rapid.IntRange(1, 3).Draw(t, "tariffs") {
		goal := time.Duration(rapid.IntRange(400, 1500).Draw(t, "goal")) * time.Millisecond
		w.tariffs = append(w.tariffs, Tariff{GoalTime: goal, HardStop: goal * 3, Credit: float64(1 + i),
			AtMostOnce: pick(t, "paid", false, true), Scale: pick(t, "scale", 0.7, 1, 1.4),
			Floor: rapid.IntRange(0, w.rungs-1).Draw(t, "floor"), Top: w.rungs - 1,
			Seats: pick(t, "seats", 0, 0, 1, 3), Live: pick(t, "live", false, true)})
	}
	cells := rapid.IntRange(3, 9).Draw(t, "cells")
	w.fleet = Fleet{Cells: cells, Racks: rapid.IntRange(1, 3).Draw(t, "racks"), LinkUnit: 3000, Uplink: 8000,
		RefusalThreshold: pick(t, "refuses", 0., 1)}
	w.ramp = Ramp{MaxStreams: []float64{20}, Warmup: 8 * time.Second, InitialShare: .4,
		OverloadMultiple: pick(t, "multiple", 2., 2.5, 4), OverloadWindow: pick(t, "tip", time.Second, 2*time.Second)}
	w.legs = RetryPolicy{MaxLegs: rapid.IntRange(1, 4).Draw(t, "most")}
	if pick(t, "rationed", false, true) {
		w.legs.MinRetries, w.legs.RetryRatio, w.legs.Window = 1, .1, 3*time.Second
	}
	for i := range cells {
		w.list = append(w.list, NodeEntry{Node: fmt.Sprint("n", i), StartedAt: UnknownStart, Weight: 1, Cell: i})
	}
	for range pick(t, "directors", 1, 2, 3, 3, 40) { // 40: far more than a fall budget has set-ups
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
		if at, ok := w.births[told[i].Node]; ok {
			told[i].StartedAt = at - born
		}
	}
	return told
}

func (w *simulation) start(i int) {
	ladder := Ladder{Rates: []float64{200, 350, 700, 1400, 2000}[:w.rungs], JoinCost: .3}
	p := &simDirector{born: w.now, open: map[uint64]*owed{}, Director: New(uint64(i),
		Peers{Index: i, Directors: len(w.directors)}, w.tariffs, ladder, w.fleet, w.ramp, w.legs,
		ReportTiming{Delay: time.Second})}
	w.directors[i] = p
	w.step(p, ServerList{Kind: ListRestored, Entries: w.entries(w.now)})
}

func (w *simulation) step(p *simDirector, e Event) {
	for _, a := range p.Step(w.now-p.born, e) {
		w.check(p, a)
	}
}

// check holds one action against the rules.
func (w *simulation) check(p *simDirector, a Action) {
	switch a := a.(type) {
	case SetTimer:
		p.due = append(p.due, p.born+a.At)
	case Dispatch:
		o := p.open[a.ID]
		t := w.tariffs[o.Tariff]
		if o.answered || o.node != "" || t.AtMostOnce && o.ran || o.legs >= w.legs.MaxLegs {
			w.Fatalf("rule 2: leg %d of %+v", o.legs, o)
		}
		at := slices.IndexFunc(w.list, func(x NodeEntry) bool { return x.Node == a.Node })
		if at < 0 || w.gone[a.Node] {
			w.Fatalf("rule 3: sent to %s", a.Node)
		}
		if (w.list[at].Cell-o.FirstCell+w.fleet.Cells)%w.fleet.Cells >= o.Copies {
			w.Fatalf("%s does not hold the title", a.Node)
		}
		w.sends[a.Node] = append(w.sends[a.Node], w.now)
		w.checkCold(a.Node)
		if o.legs > 0 && w.legs.Window > 0 {
			recent := func(at time.Duration) bool { return at > w.now-w.legs.Window }
			p.spare = append(p.spare, w.now)
			if n := count(p.spare, recent); float64(n) > 1+.1*float64(count(p.taken, recent)) {
				w.Fatalf("rule 6: %d further legs", n)
			}
		}
		o.node, o.legs = a.Node, o.legs+1
		seated := 0
		for _, id := range p.order {
			if x := p.open[id]; x.node != "" && x.Tariff == o.Tariff && x.Title == o.Title {
				seated++
			}
		}
		if t.Seats > 0 && seated > t.Seats {
			w.Fatalf("rule 5: %d of %d seats", seated, t.Seats)
		}
	case SetRung:
		if o := p.open[a.ID]; a.Rung < w.tariffs[o.Tariff].Floor ||
			a.Rung > max(o.MaxRung, w.tariffs[o.Tariff].Floor) || a.Rung >= w.rungs {
			w.Fatalf("rule 5: rung %d for %+v", a.Rung, o)
		}
	case Nack:
		if o := p.open[a.ID]; o.node != "" || o.ran && w.tariffs[o.Tariff].AtMostOnce {
			w.Fatalf("rule 2: nacked %+v", o)
		}
		w.answer(p, a.ID)
	case Fail:
		w.answer(p, a.ID)
	}
}

// checkCold counts what all directors sent to a node that started in sight of them all.
func (w *simulation) checkCold(node string) {
	born, ok := w.births[node]
	if !ok || w.now >= born+w.ramp.Warmup {
		return
	}
	n := count(w.sends[node], func(at time.Duration) bool { return at > w.now-w.ramp.OverloadWindow && at >= born })
	budget := w.ramp.OverloadMultiple * 20 * w.ramp.InitialShare * w.ramp.OverloadWindow.Seconds() / w.ramp.Warmup.Seconds()
	if float64(n) > budget {
		w.Fatalf("rule 4: %d set-ups to %s, %.1f allowed", n, node, budget)
	}
}

func count(times []time.Duration, which func(time.Duration) bool) (n int) {
	for _, at := range times {
		if which(at) {
			n++
		}
	}
	return n
}

func (w *simulation) answer(p *simDirector, id uint64) {
	o := p.open[id]
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
			for len(p.due) > 0 && p.due[0] <= w.now {
				p.due = p.due[1:]
				w.step(p, TimerFired{})
			}
			for _, id := range slices.Clone(p.order) {
				w.overdue(p, id)
			}
		}
		i := rapid.IntRange(0, len(w.directors)-1).Draw(w.T, "director")
		p := w.directors[i]
		switch pick(w.T, "event", 0, 0, 0, 1, 1, 1, 2, 2, 3, 4) {
		case 0:
			for range rapid.IntRange(1, 6).Draw(w.T, "crowd") {
				w.demand(p)
			}
			for _, p := range w.directors[:pick(w.T, "wave", 0, 0, len(w.directors))] {
				w.demand(p)
			}
		case 1:
			w.outcome(p)
		case 2:
			w.note(p)
		case 3:
			for range rapid.IntRange(1, 3).Draw(w.T, "nodes") {
				w.relist()
			}
			w.slow = pick(w.T, "slow", "", w.list[0].Node)
		case 4:
			if rapid.IntRange(0, 9).Draw(w.T, "restart") == 0 {
				w.start(i)
			}
		}
	}
}

// overdue ends what has run out of time: a leg at the hard stop; a demand must be answered by then.
func (w *simulation) overdue(p *simDirector, id uint64) {
	o := p.open[id]
	if o.answered || o.plays || w.now < o.by {
		return
	}
	if o.node == "" {
		w.Fatalf("rule 1: no answer by the hard stop: %+v", o)
	}
	w.end(p, o, TimedOut, false)
	if !o.answered {
		w.Fatalf("rule 1: no answer to the last time-out: %+v", o)
	}
}

func (w *simulation) demand(p *simDirector) {
	w.nextID++
	tariff := rapid.IntRange(0, len(w.tariffs)-1).Draw(w.T, "tariff")
	// Rings come up to a step late, as they may when a batch is long.
	stop := w.tariffs[tariff].HardStop + 400*time.Millisecond
	d := Request{ID: w.nextID, Tariff: tariff, Title: uint64(rapid.IntRange(1, 4).Draw(w.T, "title")),
		FirstCell: rapid.IntRange(0, w.fleet.Cells-1).Draw(w.T, "base"), Copies: 3,
		MaxRung: rapid.IntRange(0, w.rungs-1).Draw(w.T, "top"), Deadline: w.now - p.born + stop}
	p.open[d.ID] = &owed{Request: d, by: w.now + stop}
	p.order = append(p.order, d.ID)
	p.taken = append(p.taken, w.now)
	w.step(p, d)
}

func (w *simulation) end(p *simDirector, o *owed, outcome Outcome, final bool) {
	node := o.node
	o.node = ""
	o.ran = o.ran || outcome != Full && outcome != ConnectFailed && outcome != NeverStarted
	if o.plays || final {
		o.answered = true
	}
	load := Load{rapid.Float64Range(0, 20).Draw(w.T, "streams"), rapid.Float64Range(0, 2).Draw(w.T, "x"), -1}
	w.step(p, LegResult{ID: o.ID, Node: node, Outcome: outcome, Final: o.plays || final, Load: load})
	if o.answered && o.node == "" {
		delete(p.open, o.ID)
		p.order = slices.DeleteFunc(p.order, func(id uint64) bool { return id == o.ID })
	}
}

func (w *simulation) outcome(p *simDirector) {
	for _, id := range slices.Clone(p.order) {
		o := p.open[id]
		if o == nil || o.node == "" || o.node == w.slow && !o.plays {
			continue
		}
		switch kind := rapid.IntRange(0, 11).Draw(w.T, "outcome"); {
		case o.plays && kind > 2:
		case o.plays:
			w.end(p, o, pick(w.T, "end", Served, Reset, Cancelled), true)
		case kind < 5:
			o.plays, o.answered = true, true
			w.step(p, Accepted{ID: id})
		case kind < 11:
			w.end(p, o, pick(w.T, "how", Errored, Full, TimedOut, ConnectFailed, Reset, NeverStarted), false)
		default:
			o.answered = true
			w.step(p, ClientGone{ID: id})
			w.end(p, o, Cancelled, true)
		}
	}
}

func (w *simulation) note(p *simDirector) {
	for _, id := range slices.Clone(p.order) {
		if o := p.open[id]; o.plays && o.node != "" {
			kind := pick(w.T, "kind", DeliveredShare, LinkLoad, UplinkLoad)
			w.step(p, Measurement{ID: id, Node: o.node, Kind: kind, Value: rapid.Float64Range(0, 1.6).Draw(w.T, "x")})
		}
	}
}

// relist changes one node for all directors: drained, removed, back, or started anew.
func (w *simulation) relist() {
	i := rapid.IntRange(0, len(w.list)-1).Draw(w.T, "node")
	x := &w.list[i]
	x.State = pick(w.T, "state", Up, Up, Draining, Removed)
	w.gone[x.Node] = x.State != Up
	if x.State == Up {
		w.births[x.Node], w.sends[x.Node] = w.now, nil // what was sent in this very moment went to its predecessor
	}
	full := pick(w.T, "full", false, true)
	for _, p := range w.directors {
		told := ServerList{Kind: ListUpdate, Entries: w.entries(p.born)[i : i+1]}
		if full {
			all := w.entries(p.born)
			told = ServerList{Kind: ListReplaced, Entries: slices.DeleteFunc(all, func(x NodeEntry) bool { return x.State == Removed })}
		}
		w.step(p, told)
	}
}
