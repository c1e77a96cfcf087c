package transport

import (
	"errors"
	"fmt"
	"net"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"
)

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

type frame struct {
	tag    uint64
	advice uint64
	body   []byte
}

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

func (c *Conn) descriptor() (int, bool) {
	if s, ok := c.np.(socket); ok {
		if f, ok := s.Connection.(netpoll.Conn); ok {
			return f.Fd(), true
		}
	}
	return 0, false
}
