package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// A client's connection that is idle is closed where room gets short. A request that comes on it at that moment, and is
// taken, is owed its answer: the connection must not be closed under it.
func TestARequestIsNotTakenOnAConnectionThatIsBeingClosed(t *testing.T) {
	s := newHarnessWith(t, 1, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.limits = limits.New(1, limits.Capacity{MaxConnections: 10, MaxHandshakes: 10, HeartbeatInterval: time.Hour, IdleTimeout: time.Second,
			HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	})
	for conn := uint64(2); conn <= 9; conn++ { // nine of ten: room is short, and the idle are closed in slices
		s.connectClient(conn)
	}
	s.advance(50 * ms)
	s.clearOutputs()
	s.now += 2 * time.Second // the loop comes late to the next slice, and the request is there before it
	s.requestDetached(1, "a", "clip")
	closed := false
	for _, o := range s.outputs {
		c, is := o.(CloseClient)
		closed = closed || is && c.Conn == 1
	}
	if taken := s.loop.owed > 0 || len(s.setups()) > 0; taken && closed {
		t.Fatal("the request was taken and its connection is closed under it")
	}
	if !closed {
		s.step(detachedReply(s.onlySetup().Link, "a", wire.Accepted))
		s.onlyAnswer(wire.Playing)
	}
}

// A director that has nothing left to do closes its clients' connections before it ends, and goes on answering until the
// last of them is closed: a request that was read on one of them is owed its answer.
func TestShutdownWaitsForClientConnections(t *testing.T) {
	s := newHarnessWith(t, 1, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.shutdownPolicy.CloseTimeout = 200 * time.Millisecond
	})
	s.connectClient(2)
	s.clearOutputs()
	s.step(Stop{})
	s.advance(30 * ms)
	closes := func() (conns []uint64) {
		for _, o := range s.outputs {
			if c, is := o.(CloseClient); is {
				if !c.Idle {
					t.Fatalf("connection %d is closed whatever was read on it", c.Conn)
				}
				conns = append(conns, c.Conn)
			}
		}
		return conns
	}
	if got := closes(); s.ended || len(got) != 2 {
		t.Fatalf("ended %v, closed %v", s.ended, got)
	}
	s.step(ClientLost{Conn: 1})
	s.clearOutputs()
	s.step(ClientStillActive{Conn: 2}) // a request was read on it, and comes now
	s.requestDetached(2, "a", "clip")
	s.onlyAnswer(wire.Nack)
	s.advance(50 * ms)
	if got := closes(); s.ended || len(got) != 1 || got[0] != 2 {
		t.Fatalf("ended %v, closed %v", s.ended, got)
	}
	s.step(ClientLost{Conn: 2})
	s.advance(50 * ms)
	if !s.ended {
		t.Fatal("not ended though no client is left")
	}
}

// A connection that does not close keeps the director for its time and no longer.
func TestOpenClientConnectionDoesNotBlockShutdown(t *testing.T) {
	s := newHarnessWith(t, 1, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.shutdownPolicy.CloseTimeout = 200 * time.Millisecond
	})
	s.step(Stop{})
	s.advance(190 * ms)
	if s.ended {
		t.Fatal("ended before its time")
	}
	s.advance(30 * ms)
	if !s.ended {
		t.Fatal("kept for ever")
	}
}
