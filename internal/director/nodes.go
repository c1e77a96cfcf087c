package director

import (
	"iter"
	"maps"
	"slices"
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// A node is a streaming server that is on the server list, or was on it and still has legs.
type node struct {
	name                string
	address             string
	dialedAddress       string // the address of the latest connect attempt
	index               int    // its index for connector
	listed              bool
	acceptsSessions     bool               // new sessions may be sent to it
	incarnation         uint64             // identifies its current start; 0: unknown
	previousIncarnation uint64             // the one before; 0: unknown
	startedAt           time.Duration      // policy.UnknownStart if unknown
	connecting          bool               // a connect attempt is in progress
	connected           bool               // its connection is established
	helloReceived       bool               // the node has sent hello on this connection, or sends none
	link                uint64             // its connection, or the attempt to make one
	linkIncarnation     uint64             // the incarnation in its hello on this connection; 0: unknown
	reportedStartedAt   time.Duration      // when that incarnation started, according to the hello
	entry               policy.NodeEntry   // its latest entry for the decider
	connectedAt         time.Duration      // when the connection was established
	probeLink           uint64             // detached mode: the connection being made to probe a suspect one; 0: none
	replacedLink        uint64             // detached mode: the previous connection, until its set-ups have ended; 0: none
	pendingEnds         []wire.NodeMessage // detached mode: end messages for the node; sent on the next connection
	pingTimer           timerqueue.Handle
	idleTimer           timerqueue.Handle // calls checkIdleLink
	lastUsed            time.Duration     // when it was connected, a set-up was sent or a message received
	linkUsed            bool              // the node has sent a message on its connection
	linkNeeded          bool              // with connections on demand: legs or end messages need a connection
	suspect             bool              // the latest connect failures indicate a fault of the node
	legs                map[uint64]*leg   // emptied as legs end
}

// sorted iterates over a map in the order of its keys, so that the same inputs give the same outputs.
func sorted[K interface {
	~string | ~uint64
}, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

func (l *Loop) linkReceived(e LinkReceived) {
	n, m := l.links[e.Link], e.Message
	if n == nil {
		n = l.closingLinks[e.Link]
	}
	if n == nil {
		l.dropNodeMessage(DropMessageOnUnknownLink, "", e)
		return
	}
	n.lastUsed = l.now
	n.linkUsed = n.linkUsed || n.link == e.Link
	if m.Type == wire.Hello {
		l.helloReceived(n, m)
		return
	}
	g := l.legs[m.Leg]
	if l.options.Detached {
		g = l.findDetachedLeg(n, e)
	}
	if g == nil || !g.node.isAt(n) {
		if l.options.Detached && m.Type == wire.Ended && l.sessionsByKey[m.Session] == nil {
			l.keepNodeEnd(n, e)
			return
		}
		l.counts.Unexpected++
		reason := DropMessageOfUnknownSession
		if m.Type == wire.Ended {
			reason = DropEndOfUnknownSession
		}
		l.dropNodeMessage(reason, n.name, e)
		if m.Type == wire.Accepted && !l.options.Detached { // no session uses this leg any more
			l.emit(SendNode{Link: e.Link, Message: wire.NodeMessage{Type: wire.End, Leg: m.Leg}})
		}
		return
	}
	switch m.Type {
	case wire.Accepted:
		l.legAccepted(g, m.Load, e.Description)
	case wire.Full:
		if g.phase == legPlaying { // the node accepted it earlier, so this is no proof that it never ran
			l.counts.LateAnswers++
			l.endLeg(g, outcomeBroken, m.Load)
			return
		}
		l.endLeg(g, outcomeFull, m.Load)
	case wire.Unsent:
		if g.phase == legPlaying {
			l.counts.LateAnswers++
			return
		}
		l.endLeg(g, outcomeUnsent, m.Load)
	case wire.Failed:
		if g.phase == legPlaying {
			l.endLeg(g, outcomeBroken, m.Load)
			return
		}
		if m.Reason == wire.Lost {
			l.endLeg(g, outcomeReset, m.Load)
			return
		}
		l.endLeg(g, outcomeFailed, m.Load)
	case wire.Ended:
		switch {
		case g.phase != legPlaying && l.options.Detached: // the session broke during its set-up
			l.endLeg(g, outcomeReset, m.Load)
		case g.phase != legPlaying:
			l.endLeg(g, outcomeFailed, m.Load)
		default:
			l.endLeg(g, endOutcome(m), m.Load)
		}
	case wire.Measurement:
		l.notifyDecider(policy.Measurement{ID: g.session.id, Node: n.name,
			Kind: policy.MeasurementKind(m.MeasurementKind), Value: m.MeasurementValue})
	default:
		l.counts.UnknownMessages++
	}
}

// startTimeTolerance is how far two reported start times of a node may differ and still mean the same start.
const startTimeTolerance = 100 * time.Millisecond

// helloReceived processes a node's hello, which states its incarnation and age. It may arrive before the server list
// reports a restart, and a node that has just restarted is in slow start.
//
// Set-ups wait for the hello. Otherwise those chosen before a node's restart would reach it during its slow start, from
// all directors at once.
func (l *Loop) helloReceived(n *node, m wire.NodeMessage) {
	n.linkIncarnation, n.reportedStartedAt = m.Incarnation, l.startTimeFromAge(m.UptimeMS)
	n.helloReceived = true
	restarted := false
	if m.Incarnation != 0 && n.listed {
		if n.reportedStartedAt == policy.UnknownStart && n.incarnation != 0 && m.Incarnation != n.incarnation {
			n.reportedStartedAt = l.now // an earlier incarnation was known, so this one is recent
		}
		restarted = n.reportedStartedAt != policy.UnknownStart &&
			(m.Incarnation != n.incarnation || n.reportedStartedAt > n.startedAt+startTimeTolerance)
		n.setIncarnation(m.Incarnation)
		if restarted {
			n.startedAt = n.reportedStartedAt
			n.entry.StartedAt = n.startedAt
			l.notifyDecider(policy.ServerList{Kind: policy.ListUpdate, Entries: []policy.NodeEntry{n.entry}})
		}
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase != legWaiting:
		case restarted:
			l.endLeg(g, outcomeNodeRestarted, nil)
		case n.acceptsSessions:
			l.sendSetup(g)
		}
	}
}

// setIncarnation records the incarnation of a node, and keeps the previous one.
func (n *node) setIncarnation(incarnation uint64) {
	if incarnation != n.incarnation {
		n.previousIncarnation, n.incarnation = n.incarnation, incarnation
	}
}

// maxReportedAge is the largest reported age that is converted to a start time. A much larger one would overflow a
// time.Duration and give a start time in the future.
const maxReportedAge = 365 * 24 * time.Hour

// startTimeFromAge converts a node's reported age in milliseconds to its start time. Without an age, or with one over
// maxReportedAge, it returns policy.UnknownStart.
func (l *Loop) startTimeFromAge(age int64) time.Duration {
	if age <= 0 || age > maxReportedAge.Milliseconds() {
		return policy.UnknownStart
	}
	return l.now - time.Duration(age)*time.Millisecond
}

// listIsStale reports whether a list entry describes an earlier incarnation than the hello of a connected node. If the
// entry has no age, it is stale if it names the previous incarnation. An unknown incarnation is stale as well unless
// the address has changed: the connection still leads to the node and is the better source.
func (l *Loop) listIsStale(n *node, e wire.NodeEntry, startedAt time.Duration, moved bool) bool {
	if startedAt != policy.UnknownStart {
		return startedAt < n.reportedStartedAt
	}
	return e.Incarnation == n.previousIncarnation || !moved
}

// dropNode removes a node that is off the list once its last leg has ended and no connect attempt is in progress.
func (l *Loop) dropNode(n *node) {
	if n.listed || len(n.legs) > 0 || n.connecting || l.nodes[n.name] != n {
		return
	}
	delete(l.nodes, n.name)
	l.addresses.release(n.name, n.address)
	l.freeNodeIndexes = append(l.freeNodeIndexes, n.index)
	if n.replacedLink != 0 {
		l.closeLink(n, n.replacedLink, closedAsUnlisted)
		delete(l.links, n.replacedLink)
	}
	if n.connected {
		l.disconnect(n, closedAsUnlisted)
	}
}
