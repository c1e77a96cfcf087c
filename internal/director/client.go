package director

import (
	"fmt"
	"slices"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// A conn is a player's connection. Its requests are those whose session lives, and the last few that ended.
type conn struct {
	number   uint64
	requests map[string]*request // at most PerConnection live ones and remembered ended ones; nil before the first
	ended    []string            // ids of requests that ended, oldest first; where requests have ids of their own
	live     int32               // requests without their answer, or, where what plays belongs to a connection, sessions
	standing int32               // loose: sessions that came on it and play
	proven   bool                // loose: a session that came on it has played
	seat     int32               // its small index, for the limits
	turned   bool                // loose: there was no room for it; what it asks is refused for a moment, and it is leaving
	leaving  bool                // it was told to go: what it asks from now on is not taken
	parting  bool                // it is being closed at the director's end, and nothing that was read on it is known to wait
	inputEnd string              // why nothing more can be read from it; empty: it can
}

// remembered is how many ended requests of a connection can still be answered as before.
const remembered = 16

// A request is a want of a player under its own id.
type request struct {
	session *session      // nil once that is over
	answer  *wire.Session // the final answer, once given
}

// Players.

// What a connection asks for which there is no room is refused for turnedFor, so that all that came at once has its
// answer before it is closed. Where there are more than turnedMost of those, the first is closed as soon as nothing of it
// is on its way here.
const (
	turnedFor  = 20 * time.Millisecond
	turnedMost = 16
)

// knocked asks the limits whether a player is let in.
func (l *Loop) knocked(e ClientConnecting) {
	seat := int32(len(l.seats))
	if n := len(l.unseated); n > 0 {
		seat = l.unseated[n-1]
	}
	plan := l.limit(limits.Event{Kind: limits.ConnectRequest, Conn: int(seat), Address: e.Address, Nodes: l.linkSockets()})
	if !plan.Admit {
		l.counts.TurnedAway++
		if l.manners.Loose { // it has knocked with a request, which is owed an answer
			l.conns[e.Conn] = &conn{number: e.Conn, turned: true, leaving: true}
			l.timers.Add(l.now+turnedFor, due{timerTurned, e.Conn})
			if l.turned = append(l.turned, e.Conn); len(l.turned) > turnedMost { // the first of them has its answer by now
				l.closeClient(CloseClient{Conn: l.turned[0], Code: 1013, Why: "no room", Idle: true})
				l.turned = l.turned[1:]
			}
			return
		}
		l.do(RejectClient{e.Conn, plan.RetryAfter, plan.Reason})
		return
	}
	if n := len(l.unseated); n > 0 {
		l.unseated = l.unseated[:n-1]
		l.seats[seat] = e.Conn
	} else {
		l.seats = append(l.seats, e.Conn)
	}
	l.event(Event{Kind: ClientConnected, Conn: e.Conn})
	l.conns[e.Conn] = &conn{number: e.Conn, seat: seat}
	l.do(AcceptClient{e.Conn})
}

// limit tells the limits what happened and carries out their plan.
func (l *Loop) limit(e limits.Event) *limits.Plan {
	plan := l.limits.Step(l.now, e)
	if e.Kind == limits.TimerFired {
		l.more = plan.More
	}
	for _, seat := range plan.Ping {
		l.do(ProbeClient{l.seats[seat]})
	}
	for _, x := range plan.Evict {
		l.counts.LetGo++
		why := x.Reason
		if x.RetryAfter > 0 {
			why = fmt.Sprintf("retry-ms=%d %s", x.RetryAfter.Milliseconds(), why)
		}
		closed := l.closeClient(CloseClient{Conn: l.seats[x.Conn], Code: x.Code, Why: why, Idle: x.Code != 1008})
		if c := l.conns[l.seats[x.Conn]]; c != nil && closed {
			c.leaving = true
		}
	}
	if plan.Log != "" {
		l.log("%s", plan.Log)
	}
	return plan
}

// busy counts the sessions of a connection: with one, it is never let go.
func (l *Loop) busy(c *conn, live, standing int32) {
	before := c.live + c.standing
	c.live, c.standing = c.live+live, c.standing+standing
	switch after := c.live + c.standing; {
	case before == 0 && after > 0:
		l.limit(limits.Event{Kind: limits.Busy, Conn: int(c.seat)})
	case before > 0 && after == 0:
		l.limit(limits.Event{Kind: limits.Idle, Conn: int(c.seat)})
	}
	if live < 0 {
		l.closeSettled(c)
	}
}

func (l *Loop) playerSaid(e ClientReceived) {
	c := l.conns[e.Conn]
	if c == nil { // it closed a moment ago, or was not let in
		if s := l.keys[e.Message.ID]; l.manners.Loose && e.Message.Type == wire.Leave && s != nil && s.answered {
			l.endedElsewhere(s, e.Conn) // what plays belongs to no connection, and its ending neither
		}
		return
	}
	if c.turned {
		l.refuse(c, e)
		return
	}
	if c.leaving { // this crosses the word to go, which says when to come back
		l.event(Event{Kind: RequestRefused, Request: e.Message.ID, Conn: c.number, Reason: "its connection is being closed"})
		l.counts.Stray++
		return
	}
	l.limit(limits.Event{Kind: limits.Received, Conn: int(c.seat)})
	m := e.Message
	if l.manners.Loose {
		l.looseSaid(c, e)
		return
	}
	r := c.requests[m.ID]
	switch m.Type {
	case wire.Want:
		if r != nil { // a repetition: answered as before, never taken twice
			l.counts.Repeated++
			if r.answer != nil {
				l.do(SendClient{Conn: c.number, Message: *r.answer})
			}
			return
		}
		l.want(c, m, e.Waited, nil)
	case wire.Leave:
		if r != nil && r.session != nil {
			l.gone(r.session, "cancelled by the client")
		}
	case wire.Report:
		if r == nil {
			l.counts.Stray++
		}
	default:
		l.counts.BadWord++
		l.closeClient(CloseClient{Conn: c.number, Code: 1008, Why: "players do not say " + m.Type})
	}
}

// remember keeps an ended request among the last few.
func (l *Loop) remember(c *conn, id string) {
	if l.manners.Loose { // ids are not used again, and an answer is never given twice
		delete(c.requests, id)
		return
	}
	c.ended = append(c.ended, id)
	if len(c.ended) > remembered {
		delete(c.requests, c.ended[0])
		c.ended = c.ended[1:]
	}
}

func (l *Loop) playerClosed(e ClientLost) {
	number := e.Conn
	c := l.conns[number]
	if c == nil {
		return
	}
	delete(l.conns, number)
	l.event(Event{Kind: ClientDisconnected, Conn: number, Reason: e.Reason})
	if c.turned {
		l.turned = slices.DeleteFunc(l.turned, func(n uint64) bool { return n == number })
		return
	}
	l.limit(limits.Event{Kind: limits.Closed, Conn: int(c.seat)})
	l.seats[c.seat] = 0
	l.unseated = append(l.unseated, c.seat)
	for id := range sorted(c.requests) {
		s := c.requests[id].session
		if s == nil {
			continue
		}
		s.conn = nil
		if l.stop != nil || l.manners.Linger == 0 {
			l.gone(s, "client connection ended: "+e.Reason)
			continue
		}
		s.linger = l.timers.Add(l.now+l.manners.Linger, due{timerLinger, s.id})
	}
}
