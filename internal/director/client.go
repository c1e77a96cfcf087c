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
	id               uint64
	requests         map[string]*request // at most PerConnection live ones and remembered ended ones; nil before the first
	ended            []string            // ids of requests that ended, oldest first; where requests have ids of their own
	activeRequests   int32               // requests without their answer, or, where what plays belongs to a connection, sessions
	detachedSessions int32               // loose: sessions that came on it and play
	proven           bool                // loose: a session that came on it has played
	slot             int32               // its small index, for the limits
	rejected         bool                // loose: there was no room for it; what it asks is refused for a moment, and it is leaving
	closing          bool                // it was told to go: what it asks from now on is not taken
	shutdownClose    bool                // it is being closed at the director's end, and nothing that was read on it is known to wait
	inputEndReason   string              // why nothing more can be read from it; empty: it can
}

// maxEndedRequests is how many ended requests of a connection can still be answered as before.
const maxEndedRequests = 16

// A request is a want of a player under its own id.
type request struct {
	session *session             // nil once that is over
	answer  *wire.SessionMessage // the final answer, once given
}

// Players.

// What a connection asks for which there is no room is refused for turnedFor, so that all that came at once has its
// answer before it is closed. Where there are more than turnedMost of those, the first is closed as soon as nothing of it
// is on its way here.
const (
	rejectionWindow  = 20 * time.Millisecond
	maxRejectedConns = 16
)

// clientConnecting asks the limits whether a player is let in.
func (l *Loop) clientConnecting(e ClientConnecting) {
	seat := int32(len(l.connsBySlot))
	if n := len(l.freeSlots); n > 0 {
		seat = l.freeSlots[n-1]
	}
	plan := l.stepLimits(limits.Event{Kind: limits.ConnectRequest, Conn: int(seat), Address: e.Address, Nodes: l.linkDescriptors()})
	if !plan.Admit {
		l.counts.ClientsRejected++
		if l.options.Detached { // it has knocked with a request, which is owed an answer
			l.conns[e.Conn] = &conn{id: e.Conn, rejected: true, closing: true}
			l.timers.Add(l.now+rejectionWindow, timer{timerRejected, e.Conn})
			if l.rejectedConns = append(l.rejectedConns, e.Conn); len(l.rejectedConns) > maxRejectedConns { // the first of them has its answer by now
				l.closeClient(CloseClient{Conn: l.rejectedConns[0], Code: 1013, Reason: "no room", Idle: true})
				l.rejectedConns = l.rejectedConns[1:]
			}
			return
		}
		l.emit(RejectClient{e.Conn, plan.RetryAfter, plan.Reason})
		return
	}
	if n := len(l.freeSlots); n > 0 {
		l.freeSlots = l.freeSlots[:n-1]
		l.connsBySlot[seat] = e.Conn
	} else {
		l.connsBySlot = append(l.connsBySlot, e.Conn)
	}
	l.event(Event{Kind: ClientConnected, Conn: e.Conn})
	l.conns[e.Conn] = &conn{id: e.Conn, slot: seat}
	l.emit(AcceptClient{e.Conn})
}

// stepLimits tells the limits what happened and carries out their plan.
func (l *Loop) stepLimits(e limits.Event) *limits.Plan {
	plan := l.limits.Step(l.now, e)
	if e.Kind == limits.TimerFired {
		l.limitsPending = plan.More
	}
	for _, seat := range plan.Ping {
		l.emit(ProbeClient{l.connsBySlot[seat]})
	}
	for _, x := range plan.Evict {
		l.counts.ClientsEvicted++
		why := x.Reason
		if x.RetryAfter > 0 {
			why = fmt.Sprintf("retry-ms=%d %s", x.RetryAfter.Milliseconds(), why)
		}
		closed := l.closeClient(CloseClient{Conn: l.connsBySlot[x.Conn], Code: x.Code, Reason: why, Idle: x.Code != 1008})
		if c := l.conns[l.connsBySlot[x.Conn]]; c != nil && closed {
			c.closing = true
		}
	}
	if plan.Log != "" {
		l.log("%s", plan.Log)
	}
	return plan
}

// countSessions counts the sessions of a connection: with one, it is never let go.
func (l *Loop) countSessions(c *conn, live, standing int32) {
	before := c.activeRequests + c.detachedSessions
	c.activeRequests, c.detachedSessions = c.activeRequests+live, c.detachedSessions+standing
	switch after := c.activeRequests + c.detachedSessions; {
	case before == 0 && after > 0:
		l.stepLimits(limits.Event{Kind: limits.Busy, Conn: int(c.slot)})
	case before > 0 && after == 0:
		l.stepLimits(limits.Event{Kind: limits.Idle, Conn: int(c.slot)})
	}
	if live < 0 {
		l.closeIfSettled(c)
	}
}

func (l *Loop) clientReceived(e ClientReceived) {
	c := l.conns[e.Conn]
	if c == nil { // it closed a moment ago, or was not let in
		if s := l.sessionsByKey[e.Message.ID]; l.options.Detached && e.Message.Type == wire.Cancel && s != nil && s.answered {
			l.endDetached(s, e.Conn) // what plays belongs to no connection, and its ending neither
		}
		return
	}
	if c.rejected {
		l.refuseOnRejected(c, e)
		return
	}
	if c.closing { // this crosses the word to go, which says when to come back
		l.event(Event{Kind: RequestRefused, Request: e.Message.ID, Conn: c.id, Reason: "its connection is being closed"})
		l.counts.Unexpected++
		return
	}
	l.stepLimits(limits.Event{Kind: limits.Received, Conn: int(c.slot)})
	m := e.Message
	if l.options.Detached {
		l.detachedReceived(c, e)
		return
	}
	r := c.requests[m.ID]
	switch m.Type {
	case wire.Request:
		if r != nil { // a repetition: answered as before, never taken twice
			l.counts.Repeated++
			if r.answer != nil {
				l.emit(SendClient{Conn: c.id, Message: *r.answer})
			}
			return
		}
		l.takeRequest(c, m, e.Waited, nil)
	case wire.Cancel:
		if r != nil && r.session != nil {
			l.abandonSession(r.session, "cancelled by the client")
		}
	case wire.Report:
		if r == nil {
			l.counts.Unexpected++
		}
	default:
		l.counts.UnknownMessages++
		l.closeClient(CloseClient{Conn: c.id, Code: 1008, Reason: "players do not say " + m.Type})
	}
}

// retainEndedRequest keeps an ended request among the last few.
func (l *Loop) retainEndedRequest(c *conn, id string) {
	if l.options.Detached { // ids are not used again, and an answer is never given twice
		delete(c.requests, id)
		return
	}
	c.ended = append(c.ended, id)
	if len(c.ended) > maxEndedRequests {
		delete(c.requests, c.ended[0])
		c.ended = c.ended[1:]
	}
}

func (l *Loop) clientLost(e ClientLost) {
	number := e.Conn
	c := l.conns[number]
	if c == nil {
		return
	}
	delete(l.conns, number)
	l.event(Event{Kind: ClientDisconnected, Conn: number, Reason: e.Reason})
	if c.rejected {
		l.rejectedConns = slices.DeleteFunc(l.rejectedConns, func(n uint64) bool { return n == number })
		return
	}
	l.stepLimits(limits.Event{Kind: limits.Closed, Conn: int(c.slot)})
	l.connsBySlot[c.slot] = 0
	l.freeSlots = append(l.freeSlots, c.slot)
	for id := range sorted(c.requests) {
		s := c.requests[id].session
		if s == nil {
			continue
		}
		s.conn = nil
		if l.shutdown != nil || l.options.Linger == 0 {
			l.abandonSession(s, "client connection ended: "+e.Reason)
			continue
		}
		s.lingerTimer = l.timers.Add(l.now+l.options.Linger, timer{timerLinger, s.id})
	}
}
