package limits

import (
	"time"

	"fordusher/internal/timerqueue"
)

// none stands for no connection in the list of idle connections.
const none = int32(-1)

// connState is the state of a client connection.
type connState uint8

const (
	closed connState = iota
	handshaking
	idle
	busy
	evicting // the eviction is planned; the connection counts as used until Closed
)

var connStateNames = [...]string{closed: "closed", handshaking: "handshaking", idle: "idle", busy: "busy", evicting: "evicting"}

func (s connState) String() string { return connStateNames[s] }

// conn is the state of one client connection.
type conn struct {
	timer           timerqueue.Handle
	next, prev      int32 // in the list of idle connections, the longest idle first
	address         int32
	state           connState
	unansweredPings uint8 // heartbeats sent since data was last received
	lastReceived    time.Duration
	idleSince       time.Duration
}

// connEvent processes an event of one open connection.
func (l *Limits) connEvent(e Event) {
	i := int32(e.Conn)
	c := &l.conns[i]
	switch e.Kind {
	case HandshakeDone:
		if c.state == handshaking {
			l.finishHandshake(i)
			l.markIdle(i)
		}
	case Received:
		if at := l.now - e.Age; at > c.lastReceived {
			c.lastReceived, c.unansweredPings = at, 0
		}
	case Busy:
		switch c.state { // an admitted client may send a request before HandshakeDone is reported here
		case idle:
			l.unlinkIdle(i)
		case handshaking:
			l.finishHandshake(i)
		default:
			return
		}
		c.state = busy
		l.busy++
	case Idle:
		if c.state == busy {
			l.busy--
			l.markIdle(i)
		}
	case EvictionCancelled:
		if c.state == evicting {
			l.evictions--
			l.markIdle(i)
		}
	case Closed:
		switch c.state {
		case handshaking:
			l.handshakes--
		case idle:
			l.unlinkIdle(i)
		case busy:
			l.busy--
		case evicting:
			l.evictions--
		}
		l.timers.Cancel(c.timer)
		a := &l.addresses[c.address]
		if a.conns--; a.conns == 0 {
			delete(l.byAddr, a.addr)
			l.freeAddr = append(l.freeAddr, c.address)
		}
		*c = conn{}
		l.used--
	}
}

// markIdle appends a connection to the list of idle connections.
func (l *Limits) markIdle(i int32) {
	c := &l.conns[i]
	c.state, c.idleSince = idle, l.now
	c.prev, c.next = l.idleTail, none
	if l.idleTail != none {
		l.conns[l.idleTail].next = i
	} else {
		l.idleHead = i
	}
	l.idleTail = i
}

// unlinkIdle removes a connection from the list of idle connections.
func (l *Limits) unlinkIdle(i int32) {
	c := &l.conns[i]
	if c.prev != none {
		l.conns[c.prev].next = c.next
	} else {
		l.idleHead = c.next
	}
	if c.next != none {
		l.conns[c.next].prev = c.prev
	} else {
		l.idleTail = c.prev
	}
	c.next, c.prev = none, none
}

// evict plans the eviction of a connection. A busy one is evicted only if its heartbeats stay unanswered.
func (l *Limits) evict(i int32, code int, reason string, retryAfter time.Duration) {
	c := &l.conns[i]
	switch c.state {
	case idle:
		l.unlinkIdle(i)
	case handshaking:
		l.handshakes--
	case busy: // the client is dead; a busy connection is evicted for no other reason
		l.busy--
	}
	c.state = evicting
	l.evictions++
	l.plan.Evict = append(l.plan.Evict, Eviction{int(i), code, reason, retryAfter})
}
