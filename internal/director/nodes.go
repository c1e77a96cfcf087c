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

// A node is one that the list names, or has named and that still has legs.
type node struct {
	name                string
	address             string
	dialedAddress       string // the address that is being connected to
	index               int
	listed              bool
	acceptsSessions     bool   // it may take sessions
	incarnation         uint64 // which start of it this is
	previousIncarnation uint64 // which it was in before; 0: none known
	startedAt           time.Duration
	connecting          bool // being connected to
	connected           bool // connected
	helloReceived       bool // and the node has said since which start it is in
	link                uint64
	linkIncarnation     uint64             // the start that the connection was made to; 0: not told yet
	reportedStartedAt   time.Duration      // when that was, by the node's own word
	entry               policy.NodeEntry   // as the module last heard it
	connectedAt         time.Duration      // when the connection was
	probeLink           uint64             // loose: the connection that is being made beside a doubted one
	replacedLink        uint64             // loose: the connection before, until the set-ups sent on it have ended
	pendingEnds         []wire.NodeMessage // loose: what is still to be called off there; emptied by the next connection
	pingTimer           timerqueue.Handle
	idleTimer           timerqueue.Handle // looks whether the connection has been idle for too long
	lastUsed            time.Duration     // when anything last went either way
	linkNeeded          bool              // where connections are made on need: there is something to be done there
	suspect             bool              // the last tries to connect speak against it
	legs                map[uint64]*leg   // emptied as legs end
}

// sorted goes through a map by its keys' order, so that the same inputs give the same outputs.
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
		return
	}
	n.lastUsed = l.now
	if m.Type == wire.Hello {
		l.helloReceived(n, m)
		return
	}
	g := l.legs[m.Leg]
	if l.options.Detached {
		g = l.findDetachedLeg(n, e)
	}
	if g == nil || g.node != n {
		l.counts.Unexpected++
		if m.Type == wire.Accepted && !l.options.Detached { // it plays for nobody
			l.emit(SendNode{Link: e.Link, Message: wire.NodeMessage{Type: wire.End, Leg: m.Leg}})
		}
		return
	}
	switch m.Type {
	case wire.Accepted:
		l.legAccepted(g, m.Load, e.Description)
	case wire.Full:
		if g.phase == legPlaying { // it has said that it plays: no proof of the opposite
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
		case g.phase != legPlaying && l.options.Detached: // it broke on its way
			l.endLeg(g, outcomeReset, m.Load)
		case g.phase != legPlaying:
			l.endLeg(g, outcomeFailed, m.Load)
		case m.Reason == wire.Lost:
			l.endLeg(g, outcomeBroken, m.Load)
		case m.Reason == wire.Canceled:
			l.endLeg(g, outcomeEndedElsewhere, m.Load)
		default:
			l.endLeg(g, outcomeServed, m.Load)
		}
	case wire.Measurement:
		l.notifyDecider(policy.Measurement{ID: g.session.id, Node: n.name, Kind: policy.MeasurementKind(m.MeasurementKind), Value: m.MeasurementValue})
	default:
		l.counts.UnknownMessages++
	}
}

// startTimeTolerance is how far two words on when a node started may lie apart and mean the same.
const startTimeTolerance = 100 * time.Millisecond

// helloReceived takes a node's own word on its start, which may come before the list's: a node that has just
// started is cold.
//
// Set-ups wait for it: what was meant for a node before it started anew must not reach it unawares, cold as it
// is then, from all directors at once.
func (l *Loop) helloReceived(n *node, m wire.NodeMessage) {
	n.linkIncarnation, n.reportedStartedAt = m.Incarnation, l.startTimeFromAge(m.UptimeMS)
	n.helloReceived = true
	anew := false
	if m.Incarnation != 0 && n.listed {
		if n.reportedStartedAt == policy.UnknownStart && n.incarnation != 0 && m.Incarnation != n.incarnation {
			n.reportedStartedAt = l.now // another start of it was known: this one can't be from long ago
		}
		anew = n.reportedStartedAt != policy.UnknownStart && (m.Incarnation != n.incarnation || n.reportedStartedAt > n.startedAt+startTimeTolerance)
		n.setIncarnation(m.Incarnation)
		if anew {
			n.startedAt = n.reportedStartedAt
			n.entry.StartedAt = n.startedAt
			l.notifyDecider(policy.ServerList{Kind: policy.ListUpdate, Entries: []policy.NodeEntry{n.entry}})
		}
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase != legWaiting:
		case anew:
			l.endLeg(g, outcomeNodeRestarted, nil)
		case n.acceptsSessions:
			l.sendSetup(g)
		}
	}
}

// setIncarnation notes which start a node is in.
func (n *node) setIncarnation(start uint64) {
	if start != n.incarnation {
		n.previousIncarnation, n.incarnation = n.incarnation, start
	}
}

// maxReportedAge is how long ago a start may lie and still be told as a time.
const maxReportedAge = 365 * 24 * time.Hour

// startTimeFromAge is when something started that tells its age in milliseconds: LongAgo where it tells none, or one so large
// that it is no time any more.
func (l *Loop) startTimeFromAge(age int64) time.Duration {
	if age <= 0 || age > maxReportedAge.Milliseconds() {
		return policy.UnknownStart
	}
	return l.now - time.Duration(age)*time.Millisecond
}

// listIsStale tells whether the list speaks of a start before the one that a connected node has told of itself. Where the
// list tells no age, that is a start known before; of one that was never heard of, the connection knows best as long
// as the node is still where it leads to.
func (l *Loop) listIsStale(n *node, e wire.NodeEntry, born time.Duration, moved bool) bool {
	if born != policy.UnknownStart {
		return born < n.reportedStartedAt
	}
	return e.Incarnation == n.previousIncarnation || !moved
}

// dropNode forgets a node that is off the list once its last leg has ended.
func (l *Loop) dropNode(n *node) {
	if n.listed || len(n.legs) > 0 || n.connecting || l.nodes[n.name] != n {
		return
	}
	delete(l.nodes, n.name)
	l.freeNodeIndexes = append(l.freeNodeIndexes, n.index)
	if n.replacedLink != 0 {
		l.closeLink(n, n.replacedLink, closedAsUnlisted)
		delete(l.links, n.replacedLink)
	}
	if n.connected {
		l.disconnect(n, closedAsUnlisted)
	}
}
