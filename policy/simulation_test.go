package policy

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// A simulation drives directors with events drawn by rapid and checks the six rules against its own records. It
// uses events and actions only, never a director's state. The rules:
//
//  1. Each request gets exactly one answer, by its hard stop.
//  2. A session has one leg at a time and at most MaxLegs. A session of an at-most-once tariff gets no further
//     leg and no Nack once a leg may have run.
//  3. No leg is sent to a node that is draining or removed.
//  4. All directors together stay within the overload budget of a node that started while they ran.
//  5. Sessions stay within the seats and rungs of their tariff.
//  6. Retries stay within the retry budget.
type simulation struct {
	*rapid.T
	now         time.Duration
	tariffs     []Tariff
	topology    Topology
	ramp        Ramp
	retryPolicy RetryPolicy
	list        []NodeEntry
	unavailable map[string]bool // nodes that the list has as draining or removed
	directors   []*simDirector
	setupTimes  map[string][]time.Duration // set-ups sent by all directors, by node
	slowNode    string                     // a node that does not answer legs before they are overdue
	nextID      uint64
	startTimes  map[string]time.Duration // start times, in simulation time, of the nodes that started during the simulation
	rungs       int
}

// A simDirector is a director with its timers and pending requests.
type simDirector struct {
	*Director
	startedAt    time.Duration
	timers       []time.Duration
	requests     map[uint64]*pendingRequest
	order        []uint64
	requestTimes []time.Duration
	retryTimes   []time.Duration
}

// A pendingRequest is a request or session that has not ended yet.
type pendingRequest struct {
	Request
	node       string // node of the running leg; empty: no leg is running
	playing    bool
	mayHaveRun bool
	legs       int
	answered   bool
	deadline   time.Duration // in simulation time; Request.Deadline counts from the director's start
}

func drawOne[V any](t *rapid.T, label string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, label)
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{T: t, unavailable: map[string]bool{}, setupTimes: map[string][]time.Duration{},
		startTimes: map[string]time.Duration{}, rungs: rapid.IntRange(2, 5).Draw(t, "rungs")}
	for i := range rapid.IntRange(1, 3).Draw(t, "tariffs") {
		goal := time.Duration(rapid.IntRange(400, 1500).Draw(t, "goal")) * time.Millisecond
		s.tariffs = append(s.tariffs, Tariff{GoalTime: goal, HardStop: goal * 3, Credit: float64(1 + i),
			AtMostOnce: drawOne(t, "at most once", false, true), Scale: drawOne(t, "scale", 0.7, 1, 1.4),
			Floor: rapid.IntRange(0, s.rungs-1).Draw(t, "floor"), Top: s.rungs - 1,
			Seats: drawOne(t, "seats", 0, 0, 1, 3), Live: drawOne(t, "live", false, true)})
	}
	cells := rapid.IntRange(3, 9).Draw(t, "cells")
	s.topology = Topology{Cells: cells, Racks: rapid.IntRange(1, 3).Draw(t, "racks"), LinkUnit: 3000, Uplink: 8000,
		RefusalThreshold: drawOne(t, "refusal threshold", 0., 1)}
	s.ramp = Ramp{MaxStreams: []float64{20}, Warmup: 8 * time.Second, InitialShare: .4,
		OverloadMultiple: drawOne(t, "overload multiple", 2., 2.5, 4), OverloadWindow: drawOne(t, "overload window", time.Second, 2*time.Second)}
	s.retryPolicy = RetryPolicy{MaxLegs: rapid.IntRange(1, 4).Draw(t, "max legs")}
	if drawOne(t, "retry budget", false, true) {
		s.retryPolicy.MinRetries, s.retryPolicy.RetryRatio, s.retryPolicy.Window = 1, .1, 3*time.Second
	}
	for i := range cells {
		s.list = append(s.list, NodeEntry{Node: fmt.Sprint("n", i), StartedAt: UnknownStart, Weight: 1, Cell: i})
	}
	for range drawOne(t, "directors", 1, 2, 3, 3, 40) { // 40: far more than the overload budget has set-ups
		s.directors = append(s.directors, nil)
	}
	for i := range s.directors {
		s.start(i)
	}
	return s
}

// entries returns the list as a director that started at the given time receives it.
func (s *simulation) entries(directorStart time.Duration) []NodeEntry {
	list := slices.Clone(s.list)
	for i := range list {
		if at, ok := s.startTimes[list[i].Node]; ok {
			list[i].StartedAt = at - directorStart
		}
	}
	return list
}

func (s *simulation) start(i int) {
	ladder := Ladder{Rates: []float64{200, 350, 700, 1400, 2000}[:s.rungs], JoinCost: .3}
	dir := &simDirector{startedAt: s.now, requests: map[uint64]*pendingRequest{}, Director: New(uint64(i),
		Peers{Index: i, Directors: len(s.directors)}, s.tariffs, ladder, s.topology, s.ramp, s.retryPolicy,
		ReportTiming{Delay: time.Second})}
	s.directors[i] = dir
	s.step(dir, ServerList{Kind: ListRestored, Entries: s.entries(s.now)})
}

func (s *simulation) step(dir *simDirector, e Event) {
	for _, a := range dir.Step(s.now-dir.startedAt, e) {
		s.check(dir, a)
	}
}

// check checks one action against the rules.
func (s *simulation) check(dir *simDirector, a Action) {
	switch a := a.(type) {
	case SetTimer:
		dir.timers = append(dir.timers, dir.startedAt+a.At)
	case Dispatch:
		r := dir.requests[a.ID]
		t := s.tariffs[r.Tariff]
		if r.answered || r.node != "" || t.AtMostOnce && r.mayHaveRun || r.legs >= s.retryPolicy.MaxLegs {
			s.Fatalf("rule 2: leg %d of %+v", r.legs, r)
		}
		at := slices.IndexFunc(s.list, func(x NodeEntry) bool { return x.Node == a.Node })
		if at < 0 || s.unavailable[a.Node] {
			s.Fatalf("rule 3: a leg was sent to %s", a.Node)
		}
		if (s.list[at].Cell-r.FirstCell+s.topology.Cells)%s.topology.Cells >= r.Copies {
			s.Fatalf("%s does not hold the title", a.Node)
		}
		s.setupTimes[a.Node] = append(s.setupTimes[a.Node], s.now)
		s.checkSlowStart(a.Node)
		if r.legs > 0 && s.retryPolicy.Window > 0 {
			recent := func(at time.Duration) bool { return at > s.now-s.retryPolicy.Window }
			dir.retryTimes = append(dir.retryTimes, s.now)
			if n := countTimes(dir.retryTimes, recent); float64(n) > 1+.1*float64(countTimes(dir.requestTimes, recent)) {
				s.Fatalf("rule 6: %d retries", n)
			}
		}
		r.node, r.legs = a.Node, r.legs+1
		taken := 0
		for _, id := range dir.order {
			if x := dir.requests[id]; x.node != "" && x.Tariff == r.Tariff && x.Title == r.Title {
				taken++
			}
		}
		if t.Seats > 0 && taken > t.Seats {
			s.Fatalf("rule 5: %d of %d seats", taken, t.Seats)
		}
	case SetRung:
		if r := dir.requests[a.ID]; a.Rung < s.tariffs[r.Tariff].Floor ||
			a.Rung > max(r.MaxRung, s.tariffs[r.Tariff].Floor) || a.Rung >= s.rungs {
			s.Fatalf("rule 5: rung %d for %+v", a.Rung, r)
		}
	case Nack:
		if r := dir.requests[a.ID]; r.node != "" || r.mayHaveRun && s.tariffs[r.Tariff].AtMostOnce {
			s.Fatalf("rule 2: nacked %+v", r)
		}
		s.answer(dir, a.ID)
	case Fail:
		s.answer(dir, a.ID)
	}
}

// checkSlowStart checks the set-ups that all directors sent to a node that started while they ran.
func (s *simulation) checkSlowStart(node string) {
	startedAt, ok := s.startTimes[node]
	if !ok || s.now >= startedAt+s.ramp.Warmup {
		return
	}
	n := countTimes(s.setupTimes[node], func(at time.Duration) bool { return at > s.now-s.ramp.OverloadWindow && at >= startedAt })
	budget := s.ramp.OverloadMultiple * 20 * s.ramp.InitialShare * s.ramp.OverloadWindow.Seconds() / s.ramp.Warmup.Seconds()
	if float64(n) > budget {
		s.Fatalf("rule 4: %d set-ups to %s, %.1f allowed", n, node, budget)
	}
}

func countTimes(times []time.Duration, match func(time.Duration) bool) (n int) {
	for _, at := range times {
		if match(at) {
			n++
		}
	}
	return n
}

func (s *simulation) answer(dir *simDirector, id uint64) {
	r := dir.requests[id]
	if r.answered {
		s.Fatalf("rule 1: answered twice: %+v", r)
	}
	r.answered = true
}

// run simulates some seconds with requests, outcomes in any order, measurements, list changes and restarts.
func (s *simulation) run() {
	for range rapid.IntRange(20, 200).Draw(s.T, "steps") {
		s.now += time.Duration(rapid.IntRange(1, 400).Draw(s.T, "ms")) * time.Millisecond
		for _, dir := range s.directors {
			for len(dir.timers) > 0 && dir.timers[0] <= s.now {
				dir.timers = dir.timers[1:]
				s.step(dir, TimerFired{})
			}
			for _, id := range slices.Clone(dir.order) {
				s.overdue(dir, id)
			}
		}
		i := rapid.IntRange(0, len(s.directors)-1).Draw(s.T, "director")
		dir := s.directors[i]
		switch drawOne(s.T, "event", 0, 0, 0, 1, 1, 1, 2, 2, 3, 4) {
		case 0:
			for range rapid.IntRange(1, 6).Draw(s.T, "burst") {
				s.request(dir)
			}
			for _, dir := range s.directors[:drawOne(s.T, "all directors", 0, 0, len(s.directors))] {
				s.request(dir)
			}
		case 1:
			s.outcome(dir)
		case 2:
			s.measurement(dir)
		case 3:
			for range rapid.IntRange(1, 3).Draw(s.T, "nodes") {
				s.changeList()
			}
			s.slowNode = drawOne(s.T, "slow node", "", s.list[0].Node)
		case 4:
			if rapid.IntRange(0, 9).Draw(s.T, "restart") == 0 {
				s.start(i)
			}
		}
	}
}

// overdue ends a leg at its request's hard stop, and requires that the request is answered by then.
func (s *simulation) overdue(dir *simDirector, id uint64) {
	r := dir.requests[id]
	if r.answered || r.playing || s.now < r.deadline {
		return
	}
	if r.node == "" {
		s.Fatalf("rule 1: no answer by the hard stop: %+v", r)
	}
	s.endLeg(dir, r, TimedOut, false)
	if !r.answered {
		s.Fatalf("rule 1: no answer after the last time-out: %+v", r)
	}
}

func (s *simulation) request(dir *simDirector) {
	s.nextID++
	tariff := rapid.IntRange(0, len(s.tariffs)-1).Draw(s.T, "tariff")
	// Timers fire up to one step late, as they may if a batch of events is long.
	hardStop := s.tariffs[tariff].HardStop + 400*time.Millisecond
	request := Request{ID: s.nextID, Tariff: tariff, Title: uint64(rapid.IntRange(1, 4).Draw(s.T, "title")),
		FirstCell: rapid.IntRange(0, s.topology.Cells-1).Draw(s.T, "first cell"), Copies: 3,
		MaxRung: rapid.IntRange(0, s.rungs-1).Draw(s.T, "max rung"), Deadline: s.now - dir.startedAt + hardStop}
	dir.requests[request.ID] = &pendingRequest{Request: request, deadline: s.now + hardStop}
	dir.order = append(dir.order, request.ID)
	dir.requestTimes = append(dir.requestTimes, s.now)
	s.step(dir, request)
}

func (s *simulation) endLeg(dir *simDirector, r *pendingRequest, outcome Outcome, final bool) {
	node := r.node
	r.node = ""
	r.mayHaveRun = r.mayHaveRun || outcome != Full && outcome != ConnectFailed && outcome != NeverStarted
	if r.playing || final {
		r.answered = true
	}
	load := Load{rapid.Float64Range(0, 20).Draw(s.T, "streams"), rapid.Float64Range(0, 2).Draw(s.T, "x"), -1}
	s.step(dir, LegResult{ID: r.ID, Node: node, Outcome: outcome, Final: r.playing || final, Load: load})
	if r.answered && r.node == "" {
		delete(dir.requests, r.ID)
		dir.order = slices.DeleteFunc(dir.order, func(id uint64) bool { return id == r.ID })
	}
}

func (s *simulation) outcome(dir *simDirector) {
	for _, id := range slices.Clone(dir.order) {
		r := dir.requests[id]
		if r == nil || r.node == "" || r.node == s.slowNode && !r.playing {
			continue
		}
		switch kind := rapid.IntRange(0, 11).Draw(s.T, "outcome"); {
		case r.playing && kind > 2:
		case r.playing:
			s.endLeg(dir, r, drawOne(s.T, "end", Served, Reset, Cancelled), true)
		case kind < 5:
			r.playing, r.answered = true, true
			s.step(dir, Accepted{ID: id})
		case kind < 11:
			s.endLeg(dir, r, drawOne(s.T, "failure", Errored, Full, TimedOut, ConnectFailed, Reset, NeverStarted), false)
		default:
			r.answered = true
			s.step(dir, ClientGone{ID: id})
			s.endLeg(dir, r, Cancelled, true)
		}
	}
}

func (s *simulation) measurement(dir *simDirector) {
	for _, id := range slices.Clone(dir.order) {
		if r := dir.requests[id]; r.playing && r.node != "" {
			kind := drawOne(s.T, "kind", DeliveredShare, LinkLoad, UplinkLoad)
			s.step(dir, Measurement{ID: id, Node: r.node, Kind: kind, Value: rapid.Float64Range(0, 1.6).Draw(s.T, "x")})
		}
	}
}

// changeList changes the list entry of one node for all directors: draining, removed, or up with a new start time.
func (s *simulation) changeList() {
	i := rapid.IntRange(0, len(s.list)-1).Draw(s.T, "node")
	x := &s.list[i]
	x.State = drawOne(s.T, "state", Up, Up, Draining, Removed)
	s.unavailable[x.Node] = x.State != Up
	if x.State == Up {
		s.startTimes[x.Node], s.setupTimes[x.Node] = s.now, nil // set-ups sent at this same moment went to the node before its restart
	}
	full := drawOne(s.T, "full", false, true)
	for _, dir := range s.directors {
		message := ServerList{Kind: ListUpdate, Entries: s.entries(dir.startedAt)[i : i+1]}
		if full {
			all := s.entries(dir.startedAt)
			message = ServerList{Kind: ListReplaced, Entries: slices.DeleteFunc(all, func(x NodeEntry) bool { return x.State == Removed })}
		}
		s.step(dir, message)
	}
}
