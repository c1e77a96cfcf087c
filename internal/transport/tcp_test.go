package transport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"fordusher/internal/loopback"
)

// byLine is the smallest protocol that frames itself: a message is a byte that tells how long it is, and the rest.
func byLine(in []byte) (int, error) {
	switch {
	case len(in) == 0:
		return 0, nil
	case in[0] == 0:
		return 0, errors.New("no length")
	case len(in) < int(in[0]):
		return 0, nil
	}
	return int(in[0]), nil
}

type heardPlain struct {
	mu     sync.Mutex
	opened int
	said   []string
	closed int
	echo   bool
}

func (h *heardPlain) Opened(*Conn) { h.mu.Lock(); h.opened++; h.mu.Unlock() }
func (h *heardPlain) Message(c *Conn, m []byte) {
	h.mu.Lock()
	h.said = append(h.said, string(m))
	h.mu.Unlock()
	if h.echo {
		c.Send(m, 0)
	}
}
func (h *heardPlain) Closed(*Conn, error, []uint64) { h.mu.Lock(); h.closed++; h.mu.Unlock() }

func (h *heardPlain) wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.mu.Lock()
		done := ok()
		h.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatal(what)
}

var plainBounds = Limits{MaxMessageBytes: 64, MaxQueuedBytes: 1 << 10, WriteTimeout: time.Second, HandshakeTimeout: 200 * time.Millisecond, MaxPendingHandshakes: 3}

// plainPair serves with one handler and dials with another.
func plainPair(t *testing.T, server, client Handler, bounds Limits) *Conn {
	t.Helper()
	s, err := ServeTCP("127.0.0.1:0", byLine, plainBounds, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := DialTCP(s.Address(), time.Second, byLine, bounds, client)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestPlainMessagesCrossWhole(t *testing.T) {
	h := &heardPlain{echo: true}
	back := &heardPlain{}
	c := plainPair(t, h, back, plainBounds)
	c.Send([]byte("\x03ab\x02"), 0)
	c.Send([]byte("c"), 0)
	back.wait(t, "not both came back", func() bool { return len(back.said) == 2 && back.said[1] == "\x02c" })
	c.Close(1000, "")
	h.wait(t, "not closed", func() bool { return h.closed == 1 && h.opened == 1 })
}

// A refusal must be told from a machine that says nothing: it proves that nothing runs there.
func TestARefusedConnectionIsTold(t *testing.T) {
	address, err := loopback.Reserve() // nobody listens there, and nobody else can
	if err != nil {
		t.Fatal(err)
	}
	defer address.Close()
	if _, err := DialTCP(address.String(), time.Second, byLine, plainBounds, &heardPlain{}); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("%v", err)
	}
}

func TestPlainConnectionsThatSayNothing(t *testing.T) {
	h := &heardPlain{}
	s, err := ServeTCP("127.0.0.1:0", byLine, plainBounds, h)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	began := time.Now()
	var silent []net.Conn
	for range 4 { // one more than may be silent: the first makes room
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
		time.Sleep(5 * time.Millisecond)
	}
	ended := func(c net.Conn) time.Duration {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		c.Read(make([]byte, 1))
		return time.Since(began)
	}
	if first := ended(silent[0]); first > plainBounds.HandshakeTimeout {
		t.Fatalf("the first made no room before %v", first)
	}
	silent[1].Write([]byte("\x02a"))
	h.wait(t, "the message did not come", func() bool { return len(h.said) == 1 })
	if at := ended(silent[2]); at < plainBounds.HandshakeTimeout/2 || at > 3*time.Second {
		t.Fatalf("silent for %v", at)
	}
	silent[1].Write([]byte("\x00"))
	if ended(silent[1]) > 5*time.Second {
		t.Fatal("what can't be read did not end the connection")
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("\x02a\x03b"))
	if began = time.Now(); ended(c) > 3*time.Second {
		t.Fatal("half a message was waited for")
	}
}

// Among those who have said nothing whole, one whose message comes in pieces stays before one that has said nothing.
func TestWhoHasBegunAMessageIsNotCrowdedOut(t *testing.T) {
	h := &heardPlain{}
	bounds := plainBounds
	bounds.HandshakeTimeout = time.Minute
	s, err := ServeTCP("127.0.0.1:0", byLine, bounds, h)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	slow, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.Write([]byte("\x02"))
	heard := func() bool {
		n := 0
		s.Each(func(c *Conn) {
			if c.heard.Load() != 0 {
				n++
			}
		})
		return n == 1
	}
	h.wait(t, "the beginning did not come", heard)
	for range bounds.MaxPendingHandshakes + 2 { // more than may be silent
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(5 * time.Millisecond)
	}
	slow.Write([]byte("a"))
	h.wait(t, "the message did not come whole", func() bool { return len(h.said) == 1 })
}

// A panicking handler panics on one kind of message, and notes whose input has ended.
type panicking struct {
	heardPlain
	ended chan *Conn
}

func (h *panicking) Message(c *Conn, m []byte) {
	if string(m) == "\x02!" {
		panic("a fault of the program")
	}
	h.heardPlain.Message(c, m)
}

func (h *panicking) InputEnded(c *Conn, _ error) { h.ended <- c }

// A handler that panics ends its peer's input and not the connection: what is owed on it still goes out.
func TestAPanicEndsTheInputAlone(t *testing.T) {
	h := &panicking{ended: make(chan *Conn, 1)}
	back := &heardPlain{}
	c := plainPair(t, h, back, plainBounds)
	c.Send([]byte("\x02a"), 0)
	c.Send([]byte("\x02!"), 0)
	var there *Conn
	select {
	case there = <-h.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the input was not ended")
	}
	c.Send([]byte("\x02b"), 0)
	if !there.Send([]byte("\x02x"), 0) {
		t.Fatal("what is owed can't be sent")
	}
	back.wait(t, "what is owed did not come", func() bool { return len(back.said) == 1 && back.said[0] == "\x02x" })
	h.mu.Lock()
	defer h.mu.Unlock()
	back.mu.Lock()
	defer back.mu.Unlock()
	if len(h.said) != 1 || h.closed != 0 || back.closed != 0 {
		t.Fatalf("heard %q, closed %d", h.said, h.closed)
	}
}
