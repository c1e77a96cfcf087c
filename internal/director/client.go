package director

import (
	"fmt"
	"slices"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// A conn is a client connection. It keeps the requests whose sessions have not ended, at most SessionsPerConnection,
// and the last few that have, at most maxEndedRequests.
type conn struct {
	id               uint64
	requests         map[string]*request // by the client's id; nil before the first
	ended            []string            // ids of ended requests, oldest first; unused in detached mode
	activeRequests   int32               // sessions on it; in detached mode, those without their answer
	detachedSessions int32               // detached mode: playing sessions that were requested on it
	proven           bool                // detached mode: a session that was requested on it has played
	slot             int32               // its index for the limits
	rejected         bool                // detached mode: over capacity; its requests are refused until it closes
	closing          bool                // it is being closed: new requests on it are not taken
	failed           bool                // it has refused a message, because it is about to end
	shutdownClose    bool                // its close was requested for shutdown, and no message from it is known to wait
	inputEndReason   string              // why it is closed once no answer is owed on it; empty: it is not
	stalled          bool                // a message on it has been incomplete for too long, and none was completed since
}

// maxEndedRequests is how many ended requests a connection keeps, so that a repetition gets the same answer.
const maxEndedRequests = 16

// A request is a client's request for a session, by the id that the client gave it.
type request struct {
	session *session             // nil once that has ended or moved to another connection
	answer  *wire.SessionMessage // the final answer; nil before
}

// A connection over capacity stays open for rejectionWindow in detached mode and has its requests refused, so that all
// requests that arrive together are answered before it is closed. Beyond maxRejectedConns of them, the oldest is closed
// as soon as no message from it is waiting.
const (
	rejectionWindow  = 20 * time.Millisecond
	maxRejectedConns = 16
)

// clientConnecting asks the limits whether to accept a client connection, and accepts or rejects it.
func (l *Loop) clientConnecting(e ClientConnecting) {
	slot := int32(len(l.connsBySlot))
	if n := len(l.freeSlots); n > 0 {
		slot = l.freeSlots[n-1]
	}
	plan := l.stepLimits(limits.Event{Kind: limits.ConnectRequest, Conn: int(slot), Address: e.Address,
		NodeDescriptors: l.linkDescriptors()})
	if !plan.Admit {
		l.counts.ClientsRejected++
		if l.options.Detached { // the client connected to send a request, which is owed an answer
			l.conns[e.Conn] = &conn{id: e.Conn, rejected: true, closing: true}
			l.timers.Add(l.now+rejectionWindow, timer{timerRejected, e.Conn})
			if l.rejectedConns = append(l.rejectedConns, e.Conn); len(l.rejectedConns) > maxRejectedConns { // the oldest has its answer by now
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
		l.connsBySlot[slot] = e.Conn
	} else {
		l.connsBySlot = append(l.connsBySlot, e.Conn)
	}
	l.event(Event{Kind: ClientConnected, Conn: e.Conn})
	l.conns[e.Conn] = &conn{id: e.Conn, slot: slot}
	l.emit(AcceptClient{e.Conn})
}

// stepLimits passes an event to the limits and carries out their plan.
func (l *Loop) stepLimits(e limits.Event) *limits.Plan {
	plan := l.limits.Step(l.now, e)
	if e.Kind == limits.TimerFired {
		l.limitsPending = plan.More
	}
	for _, slot := range plan.Ping {
		l.emit(ProbeClient{l.connsBySlot[slot]})
	}
	for _, eviction := range plan.Evict {
		l.counts.ClientsEvicted++
		reason := eviction.Reason
		if eviction.RetryAfter > 0 {
			reason = fmt.Sprintf("retry-ms=%d %s", eviction.RetryAfter.Milliseconds(), reason)
		}
		closed := l.closeClient(CloseClient{
			Conn: l.connsBySlot[eviction.Conn], Code: eviction.Code, Reason: reason, Idle: eviction.Code != 1008,
		})
		if c := l.conns[l.connsBySlot[eviction.Conn]]; c != nil && closed {
			c.closing = true
		}
	}
	if plan.Log != "" {
		l.log("%s", plan.Log)
	}
	return plan
}

// countSessions adds to the numbers of active and detached sessions of a connection. With at least one session it is
// busy for the limits and never evicted.
func (l *Loop) countSessions(c *conn, active, detached int32) {
	before := c.activeRequests + c.detachedSessions
	c.activeRequests, c.detachedSessions = c.activeRequests+active, c.detachedSessions+detached
	switch after := c.activeRequests + c.detachedSessions; {
	case before == 0 && after > 0:
		l.stepLimits(limits.Event{Kind: limits.Busy, Conn: int(c.slot)})
	case before > 0 && after == 0:
		l.stepLimits(limits.Event{Kind: limits.Idle, Conn: int(c.slot)})
	}
	if active < 0 {
		l.closeIfSettled(c)
	}
}

func (l *Loop) clientReceived(e ClientReceived) {
	c := l.conns[e.Conn]
	if l.options.Detached && (c == nil || c.closing && !c.rejected) && !e.StartsSession() {
		if c == nil {
			c = &conn{id: e.Conn, closing: true}
		}
		l.detachedReceived(c, e) // what concerns a playing session is independent of connections
		return
	}
	if c == nil { // it closed a moment ago, or was rejected
		l.dropClientMessage(DropMessageOnUnknownConn, e)
		return
	}
	if c.rejected {
		l.refuseOnRejected(c, e)
		return
	}
	if c.closing { // the message crosses the close message, which says when to reconnect
		l.event(Event{Kind: RequestRefused, Request: e.Message.ID, Conn: c.id, Reason: "its connection is being closed"})
		l.counts.Unexpected++
		l.dropClientMessage(DropMessageOnClosingConn, e)
		return
	}
	l.stepLimits(limits.Event{Kind: limits.Received, Conn: int(c.slot)})
	c.stalled = false
	defer l.closeIfSettled(c)
	m := e.Message
	if l.options.Detached {
		l.detachedReceived(c, e)
		return
	}
	r := c.requests[m.ID]
	switch m.Type {
	case wire.Request:
		if r != nil { // a repetition: gets the same answer and is never taken twice
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

// retainEndedRequest keeps an ended request among the last maxEndedRequests of its connection.
func (l *Loop) retainEndedRequest(c *conn, id string) {
	if l.options.Detached { // ids are not reused, and an answer is never given twice
		delete(c.requests, id)
		return
	}
	c.ended = append(c.ended, id)
	if len(c.ended) > maxEndedRequests {
		delete(c.requests, c.ended[0])
		c.ended = c.ended[1:]
	}
}

// abandonRequests ends the sessions of a connection that have no answer yet.
func (l *Loop) abandonRequests(c *conn, reason string) {
	for requestID := range sorted(c.requests) {
		if s := c.requests[requestID].session; s != nil && !s.answered {
			l.abandonSession(s, reason)
		}
	}
}

func (l *Loop) clientLost(e ClientLost) {
	id := e.Conn
	c := l.conns[id]
	if c == nil {
		return
	}
	delete(l.conns, id)
	defer l.repeatEndings(c, e.ClosedByClient) // after what follows has chosen no connection for them
	l.event(Event{Kind: ClientDisconnected, Conn: id, Reason: e.Reason})
	if c.rejected {
		l.rejectedConns = slices.DeleteFunc(l.rejectedConns, func(n uint64) bool { return n == id })
		return
	}
	l.stepLimits(limits.Event{Kind: limits.Closed, Conn: int(c.slot)})
	l.connsBySlot[c.slot] = 0
	l.freeSlots = append(l.freeSlots, c.slot)
	for requestID := range sorted(c.requests) {
		s := c.requests[requestID].session
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
