package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// An idle client connection is evicted when capacity runs short. A request received on it at that moment and taken is
// owed an answer, so the connection must then stay open.
func TestConnectionOfTakenRequestIsNotEvicted(t *testing.T) {
	h := newHarnessWith(t, 1, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.limits = limits.New(1, limits.Capacity{MaxConnections: 10, MaxHandshakes: 10, HeartbeatInterval: time.Hour,
			IdleTimeout: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	})
	for conn := uint64(2); conn <= 9; conn++ { // nine of ten: near the capacity, idle connections are evicted a few per tick
		h.connectClient(conn)
	}
	h.advance(50 * ms)
	h.clearOutputs()
	h.now += 2 * time.Second // the next tick is late, and the request is received before it
	h.requestDetached(1, "a", "clip")
	closed := false
	for _, o := range h.outputs {
		c, ok := o.(CloseClient)
		closed = closed || ok && c.Conn == 1
	}
	if taken := h.loop.owed > 0 || len(h.setups()) > 0; taken && closed {
		t.Fatal("the request was taken and its connection was closed before the answer")
	}
	if !closed {
		h.step(detachedReply(h.onlySetup().Link, "a", wire.Accepted))
		h.onlyAnswer(wire.Playing)
	}
}

// A director that shuts down closes its client connections before it ends, and answers requests until the last of them
// is closed: a request that was already read on one of them is owed an answer.
func TestShutdownWaitsForClientConnections(t *testing.T) {
	h := newHarnessWith(t, 1, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.shutdownPolicy.CloseTimeout = 200 * time.Millisecond
	})
	h.connectClient(2)
	h.clearOutputs()
	h.step(Stop{})
	h.advance(30 * ms)
	closes := func() (conns []uint64) {
		for _, o := range h.outputs {
			if c, ok := o.(CloseClient); ok {
				if !c.Idle {
					t.Fatalf("connection %d is closed even if a request was read on it", c.Conn)
				}
				conns = append(conns, c.Conn)
			}
		}
		return conns
	}
	if got := closes(); h.ended || len(got) != 2 {
		t.Fatalf("shut down %v, closed %v", h.ended, got)
	}
	h.step(ClientLost{Conn: 1})
	h.clearOutputs()
	h.step(ClientStillActive{Conn: 2}) // a request was read on it, and follows
	h.requestDetached(2, "a", "clip")
	h.onlyAnswer(wire.Nack)
	h.advance(50 * ms)
	if got := closes(); h.ended || len(got) != 1 || got[0] != 2 {
		t.Fatalf("shut down %v, closed %v", h.ended, got)
	}
	h.step(ClientLost{Conn: 2})
	h.advance(50 * ms)
	if !h.ended {
		t.Fatal("not shut down though no client is left")
	}
}

// A client connection that does not close delays the shutdown by the close time-out and no longer.
func TestOpenClientConnectionDoesNotBlockShutdown(t *testing.T) {
	h := newHarnessWith(t, 1, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.shutdownPolicy.CloseTimeout = 200 * time.Millisecond
	})
	h.step(Stop{})
	h.advance(190 * ms)
	if h.ended {
		t.Fatal("shut down before the close time-out")
	}
	h.advance(30 * ms)
	if !h.ended {
		t.Fatal("not shut down after the close time-out")
	}
}
