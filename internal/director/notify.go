package director

import (
	"slices"
	"time"

	"fordusher/internal/wire"
)

// In detached mode the end of a session is owed to its client until it was sent on a connection that goes on, or until
// undeliveredRetention has passed.

// An undeliveredEnding is the notification of a session's end that waits for a client connection, or for a proven one,
// that is, one on which a session has played.
type undeliveredEnding struct {
	message   wire.SessionMessage
	expiresAt time.Duration
}

// undeliveredRetention is how long an ending is kept without a connection to send it on; this bounds their number. If
// there is no proven connection for anyClientDelay, the ending goes to any client. Any client may receive it, but one
// that only holds a connection might not pass it on.
const (
	undeliveredRetention = 8 * time.Second
	anyClientDelay       = 500 * time.Millisecond
)

// How long after an ending was written the end of its connection means that the client may not have read it. The ending is
// then sent on another connection; a client ignores one that it has already.
const (
	// A client that closes its connection may have closed it before the ending came. The time covers the write time-out and
	// the way to the client and back.
	closedRepeatTime = 2 * time.Second
	// A connection that is lost in another way may have been cut off long before that is seen.
	lostRepeatTime = undeliveredRetention
)

// A sentEnding is an ending that was passed to a client connection, for lostRepeatTime.
type sentEnding struct {
	conn    uint64
	message wire.SessionMessage
	sentAt  time.Duration
}

// notifyDetachedEnd notifies a client that its session has ended.
func (l *Loop) notifyDetachedEnd(s *session, reason string) {
	l.routeEnding(s.originConn, wire.SessionMessage{Type: wire.SessionEnded, ID: s.request, Session: s.name, Reason: reason})
}

// routeEnding sends an ending on a client connection: on the one that its session was requested on, else on the one last
// proven, else on any proven one. If there is none, the ending waits for a connection.
func (l *Loop) routeEnding(originConn uint64, m wire.SessionMessage) {
	for _, id := range [...]uint64{originConn, l.lastProvenConn} {
		if c := l.conns[id]; c != nil && c.takesEndings() {
			l.sendEnding(c, m)
			return
		}
	}
	if c := l.anyConn(func(c *conn) bool { return c.proven }); c != nil {
		l.sendEnding(c, m)
		return
	}
	l.event(Event{Kind: SessionEnded, Request: m.ID, Reason: m.Reason})
	l.dropExpiredUndelivered()
	if len(l.undelivered) >= l.maxKeptEnds() {
		l.undelivered = l.undelivered[1:]
		l.counts.Dropped[DropUndeliveredEnd]++
	}
	l.undelivered = append(l.undelivered, undeliveredEnding{m, l.now + undeliveredRetention})
	l.timers.Add(l.now+anyClientDelay, timer{timerUndelivered, 0})
}

// takesEndings reports whether an ending may be sent on the connection.
func (c *conn) takesEndings() bool { return !c.closing && !c.failed }

// sendEnding passes an ending to a connection and remembers it for lostRepeatTime.
func (l *Loop) sendEnding(c *conn, m wire.SessionMessage) {
	l.event(Event{Kind: SessionEnded, Request: m.ID, Conn: c.id, Reason: m.Reason})
	l.emit(SendClient{Conn: c.id, Message: m})
	l.lastEndSentAt = max(1, l.now)
	l.forgetSentEndings()
	if len(l.sentEndings) >= l.maxKeptEnds() {
		l.sentEndings = l.sentEndings[1:]
	}
	l.sentEndings = append(l.sentEndings, sentEnding{c.id, m, l.now})
}

// forgetSentEndings drops the endings that were sent before lostRepeatTime.
func (l *Loop) forgetSentEndings() {
	old := 0
	for old < len(l.sentEndings) && l.sentEndings[old].sentAt+lostRepeatTime <= l.now {
		old++
	}
	l.sentEndings = l.sentEndings[old:]
}

// endingNotSent sends an ending on another connection after its own has refused it, because the connection ends.
func (l *Loop) endingNotSent(e EndingNotSent) {
	if c := l.conns[e.Conn]; c != nil {
		c.failed = true
	}
	l.sentEndings = slices.DeleteFunc(l.sentEndings, func(s sentEnding) bool {
		return s.conn == e.Conn && s.message.Session == e.Message.Session
	})
	l.counts.EndingsRepeated++
	l.routeEnding(0, e.Message)
}

// repeatEndings sends again what was sent last on a connection that has ended, unless the director itself has closed it.
func (l *Loop) repeatEndings(c *conn, closedByClient bool) {
	if c.closing || c.shutdownClose {
		return
	}
	l.forgetSentEndings()
	limit := lostRepeatTime
	if closedByClient {
		limit = closedRepeatTime
	}
	var repeated []wire.SessionMessage
	l.sentEndings = slices.DeleteFunc(l.sentEndings, func(s sentEnding) bool {
		if s.conn != c.id {
			return false
		}
		if s.sentAt+limit > l.now {
			repeated = append(repeated, s.message)
		}
		return true
	})
	for _, m := range repeated {
		l.counts.EndingsRepeated++
		l.routeEnding(0, m)
	}
}

// anyConn returns a connection that fits and is not being closed, or nil.
func (l *Loop) anyConn(fits func(c *conn) bool) *conn {
	for _, id := range l.connsBySlot {
		if c := l.conns[id]; c != nil && c.takesEndings() && fits(c) {
			return c
		}
	}
	return nil
}

// deliverToAnyClient sends the endings that have waited for anyClientDelay on any client connection.
func (l *Loop) deliverToAnyClient() {
	if c := l.anyConn(func(*conn) bool { return true }); c != nil {
		l.deliverUndelivered(c, l.now-anyClientDelay)
	}
}

// deliverUndelivered sends on a connection the endings that have waited since the given time or longer.
func (l *Loop) deliverUndelivered(c *conn, since time.Duration) {
	l.dropExpiredUndelivered()
	sent := 0
	for ; sent < len(l.undelivered) && l.undelivered[sent].expiresAt-undeliveredRetention <= since; sent++ {
		l.sendEnding(c, l.undelivered[sent].message)
	}
	l.undelivered = l.undelivered[sent:]
}

// dropExpiredUndelivered drops the endings that have expired; the oldest comes first.
func (l *Loop) dropExpiredUndelivered() {
	for len(l.undelivered) > 0 && l.undelivered[0].expiresAt <= l.now {
		l.undelivered = l.undelivered[1:]
		l.counts.Dropped[DropUndeliveredEnd]++
	}
}
