package transport

import (
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A blockingHandler holds every message until it is released.
type blockingHandler struct {
	recordingHandler
	release chan struct{}
}

func (h *blockingHandler) Message(c *Conn, m []byte) {
	h.recordingHandler.Message(c, m)
	<-h.release
	c.Send(m, 0)
}

// readers returns the number of goroutines that handle input or wait for it.
func readers() int {
	stacks := make([]byte, 1<<20)
	return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "(*GoPool).runWorker(")
}

// Handlers that take long hold up no other connection's input, however many they are. Goroutines beyond those that are
// kept end once there is nothing to do.
func TestBusyHandlersHoldUpNoOther(t *testing.T) {
	const clients = 3 * maxIdleReaders
	h := &blockingHandler{release: make(chan struct{})}
	limits := testTCPLimits
	limits.MaxPendingHandshakes = 0
	s, err := ServeTCP("127.0.0.1:0", splitByLength, limits, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	var conns []net.Conn
	for range clients {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
		c.Write([]byte("\x02a"))
	}
	h.wait(t, "messages wait for handlers of other connections", func() bool { return len(h.messages) == clients })
	close(h.release)
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := c.Read(make([]byte, 2)); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	h.wait(t, "goroutines beyond those that are kept go on", func() bool { return readers() <= maxIdleReaders })
	if readers() == 0 {
		t.Fatal("no goroutine is kept for later input")
	}
}

// A panicOnClose handler panics when the first connection has ended.
type panicOnClose struct {
	recordingHandler
	panicked atomic.Bool
}

func (h *panicOnClose) Closed(c *Conn, err error, unsent []uint64) {
	h.recordingHandler.Closed(c, err, unsent)
	if !h.panicked.Swap(true) {
		panic("injected by the test")
	}
}

// A handler that panics when a connection ends, within the handling of its input or at the hang-up of its peer, ends
// neither the program nor the handling of other connections, and is counted.
func TestPanicAtCloseIsCounted(t *testing.T) {
	for name, end := range map[string]func(bad net.Conn){
		"invalid input": func(bad net.Conn) { bad.Write([]byte("\x02a\x00")) }, // a message, and bytes that end the connection
		"hang-up":       func(bad net.Conn) { bad.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h := &panicOnClose{recordingHandler: recordingHandler{echo: true}}
			s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, h)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			before := ErrorCount()
			bad, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer bad.Close()
			end(bad)
			h.wait(t, "the connection was not ended", func() bool { return h.closed == 1 })
			h.wait(t, "the panic was not counted", func() bool { return ErrorCount() > before })
			checkEcho(t, s)
		})
	}
}

// checkEcho checks that a server whose handler echoes messages serves another connection.
func checkEcho(t *testing.T, s *Server) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	c.Write([]byte("\x02b"))
	if n, err := c.Read(make([]byte, 2)); n == 0 || err != nil {
		t.Fatal(n, err)
	}
}
