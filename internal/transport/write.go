package transport

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
)

// Queued tells whether anything that was sent still waits to be written.
func (c *Conn) Queued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// A carrier is what is below a connection: a socket, or one in memory.
type carrier interface {
	Close() error
	RemoteAddr() net.Addr
	// write hands bytes to the kernel, as many as it takes now, and never blocks. None and no error: it takes none for
	// the moment. It is called with the connection's lock held, and never after the connection was settled: its
	// descriptor may be another's by then.
	write(p []byte) (int, error)
	// reset makes the close that follows a reset. It is called as write is.
	reset()
	// closeWithin bounds how long what was written may take to reach the peer after the close. It is called as write is.
	closeWithin(most time.Duration)
}

// socket is a carrier over TCP. Netpoll reads; what is written goes to the descriptor directly.
type socket struct {
	netpoll.Connection
	descriptor int
	calls      *systemCalls
}

func newSocket(np netpoll.Connection) socket {
	s := socket{np, -1, system.Load()}
	if d, ok := np.(netpoll.Conn); ok {
		s.descriptor = d.Fd()
	}
	return s
}

func (s socket) write(p []byte) (int, error) {
	n, err := s.calls.write(s.descriptor, p)
	if err != nil && momentary(err) {
		err = nil
	}
	return max(0, n), err
}

func (s socket) reset() { setLinger(s.descriptor) }

func (s socket) closeWithin(most time.Duration) { setUserTimeout(s.descriptor, most) }

type frame struct {
	tag     uint64
	advice  uint64
	expires time.Duration // by monotonic: not begun after that; 0: whenever
	body    []byte
}

// Send queues a message, or writes it where nothing waits; it never calls the handler, so it may be called
// with any lock held. A tag other than 0 lets Withdraw and Closed name it. It says false where the
// connection has ended or its queue is full, in which case the connection is ended.
func (c *Conn) Send(message []byte, tag uint64) bool { return c.send(ws.OpText, message, tag) }

// An Expirer is a Handler that is told of messages of SendWithin that were not begun in time and never will be.
type Expirer interface {
	Expired(c *Conn, tag uint64)
}

// SendWithin is Send for a message that is worth nothing unless its first byte is handed to the kernel within a time. Else
// it is dropped, and the handler told.
func (c *Conn) SendWithin(message []byte, tag uint64, within time.Duration) bool {
	return c.put(frame{tag: tag, expires: monotonic() + within, body: c.frame(ws.OpText, message)}, false)
}

// SendReplaceable queues a message that may be dropped or overtaken: one with the same key that still waits is
// replaced by it, and nothing is queued where half of the queue's bound is taken. It is for advice, which a
// later one makes worthless; key 0 replaces nothing.
func (c *Conn) SendReplaceable(message []byte, key uint64) {
	c.mu.Lock()
	if c.queued*2 > c.bounds.MaxQueuedBytes {
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
	if !last && !c.writing && c.usable {
		n, err := c.np.write(f.body)
		if err != nil {
			c.mu.Unlock()
			go c.fail(err) // the handler's Closed may want a lock that our caller holds
			return false
		}
		if n == len(f.body) {
			c.mu.Unlock()
			return true
		}
		if n > 0 { // the rest can't be had back any more
			f = frame{body: f.body[n:]}
		}
	}
	if c.queued+len(f.body) > c.bounds.MaxQueuedBytes && !last {
		queued := c.queued
		c.mu.Unlock()
		go c.fail(fmt.Errorf("%w: %d bytes wait", ErrSlowPeer, queued))
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

// boundClose makes the kernel give up on a peer that takes nothing, after the write time-out. It is called with the lock
// held, before an orderly close.
func (c *Conn) boundClose() {
	if c.bounds.WriteTimeout > 0 {
		c.np.closeWithin(c.bounds.WriteTimeout)
	}
}

// CancelSend takes a tagged message out of the queue. It says true if not one byte of it was handed to
// the kernel, and none ever will be.
func (c *Conn) CancelSend(tag uint64) bool {
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

// How long the writer waits before it tries again where the kernel takes nothing: at first, and at most. The wait
// doubles while nothing moves.
const (
	firstWritePause = 200 * time.Microsecond
	mostWritePause  = 10 * time.Millisecond
)

// write hands queued frames to the kernel until none is left. One runs at a time for each connection.
func (c *Conn) write() {
	pause, since := firstWritePause, monotonic()
	for {
		c.expire()
		progress, done, err := c.writeFirst()
		switch {
		case err != nil:
			c.fail(err)
			return
		case done:
			return
		case progress == frameWritten:
			pause, since = firstWritePause, monotonic()
			continue
		case c.bounds.WriteTimeout > 0 && monotonic()-since > c.bounds.WriteTimeout:
			c.fail(fmt.Errorf("%w: a write stood still for %v", ErrSlowPeer, c.bounds.WriteTimeout))
			return
		case progress == someWritten:
			pause = firstWritePause
		}
		time.Sleep(pause)
		pause = min(2*pause, mostWritePause)
	}
}

// writeProgress is what one look at the queue came to.
type writeProgress int

const (
	nothingWritten writeProgress = iota
	someWritten
	frameWritten
)

// writeFirst hands over as much of the first frame as the kernel takes. Done says that there is nothing left to write,
// in which case the connection is closed if that was to follow.
func (c *Conn) writeFirst() (progress writeProgress, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable { // what waits is named when the connection is settled
		c.writing = false
		return nothingWritten, true, nil
	}
	if len(c.queue) == 0 {
		c.writing = false
		c.queue = nil
		if c.last && c.why != nil {
			c.boundClose()
			go c.np.Close() // the handler's Closed may want this lock
		}
		return nothingWritten, true, nil
	}
	f := &c.queue[0]
	n, err := c.np.write(f.body)
	if err != nil {
		c.writing = false
		return nothingWritten, false, err
	}
	c.queued -= n
	if n == len(f.body) {
		c.queue = c.queue[1:]
		return frameWritten, false, nil
	}
	if n == 0 {
		return nothingWritten, false, nil
	}
	*f = frame{body: f.body[n:]} // the rest can't be had back any more
	return someWritten, false, nil
}

// expire drops the queued frames whose time is over.
func (c *Conn) expire() {
	now := monotonic()
	var tags []uint64
	c.mu.Lock()
	c.queue = slices.DeleteFunc(c.queue, func(f frame) bool {
		if f.expires == 0 || now <= f.expires {
			return false
		}
		c.queued -= len(f.body)
		tags = append(tags, f.tag)
		return true
	})
	c.mu.Unlock()
	if handler, ok := c.handler.(Expirer); ok {
		for _, tag := range tags {
			handler.Expired(c, tag)
		}
	}
}
