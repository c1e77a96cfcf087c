package director

import (
	"hash/fnv"

	"fordusher/internal/wire"
	"fordusher/policy"
	"fordusher/reach"
)

type title struct {
	id           uint64
	base, copies int
}

// The list.

var states = map[string]policy.NodeState{
	wire.Up: policy.Up, wire.Draining: policy.Draining, wire.Removed: policy.Removed,
}

func (l *Loop) listSaid(m wire.List) {
	kind := policy.ListUpdate
	switch m.Type {
	case wire.Whole:
		kind = policy.ListReplaced
		named := map[string]bool{}
		for _, e := range m.Nodes {
			named[e.Node] = true
		}
		for name, n := range sorted(l.nodes) {
			if !named[name] {
				l.unlist(n)
			}
		}
		clear(l.titles)
		defer func() { l.listed = true }()
	case wire.Update:
	default:
		l.counts.BadWord++
		return
	}
	for _, t := range m.Titles {
		if t.Copies == 0 {
			delete(l.titles, t.Title)
			continue
		}
		l.titles[t.Title] = title{titleID(t.Title), t.Base, t.Copies}
	}
	roster := policy.ServerList{Kind: kind}
	for _, e := range m.Nodes {
		roster.Entries = append(roster.Entries, l.entry(e))
	}
	l.tell(roster)
	for _, n := range sorted(l.concerned(m)) {
		if !n.open {
			l.recall(n)
		}
		l.dropNode(n)
	}
	l.do(SendDiscovery{wire.List{Type: wire.Heard, Director: l.name, Serial: m.Serial}})
}

// concerned are the nodes that a list may have changed.
func (l *Loop) concerned(m wire.List) map[string]*node {
	if m.Type == wire.Whole {
		return l.nodes
	}
	nodes := make(map[string]*node, len(m.Nodes))
	for _, e := range m.Nodes {
		if n := l.nodes[e.Node]; n != nil {
			nodes[e.Node] = n
		}
	}
	return nodes
}

// titleID is a title's number for the module: the same for as long as anyone may hold a seat of it.
func titleID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// entry takes a node's line of the list into the books and puts it into the module's words.
func (l *Loop) entry(e wire.Entry) policy.NodeEntry {
	n := l.nodes[e.Node]
	born := l.bornBy(e.Age)
	if n == nil && e.State != wire.Removed {
		n = &node{name: e.Node, born: policy.UnknownStart, legs: map[uint64]*leg{}}
		if born == policy.UnknownStart && l.listed { // it was not on the list before: who knows better says so
			born = l.now
		}
		if k := len(l.free); k > 0 {
			n.place, l.free = l.free[k-1], l.free[:k-1]
			l.places[n.place] = n
		} else {
			n.place = len(l.places)
			l.places = append(l.places, n)
		}
		l.nodes[n.name] = n
	}
	kind, known := l.kind[e.Kind]
	if !known {
		kind = len(l.kind) // no such machine is known: the module takes the least for granted
	}
	out := policy.NodeEntry{
		Node: e.Node, State: states[e.State], MachineKind: kind, Zone: e.Zone, StartedAt: policy.UnknownStart, Weight: e.Weight, Cell: e.Cell,
	}
	if n == nil {
		return out
	}
	moved := e.Address != n.address && e.Address != ""
	if n.up && n.reached != 0 && e.Start != n.reached && e.State != wire.Removed && l.behind(n, e, born, moved) {
		// The list is behind: it tells of a start before the one that the node itself has told of. To hang up
		// for that would break what plays there.
		out.StartedAt = n.born
		n.open, n.entry = e.State == wire.Up, out
		return out
	}
	changed := e.Start != n.start
	if changed && born == policy.UnknownStart && n.start != 0 && e.Start != 0 {
		born = l.now // another start of it was known: this one can't be from long ago
	}
	anew := !n.listed || changed || moved
	if born != policy.UnknownStart && (anew || born > n.born+sameStart) {
		n.born = born
	}
	if l.manners.Loose && changed && n.listed && n.start != 0 {
		l.restarted(n)
	}
	out.StartedAt = n.born
	n.begin(e.Start)
	n.open, n.entry = e.State == wire.Up, out
	switch {
	case e.State == wire.Removed:
		l.unlist(n)
	case anew:
		if moved {
			n.address = e.Address
		}
		if n.up && (moved || n.reached != 0 && n.reached != e.Start) {
			l.hangUp(n, closedAsMoved) // it leads to what no longer runs
		}
		n.listed = true
		if !n.up {
			l.reached(reach.Event{Node: n.place, Kind: reach.Listed})
		}
	}
	return out
}

func (l *Loop) unlist(n *node) {
	n.open = false
	if n.listed {
		n.listed = false
		if !n.up { // else once the connection ends
			l.reached(reach.Event{Node: n.place, Kind: reach.Unlisted})
			l.dead(n)
		}
	}
}

// recall takes back what is on its way to a node that no longer takes sessions: what is not handed over
// yet is never sent, and counts as never run.
func (l *Loop) recall(n *node) {
	for _, g := range sorted(n.legs) {
		switch g.phase {
		case legWaiting:
			l.legEnds(g, fateUnmade, nil)
		case legSent:
			l.do(Withdraw{n.link, g.id})
		}
	}
}
