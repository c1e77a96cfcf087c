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

// An echo answers each message with itself and keeps what it saw.
type echo struct {
	mu     sync.Mutex
	got    []string
	unsent []uint64
	opened chan *Conn
	closed chan error
}

func newEcho() *echo { return &echo{opened: make(chan *Conn, 100), closed: make(chan error, 100)} }

func (e *echo) Opened(c *Conn) { e.opened <- c }

func (e *echo) Message(c *Conn, m []byte) {
	e.mu.Lock()
	e.got = append(e.got, string(m))
	e.mu.Unlock()
	if c.server != nil {
		c.Send(m, 0)
	}
}

func (e *echo) Closed(_ *Conn, why error, unsent []uint64) {
	e.mu.Lock()
	e.unsent = append(e.unsent, unsent...)
	e.mu.Unlock()
	e.closed <- why
}

func (e *echo) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.got...)
}

var bounds = Limits{MaxMessageBytes: 4096, MaxQueuedBytes: 64 << 10, WriteTimeout: 200 * time.Millisecond, HandshakeTimeout: 300 * time.Millisecond}

func start(t *testing.T, h Handler) *Server {
	t.Helper()
	s, err := Serve("127.0.0.1:0", "test.v1", bounds, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

const shake = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: test.v1\r\n\r\n"

// raw is a peer that writes bytes of its own.
func raw(t *testing.T, s *Server, head string) (net.Conn, *bufio.Reader) {
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

func skipHead(t *testing.T, r *bufio.Reader) string {
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

func masked(op ws.OpCode, fin bool, text string) string {
	return string(ws.MustCompileFrame(ws.MaskFrame(ws.NewFrame(op, fin, []byte(text)))))
}

func TestMessagesCrossBothWaysAndInPieces(t *testing.T) {
	server, client := newEcho(), newEcho()
	s := start(t, server)
	c, err := Dial(s.Address(), "test.v1", time.Second, bounds, client, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Send([]byte("one"), 0)
	c.Send([]byte(strings.Repeat("x", 4000)), 0)
	for end := time.Now().Add(5 * time.Second); len(client.seen()) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := client.seen(); len(got) != 2 || got[0] != "one" || len(got[1]) != 4000 {
		t.Fatal(len(got))
	}
	// Byte by byte, fragmented, with a ping between the fragments.
	peer, r := raw(t, s, "")
	all := shake + masked(ws.OpText, false, "he") + masked(ws.OpPing, true, "p") + masked(ws.OpContinuation, true, "y")
	for i := range len(all) {
		if _, err := peer.Write([]byte{all[i]}); err != nil {
			t.Fatal(err)
		}
	}
	skipHead(t, r)
	for _, want := range []ws.OpCode{ws.OpPong, ws.OpText} {
		f, err := readFrame(r)
		if err != nil || f.Header.OpCode != want || want == ws.OpText && string(f.Payload) != "hey" {
			t.Fatal(f, err)
		}
	}
}

// A peer that breaks the protocol learns why, and nobody else is disturbed.
func TestBreachesAreClosedWithTheirCode(t *testing.T) {
	server := newEcho()
	s := start(t, server)
	other, ro := raw(t, s, shake)
	skipHead(t, ro)
	huge := []byte{0x81, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4}
	sign := append([]byte{0x81, 0xff, 0xff}, huge[3:]...)
	for name, c := range map[string]struct {
		bytes string
		code  ws.StatusCode
	}{
		"unmasked":       {string(ws.MustCompileFrame(ws.NewTextFrame([]byte("x")))), ws.StatusProtocolError},
		"continuation":   {masked(ws.OpContinuation, true, "x"), ws.StatusProtocolError},
		"text in text":   {masked(ws.OpText, false, "x") + masked(ws.OpText, true, "x"), ws.StatusProtocolError},
		"reserved":       {masked(ws.OpCode(5), true, "x"), ws.StatusProtocolError},
		"binary":         {masked(ws.OpBinary, true, "x"), ws.StatusUnsupportedData},
		"oversized":      {masked(ws.OpText, true, strings.Repeat("x", 5000)), ws.StatusMessageTooBig},
		"announced":      {string(huge), ws.StatusMessageTooBig},
		"signed length":  {string(sign), ws.StatusMessageTooBig},
		"many fragments": {strings.Repeat(masked(ws.OpContinuation, false, ""), 0) + masked(ws.OpText, false, strings.Repeat("x", 3000)) + masked(ws.OpContinuation, true, strings.Repeat("x", 3000)), ws.StatusMessageTooBig},
	} {
		_, r := raw(t, s, shake+c.bytes)
		skipHead(t, r)
		f, err := readFrame(r)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if code, _ := ws.ParseCloseFrameData(f.Payload); f.Header.OpCode != ws.OpClose || code != c.code {
			t.Errorf("%s: closed with %d, wanted %d", name, code, c.code)
		}
	}
	io.WriteString(other, masked(ws.OpText, true, "still here"))
	if f, err := readFrame(ro); err != nil || string(f.Payload) != "still here" {
		t.Fatal(f, err)
	}
}

func TestBadHandshakesAreTurnedAway(t *testing.T) {
	s := start(t, newEcho())
	for name, head := range map[string]string{
		"no sub-protocol": strings.Replace(shake, "test.v1", "test.v9", 1),
		"not a websocket": "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"no HTTP":         "hello\r\n\r\n",
	} {
		_, r := raw(t, s, head)
		if first, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(first, "HTTP/1.1 4") {
			t.Errorf("%s: %q %v", name, first, err)
		}
	}
	for _, head := range []string{strings.Repeat("x", headMost+1), "GET / HT"} { // endless; and slow
		_, r := raw(t, s, head)
		if _, err := r.ReadByte(); err == nil {
			t.Error("not closed")
		} else if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
			t.Error("held for ever")
		}
	}
}

// A peer that never reads is cut off at its bound, and what was never handed over is named.
func TestPeerThatNeverReadsIsCutOff(t *testing.T) {
	server := newEcho()
	s := start(t, server)
	_, r := raw(t, s, shake)
	skipHead(t, r)
	c := <-server.opened
	chunk := []byte(strings.Repeat("x", 4000))
	for tag := uint64(1); tag < 1<<20; tag++ {
		if !c.Send(chunk, tag) {
			break
		}
	}
	select {
	case why := <-server.closed:
		if !errors.Is(why, ErrSlowPeer) {
			t.Fatal(why)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still connected")
	}
	if len(server.unsent) == 0 || len(server.unsent) > bounds.MaxQueuedBytes/4000+1 {
		t.Fatal(len(server.unsent))
	}
}

func TestWithdrawnMessagesNeverGoOut(t *testing.T) {
	server := newEcho()
	s := start(t, server)
	_, r := raw(t, s, shake)
	skipHead(t, r)
	c := <-server.opened
	// No write runs while the lock is held, so both wait in the queue.
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	c.Send([]byte("a"), 7)
	c.Send([]byte("b"), 8)
	if !c.CancelSend(7) || c.CancelSend(7) || c.CancelSend(9) {
		t.Fatal("withdrawal")
	}
	go c.write()
	if f, err := readFrame(r); err != nil || string(f.Payload) != "b" {
		t.Fatal(f, err)
	}
	if c.CancelSend(8) {
		t.Fatal("withdrawn after it went out")
	}
}

// A handler that sends under a lock of its own, which its Closed wants too, is not caught in it: a write
// that fails ends the connection from elsewhere. This hung a whole day once.
func TestSendMayBeCalledUnderTheHandlersLock(t *testing.T) {
	h := &locked{opened: make(chan *Conn, 1), closed: make(chan bool, 1)}
	s := start(t, h)
	peer, r := raw(t, s, shake)
	skipHead(t, r)
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
			t.Fatal("stuck")
		}
	}
}

type locked struct {
	mu     sync.Mutex
	opened chan *Conn
	closed chan bool
}

func (h *locked) Opened(c *Conn)        { h.opened <- c }
func (h *locked) Message(*Conn, []byte) {}
func (h *locked) Closed(*Conn, error, []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed <- true
}

func TestDialSaysWhatFailed(t *testing.T) {
	s := start(t, newEcho())
	if _, err := Dial(s.Address(), "other.v1", time.Second, bounds, newEcho(), nil); !errors.Is(err, ErrHandshake) {
		t.Error(err)
	}
	s.SetSilent(true)
	if _, err := Dial(s.Address(), "test.v1", 100*time.Millisecond, bounds, newEcho(), nil); !errors.Is(err, ErrHandshake) {
		t.Error(err)
	}
	s.SetSilent(false)
	s.SetRefusing(true)
	if _, err := Dial(s.Address(), "test.v1", time.Second, bounds, newEcho(), nil); err == nil {
		t.Error("connected to a machine that refuses")
	}
}

// The close frame's code and reason reach the peer, and both handlers hear of the end once.
func TestCloseIsToldOnce(t *testing.T) {
	server, client := newEcho(), newEcho()
	s := start(t, server)
	if _, err := Dial(s.Address(), "test.v1", time.Second, bounds, client, nil); err != nil {
		t.Fatal(err)
	}
	(<-server.opened).Close(1013, "later")
	if why := <-client.closed; !errors.Is(why, ErrClosedByPeer) || !strings.Contains(why.Error(), "1013 later") {
		t.Fatal(why)
	}
	if why := <-server.closed; !errors.Is(why, ErrClosedLocally) {
		t.Fatal(why)
	}
	select {
	case why := <-server.closed:
		t.Fatal("told twice", why)
	case why := <-client.closed:
		t.Fatal("told twice", why)
	case <-time.After(50 * time.Millisecond):
	}
}

// A reason that quotes the peer's own bytes was cut in the middle of a letter: no UTF-8, for which a peer ends the
// connection as broken (RFC 6455, 8.1).
func TestCloseReasonsAreShortUTF8(t *testing.T) {
	for _, text := range []string{"", "plain", strings.Repeat("é", 100), "x" + strings.Repeat("é", 100), "\xff\xfe", strings.Repeat("\xff", 300)} {
		if r := closeReason(text); len(r) > 120 || !utf8.ValidString(r) || len(text) <= 120 && utf8.ValidString(text) && r != text {
			t.Errorf("%q became %q", text, r)
		}
	}
}

type clumsy struct{ *echo }

func (h clumsy) Message(c *Conn, m []byte) {
	if string(m) == "trip" {
		panic("over it")
	}
	h.echo.Message(c, m)
}

// A handler that panicked on a message was counted nowhere, and netpoll's pool wrote about it to standard error itself,
// which may wait for a reader.
func TestPanicEndsItsConnectionAlone(t *testing.T) {
	s := start(t, clumsy{newEcho()})
	bad, good := newEcho(), newEcho()
	b, err := Dial(s.Address(), "test.v1", time.Second, bounds, bad, nil)
	if err != nil {
		t.Fatal(err)
	}
	g, err := Dial(s.Address(), "test.v1", time.Second, bounds, good, nil)
	if err != nil {
		t.Fatal(err)
	}
	before := InternalErrors()
	b.Send([]byte("trip"), 0)
	select {
	case <-bad.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stands")
	}
	if InternalErrors() == before {
		t.Fatal("nobody is told")
	}
	g.Send([]byte("well"), 0)
	for end := time.Now().Add(5 * time.Second); len(good.seen()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the other one is not answered")
		}
	}
}

// frameMost is more than any frame that a test waits for.
const frameMost = 64 << 10

// readFrame reads a frame that a connection has written, of a bounded size.
func readFrame(r io.Reader) (f ws.Frame, err error) {
	if f.Header, err = ws.ReadHeader(r); err != nil {
		return f, err
	}
	if f.Header.Length > frameMost {
		return f, fmt.Errorf("a frame of %d bytes", f.Header.Length)
	}
	f.Payload = make([]byte, f.Header.Length)
	_, err = io.ReadFull(r, f.Payload)
	return f, err
}
