package day

import (
	"math/rand/v2"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/policy"
)

// Baselines are simple deciders, by name, that the policy module is compared with. They run in the same director
// loop. They follow the server list, avoid draining nodes and never set up a paid session twice. They ignore failed
// nodes and slow start, and only least-middle considers load: it counts each node's streams.
var Baselines = map[string]func(config *conf.Config, seed uint64) director.Decider{
	"random-lowest": func(config *conf.Config, seed uint64) director.Decider {
		return newBaseline(config, seed, selectRandom)
	},
	"least-middle": func(config *conf.Config, seed uint64) director.Decider {
		return newBaseline(config, seed, selectLeastLoaded)
	},
	"round-robin": func(config *conf.Config, seed uint64) director.Decider {
		return newBaseline(config, seed, selectRoundRobin)
	},
}

// selection is the rule by which a baseline selects one of the nodes that hold a title.
type selection int

const (
	selectRandom      selection = iota // a random node, at the lowest rung
	selectLeastLoaded                  // the node with the fewest streams, at the middle rung
	selectRoundRobin                   // the nodes in rotation, at the middle rung
)

// A baseline dispatches each request at once to one of the nodes that hold its title.
type baseline struct {
	config    *conf.Config
	random    *rand.Rand
	selection selection
	next      int // the last position of selectRoundRobin in the rotation
	nodes     map[string]policy.NodeEntry
	nodeNames []string
	streams   map[string]float64          // by node name, from load reports and own legs
	sessions  map[uint64]*baselineSession // active sessions only
}

// A baselineSession is a session as a baseline tracks it.
type baselineSession struct {
	policy.Request
	legs       int
	node       string // of the current leg; empty: none
	mayHaveRun bool   // an earlier leg may have been set up on its node
}

func newBaseline(config *conf.Config, seed uint64, selection selection) *baseline {
	return &baseline{config: config, random: rand.New(rand.NewPCG(seed, 5)), selection: selection, nodes: map[string]policy.NodeEntry{},
		streams: map[string]float64{}, sessions: map[uint64]*baselineSession{}}
}

// Step implements director.Decider.
func (b *baseline) Step(now time.Duration, e policy.Event) []policy.Action {
	switch e := e.(type) {
	case policy.ServerList:
		if e.Kind != policy.ListUpdate {
			clear(b.nodes)
			b.nodeNames = nil
		}
		for _, entry := range e.Entries {
			if _, known := b.nodes[entry.Node]; !known {
				b.nodeNames = append(b.nodeNames, entry.Node)
			}
			b.nodes[entry.Node] = entry
		}
	case policy.Request:
		s := &baselineSession{Request: e}
		b.sessions[e.ID] = s
		return b.place(now, s)
	case policy.SessionMoved:
		if s := b.sessions[e.ID]; s != nil && s.node != "" {
			b.streams[s.node]--
			b.streams[e.Node]++
			s.node = e.Node
		}
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
		s.mayHaveRun = s.mayHaveRun || e.Outcome != policy.Full && e.Outcome != policy.ConnectFailed && e.Outcome != policy.NeverStarted
		return b.place(now, s)
	case policy.ClientGone:
		if s := b.sessions[e.ID]; s != nil && s.node == "" {
			delete(b.sessions, e.ID)
		}
	}
	return nil
}

// place dispatches a session to a node, or ends it with a nack or a failure.
func (b *baseline) place(now time.Duration, s *baselineSession) []policy.Action {
	tariff := &b.config.Tariffs[s.Tariff]
	cells := b.config.Topology.Cells
	var holders []string
	for _, name := range b.nodeNames {
		if n := b.nodes[name]; n.State == policy.Up && (n.Cell-s.FirstCell+cells)%cells < s.Copies {
			holders = append(holders, name)
		}
	}
	if s.mayHaveRun && tariff.AtMostOnce || len(holders) == 0 || s.legs >= b.config.Legs.MaxLegs || now >= s.Deadline {
		delete(b.sessions, s.ID)
		if s.mayHaveRun && tariff.AtMostOnce {
			return []policy.Action{policy.Fail{ID: s.ID}}
		}
		return []policy.Action{policy.Nack{ID: s.ID, Backoff: b.config.ReportTiming.MaxBackoff}}
	}
	node, rung := holders[b.random.IntN(len(holders))], tariff.Floor
	if b.selection == selectRoundRobin {
		b.next++
		node = holders[b.next%len(holders)]
	}
	if b.selection != selectRandom {
		rung = max(tariff.Floor, min(len(b.config.Ladder.Rates)/2, tariff.Top, s.MaxRung))
	}
	if b.selection == selectLeastLoaded {
		for _, name := range holders {
			if b.streams[name] < b.streams[node] {
				node = name
			}
		}
	}
	s.legs++
	s.node = node
	b.streams[node]++
	var timeout time.Duration
	if !tariff.AtMostOnce {
		timeout = min(tariff.GoalTime*2/5, s.Deadline-now)
	}
	return []policy.Action{policy.SetRung{ID: s.ID, Rung: rung}, policy.Dispatch{ID: s.ID, Node: node, Timeout: timeout}}
}
