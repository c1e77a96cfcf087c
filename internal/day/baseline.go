package day

import (
	"math/rand/v2"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/policy"
)

// Baselines are deciders to measure the module against, behind the same loop: they know the list and
// drains, and keep a paid session from a second set-up, but judge nothing.
var Baselines = map[string]func(h *conf.Config, seed uint64) director.Decider{
	"random-lowest": func(h *conf.Config, seed uint64) director.Decider { return newBaseline(h, seed, atRandom) },
	"least-middle":  func(h *conf.Config, seed uint64) director.Decider { return newBaseline(h, seed, leastFirst) },
	"round-robin":   func(h *conf.Config, seed uint64) director.Decider { return newBaseline(h, seed, inTurn) },
}

// choice is how a baseline picks a holder.
type choice int

const (
	atRandom   choice = iota // at the lowest rung
	leastFirst               // the one with the fewest streams, at the middle rung
	inTurn                   // the next, at the middle rung
)

// A baseline sets up at once on some holder and never looks back.
type baseline struct {
	house    *conf.Config
	chance   *rand.Rand
	how      choice
	turn     int
	nodes    map[string]policy.NodeEntry
	order    []string
	streams  map[string]float64
	sessions map[uint64]*plain // emptied as sessions end
}

type plain struct {
	policy.Request
	legs int
	node string
	ran  bool
}

func newBaseline(h *conf.Config, seed uint64, how choice) *baseline {
	return &baseline{house: h, chance: rand.New(rand.NewPCG(seed, 5)), how: how, nodes: map[string]policy.NodeEntry{},
		streams: map[string]float64{}, sessions: map[uint64]*plain{}}
}

// Step takes what happened and returns what is to be done.
func (b *baseline) Step(now time.Duration, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.ServerList:
		if e.Kind != policy.ListUpdate {
			clear(b.nodes)
			b.order = nil
		}
		for _, x := range e.Entries {
			if _, known := b.nodes[x.Node]; !known {
				b.order = append(b.order, x.Node)
			}
			b.nodes[x.Node] = x
		}
	case policy.Request:
		s := &plain{Request: e}
		b.sessions[e.ID] = s
		return b.place(now, s)
	case policy.LegResult:
		s := b.sessions[e.ID]
		if s == nil {
			return nil
		}
		if s.node != "" {
			b.streams[s.node]--
			s.node = ""
		}
		if e.Load.Streams >= 0 {
			b.streams[e.Node] = e.Load.Streams
		}
		if e.Final {
			delete(b.sessions, e.ID)
			return nil
		}
		s.ran = s.ran || e.Outcome != policy.Full && e.Outcome != policy.ConnectFailed && e.Outcome != policy.NeverStarted
		return b.place(now, s)
	case policy.ClientGone:
		if s := b.sessions[e.ID]; s != nil && s.node == "" {
			delete(b.sessions, e.ID)
		}
	}
	return nil
}

func (b *baseline) place(now time.Duration, s *plain) []policy.Action {
	t := &b.house.Tariffs[s.Tariff]
	cells := b.house.Fleet.Cells
	var holders []string
	for _, name := range b.order {
		if n := b.nodes[name]; n.State == policy.Up && (n.Cell-s.FirstCell+cells)%cells < s.Copies {
			holders = append(holders, name)
		}
	}
	if s.ran && t.AtMostOnce || len(holders) == 0 || s.legs >= b.house.Legs.MaxLegs || now >= s.Deadline {
		delete(b.sessions, s.ID)
		if s.ran && t.AtMostOnce {
			return []policy.Action{policy.Fail{ID: s.ID}}
		}
		return []policy.Action{policy.Nack{ID: s.ID, Backoff: b.house.ReportTiming.MaxBackoff}}
	}
	at, rung := holders[b.chance.IntN(len(holders))], t.Floor
	if b.how == inTurn {
		b.turn++
		at = holders[b.turn%len(holders)]
	}
	if b.how != atRandom {
		rung = max(t.Floor, min(len(b.house.Ladder.Rates)/2, t.Top, s.MaxRung))
	}
	if b.how == leastFirst {
		for _, name := range holders {
			if b.streams[name] < b.streams[at] {
				at = name
			}
		}
	}
	s.legs++
	s.node = at
	b.streams[at]++
	var within time.Duration
	if !t.AtMostOnce {
		within = min(t.GoalTime*2/5, s.Deadline-now)
	}
	return []policy.Action{policy.SetRung{ID: s.ID, Rung: rung}, policy.Dispatch{ID: s.ID, Node: at, Timeout: within}}
}
