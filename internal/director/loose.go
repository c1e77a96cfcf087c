package director

import (
	"time"

	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/policy"
	"fordusher/reach"
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

// An untold is an ending that no player's connection was there for, or none that anything has played on.
type untold struct {
	message wire.Session
	until   time.Duration
}

// untoldFor is how long an ending is kept for want of a connection. It bounds how many there are. For want of a
// connection that anything has played on it is kept for strangersAfter: any player may be told, but one who only
// holds a connection may not pass it on.
const (
	untoldFor      = 8 * time.Second
	strangersAfter = 500 * time.Millisecond
)

// endsMost is how many sessions that a node is still to be told to end are kept for it.
const endsMost = 1024

// looseSaid takes what a player says where ids are sessions' own names.
func (l *Loop) looseSaid(c *conn, e ClientReceived) {
	m := e.Message
	s := l.keys[m.ID]
	switch m.Type {
	case wire.Want:
		switch {
		case s != nil && e.Brought.Playing != "": // told again of what is held
		case s != nil && s.conn == c: // one answer is owed, and will be given
			l.counts.Repeated++
		case s != nil: // the other request must not notice
			l.counts.Errored++
			l.refuseRequest(c, wire.Session{Type: wire.Errored, ID: m.ID, Why: "id is in use"})
		case e.Brought.Playing != "":
			l.handed(c, e)
		default:
			if c.requests[m.ID] == nil {
				l.want(c, m, e.Waited, e.Brought)
			}
		}
	case wire.Leave:
		switch {
		case s != nil && s.answered:
			l.endedElsewhere(s, c.number)
		case s != nil && s.conn == c:
			l.gone(s, "cancelled by the client")
		default:
			l.counts.Stray++
		}
	default:
		l.counts.Stray++
	}
}

// endedElsewhere ends a session that stands at the word of a connection. Where that is not the one it came on, whoever
// is there is told: that its client has said so is not known.
func (l *Loop) endedElsewhere(s *session, said uint64) {
	if s.phase == playing && said != s.via {
		l.over(s, WhyEndedElsewhere)
	}
	l.gone(s, "ended by a client")
}

// refuse answers who was turned away. Endings, and what plays already, need no connection.
func (l *Loop) refuse(c *conn, e ClientReceived) {
	switch s := l.keys[e.Message.ID]; {
	case e.Message.Type != wire.Want || e.Brought.Playing != "":
		l.looseSaid(c, e)
	case s != nil:
		l.refuseRequest(c, wire.Session{Type: wire.Errored, ID: e.Message.ID, Why: "id is in use"})
	default:
		l.refuseRequest(c, wire.Session{Type: wire.Nack, ID: e.Message.ID, Why: "no room"})
	}
}

// refuseRequest answers a request that is not taken.
func (l *Loop) refuseRequest(c *conn, answer wire.Session) {
	l.event(Event{Kind: RequestRefused, Request: answer.ID, Conn: c.number, Reason: answer.Why})
	l.do(SendClient{Conn: c.number, Message: answer})
}

// handed takes a session that plays already.
func (l *Loop) handed(c *conn, e ClientReceived) {
	m, b := e.Message, e.Brought
	tariff, known := l.tariff[m.Tariff]
	n := l.nodes[b.Playing]
	l.counts.Adopted++
	l.lastSession++
	s := &session{
		id: l.lastSession, name: m.ID, key: m.ID, request: m.ID, via: c.number, tariff: tariff, title: m.Title,
		phase: playing, answered: true, stop: l.now,
	}
	if !known || b.Wrong != "" || n == nil {
		if l.counts.Broken++; l.counts.Broken == 1 {
			l.log("a session was handed over that can't be held: node %q, tariff %q, %s; further ones are only counted", b.Playing, m.Tariff, b.Wrong)
		}
		l.tellOver(s, "its node is not known")
		return
	}
	s.rung = l.tariffs[tariff].Floor
	l.lastLeg++
	g := &leg{id: l.lastLeg, session: s, node: n, phase: legPlaying, began: l.now}
	s.leg = g
	l.sessions[s.id], l.keys[s.key], l.legs[g.id], n.legs[g.id] = s, s, g, g
	l.playing++
	l.stands(s, c)
	l.needed(n)
	top := len(l.ladder.Rates) - 1
	if m.Top != nil {
		top = min(top, *m.Top)
	}
	l.tell(policy.Request{
		ID: s.id, Tariff: tariff, Title: titleID(m.Title), FirstCell: b.Base, Copies: b.Copies, MaxRung: top, Deadline: l.now,
		PlayingOn: n.name,
	})
}

// stands notes that a session that came on a connection plays: it is not let go before that is over, and what there was
// nobody for can be told there.
func (l *Loop) stands(s *session, c *conn) {
	if c.turned {
		return
	}
	s.stands, c.proven, l.trusted = true, true, c.number
	l.busy(c, 0, +1)
	l.tellUntold(c, l.now)
}

// tellOver tells a player that its session has ended: on the connection that it came on, on the one that something
// played on last, on any such, or once there is one.
func (l *Loop) tellOver(s *session, why string) {
	m := wire.Session{Type: wire.Over, ID: s.request, Session: s.name, Why: why}
	for _, number := range [...]uint64{s.via, l.trusted} {
		if c := l.conns[number]; c != nil && !c.leaving {
			l.do(SendClient{Conn: number, Message: m})
			return
		}
	}
	if c := l.anyConn(func(c *conn) bool { return c.proven }); c != nil {
		l.do(SendClient{Conn: c.number, Message: m})
		return
	}
	l.untold = append(l.untold, untold{m, l.now + untoldFor})
	l.forgetUntold()
	l.timers.Add(l.now+strangersAfter, due{timerUntold, 0})
}

// anyConn finds a connection that is not told to go.
func (l *Loop) anyConn(fits func(c *conn) bool) *conn {
	for _, number := range l.seats {
		if c := l.conns[number]; c != nil && !c.leaving && fits(c) {
			return c
		}
	}
	return nil
}

// tellStrangers tells any player there is what has waited for long enough for one that something has played on.
func (l *Loop) tellStrangers() {
	if c := l.anyConn(func(*conn) bool { return true }); c != nil {
		l.tellUntold(c, l.now-strangersAfter)
	}
}

// tellUntold tells a player what there was nobody for at a time, or earlier.
func (l *Loop) tellUntold(c *conn, since time.Duration) {
	l.forgetUntold()
	told := 0
	for ; told < len(l.untold) && l.untold[told].until-untoldFor <= since; told++ {
		l.do(SendClient{Conn: c.number, Message: l.untold[told].message})
	}
	l.untold = l.untold[told:]
}

// forgetUntold drops what is too old to be told; the oldest comes first.
func (l *Loop) forgetUntold() {
	for len(l.untold) > 0 && l.untold[0].until <= l.now {
		l.untold = l.untold[1:]
	}
}

// looseLeg finds the leg that a node speaks of: by its session, and, until that plays, only on the connection of its
// set-up. It guards against an answer to an earlier leg, and one to a connection before.
func (l *Loop) looseLeg(n *node, e LinkReceived) *leg {
	s := l.keys[e.Message.Session]
	if s == nil || s.leg == nil || s.leg.node != n || s.leg.phase == legWaiting || s.leg.phase == legSent && s.leg.link != e.Link {
		return nil
	}
	return s.leg
}

// tellEnd tells a node to call a leg off, or to end what plays; what plays is told by the next connection where there
// is none. A set-up ended with its connection.
func (l *Loop) tellEnd(g *leg) {
	m, n := wire.Node{Type: wire.End, Leg: g.id, Session: g.session.name}, g.node
	if g.phase == legPlaying {
		m.Why = wire.CalledOff
	}
	switch {
	case g.phase == legSent:
		l.do(SendServer{Link: g.link, Message: m})
	case n.up:
		l.do(SendServer{Link: n.link, Message: m})
	case len(n.ends) < endsMost:
		n.ends = append(n.ends, m)
		l.needed(n)
	}
}

// playsSince tells whether anything plays at a node since a time, or earlier.
func (l *Loop) playsSince(n *node, at time.Duration) bool {
	for _, g := range n.legs {
		if g.phase == legPlaying && g.began <= at {
			return true
		}
	}
	return false
}

// doubt checks a node's connection by making another.
func (l *Loop) doubt(n *node, link uint64) {
	if l.manners.Loose && n.up && n.link == link && !n.trying && l.nodes[n.name] == n {
		l.reached(reach.Event{Node: n.place, Kind: reach.Suspected})
	}
}

// replaceLink puts the connection that was made to check on another in its place. The other is kept until the set-ups
// sent on it have ended.
func (l *Loop) replaceLink(n *node) {
	l.timers.Cancel(n.ping)
	l.timers.Cancel(n.idle)
	n.ping, n.idle = alarm.Handle(0), alarm.Handle(0)
	if n.old != 0 {
		l.closeLink(n, n.old, closedAsSuperseded)
		l.linkLost(LinkLost{Link: n.old})
	}
	n.old, n.link, n.check = n.link, n.check, 0
	l.dropLink(n)
}

// dropLink hangs up on a connection that was replaced once no set-up waits on it.
func (l *Loop) dropLink(n *node) {
	if n.old == 0 {
		return
	}
	for _, g := range n.legs {
		if g.phase == legSent && g.link == n.old {
			return
		}
	}
	old := n.old
	n.old = 0
	l.closeLink(n, old, closedAsReplaced)
	delete(l.links, old)
}

// dead ends what plays at a node of which nothing more will be heard.
func (l *Loop) dead(n *node) {
	if !l.manners.Loose {
		return
	}
	n.ends = nil
	for _, g := range sorted(n.legs) {
		if g.phase == legPlaying {
			l.legEnds(g, fateBroken, nil)
		}
	}
	l.needed(n)
}

// restarted ends what plays at a node since before it started anew, and a connection from before with it.
func (l *Loop) restarted(n *node) {
	if n.up && n.made < n.born {
		l.hangUp(n, closedAsRestarted)
	}
	for _, g := range sorted(n.legs) {
		if g.phase == legPlaying && g.began < n.born {
			l.legEnds(g, fateBroken, nil)
		}
	}
}
