// Package transport carries wire messages over WebSocket (RFC 6455) on netpoll: players', nodes' and the
// list's connections alike, each with its own sub-protocol. It knows frames, sizes and queues, not what a
// message means. Where a protocol frames its messages itself, a Split takes the place of WebSocket and all
// else is shared: see plain.go.
//
// A connection costs no goroutine while nothing moves on it. What comes in is handed to the Handler on
// netpoll's workers, one call at a time for each connection; Send may be called by any goroutine and never
// blocks. Every queue is bounded: a peer that does not read is cut off once its queue is full or a write
// has stood still for the write time-out, and a peer that sends a larger message than it may, or breaks the
// protocol, is closed with the code that says so.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"
)

// A Handler takes what happens on connections. For one connection its calls come one after another,
// Opened first and Closed last; for different connections they come from different goroutines.
type Handler interface {
	// Opened says that the handshake is done.
	Opened(c *Conn)
	// Message hands over a message; the bytes are the handler's to keep.
	Message(c *Conn, message []byte)
	// Closed says that the connection has ended and why. Unsent names the tags of messages of which
	// not one byte was handed to the kernel. Opened may never have been called.
	Closed(c *Conn, why error, unsent []uint64)
}

// Bounds are the limits of a connection.
type Bounds struct {
	Message   int           // bytes of a message that is read, fragments together
	Queue     int           // bytes of messages that wait to be written
	Write     time.Duration // longest that a write may stand still
	Handshake time.Duration // longest that a handshake may take
	Kernel    int           // bytes that the kernel may hold for a peer that does not read; 0: as the system does
	Pending   int           // connections whose handshake has not come whole yet; more are reset. 0: no bound
}

// headMost is the largest HTTP head of a handshake; burstMost is how much a peer may have sent beyond one
// message before any of it was looked at.
const (
	headMost  = 4 << 10
	burstMost = 1 << 20
)

// The reasons for which connections end, counted by the caller with Cause.
var (
	ErrSlow      = errors.New("peer does not read")
	ErrTooLarge  = errors.New("message too large")
	ErrProtocol  = errors.New("protocol broken")
	ErrHandshake = errors.New("handshake failed")
	ErrPeer      = errors.New("closed by peer")
	ErrClosed    = errors.New("closed here")
)

// Cause is a short word for a closing error, for logs and metrics.
func Cause(err error) string {
	for _, c := range []struct {
		err  error
		word string
	}{{ErrSlow, "slow"}, {ErrTooLarge, "too_large"}, {ErrProtocol, "protocol"}, {ErrHandshake, "handshake"},
		{ErrPeer, "peer"}, {ErrClosed, "here"}} {
		if errors.Is(err, c.err) {
			return c.word
		}
	}
	return "lost"
}

// A Gate is a Handler that wants to be asked before a handshake is answered: it calls Welcome or TurnAway on
// the connection, then or later, from any goroutine.
type Gate interface {
	Knock(c *Conn)
}

// An InputEnder is a Handler that closes connections itself whose peers have sent what can't be read: nothing more is read
// from such a peer, and what is sent to it still goes out. It is asked only where messages frame themselves.
type InputEnder interface {
	InputEnded(c *Conn, why error)
}

// EndInput reads nothing more from a peer that has broken the protocol or a bound. The connection is closed, with a code,
// by who has an InputEnder once nothing is owed on it, else at once.
func (c *Conn) EndInput(why error, code ws.StatusCode) {
	ender, ok := c.handler.(InputEnder)
	if !ok || c.split == nil || c.server == nil || !c.whole.Load() {
		c.end(why, code, why.Error())
		return
	}
	if !c.deaf.Swap(true) {
		ender.InputEnded(c, why)
	}
}

// Queued tells whether anything that was sent still waits to be written.
func (c *Conn) Queued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// A carrier is what is below a connection: netpoll's, or one in memory.
type carrier interface {
	Close() error
	RemoteAddr() net.Addr
	// stage takes bytes of the frames that are to be written next. It is called with the connection's lock
	// held and never after the connection was settled: its buffers may be another's by then.
	stage(frames []frame, size int) error
	// flush blocks until the kernel has what was staged, or the write time-out is over.
	flush() error
}

type socket struct{ netpoll.Connection }

func (s socket) stage(frames []frame, size int) error {
	out, err := s.Writer().Malloc(size)
	if err != nil {
		return err
	}
	at := 0
	for _, f := range frames {
		at += copy(out[at:], f.body)
	}
	return nil
}

func (s socket) flush() error { return s.Writer().Flush() }

// Conn is a WebSocket connection.
type Conn struct {
	np      carrier
	handler Handler
	bounds  Bounds
	client  bool  // this side dialled: it masks, its peer does not
	split   Split // nil: WebSocket
	came    time.Time
	server  *Server
	cookie  atomic.Value // the handler's own
	number  atomic.Uint64

	// Only the reading worker touches these.
	open     bool
	partial  []byte // an incomplete head or frame; nil while idle
	message  []byte // fragments so far
	fragment ws.OpCode
	half     bool
	pinged   bool
	ping     []byte      // of the last ping that is not answered yet
	moved    bool        // a message that frames itself has come whole since the last look
	begun    *time.Timer // runs while a message that frames itself has come in part
	deaf     atomic.Bool // nothing more is read: what comes is dropped

	once    sync.Once
	mu      sync.Mutex
	shook   bool        // the handshake is done
	head    []byte      // of a handshake that waits for the gate
	whole   atomic.Bool // the handshake has come whole, or the connection has ended before
	cutoff  *time.Timer // for one that does not
	fd      int         // where frames are written at once while nothing waits; under 0: not there (any more)
	queue   []frame
	queued  int
	writing bool
	why     error        // set once the connection is to end
	last    bool         // nothing more goes out but the close frame that is queued
	heard   atomic.Int64 // when anything last came from the peer, by monotonic; 0: never
}

type frame struct {
	tag    uint64
	advice uint64
	body   []byte
}

// Cookie is what SetCookie stored, nil before that.
func (c *Conn) Cookie() any { return c.cookie.Load() }

// SetCookie stores the handler's own record of the connection; always of the same type.
func (c *Conn) SetCookie(cookie any) { c.cookie.Store(cookie) }

// Number is what SetNumber stored, 0 before that.
func (c *Conn) Number() uint64 { return c.number.Load() }

// SetNumber stores the handler's own number of the connection.
func (c *Conn) SetNumber(n uint64) { c.number.Store(n) }

// Peer is the other side's address.
func (c *Conn) Peer() net.Addr { return c.np.RemoteAddr() }

// Quiet is for how long nothing has come from the peer.
func (c *Conn) Quiet() time.Duration { return monotonic() - time.Duration(c.heard.Load()) }

var programStart = time.Now()

// monotonic is the time since the program's start. Steps of the wall clock don't change it. It is never 0.
func monotonic() time.Duration { return max(1, time.Since(programStart)) }

// Send queues a message, or writes it where nothing waits; it never calls the handler, so it may be called
// with any lock held. A tag other than 0 lets Withdraw and Closed name it. It says false where the
// connection has ended or its queue is full, in which case the connection is ended.
func (c *Conn) Send(message []byte, tag uint64) bool { return c.send(ws.OpText, message, tag) }

// Advise queues a message that may be dropped or overtaken: one with the same key that still waits is
// replaced by it, and nothing is queued where half of the queue's bound is taken. It is for advice, which a
// later one makes worthless; key 0 replaces nothing.
func (c *Conn) Advise(message []byte, key uint64) {
	c.mu.Lock()
	if c.queued*2 > c.bounds.Queue {
		c.mu.Unlock()
		return
	}
	for i := range c.queue {
		if f := &c.queue[i]; key != 0 && f.advice == key {
			body := c.frame(ws.OpText, message)
			c.queued += len(body) - len(f.body)
			f.body = body
			c.mu.Unlock()
			return
		}
	}
	c.mu.Unlock()
	c.put(frame{body: c.frame(ws.OpText, message), advice: key}, false)
}

// Ping queues a ping.
func (c *Conn) Ping() bool { return c.split != nil || c.send(ws.OpPing, nil, 0) }

func (c *Conn) send(op ws.OpCode, payload []byte, tag uint64) bool {
	return c.put(frame{tag: tag, body: c.frame(op, payload)}, op == ws.OpClose)
}

// frame puts a payload into a frame of its own.
func (c *Conn) frame(op ws.OpCode, payload []byte) []byte {
	if c.split != nil {
		return payload
	}
	f := ws.NewFrame(op, true, payload)
	if c.client {
		f = ws.MaskFrame(f)
	}
	return ws.MustCompileFrame(f)
}

// put writes a frame at once where nothing waits, and queues it else.
func (c *Conn) put(f frame, last bool) bool {
	c.mu.Lock()
	if c.why != nil && !last || c.last {
		c.mu.Unlock()
		return false
	}
	if m, ok := c.np.(*memory); ok && !last && c.why == nil {
		c.mu.Unlock()
		m.network.carry(m, f.body)
		return true
	}
	if !last && !c.writing && c.fd >= 0 {
		n, err := unix.Write(c.fd, f.body)
		switch {
		case n == len(f.body):
			c.mu.Unlock()
			return true
		case n > 0: // the rest can't be had back any more
			f = frame{body: f.body[n:]}
		case err != unix.EAGAIN && err != unix.EINTR:
			c.mu.Unlock()
			go c.fail(err) // the handler's Closed may want a lock that our caller holds
			return false
		}
	}
	if c.queued+len(f.body) > c.bounds.Queue && !last {
		queued := c.queued
		c.mu.Unlock()
		go c.fail(fmt.Errorf("%w: %d bytes wait", ErrSlow, queued))
		return false
	}
	c.queue = append(c.queue, f)
	c.queued += len(f.body)
	c.last = c.last || last
	start := !c.writing
	c.writing = true
	c.mu.Unlock()
	if start {
		go c.write()
	}
	return true
}

// Withdraw takes a tagged message out of the queue. It says true if not one byte of it was handed to
// the kernel, and none ever will be.
func (c *Conn) Withdraw(tag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, f := range c.queue {
		if f.tag == tag {
			c.queued -= len(f.body)
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// writeAtOnce lets frames be written without a goroutine while nothing waits. It is called once the close
// callback is in place, which runs before the descriptor is closed: no other file can come to have it while
// a write holds the lock.
func (c *Conn) writeAtOnce() {
	f, ok := c.descriptor()
	if !ok {
		return
	}
	c.mu.Lock()
	if c.why == nil && !c.last {
		c.fd = f
	}
	c.mu.Unlock()
}

// batchMost is how many bytes are handed to the kernel at once: what waits behind them can still be
// withdrawn.
const batchMost = 16 << 10

// write hands queued frames to the kernel until none is left. One runs at a time for each connection.
func (c *Conn) write() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.writing = false
			c.queue = nil
			last, why := c.last, c.why
			c.mu.Unlock()
			if last && why != nil {
				c.np.Close()
			}
			return
		}
		take, size := 0, 0
		for take < len(c.queue) && (take == 0 || size+len(c.queue[take].body) <= batchMost) {
			size += len(c.queue[take].body)
			take++
		}
		err := c.np.stage(c.queue[:take], size)
		c.queue = c.queue[take:]
		c.queued -= size
		c.mu.Unlock()
		if err == nil {
			err = c.np.flush()
		}
		if err != nil {
			if errors.Is(err, netpoll.ErrWriteTimeout) {
				err = fmt.Errorf("%w: a write stood still for %v", ErrSlow, c.bounds.Write)
			}
			c.fail(err)
			c.mu.Lock()
			c.writing = false
			c.mu.Unlock()
			return
		}
	}
}

// Close ends the connection after what is queued and a close frame have gone out.
func (c *Conn) Close(code ws.StatusCode, reason string) {
	c.end(fmt.Errorf("%w: %s", ErrClosed, reason), code, reason)
}

func (c *Conn) end(why error, code ws.StatusCode, reason string) {
	c.mu.Lock()
	if c.why != nil {
		c.mu.Unlock()
		return
	}
	c.why = why
	shook := c.shook
	c.mu.Unlock()
	if !shook {
		c.np.Close()
		return
	}
	var body []byte
	if c.split == nil {
		body = ws.NewCloseFrameBody(code, closeReason(reason))
	}
	c.send(ws.OpClose, body, 0)
}

// closeReason makes a text fit into a close frame: short enough, and UTF-8, which a peer may insist on (RFC 6455, 5.5.1)
// though its own bytes, quoted, are not.
func closeReason(text string) string {
	const most = 120
	text = strings.ToValidUTF8(text, "?")
	for len(text) > most {
		_, last := utf8.DecodeLastRuneInString(text)
		text = text[:len(text)-last]
	}
	return text
}

// Cut ends the connection at once; what is queued is dropped.
func (c *Conn) Cut() { c.fail(ErrClosed) }

// Reset ends the connection at once so that the peer sees a reset.
func (c *Conn) Reset() {
	if f, ok := c.descriptor(); ok {
		setLinger(f)
	}
	c.fail(ErrClosed)
}

func (c *Conn) descriptor() (int, bool) {
	if s, ok := c.np.(socket); ok {
		if f, ok := s.Connection.(netpoll.Conn); ok {
			return f.Fd(), true
		}
	}
	return 0, false
}

func (c *Conn) fail(why error) {
	c.mu.Lock()
	if c.why == nil {
		c.why = why
	}
	if errors.Is(why, ErrSlow) && c.fd >= 0 {
		// The peer's window is shut: a closing that waits for it would leave what is unsent in the kernel
		// for minutes, and the peer would not hear of it.
		setLinger(c.fd)
	}
	c.mu.Unlock()
	c.np.Close()
}

func (c *Conn) closed(netpoll.Connection) error {
	c.once.Do(c.settle)
	return nil
}

func (c *Conn) settle() {
	if c.server != nil {
		c.cameWhole()
		c.server.forget(c)
	}
	c.mu.Lock()
	why := c.why
	if why == nil {
		why = fmt.Errorf("connection lost")
		c.why = why
	}
	var unsent []uint64
	for _, f := range c.queue {
		if f.tag != 0 {
			unsent = append(unsent, f.tag)
		}
	}
	c.queue, c.queued, c.last, c.fd = nil, 0, true, -1 // the descriptor is closed after this
	c.mu.Unlock()
	c.handler.Closed(c, why, unsent)
}

// read takes all that has come: netpoll calls it again and again while anything is left.
func (c *Conn) read(_ context.Context, np netpoll.Connection) error {
	defer c.recover()
	r := np.Reader()
	n := r.Len()
	if n == 0 {
		return nil
	}
	if n > burstMost+c.bounds.Message {
		c.EndInput(fmt.Errorf("%w: %d bytes at once", ErrTooLarge, n), ws.StatusPolicyViolation)
	}
	in, err := r.Next(n)
	if err != nil {
		return err
	}
	c.feed(in)
	return r.Release()
}

// recover ends a connection whose handler has panicked, which is a fault of the program, and counts it: netpoll's pool
// would write about it to standard error itself.
func (c *Conn) recover() {
	if r := recover(); r != nil {
		complaints.Add(1)
		c.EndInput(fmt.Errorf("%w: panic: %v", ErrClosed, r), ws.StatusInternalServerError)
	}
}

// feed takes bytes from the peer; they are the caller's again afterwards.
func (c *Conn) feed(in []byte) {
	c.heard.Store(int64(monotonic()))
	if len(c.partial) > 0 {
		c.partial = append(c.partial, in...)
		in = c.partial
	}
	c.keep(in, c.consume(in))
	if c.split != nil && c.server != nil && c.open {
		c.hurry()
	}
	c.pong()
}

// pong answers the last of the pings that came together, as RFC 6455 allows (5.5.3): a flood of them costs its
// sender more.
func (c *Conn) pong() {
	if c.pinged && (c.server == nil || !c.server.silent.Load()) {
		c.send(ws.OpPong, c.ping, 0)
	}
	c.pinged, c.ping = false, nil
}

// keep holds on to the incomplete rest of what has come.
func (c *Conn) keep(in, rest []byte) {
	switch {
	case len(rest) == 0:
		c.partial = nil
	case len(rest) < len(in) || len(c.partial) == 0:
		c.partial = bytes.Clone(rest)
	}
}

// consume works through what has come and returns the incomplete rest.
func (c *Conn) consume(in []byte) []byte {
	if c.split != nil {
		return c.plain(in)
	}
	if !c.open {
		c.mu.Lock()
		waits := c.head != nil
		c.open = c.shook
		c.mu.Unlock()
		if waits {
			c.turnAway(errors.New("bytes before the handshake was answered"))
			return nil
		}
	}
	if !c.open {
		end := bytes.Index(in, []byte("\r\n\r\n"))
		if end < 0 {
			if len(in) > headMost {
				c.turnAway(fmt.Errorf("head over %d bytes", headMost))
				return nil
			}
			return in
		}
		head := in[:end+4]
		c.cameWhole()
		if gate, ok := c.handler.(Gate); ok && c.server != nil && !c.server.silent.Load() {
			c.mu.Lock()
			c.head = bytes.Clone(head)
			c.mu.Unlock()
			gate.Knock(c)
			return nil
		}
		if !c.upgrade(head) {
			return nil
		}
		c.open = true
		in = in[end+4:]
	}
	for len(in) > 0 {
		c.mu.Lock()
		ended := c.why != nil
		c.mu.Unlock()
		if ended {
			return nil
		}
		h, size, ok := header(in)
		if !ok {
			return in
		}
		state := ws.StateServerSide
		if c.client {
			state = ws.StateClientSide
		}
		if c.half {
			state = state.Set(ws.StateFragmented)
		}
		if err := ws.CheckHeader(h, state); err != nil {
			c.end(fmt.Errorf("%w: %v", ErrProtocol, err), ws.StatusProtocolError, err.Error())
			return nil
		}
		if h.Length > int64(c.bounds.Message) || len(c.message)+int(h.Length) > c.bounds.Message {
			c.end(fmt.Errorf("%w: over %d bytes", ErrTooLarge, c.bounds.Message), ws.StatusMessageTooBig,
				fmt.Sprintf("over %d bytes", c.bounds.Message))
			return nil
		}
		if len(in) < size+int(h.Length) {
			return in
		}
		payload := bytes.Clone(in[size : size+int(h.Length)])
		in = in[size+int(h.Length):]
		if h.Masked {
			ws.Cipher(payload, h.Mask, 0)
		}
		c.take(h, payload)
	}
	return nil
}

// header reads a frame's header; it says false where it is not complete.
func header(in []byte) (h ws.Header, size int, ok bool) {
	r := bytes.NewReader(in)
	h, err := ws.ReadHeader(r)
	if err != nil {
		// A length with its highest bit set is the one thing refused here; it reads as over any bound.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return h, 0, false
		}
		return ws.Header{Fin: true, OpCode: ws.OpText, Masked: true, Length: 1 << 62}, 0, true
	}
	return h, len(in) - r.Len(), true
}

func (c *Conn) take(h ws.Header, payload []byte) {
	switch h.OpCode {
	case ws.OpPing:
		c.pinged, c.ping = true, payload
	case ws.OpPong:
	case ws.OpClose:
		code, reason := ws.ParseCloseFrameData(payload)
		c.end(fmt.Errorf("%w: %d %s", ErrPeer, code, reason), ws.StatusNormalClosure, "")
	case ws.OpBinary:
		c.end(fmt.Errorf("%w: binary message", ErrProtocol), ws.StatusUnsupportedData, "text messages only")
	default:
		c.pong()
		if !h.Fin {
			c.half = true
			c.message = append(c.message, payload...)
			return
		}
		if c.half {
			payload, c.message, c.half = append(c.message, payload...), nil, false
		}
		c.handler.Message(c, payload)
	}
}

// both reads from one side and writes to the other: a handshake in memory.
type both struct {
	io.Reader
	io.Writer
}

func (c *Conn) turnAway(why error) {
	c.fail(fmt.Errorf("%w: %v", ErrHandshake, why))
}

// Welcome answers a handshake that waits for the gate.
func (c *Conn) Welcome() {
	if c.split != nil {
		c.handler.Opened(c)
		return
	}
	c.mu.Lock()
	head := c.head
	c.head = nil
	c.mu.Unlock()
	if head != nil {
		c.upgrade(head)
	}
}

// TurnAway answers a handshake that waits for the gate with 503 and a time to come back.
func (c *Conn) TurnAway(retry time.Duration, why string) {
	if c.split != nil {
		c.Close(closeLater, why)
		return
	}
	c.mu.Lock()
	waits := c.head != nil
	c.head = nil
	c.mu.Unlock()
	if !waits {
		return
	}
	seconds := int64((retry + time.Second - 1) / time.Second) // the header has whole seconds
	c.answer(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\nX-Retry-After-Ms: %d\r\n", seconds, retry.Milliseconds()), why)
}

// answer ends a handshake with a status.
func (c *Conn) answer(status int, headers, why string) {
	c.mu.Lock()
	if c.why == nil {
		c.why = fmt.Errorf("%w: %s", ErrHandshake, why)
	}
	c.mu.Unlock()
	c.put(frame{body: fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status,
		http.StatusText(status), headers, len(why), why)}, true)
}

// upgrade answers a handshake.
func (c *Conn) upgrade(head []byte) bool {
	if c.server == nil || c.server.silent.Load() {
		return false // a client upgrades before it reads
	}
	var out bytes.Buffer
	up := ws.Upgrader{
		Protocol: func(p []byte) bool { return string(p) == c.server.protocol },
	}
	hs, err := up.Upgrade(both{bytes.NewReader(head), &out})
	if err == nil && hs.Protocol != c.server.protocol {
		err = fmt.Errorf("no sub-protocol %s offered", c.server.protocol)
		out.Reset()
	}
	if err != nil {
		if out.Len() == 0 {
			c.answer(http.StatusBadRequest, "", err.Error())
			return false
		}
		c.mu.Lock()
		c.why = fmt.Errorf("%w: %v", ErrHandshake, err)
		c.mu.Unlock()
		c.put(frame{body: out.Bytes()}, true)
		return false
	}
	c.mu.Lock()
	c.shook = true
	c.mu.Unlock()
	c.put(frame{body: out.Bytes()}, false)
	c.handler.Opened(c)
	return true
}

// Server accepts WebSocket connections of one sub-protocol.
type Server struct {
	protocol string
	bounds   Bounds
	handler  Handler
	listener net.Listener
	loop     netpoll.EventLoop
	silent   atomic.Bool
	refusing atomic.Bool
	pending  atomic.Int32 // connections whose handshake has not come whole yet
	mu       sync.Mutex
	conns    map[*Conn]bool // emptied as connections close
}

// Serve listens at an address and hands connections to the handler until Close.
func Serve(address, protocol string, bounds Bounds, handler Handler) (*Server, error) {
	return serve(address, protocol, nil, bounds, handler)
}

func serve(address, protocol string, split Split, bounds Bounds, handler Handler) (*Server, error) {
	ln, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	s := &Server{protocol: protocol, bounds: bounds, handler: handler, listener: ln, conns: map[*Conn]bool{}}
	type key struct{}
	s.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, np netpoll.Connection) error { return ctx.Value(key{}).(*Conn).read(ctx, np) },
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			c := &Conn{np: socket{np}, handler: handler, bounds: bounds, server: s, split: split, shook: split != nil, came: time.Now(), fd: -1}
			n := s.pending.Add(1)
			if split != nil && bounds.Pending > 0 && int(n) > bounds.Pending {
				s.crowdOut()
				n = 0
			}
			if s.refusing.Load() || bounds.Pending > 0 && int(n) > bounds.Pending {
				s.pending.Add(-1)
				c.server = nil
				if f, ok := np.(netpoll.Conn); ok {
					setLinger(f.Fd())
				}
				np.Close()
				return context.Background()
			}
			if f, ok := np.(netpoll.Conn); ok && bounds.Kernel > 0 {
				// Left alone it grows to megabytes for a peer that asks for much and reads nothing. An error
				// leaves it as it was.
				unix.SetsockoptInt(f.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, bounds.Kernel)
			}
			np.SetWriteTimeout(bounds.Write)
			np.AddCloseCallback(c.closed)
			c.writeAtOnce()
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			if bounds.Handshake > 0 {
				c.cutoff = time.AfterFunc(bounds.Handshake, func() { s.expire(c) })
			}
			return context.WithValue(context.Background(), key{}, c)
		}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	go s.loop.Serve(ln)
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Silent makes the server take bytes and answer nothing of itself (handshakes, pings): half-open, as
// seen from the other side.
func (s *Server) Silent(on bool) { s.silent.Store(on) }

// Refusing makes the server reset whoever connects, as a machine does on which nothing listens.
func (s *Server) Refusing(on bool) { s.refusing.Store(on) }

// Each calls f for every connection.
func (s *Server) Each(f func(*Conn)) {
	s.mu.Lock()
	all := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

// Close stops listening and cuts every connection.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	s.Each((*Conn).Cut)
	s.loop.Shutdown(ctx)
	s.Each((*Conn).Cut)
}

func (s *Server) forget(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// cameWhole notes that a handshake has come whole, or never will.
func (c *Conn) cameWhole() {
	if c.server != nil && !c.whole.Swap(true) {
		c.server.pending.Add(-1)
		if c.cutoff != nil {
			c.cutoff.Stop()
			c.cutoff = nil
		}
	}
}

// expire ends a connection whose handshake took too long.
func (s *Server) expire(c *Conn) {
	if !c.whole.Load() {
		c.turnAway(fmt.Errorf("not done within %v", s.bounds.Handshake))
	}
}

// Dial connects to a server and returns once the handshake is done or the time is up. The handler's
// Opened has been called when it returns without an error; without one nothing of it is ever called.
func Dial(address, protocol string, within time.Duration, bounds Bounds, handler Handler, cookie any) (*Conn, error) {
	return DialFrom(netip.Addr{}, address, protocol, within, bounds, handler, cookie)
}

// DialFrom is Dial from an address of this machine; without one the system chooses.
func DialFrom(from netip.Addr, address, protocol string, within time.Duration, bounds Bounds, handler Handler, cookie any) (*Conn, error) {
	began := time.Now()
	np, err := dial(from, address, within)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	np.SetReadTimeout(max(time.Millisecond, within-time.Since(began)))
	d := ws.Dialer{Protocols: []string{protocol}}
	br, hs, err := d.Upgrade(np, &url.URL{Scheme: "ws", Host: address, Path: "/"})
	if err == nil && hs.Protocol != protocol {
		err = fmt.Errorf("sub-protocol %s not agreed", protocol)
	}
	if err != nil {
		np.Close()
		return nil, fmt.Errorf("connect to %s: %w: %v", address, ErrHandshake, err)
	}
	np.SetReadTimeout(0)
	np.SetWriteTimeout(bounds.Write)
	c := &Conn{np: socket{np}, handler: handler, bounds: bounds, client: true, open: true, shook: true, fd: -1}
	c.heard.Store(int64(monotonic()))
	if cookie != nil {
		c.SetCookie(cookie)
	}
	if br != nil {
		c.partial = leftover(br)
		ws.PutReader(br)
	}
	in := c.partial
	c.partial = nil
	c.stand(np, in)
	return c, nil
}

// stand puts a connection that was dialled into use; the peer may have said something by then.
func (c *Conn) stand(np netpoll.Connection, in []byte) {
	c.handler.Opened(c)
	np.AddCloseCallback(c.closed)
	c.feed(in)
	np.SetOnRequest(c.read)
	if !np.IsActive() { // it ended before the callback was there: netpoll leaves such a connection to its user
		np.Close()
		c.closed(np)
	} else {
		c.writeAtOnce()
	}
}

func dial(from netip.Addr, address string, within time.Duration) (netpoll.Connection, error) {
	if !from.IsValid() {
		return netpoll.DialConnection("tcp", address, within)
	}
	to, err := netpoll.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return netpoll.DialTCP(ctx, "tcp", &netpoll.TCPAddr{TCPAddr: net.TCPAddr{IP: from.AsSlice()}}, to)
}

// leftover is what a handshake's reader has read past its end.
func leftover(br *bufio.Reader) []byte {
	rest, _ := br.Peek(br.Buffered())
	return bytes.Clone(rest)
}
