package director

import (
	"iter"
	"maps"
	"slices"
	"time"

	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// A node is one that the list names, or has named and that still has legs.
type node struct {
	name    string
	address string
	dialled string // the address that is being connected to
	place   int
	listed  bool
	open    bool   // it may take sessions
	start   uint64 // which start of it this is
	former  uint64 // which it was in before; 0: none known
	born    time.Duration
	trying  bool // being connected to
	up      bool // connected
	greeted bool // and the node has said since which start it is in
	link    uint64
	reached uint64           // the start that the connection was made to; 0: not told yet
	since   time.Duration    // when that was, by the node's own word
	entry   policy.NodeEntry // as the module last heard it
	made    time.Duration    // when the connection was
	check   uint64           // loose: the connection that is being made beside a doubted one
	old     uint64           // loose: the connection before, until the set-ups sent on it have ended
	ends    []wire.Node      // loose: what is still to be called off there; emptied by the next connection
	ping    alarm.Handle
	idle    alarm.Handle    // looks whether the connection has been idle for too long
	used    time.Duration   // when anything last went either way
	needs   bool            // where connections are made on need: there is something to be done there
	suspect bool            // the last tries to connect speak against it
	legs    map[uint64]*leg // emptied as legs end
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

func (l *Loop) linkSaid(e LinkReceived) {
	n, m := l.links[e.Link], e.Message
	if n == nil {
		return
	}
	n.used = l.now
	if m.Type == wire.Hello {
		l.hello(n, m)
		return
	}
	g := l.legs[m.Leg]
	if l.manners.Loose {
		g = l.looseLeg(n, e)
	}
	if g == nil || g.node != n {
		l.counts.Stray++
		if m.Type == wire.Accepted && !l.manners.Loose { // it plays for nobody
			l.do(SendServer{Link: e.Link, Message: wire.Node{Type: wire.End, Leg: m.Leg}})
		}
		return
	}
	switch m.Type {
	case wire.Accepted:
		l.accepted(g, m.Load, e.Description)
	case wire.Full:
		if g.phase == legPlaying { // it has said that it plays: no proof of the opposite
			l.counts.Late++
			l.legEnds(g, fateBroken, m.Load)
			return
		}
		l.legEnds(g, fateFull, m.Load)
	case wire.Unsent:
		if g.phase == legPlaying {
			l.counts.Late++
			return
		}
		l.legEnds(g, fateUnsent, m.Load)
	case wire.Failed:
		if g.phase == legPlaying {
			l.legEnds(g, fateBroken, m.Load)
			return
		}
		if m.Why == wire.Lost {
			l.legEnds(g, fateReset, m.Load)
			return
		}
		l.legEnds(g, fateFailed, m.Load)
	case wire.Ended:
		switch {
		case g.phase != legPlaying && l.manners.Loose: // it broke on its way
			l.legEnds(g, fateReset, m.Load)
		case g.phase != legPlaying:
			l.legEnds(g, fateFailed, m.Load)
		case m.Why == wire.Lost:
			l.legEnds(g, fateBroken, m.Load)
		case m.Why == wire.CalledOff:
			l.legEnds(g, fateEndedElsewhere, m.Load)
		default:
			l.legEnds(g, fateServed, m.Load)
		}
	case wire.Note:
		l.tell(policy.Measurement{ID: g.session.id, Node: n.name, Kind: policy.MeasurementKind(m.Kind), Value: m.Value})
	default:
		l.counts.BadWord++
	}
}

// sameStart is how far two words on when a node started may lie apart and mean the same.
const sameStart = 100 * time.Millisecond

// hello takes a node's own word on its start, which may come before the list's: a node that has just
// started is cold.
//
// Set-ups wait for it: what was meant for a node before it started anew must not reach it unawares, cold as it
// is then, from all directors at once.
func (l *Loop) hello(n *node, m wire.Node) {
	n.reached, n.since = m.Start, l.bornBy(m.Age)
	n.greeted = true
	anew := false
	if m.Start != 0 && n.listed {
		if n.since == policy.UnknownStart && n.start != 0 && m.Start != n.start {
			n.since = l.now // another start of it was known: this one can't be from long ago
		}
		anew = n.since != policy.UnknownStart && (m.Start != n.start || n.since > n.born+sameStart)
		n.begin(m.Start)
		if anew {
			n.born = n.since
			n.entry.StartedAt = n.born
			l.tell(policy.ServerList{Kind: policy.ListUpdate, Entries: []policy.NodeEntry{n.entry}})
		}
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase != legWaiting:
		case anew:
			l.legEnds(g, fateNew, nil)
		case n.open:
			l.send(g)
		}
	}
}

// begin notes which start a node is in.
func (n *node) begin(start uint64) {
	if start != n.start {
		n.former, n.start = n.start, start
	}
}

// forgotten is how long ago a start may lie and still be told as a time.
const forgotten = 365 * 24 * time.Hour

// bornBy is when something started that tells its age in milliseconds: LongAgo where it tells none, or one so large
// that it is no time any more.
func (l *Loop) bornBy(age int64) time.Duration {
	if age <= 0 || age > forgotten.Milliseconds() {
		return policy.UnknownStart
	}
	return l.now - time.Duration(age)*time.Millisecond
}

// behind tells whether the list speaks of a start before the one that a connected node has told of itself. Where the
// list tells no age, that is a start known before; of one that was never heard of, the connection knows best as long
// as the node is still where it leads to.
func (l *Loop) behind(n *node, e wire.Entry, born time.Duration, moved bool) bool {
	if born != policy.UnknownStart {
		return born < n.since
	}
	return e.Start == n.former || !moved
}

// dropNode forgets a node that is off the list once its last leg has ended.
func (l *Loop) dropNode(n *node) {
	if n.listed || len(n.legs) > 0 || n.trying || l.nodes[n.name] != n {
		return
	}
	delete(l.nodes, n.name)
	l.free = append(l.free, n.place)
	if n.old != 0 {
		l.closeLink(n, n.old, closedAsUnlisted)
		delete(l.links, n.old)
	}
	if n.up {
		l.hangUp(n, closedAsUnlisted)
	}
}
