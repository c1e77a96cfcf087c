package transport

import (
	"net"
	"sync"
	"testing"
	"time"
)

// A holdingHandler keeps every message until it is released, as a handler does that passes messages to a queue.
type holdingHandler struct {
	mu       sync.Mutex
	conns    []*Conn // of the messages that are kept, in their order
	handled  int
	departed int
	closed   int
}

const holdingCost = 100 // bytes that the handler holds for each message

func (h *holdingHandler) Opened(*Conn) {}
func (h *holdingHandler) Message(c *Conn, _ []byte) {
	c.HoldInput(holdingCost)
	h.mu.Lock()
	h.conns = append(h.conns, c)
	h.mu.Unlock()
}
func (h *holdingHandler) Departed(*Conn) { h.mu.Lock(); h.departed++; h.mu.Unlock() }
func (h *holdingHandler) Closed(*Conn, error, []uint64) {
	h.mu.Lock()
	h.closed++
	h.mu.Unlock()
}

// count returns how many messages are kept.
func (h *holdingHandler) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// releaseAll releases the messages that are kept and returns how many have been released so far.
func (h *holdingHandler) releaseAll() int {
	h.mu.Lock()
	kept := h.conns
	h.conns = nil
	h.handled += len(kept)
	handled := h.handled
	h.mu.Unlock()
	for _, c := range kept {
		c.ReleaseInput(holdingCost)
	}
	return handled
}

func waitFor(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// Several peers send much more than the handler handles. Guards against input that is read without bound meanwhile, lost
// or handled twice, against a peer that is not handled because of the others, and against a peer's end that is noticed only
// behind its waiting input.
func TestInputIsHeldBackAndNothingIsLost(t *testing.T) {
	const (
		peers    = 20
		messages = 2_000 // of each peer, of 10 bytes
		limit    = 16 << 10
	)
	h := &holdingHandler{}
	limits := testTCPLimits
	limits.MaxPendingHandshakes, limits.Input = 0, NewInputBudget(limit)
	limits.HandshakeTimeout = time.Minute // a peer may be held back in the middle of a message
	s, err := ServeTCP("127.0.0.1:0", splitByLength, limits, h)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var all []byte
	for range messages {
		all = append(all, "\x0a123456789"...)
	}
	for range peers {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() { c.Write(all); c.Close() }()
	}
	waitFor(t, "no input is held", func() bool { return h.count() >= peers })
	time.Sleep(50 * time.Millisecond)
	if kept, held := h.count(), limits.Input.Held(); held > limit+peers*holdingCost || int64(kept*holdingCost) != held {
		t.Fatalf("%d messages are kept and %d bytes are held, of %d", kept, held, limit)
	}
	late, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	before := h.count()
	late.Write([]byte("\x02a"))
	waitFor(t, "a peer is not handled because others send much", func() bool { return h.count() == before+1 })
	waitFor(t, "not every message is handled", func() bool {
		if held := limits.Input.Held(); held > limit+(peers+1)*holdingCost {
			t.Fatalf("%d bytes are held, of %d", held, limit)
		}
		return h.releaseAll() == peers*messages+1
	})
	waitFor(t, "not every connection has ended", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.closed == peers })
	if held := limits.Input.Held(); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}

// A peer sends more than may be held and leaves. Guards against a departure that the handler learns of only when all
// earlier input is handled.
func TestDepartureIsNoticedWhileInputWaits(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"closes":      func(c *net.TCPConn) { c.Close() },
		"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h := &holdingHandler{}
			limits := testTCPLimits
			limits.Input = NewInputBudget(8 * 3 * holdingCost)
			s, err := ServeTCP("127.0.0.1:0", splitByLength, limits, h)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			for range 100 {
				c.Write([]byte("\x02a"))
			}
			waitFor(t, "no input is held", func() bool { return h.count() > 0 })
			leave(c.(*net.TCPConn))
			waitFor(t, "the departure is not noticed", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.departed == 1 })
			waitFor(t, "the connection does not end", func() bool {
				h.releaseAll()
				h.mu.Lock()
				defer h.mu.Unlock()
				return h.closed == 1
			})
		})
	}
}

// Messages that wait to be written share a budget. Guards against memory that grows with the number of peers that do not
// read.
func TestOutputOfPeersThatDoNotReadIsBounded(t *testing.T) {
	const peers, limit = 30, 64 << 10
	h := &recordingHandler{}
	limits := testTCPLimits
	limits.MaxPendingHandshakes, limits.MaxQueuedBytes, limits.WriteTimeout = 0, 1<<20, time.Minute
	limits.KernelBufferBytes, limits.Output = 4<<10, NewOutputBudget(limit)
	s, err := ServeTCP("127.0.0.1:0", splitByLength, limits, h)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range peers {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		c.Write([]byte("\x02a"))
	}
	h.wait(t, "not all have connected", func() bool { return len(h.messages) == peers })
	for range 5000 {
		s.Each(func(c *Conn) { c.Send(make([]byte, 60), 0) })
		if queued := limits.Output.Queued(); queued > limit+peers*minQueuedBytes {
			t.Fatalf("%d bytes wait to be written, of %d", queued, limit)
		}
	}
	s.Close()
	waitFor(t, "the budget is not free at the end", func() bool { return limits.Output.Queued() == 0 })
}
