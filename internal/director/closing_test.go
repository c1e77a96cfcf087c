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
	s := newStageWith(t, 1, func(l *Loop) {
		l.manners.Loose, l.manners.Greetless, l.manners.Linger = true, true, 0
		l.limits = limits.New(1, limits.Room{Connections: 10, Handshakes: 10, Ping: time.Hour, Patience: time.Second,
			Handshake: time.Second, Retry: time.Second})
	})
	for conn := uint64(2); conn <= 9; conn++ { // nine of ten: room is short, and the idle are closed in slices
		s.enter(conn)
	}
	s.pass(50 * ms)
	s.forget()
	s.now += 2 * time.Second // the loop comes late to the next slice, and the request is there before it
	s.asks(1, "a", "clip")
	closed := false
	for _, o := range s.all {
		c, is := o.(ClosePlayer)
		closed = closed || is && c.Conn == 1
	}
	if taken := s.loop.owed > 0 || len(s.setups()) > 0; taken && closed {
		t.Fatal("the request was taken and its connection is closed under it")
	}
	if !closed {
		s.do(says(s.oneLeg().Link, "a", wire.Accepted))
		s.oneAnswer(wire.Plays)
	}
}
