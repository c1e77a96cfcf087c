package director

import (
	"hash/fnv"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// A title is something that clients can ask to play, with the cells that hold it. A cell is a position at which nodes
// are placed.
type title struct {
	id                uint64
	firstCell, copies int // its first cell, and how many cells in a row hold it
}

// nodeStates maps the states of the wire format to those of the decider.
var nodeStates = map[string]policy.NodeState{
	wire.Up: policy.Up, wire.Draining: policy.Draining, wire.Removed: policy.Removed,
}

// discoveryReceived applies a full list or an update of it to nodes and titles, passes the entries to the decider and
// acknowledges them.
func (l *Loop) discoveryReceived(m wire.DiscoveryMessage) {
	kind := policy.ListUpdate
	switch m.Type {
	case wire.Snapshot:
		kind = policy.ListReplaced
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
	entries, replacements := l.addresses.apply(m)
	replaces := make(map[string]string, len(replacements))
	for _, r := range replacements {
		replaces[r.next] = r.previous
	}
	removed := l.missingNodes(m)
	list := policy.ServerList{Kind: kind}
	for _, e := range entries {
		entry := l.updateNode(e)
		entry.Replaces = replaces[e.Node]
		list.Entries = append(list.Entries, entry)
		if n := l.nodes[e.Node]; n != nil && !l.addresses.isListed(e.Node) {
			removed = append(removed, n)
		}
	}
	l.notifyDecider(list)
	for _, r := range replacements {
		l.moveSessions(l.nodes[r.previous], l.nodes[r.next])
	}
	for _, n := range removed {
		l.unlist(n)
	}
	for _, r := range replacements {
		if previous := l.nodes[r.previous]; previous != nil && !previous.listed {
			l.nodeReplaced(previous)
		}
	}
	for _, n := range sorted(l.affectedNodes(m.Type, entries)) {
		if !n.acceptsSessions {
			l.withdrawSetups(n)
		}
		l.dropNode(n)
	}
	l.emit(SendDiscovery{wire.DiscoveryMessage{Type: wire.Acknowledge, Director: l.name, Serial: m.Serial}})
}

// missingNodes returns the nodes that a whole list does not name. They accept no more sessions.
func (l *Loop) missingNodes(m wire.DiscoveryMessage) (missing []*node) {
	if m.Type != wire.Snapshot {
		return nil
	}
	present := make(map[string]bool, len(m.Nodes))
	for _, e := range m.Nodes {
		present[e.Node] = true
	}
	for name, n := range sorted(l.nodes) {
		if !present[name] {
			n.acceptsSessions = false
			missing = append(missing, n)
		}
	}
	return missing
}

// affectedNodes returns the nodes that a message of discovery with these entries may have changed.
func (l *Loop) affectedNodes(messageType string, entries []wire.NodeEntry) map[string]*node {
	if messageType == wire.Snapshot {
		return l.nodes
	}
	nodes := make(map[string]*node, len(entries))
	for _, e := range entries {
		if n := l.nodes[e.Node]; n != nil {
			nodes[e.Node] = n
		}
	}
	return nodes
}

// titleID returns the id of a title for the decider. It stays the same for as long as a session may hold a seat of the
// title.
func titleID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// updateNode applies an entry of the server list to its node and returns the entry for the decider. The caller unlists
// removed nodes.
func (l *Loop) updateNode(e wire.NodeEntry) policy.NodeEntry {
	n := l.nodes[e.Node]
	startedAt := l.startTimeFromAge(e.UptimeMS)
	if n == nil && e.State != wire.Removed {
		n = &node{name: e.Node, startedAt: policy.UnknownStart, legs: map[uint64]*leg{}}
		if startedAt == policy.UnknownStart && l.listReceived { // new on the list: it has just started unless its age is given
			startedAt = l.now
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
		kind = len(l.kindIndex) // an unknown kind: the decider assumes the lowest capacity
	}
	entry := policy.NodeEntry{
		Node: e.Node, State: nodeStates[e.State], MachineKind: kind, Zone: e.Zone, StartedAt: policy.UnknownStart,
		Weight: e.Weight, Cell: e.Cell,
	}
	if n == nil {
		return entry
	}
	moved := e.Address != n.address && e.Address != ""
	if n.connected && n.linkIncarnation != 0 && e.Incarnation != n.linkIncarnation && e.State != wire.Removed &&
		l.listIsStale(n, e, startedAt, moved) {
		// The list is stale: it describes an incarnation before the one in the node's hello. Closing the connection
		// because of it would break the sessions that play there.
		entry.StartedAt = n.startedAt
		n.acceptsSessions, n.entry = e.State == wire.Up, entry
		return entry
	}
	changed := e.Incarnation != n.incarnation
	if changed && startedAt == policy.UnknownStart && n.incarnation != 0 && e.Incarnation != 0 {
		startedAt = l.now // an earlier incarnation was known, so this one is recent
	}
	renewed := !n.listed || changed || moved // newly listed, restarted or moved
	if startedAt != policy.UnknownStart && (renewed || startedAt > n.startedAt+startTimeTolerance) {
		n.startedAt = startedAt
	}
	n.setIncarnation(e.Incarnation)
	entry.StartedAt = n.startedAt
	n.acceptsSessions, n.entry = e.State == wire.Up, entry
	switch {
	case e.State == wire.Removed:
	case renewed:
		if moved {
			l.addresses.release(n.name, n.address)
			n.address = e.Address
		}
		if n.connected && (moved || n.linkIncarnation != 0 && n.linkIncarnation != e.Incarnation) {
			l.disconnect(n, closedAsMoved) // it leads to an old address or incarnation
		}
		n.listed = true
		if !n.connected {
			l.stepConnector(connector.Event{Node: n.index, Kind: connector.Listed})
		}
	}
	if l.options.Detached && changed && e.Incarnation != 0 { // also after a time off the list, or after an unknown start
		l.nodeRestarted(n)
	}
	return entry
}

// moveSessions moves, in detached mode, the playing sessions that were set up on a connection to the address of a node
// after another process had started there, to the node of that process, and the end messages that wait for a connection.
// Sessions that were handed over stand at the node that the hand-over named.
func (l *Loop) moveSessions(previous, next *node) {
	if !l.options.Detached || previous == nil || next == nil || next.startedAt == policy.UnknownStart {
		return
	}
	for _, g := range sorted(previous.legs) {
		if g.phase != legPlaying || g.link == noLink || g.processSeenAt+startOrderTolerance < next.startedAt {
			continue
		}
		delete(previous.legs, g.id)
		next.legs[g.id] = g
		g.node = next
		l.event(Event{Kind: AttemptMoved, Request: g.session.request, Attempt: g.id, Server: next.name, Reason: string(closedAsTaken)})
		l.notifyDecider(policy.SessionMoved{ID: g.session.id, Node: next.name})
	}
	free := max(0, maxPendingEnds-len(next.pendingEnds))
	next.pendingEnds = append(next.pendingEnds, previous.pendingEnds[:min(free, len(previous.pendingEnds))]...)
	previous.pendingEnds = nil
	l.updateLinkNeed(previous)
	l.updateLinkNeed(next)
}

// nodeReplaced closes a connection that was made under the name of a node that is off the list, but leads to the node
// that has its address now, and ends the sessions of the first, in detached mode.
func (l *Loop) nodeReplaced(n *node) {
	if !l.options.Detached {
		return
	}
	if n.connected {
		l.disconnect(n, closedAsTaken)
	}
	l.nodeDead(n)
}

// unlist marks a node as off the list.
func (l *Loop) unlist(n *node) {
	n.acceptsSessions = false
	if n.listed {
		n.listed = false
		if !n.connected { // otherwise this is done when the connection ends
			l.stepConnector(connector.Event{Node: n.index, Kind: connector.Unlisted})
			l.nodeDead(n)
		}
	}
}

// withdrawSetups withdraws the set-ups for a node that no longer accepts sessions. Those of which nothing has been
// passed to the kernel are not sent, and count as never run.
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
