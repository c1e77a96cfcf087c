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

// splitByLength is a minimal SplitFunc: the first byte of a message is its length, including that byte.
func splitByLength(in []byte) (int, error) {
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

// A recordingHandler counts calls, records messages and optionally sends them back.
type recordingHandler struct {
	mu       sync.Mutex
	opened   int
	messages []string
	closed   int
	echo     bool
}

func (h *recordingHandler) Opened(*Conn) { h.mu.Lock(); h.opened++; h.mu.Unlock() }
func (h *recordingHandler) Message(c *Conn, m []byte) {
	h.mu.Lock()
	h.messages = append(h.messages, string(m))
	h.mu.Unlock()
	if h.echo {
		c.Send(m, 0)
	}
}
func (h *recordingHandler) Closed(*Conn, error, []uint64) { h.mu.Lock(); h.closed++; h.mu.Unlock() }

func (h *recordingHandler) wait(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.mu.Lock()
		done := ok()
		h.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatal(failure)
}

var testTCPLimits = Limits{MaxMessageBytes: 64, MaxQueuedBytes: 1 << 10, WriteTimeout: time.Second,
	HandshakeTimeout: 200 * time.Millisecond, MaxPendingHandshakes: 3}

// tcpPair starts a server and returns a connection dialed to it, whose limits are given.
func tcpPair(t *testing.T, server, client Handler, limits Limits) *Conn {
	t.Helper()
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c, err := DialTCP(s.Address(), time.Second, splitByLength, limits, client)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against messages that are not divided as the SplitFunc says: one write holds the end of one message and the
// beginning of the next.
func TestTCPMessagesAreSplit(t *testing.T) {
	h := &recordingHandler{echo: true}
	client := &recordingHandler{}
	c := tcpPair(t, h, client, testTCPLimits)
	c.Send([]byte("\x03ab\x02"), 0)
	c.Send([]byte("c"), 0)
	client.wait(t, "not both messages were echoed", func() bool { return len(client.messages) == 2 && client.messages[1] == "\x02c" })
	c.Close(1000, "")
	h.wait(t, "the server did not see one open and one close", func() bool { return h.closed == 1 && h.opened == 1 })
}

// Guards against a refused connection that is reported like a machine that does not answer: only the refusal proves
// that no server runs there.
func TestDialReportsConnectionRefused(t *testing.T) {
	address, err := loopback.Reserve() // no process listens there or can do so
	if err != nil {
		t.Fatal(err)
	}
	defer address.Close()
	if _, err := DialTCP(address.String(), time.Second, splitByLength, testTCPLimits,
		&recordingHandler{}); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial returned %v", err)
	}
}

// Guards against connections without complete messages that stay open: beyond MaxPendingHandshakes the oldest one must
// be reset, and the others must end after the handshake time-out. Invalid input must end a connection, too.
func TestIncompleteTCPMessagesTimeOut(t *testing.T) {
	h := &recordingHandler{}
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, h)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	start := time.Now()
	var silent []net.Conn
	for range 4 { // one more than MaxPendingHandshakes: the oldest is reset
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
		time.Sleep(5 * time.Millisecond)
	}
	waitClosed := func(c net.Conn) time.Duration {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		c.Read(make([]byte, 1))
		return time.Since(start)
	}
	if elapsed := waitClosed(silent[0]); elapsed > testTCPLimits.HandshakeTimeout {
		t.Fatalf("the oldest connection was reset only after %v", elapsed)
	}
	silent[1].Write([]byte("\x02a"))
	h.wait(t, "the message was not received", func() bool { return len(h.messages) == 1 })
	if elapsed := waitClosed(silent[2]); elapsed < testTCPLimits.HandshakeTimeout/2 || elapsed > 3*time.Second {
		t.Fatalf("a connection without input was closed after %v", elapsed)
	}
	silent[1].Write([]byte("\x00"))
	if waitClosed(silent[1]) > 5*time.Second {
		t.Fatal("an invalid message did not end the connection")
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("\x02a\x03b"))
	if start = time.Now(); waitClosed(c) > 3*time.Second {
		t.Fatal("an incomplete message did not end the connection")
	}
}

// Guards against the reset of a connection whose first message is partly received while connections without any input
// exist.
func TestPartialFirstMessageIsResetLast(t *testing.T) {
	h := &recordingHandler{}
	limits := testTCPLimits
	limits.HandshakeTimeout = time.Minute
	s, err := ServeTCP("127.0.0.1:0", splitByLength, limits, h)
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
	received := func() bool {
		n := 0
		s.Each(func(c *Conn) {
			if c.lastRead.Load() != 0 {
				n++
			}
		})
		return n == 1
	}
	h.wait(t, "the partial message was not received", received)
	for range limits.MaxPendingHandshakes + 2 { // more than MaxPendingHandshakes
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(5 * time.Millisecond)
	}
	slow.Write([]byte("a"))
	h.wait(t, "the complete message was not received", func() bool { return len(h.messages) == 1 })
}

// A panicOnInput handler panics on one kind of message and records the connection whose input has ended.
type panicOnInput struct {
	recordingHandler
	inputEnded chan *Conn
}

func (h *panicOnInput) Message(c *Conn, m []byte) {
	if string(m) == "\x02!" {
		panic("injected by the test")
	}
	h.recordingHandler.Message(c, m)
}

func (h *panicOnInput) InputEnded(c *Conn, _ error) { h.inputEnded <- c }

// Guards against a handler's panic that closes the connection: it ends only the input, and pending answers are still
// sent.
func TestPanicEndsOnlyTheInput(t *testing.T) {
	h := &panicOnInput{inputEnded: make(chan *Conn, 1)}
	client := &recordingHandler{}
	c := tcpPair(t, h, client, testTCPLimits)
	c.Send([]byte("\x02a"), 0)
	c.Send([]byte("\x02!"), 0)
	var accepted *Conn
	select {
	case accepted = <-h.inputEnded:
	case <-time.After(5 * time.Second):
		t.Fatal("the input was not ended")
	}
	c.Send([]byte("\x02b"), 0)
	if !accepted.Send([]byte("\x02x"), 0) {
		t.Fatal("the pending answer was not accepted")
	}
	client.wait(t, "the pending answer was not received", func() bool { return len(client.messages) == 1 && client.messages[0] == "\x02x" })
	h.mu.Lock()
	defer h.mu.Unlock()
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(h.messages) != 1 || h.closed != 0 || client.closed != 0 {
		t.Fatalf("server received %q, its connection was closed %d times", h.messages, h.closed)
	}
}
