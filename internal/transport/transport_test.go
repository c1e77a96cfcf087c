package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/gobwas/ws"
)

// An echoHandler records all events; on the server side it also sends each message back.
type echoHandler struct {
	mu       sync.Mutex
	received []string
	unsent   []uint64
	opened   chan *Conn
	closed   chan error
}

func newEchoHandler() *echoHandler {
	return &echoHandler{opened: make(chan *Conn, 100), closed: make(chan error, 100)}
}

func (e *echoHandler) Opened(c *Conn) { e.opened <- c }

func (e *echoHandler) Message(c *Conn, m []byte) {
	e.mu.Lock()
	e.received = append(e.received, string(m))
	e.mu.Unlock()
	if c.server != nil {
		c.Send(m, 0)
	}
}

func (e *echoHandler) Closed(_ *Conn, err error, unsent []uint64) {
	e.mu.Lock()
	e.unsent = append(e.unsent, unsent...)
	e.mu.Unlock()
	e.closed <- err
}

func (e *echoHandler) messages() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

var testLimits = Limits{MaxMessageBytes: 4096, MaxQueuedBytes: 64 << 10, WriteTimeout: 200 * time.Millisecond,
	HandshakeTimeout: 300 * time.Millisecond}

func startServer(t *testing.T, h Handler) *Server {
	t.Helper()
	s, err := Serve("127.0.0.1:0", "test.v1", testLimits, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

const upgradeRequest = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: test.v1\r\n\r\n"

// dialRaw connects without this package and writes the head, so that the test controls every byte sent to the server.
func dialRaw(t *testing.T, s *Server, head string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, head)
	return c, bufio.NewReader(c)
}

// readResponseHead reads an HTTP response head and returns its first line.
func readResponseHead(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	first, err := r.ReadString('\n')
	for line := first; err == nil && line != "\r\n"; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		t.Fatal(err)
	}
	return first
}

func maskedFrame(op ws.OpCode, fin bool, text string) string {
	return string(ws.MustCompileFrame(ws.MaskFrame(ws.NewFrame(op, fin, []byte(text)))))
}

// Guards against messages that are lost or altered when they are large, arrive byte by byte, or are fragmented with a
// ping between the fragments.
func TestMessagesAndFragmentsBothWays(t *testing.T) {
	server, client := newEchoHandler(), newEchoHandler()
	s := startServer(t, server)
	c, err := Dial(s.Address(), "test.v1", time.Second, testLimits, client, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Send([]byte("one"), 0)
	c.Send([]byte(strings.Repeat("x", 4000)), 0)
	for end := time.Now().Add(5 * time.Second); len(client.messages()) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := client.messages(); len(got) != 2 || got[0] != "one" || len(got[1]) != 4000 {
		t.Fatal(len(got))
	}
	// The input arrives byte by byte, with a ping between two fragments.
	peer, r := dialRaw(t, s, "")
	all := upgradeRequest + maskedFrame(ws.OpText, false, "he") + maskedFrame(ws.OpPing, true, "p") + maskedFrame(ws.OpContinuation, true, "y")
	for i := range len(all) {
		if _, err := peer.Write([]byte{all[i]}); err != nil {
			t.Fatal(err)
		}
	}
	readResponseHead(t, r)
	for _, want := range []ws.OpCode{ws.OpPong, ws.OpText} {
		f, err := readFrame(r)
		if err != nil || f.Header.OpCode != want || want == ws.OpText && string(f.Payload) != "hey" {
			t.Fatal(f, err)
		}
	}
}

// Guards against a protocol error that is closed with the wrong status code, or that affects another connection.
func TestProtocolErrorsCloseWithTheirCode(t *testing.T) {
	server := newEchoHandler()
	s := startServer(t, server)
	other, otherReader := dialRaw(t, s, upgradeRequest)
	readResponseHead(t, otherReader)
	huge := []byte{0x81, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4}
	sign := append([]byte{0x81, 0xff, 0xff}, huge[3:]...)
	for name, c := range map[string]struct {
		bytes string
		code  ws.StatusCode
	}{
		"unmasked":      {string(ws.MustCompileFrame(ws.NewTextFrame([]byte("x")))), ws.StatusProtocolError},
		"continuation":  {maskedFrame(ws.OpContinuation, true, "x"), ws.StatusProtocolError},
		"text in text":  {maskedFrame(ws.OpText, false, "x") + maskedFrame(ws.OpText, true, "x"), ws.StatusProtocolError},
		"reserved":      {maskedFrame(ws.OpCode(5), true, "x"), ws.StatusProtocolError},
		"binary":        {maskedFrame(ws.OpBinary, true, "x"), ws.StatusUnsupportedData},
		"oversized":     {maskedFrame(ws.OpText, true, strings.Repeat("x", 5000)), ws.StatusMessageTooBig},
		"announced":     {string(huge), ws.StatusMessageTooBig},
		"signed length": {string(sign), ws.StatusMessageTooBig},
		"many fragments": {strings.Repeat(maskedFrame(ws.OpContinuation, false, ""), 0) +
			maskedFrame(ws.OpText, false, strings.Repeat("x", 3000)) +
			maskedFrame(ws.OpContinuation, true, strings.Repeat("x", 3000)), ws.StatusMessageTooBig},
	} {
		_, r := dialRaw(t, s, upgradeRequest+c.bytes)
		readResponseHead(t, r)
		f, err := readFrame(r)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if code, _ := ws.ParseCloseFrameData(f.Payload); f.Header.OpCode != ws.OpClose || code != c.code {
			t.Errorf("%s: closed with %d, want %d", name, code, c.code)
		}
	}
	io.WriteString(other, maskedFrame(ws.OpText, true, "still here"))
	if f, err := readFrame(otherReader); err != nil || string(f.Payload) != "still here" {
		t.Fatal(f, err)
	}
}

// Guards against invalid handshakes that are accepted, and against overlong and unfinished ones that keep their
// connection.
func TestBadHandshakesAreRejected(t *testing.T) {
	s := startServer(t, newEchoHandler())
	for name, head := range map[string]string{
		"no sub-protocol": strings.Replace(upgradeRequest, "test.v1", "test.v9", 1),
		"not a websocket": "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"no HTTP":         "hello\r\n\r\n",
	} {
		_, r := dialRaw(t, s, head)
		if first, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(first, "HTTP/1.1 4") {
			t.Errorf("%s: %q %v", name, first, err)
		}
	}
	for _, head := range []string{strings.Repeat("x", maxHandshakeBytes+1), "GET / HT"} { // too long; never completed
		_, r := dialRaw(t, s, head)
		if _, err := r.ReadByte(); err == nil {
			t.Error("the connection was not closed")
		} else if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
			t.Error("the connection was not closed within 5 s")
		}
	}
}

// Guards against a peer that never reads and keeps its connection and an unbounded queue. The messages that were not
// sent must be reported.
func TestPeerThatNeverReadsIsDisconnected(t *testing.T) {
	server := newEchoHandler()
	s := startServer(t, server)
	_, r := dialRaw(t, s, upgradeRequest)
	readResponseHead(t, r)
	c := <-server.opened
	chunk := []byte(strings.Repeat("x", 4000))
	for tag := uint64(1); tag < 1<<20; tag++ {
		if !c.Send(chunk, tag) {
			break
		}
	}
	select {
	case err := <-server.closed:
		if !errors.Is(err, ErrSlowPeer) {
			t.Fatal(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not closed")
	}
	if len(server.unsent) == 0 || len(server.unsent) > testLimits.MaxQueuedBytes/4000+1 {
		t.Fatal(len(server.unsent))
	}
}

// Guards against a cancelled message that is sent, and a cancellation that succeeds twice, for an unknown tag or after
// the message was sent.
func TestCancelledMessagesAreNeverSent(t *testing.T) {
	server := newEchoHandler()
	s := startServer(t, server)
	_, r := dialRaw(t, s, upgradeRequest)
	readResponseHead(t, r)
	c := <-server.opened
	// With writing set, Send starts no write of its own, so both messages stay in the queue.
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	c.Send([]byte("a"), 7)
	c.Send([]byte("b"), 8)
	if !c.CancelSend(7) || c.CancelSend(7) || c.CancelSend(9) {
		t.Fatal("CancelSend did not return true exactly once")
	}
	go c.writeQueue()
	if f, err := readFrame(r); err != nil || string(f.Payload) != "b" {
		t.Fatal(f, err)
	}
	if c.CancelSend(8) {
		t.Fatal("CancelSend succeeded for a message that was sent")
	}
}

// Guards against a deadlock that once hung a whole day's run: a handler calls Send while it holds a lock that its
// Closed also takes, the write fails, and Closed is called from within Send. Closed must be called from another
// goroutine.
func TestSendUnderHandlerLockDoesNotDeadlock(t *testing.T) {
	h := &lockingHandler{opened: make(chan *Conn, 1), closed: make(chan bool, 1)}
	s := startServer(t, h)
	peer, r := dialRaw(t, s, upgradeRequest)
	readResponseHead(t, r)
	c := <-h.opened
	peer.(*net.TCPConn).SetLinger(0)
	peer.Close() // a reset: the next writes fail
	done := make(chan bool)
	go func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for c.Send([]byte("x"), 0) {
		}
		close(done)
	}()
	for _, ch := range []chan bool{done, h.closed} {
		select {
		case <-ch:
		case <-time.After(5 * time.Second):
			t.Fatal("deadlock")
		}
	}
}

// A lockingHandler takes its lock in Closed.
type lockingHandler struct {
	mu     sync.Mutex
	opened chan *Conn
	closed chan bool
}

func (h *lockingHandler) Opened(c *Conn)        { h.opened <- c }
func (h *lockingHandler) Message(*Conn, []byte) {}
func (h *lockingHandler) Closed(*Conn, error, []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed <- true
}

// Guards against a Dial that succeeds, or hides a failed handshake, when the server rejects, ignores or resets it.
func TestDialReportsHandshakeFailure(t *testing.T) {
	s := startServer(t, newEchoHandler())
	if _, err := Dial(s.Address(), "other.v1", time.Second, testLimits, newEchoHandler(), nil); !errors.Is(err, ErrHandshake) {
		t.Error(err)
	}
	s.SetSilent(true)
	if _, err := Dial(s.Address(), "test.v1", 100*time.Millisecond, testLimits, newEchoHandler(), nil); !errors.Is(err, ErrHandshake) {
		t.Error(err)
	}
	s.SetSilent(false)
	s.SetRefusing(true)
	if _, err := Dial(s.Address(), "test.v1", time.Second, testLimits, newEchoHandler(), nil); err == nil {
		t.Error("connected to a server that resets connections")
	}
}

// Guards against a lost status code or reason of a close frame, and against a second call of Closed on either side.
func TestClosedIsCalledOnce(t *testing.T) {
	server, client := newEchoHandler(), newEchoHandler()
	s := startServer(t, server)
	if _, err := Dial(s.Address(), "test.v1", time.Second, testLimits, client, nil); err != nil {
		t.Fatal(err)
	}
	(<-server.opened).Close(1013, "later")
	if err := <-client.closed; !errors.Is(err, ErrClosedByPeer) || !strings.Contains(err.Error(), "1013 later") {
		t.Fatal(err)
	}
	if err := <-server.closed; !errors.Is(err, ErrClosedLocally) {
		t.Fatal(err)
	}
	select {
	case err := <-server.closed:
		t.Fatal("Closed was called twice", err)
	case err := <-client.closed:
		t.Fatal("Closed was called twice", err)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a close reason that is not UTF-8: one that quoted the peer's own bytes was shortened in the middle of
// a character, and a peer fails the connection for that (RFC 6455, 8.1).
func TestCloseReasonsAreShortUTF8(t *testing.T) {
	for _, text := range []string{"", "plain", strings.Repeat("é", 100), "x" + strings.Repeat("é", 100), "\xff\xfe",
		strings.Repeat("\xff", 300)} {
		if r := closeReason(text); len(r) > 120 || !utf8.ValidString(r) || len(text) <= 120 && utf8.ValidString(text) && r != text {
			t.Errorf("closeReason(%q) = %q", text, r)
		}
	}
}

// A panicOnMessage handler panics on one message and echoes the others.
type panicOnMessage struct{ *echoHandler }

func (h panicOnMessage) Message(c *Conn, m []byte) {
	if string(m) == "trip" {
		panic("injected by the test")
	}
	h.echoHandler.Message(c, m)
}

// Guards against a handler's panic that is not counted, leaves its connection open or affects another one. Such a
// panic was once written by netpoll's pool to standard error, which may block on its reader.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	s := startServer(t, panicOnMessage{newEchoHandler()})
	bad, good := newEchoHandler(), newEchoHandler()
	badConn, err := Dial(s.Address(), "test.v1", time.Second, testLimits, bad, nil)
	if err != nil {
		t.Fatal(err)
	}
	goodConn, err := Dial(s.Address(), "test.v1", time.Second, testLimits, good, nil)
	if err != nil {
		t.Fatal(err)
	}
	before := ErrorCount()
	badConn.Send([]byte("trip"), 0)
	select {
	case <-bad.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not closed")
	}
	if ErrorCount() == before {
		t.Fatal("the panic was not counted")
	}
	goodConn.Send([]byte("well"), 0)
	for end := time.Now().Add(5 * time.Second); len(good.messages()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the other connection received no answer")
		}
	}
}

// maxTestFrameBytes exceeds the size of every frame that a test reads.
const maxTestFrameBytes = 64 << 10

// readFrame reads a frame of at most maxTestFrameBytes.
func readFrame(r io.Reader) (f ws.Frame, err error) {
	if f.Header, err = ws.ReadHeader(r); err != nil {
		return f, err
	}
	if f.Header.Length > maxTestFrameBytes {
		return f, fmt.Errorf("the frame has %d bytes", f.Header.Length)
	}
	f.Payload = make([]byte, f.Header.Length)
	_, err = io.ReadFull(r, f.Payload)
	return f, err
}
