package director

import (
	"hash/fnv"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/policy"
)

type title struct {
	id           uint64
	base, copies int
}

// The list.

var nodeStates = map[string]policy.NodeState{
	wire.Up: policy.Up, wire.Draining: policy.Draining, wire.Removed: policy.Removed,
}

func (l *Loop) discoveryReceived(m wire.DiscoveryMessage) {
	kind := policy.ListUpdate
	switch m.Type {
	case wire.Snapshot:
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
		defer func() { l.listReceived = true }()
	case wire.Update:
	default:
		l.counts.UnknownMessages++
		return
	}
	for _, t := range m.Titles {
		if t.Copies == 0 {
			delete(l.titles, t.Title)
			continue
		}
		l.titles[t.Title] = title{titleID(t.Title), t.FirstCell, t.Copies}
	}
	roster := policy.ServerList{Kind: kind}
	for _, e := range m.Nodes {
		roster.Entries = append(roster.Entries, l.updateNode(e))
	}
	l.notifyDecider(roster)
	for _, n := range sorted(l.affectedNodes(m)) {
		if !n.acceptsSessions {
			l.withdrawSetups(n)
		}
		l.dropNode(n)
	}
	l.emit(SendDiscovery{wire.DiscoveryMessage{Type: wire.Acknowledge, Director: l.name, Serial: m.Serial}})
}

// affectedNodes are the nodes that a list may have changed.
func (l *Loop) affectedNodes(m wire.DiscoveryMessage) map[string]*node {
	if m.Type == wire.Snapshot {
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

// updateNode takes a node's line of the list into the books and puts it into the module's words.
func (l *Loop) updateNode(e wire.NodeEntry) policy.NodeEntry {
	n := l.nodes[e.Node]
	born := l.startTimeFromAge(e.UptimeMS)
	if n == nil && e.State != wire.Removed {
		n = &node{name: e.Node, startedAt: policy.UnknownStart, legs: map[uint64]*leg{}}
		if born == policy.UnknownStart && l.listReceived { // it was not on the list before: who knows better says so
			born = l.now
		}
		if k := len(l.freeNodeIndexes); k > 0 {
			n.index, l.freeNodeIndexes = l.freeNodeIndexes[k-1], l.freeNodeIndexes[:k-1]
			l.nodesByIndex[n.index] = n
		} else {
			n.index = len(l.nodesByIndex)
			l.nodesByIndex = append(l.nodesByIndex, n)
		}
		l.nodes[n.name] = n
	}
	kind, known := l.kindIndex[e.MachineKind]
	if !known {
		kind = len(l.kindIndex) // no such machine is known: the module takes the least for granted
	}
	out := policy.NodeEntry{
		Node: e.Node, State: nodeStates[e.State], MachineKind: kind, Zone: e.Zone, StartedAt: policy.UnknownStart, Weight: e.Weight, Cell: e.Cell,
	}
	if n == nil {
		return out
	}
	moved := e.Address != n.address && e.Address != ""
	if n.connected && n.linkIncarnation != 0 && e.Incarnation != n.linkIncarnation && e.State != wire.Removed && l.listIsStale(n, e, born, moved) {
		// The list is behind: it tells of a start before the one that the node itself has told of. To hang up
		// for that would break what plays there.
		out.StartedAt = n.startedAt
		n.acceptsSessions, n.entry = e.State == wire.Up, out
		return out
	}
	changed := e.Incarnation != n.incarnation
	if changed && born == policy.UnknownStart && n.incarnation != 0 && e.Incarnation != 0 {
		born = l.now // another start of it was known: this one can't be from long ago
	}
	anew := !n.listed || changed || moved
	if born != policy.UnknownStart && (anew || born > n.startedAt+startTimeTolerance) {
		n.startedAt = born
	}
	if l.options.Detached && changed && n.listed && n.incarnation != 0 {
		l.nodeRestarted(n)
	}
	out.StartedAt = n.startedAt
	n.setIncarnation(e.Incarnation)
	n.acceptsSessions, n.entry = e.State == wire.Up, out
	switch {
	case e.State == wire.Removed:
		l.unlist(n)
	case anew:
		if moved {
			n.address = e.Address
		}
		if n.connected && (moved || n.linkIncarnation != 0 && n.linkIncarnation != e.Incarnation) {
			l.disconnect(n, closedAsMoved) // it leads to what no longer runs
		}
		n.listed = true
		if !n.connected {
			l.stepConnector(connector.Event{Node: n.index, Kind: connector.Listed})
		}
	}
	return out
}

func (l *Loop) unlist(n *node) {
	n.acceptsSessions = false
	if n.listed {
		n.listed = false
		if !n.connected { // else once the connection ends
			l.stepConnector(connector.Event{Node: n.index, Kind: connector.Unlisted})
			l.nodeDead(n)
		}
	}
}

// withdrawSetups takes back what is on its way to a node that no longer takes sessions: what is not handed over
// yet is never sent, and counts as never run.
func (l *Loop) withdrawSetups(n *node) {
	for _, g := range sorted(n.legs) {
		switch g.phase {
		case legWaiting:
			l.endLeg(g, outcomeUnconnected, nil)
		case legSent:
			l.emit(Withdraw{n.link, g.id})
		}
	}
}
