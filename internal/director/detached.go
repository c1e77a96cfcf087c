package director

import (
	"time"

	"fordusher/connector"
	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// Where Manners.Loose holds, a session that plays belongs to no connection. What differs by that is here; the
// account of sessions and legs, and what is told to the module, are the same.
//
//	a player's connection closes   what it asked for without an answer is given up; what plays goes on
//	a node's connection closes     set-ups sent on it may have run; what plays goes on, and what the node has to say
//	                               of it comes by the next one
//	a node is refused, or can't be connected to several times in a row, or starts anew, or is off the list without a
//	connection                     what plays there has ended
//
// A connection to a node may also be of no use while it stays open. It is doubted where a set-up on it gets no answer
// in time and where a node with sessions has been quiet for too long, and is then checked by making another one, which
// takes its place.

// An undeliveredEnding is an ending that no player's connection was there for, or none that anything has played on.
type undeliveredEnding struct {
	message   wire.SessionMessage
	expiresAt time.Duration
}

// undeliveredRetention is how long an ending is kept for want of a connection. It bounds how many there are. For want of a
// connection that anything has played on it is kept for strangersAfter: any player may be told, but one who only
// holds a connection may not pass it on.
const (
	undeliveredRetention = 8 * time.Second
	anyClientDelay       = 500 * time.Millisecond
)

// maxPendingEnds is how many sessions that a node is still to be told to end are kept for it.
const maxPendingEnds = 1024

// detachedReceived takes what a player says where ids are sessions' own names.
func (l *Loop) detachedReceived(c *conn, e ClientReceived) {
	m := e.Message
	s := l.sessionsByKey[m.ID]
	switch m.Type {
	case wire.Request:
		switch {
		case s != nil && e.Details.PlayingOn != "": // told again of what is held
		case s != nil && s.conn == c: // one answer is owed, and will be given
			l.counts.Repeated++
		case s != nil: // the other request must not notice
			l.counts.Errored++
			l.refuseRequest(c, wire.SessionMessage{Type: wire.Errored, ID: m.ID, Reason: "id is in use"})
		case e.Details.PlayingOn != "":
			l.adoptPlaying(c, e)
		default:
			if c.requests[m.ID] == nil {
				l.takeRequest(c, m, e.Waited, e.Details)
			}
		}
	case wire.Cancel:
		switch {
		case s != nil && s.answered:
			l.endDetached(s, c.id)
		case s != nil && s.conn == c:
			l.abandonSession(s, "cancelled by the client")
		default:
			l.counts.Unexpected++
		}
	default:
		l.counts.Unexpected++
	}
}

// endDetached ends a session that stands at the word of a connection. Where that is not the one it came on, whoever
// is there is told: that its client has said so is not known.
func (l *Loop) endDetached(s *session, said uint64) {
	if s.phase == sessionPlaying && said != s.originConn {
		l.notifySessionEnded(s, ReasonEndedElsewhere)
	}
	l.abandonSession(s, "ended by a client")
}

// refuseOnRejected answers who was turned away. Endings, and what plays already, need no connection.
func (l *Loop) refuseOnRejected(c *conn, e ClientReceived) {
	switch s := l.sessionsByKey[e.Message.ID]; {
	case e.Message.Type != wire.Request || e.Details.PlayingOn != "":
		l.detachedReceived(c, e)
	case s != nil:
		l.refuseRequest(c, wire.SessionMessage{Type: wire.Errored, ID: e.Message.ID, Reason: "id is in use"})
	default:
		l.refuseRequest(c, wire.SessionMessage{Type: wire.Nack, ID: e.Message.ID, Reason: "no room"})
	}
}

// refuseRequest answers a request that is not taken.
func (l *Loop) refuseRequest(c *conn, answer wire.SessionMessage) {
	l.event(Event{Kind: RequestRefused, Request: answer.ID, Conn: c.id, Reason: answer.Reason})
	l.emit(SendClient{Conn: c.id, Message: answer})
}

// adoptPlaying takes a session that plays already.
func (l *Loop) adoptPlaying(c *conn, e ClientReceived) {
	m, b := e.Message, e.Details
	tariff, known := l.tariffIndex[m.Tariff]
	n := l.nodes[b.PlayingOn]
	l.counts.Adopted++
	l.lastSession++
	s := &session{
		id: l.lastSession, name: m.ID, key: m.ID, request: m.ID, originConn: c.id, tariff: tariff, title: m.Title,
		phase: sessionPlaying, answered: true, deadline: l.now,
	}
	if !known || b.InvalidReason != "" || n == nil {
		if l.counts.SessionsLost++; l.counts.SessionsLost == 1 {
			l.log("a session was handed over that can't be held: node %q, tariff %q, %s; further ones are only counted", b.PlayingOn, m.Tariff, b.InvalidReason)
		}
		l.notifyDetachedEnd(s, "its node is not known")
		return
	}
	s.rung = l.tariffs[tariff].Floor
	l.lastLeg++
	g := &leg{id: l.lastLeg, session: s, node: n, phase: legPlaying, startedAt: l.now}
	s.leg = g
	l.sessions[s.id], l.sessionsByKey[s.key], l.legs[g.id], n.legs[g.id] = s, s, g, g
	l.playing++
	l.countPlaying(s, c)
	l.updateLinkNeed(n)
	top := len(l.ladder.Rates) - 1
	if m.MaxRung != nil {
		top = min(top, *m.MaxRung)
	}
	l.notifyDecider(policy.Request{
		ID: s.id, Tariff: tariff, Title: titleID(m.Title), FirstCell: b.Base, Copies: b.Copies, MaxRung: top, Deadline: l.now,
		PlayingOn: n.name,
	})
}

// countPlaying notes that a session that came on a connection plays: it is not let go before that is over, and what there was
// nobody for can be told there.
func (l *Loop) countPlaying(s *session, c *conn) {
	if c.rejected {
		return
	}
	s.countedOnOrigin, c.proven, l.lastProvenConn = true, true, c.id
	l.countSessions(c, 0, +1)
	l.deliverUndelivered(c, l.now)
}

// notifyDetachedEnd tells a player that its session has ended: on the connection that it came on, on the one that something
// played on last, on any such, or once there is one.
func (l *Loop) notifyDetachedEnd(s *session, why string) {
	m := wire.SessionMessage{Type: wire.SessionEnded, ID: s.request, Session: s.name, Reason: why}
	for _, number := range [...]uint64{s.originConn, l.lastProvenConn} {
		if c := l.conns[number]; c != nil && !c.closing {
			l.emit(SendClient{Conn: number, Message: m})
			return
		}
	}
	if c := l.anyConn(func(c *conn) bool { return c.proven }); c != nil {
		l.emit(SendClient{Conn: c.id, Message: m})
		return
	}
	l.undelivered = append(l.undelivered, undeliveredEnding{m, l.now + undeliveredRetention})
	l.dropExpiredUndelivered()
	l.timers.Add(l.now+anyClientDelay, timer{timerUndelivered, 0})
}

// anyConn finds a connection that is not told to go.
func (l *Loop) anyConn(fits func(c *conn) bool) *conn {
	for _, number := range l.connsBySlot {
		if c := l.conns[number]; c != nil && !c.closing && fits(c) {
			return c
		}
	}
	return nil
}

// deliverToAnyClient tells any player there is what has waited for long enough for one that something has played on.
func (l *Loop) deliverToAnyClient() {
	if c := l.anyConn(func(*conn) bool { return true }); c != nil {
		l.deliverUndelivered(c, l.now-anyClientDelay)
	}
}

// deliverUndelivered tells a player what there was nobody for at a time, or earlier.
func (l *Loop) deliverUndelivered(c *conn, since time.Duration) {
	l.dropExpiredUndelivered()
	told := 0
	for ; told < len(l.undelivered) && l.undelivered[told].expiresAt-undeliveredRetention <= since; told++ {
		l.emit(SendClient{Conn: c.id, Message: l.undelivered[told].message})
	}
	l.undelivered = l.undelivered[told:]
}

// dropExpiredUndelivered drops what is too old to be told; the oldest comes first.
func (l *Loop) dropExpiredUndelivered() {
	for len(l.undelivered) > 0 && l.undelivered[0].expiresAt <= l.now {
		l.undelivered = l.undelivered[1:]
	}
}

// findDetachedLeg finds the leg that a node speaks of: by its session, and, until that plays, only on the connection of its
// set-up. It guards against an answer to an earlier leg, and one to a connection before.
func (l *Loop) findDetachedLeg(n *node, e LinkReceived) *leg {
	s := l.sessionsByKey[e.Message.Session]
	if s == nil || s.leg == nil || s.leg.node != n || s.leg.phase == legWaiting || s.leg.phase == legSent && s.leg.link != e.Link {
		return nil
	}
	return s.leg
}

// sendEnd tells a node to call a leg off, or to end what plays; what plays is told by the next connection where there
// is none. A set-up ended with its connection.
func (l *Loop) sendEnd(g *leg) {
	m, n := wire.NodeMessage{Type: wire.End, Leg: g.id, Session: g.session.name}, g.node
	if g.phase == legPlaying {
		m.Reason = wire.Canceled
	}
	switch {
	case g.phase == legSent:
		l.emit(SendNode{Link: g.link, Message: m})
	case n.connected:
		l.emit(SendNode{Link: n.link, Message: m})
	case len(n.pendingEnds) < maxPendingEnds:
		n.pendingEnds = append(n.pendingEnds, m)
		l.updateLinkNeed(n)
	}
}

// playsSince tells whether anything plays at a node since a time, or earlier.
func (l *Loop) playsSince(n *node, at time.Duration) bool {
	for _, g := range n.legs {
		if g.phase == legPlaying && g.startedAt <= at {
			return true
		}
	}
	return false
}

// probeSuspectLink checks a node's connection by making another.
func (l *Loop) probeSuspectLink(n *node, link uint64) {
	if l.options.Detached && n.connected && n.link == link && !n.connecting && l.nodes[n.name] == n {
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.Suspected})
	}
}

// replaceLink puts the connection that was made to check on another in its place. The other is kept until the set-ups
// sent on it have ended.
func (l *Loop) replaceLink(n *node) {
	l.timers.Cancel(n.pingTimer)
	l.timers.Cancel(n.idleTimer)
	n.pingTimer, n.idleTimer = timerqueue.Handle(0), timerqueue.Handle(0)
	if n.replacedLink != 0 {
		l.closeLink(n, n.replacedLink, closedAsSuperseded)
		l.linkLost(LinkLost{Link: n.replacedLink})
	}
	n.replacedLink, n.link, n.probeLink = n.link, n.probeLink, 0
	l.closeReplacedLink(n)
}

// closeReplacedLink hangs up on a connection that was replaced once no set-up waits on it.
func (l *Loop) closeReplacedLink(n *node) {
	if n.replacedLink == 0 {
		return
	}
	for _, g := range n.legs {
		if g.phase == legSent && g.link == n.replacedLink {
			return
		}
	}
	old := n.replacedLink
	n.replacedLink = 0
	l.closeLink(n, old, closedAsReplaced)
	delete(l.links, old)
}

// nodeDead ends what plays at a node of which nothing more will be heard.
func (l *Loop) nodeDead(n *node) {
	if !l.options.Detached {
		return
	}
	n.pendingEnds = nil
	for _, g := range sorted(n.legs) {
		if g.phase == legPlaying {
			l.endLeg(g, outcomeBroken, nil)
		}
	}
	l.updateLinkNeed(n)
}

// nodeRestarted ends what plays at a node since before it started anew, and a connection from before with it.
func (l *Loop) nodeRestarted(n *node) {
	if n.connected && n.connectedAt < n.startedAt {
		l.disconnect(n, closedAsRestarted)
	}
	for _, g := range sorted(n.legs) {
		if g.phase == legPlaying && g.startedAt < n.startedAt {
			l.endLeg(g, outcomeBroken, nil)
		}
	}
}
