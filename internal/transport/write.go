package transport

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/gobwas/ws"
)

// Queued reports whether any sent message still waits to be written.
func (c *Conn) Queued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// A rawConn is the byte stream under a connection: a socket, or a stream in memory. Its methods may be called by any
// goroutine; after Close they have no effect.
type rawConn interface {
	Close() error
	RemoteAddr() net.Addr
	// read passes on what has arrived, up to the size of p, and never blocks. It returns 0 and no error if nothing has.
	read(p []byte) (int, error)
	// watchFor sets the events of epoll at which the connection is notified; 0 stands for none.
	watchFor(events uint32)
	// write passes as many bytes to the kernel as it accepts now, and never blocks. It returns 0 and no error if the
	// kernel accepts none at the moment.
	write(p []byte) (int, error)
	// resetOnClose makes the following close a TCP reset.
	resetOnClose()
	// unread returns the number of bytes that have arrived and were not read.
	unread() int
	// closeWrite ends the sending side; input still arrives.
	closeWrite()
	// setCloseTimeout limits how long the kernel tries to deliver written bytes after the close.
	setCloseTimeout(timeout time.Duration)
}

// A frame is an encoded message or control frame, or the unwritten rest of one.
type frame struct {
	tag        uint64
	replaceKey uint64
	expiresAt  time.Duration // latest time, by monotonic, at which writing may begin; 0: no limit
	body       []byte
}

// Send writes a message, or queues it if others are waiting. It never calls the handler, so it may be called with any
// lock held. CancelSend and Closed refer to the message by its tag unless that is 0. Send returns false if the
// connection has ended or the queue is full; in the latter case it ends the connection.
func (c *Conn) Send(message []byte, tag uint64) bool { return c.send(ws.OpText, message, tag) }

// An Expirer is a Handler that is notified of messages of SendWithin that were dropped because their time ran out.
type Expirer interface {
	Expired(c *Conn, tag uint64)
}

// SendWithin is Send for a message that is useless unless its first byte is passed to the kernel within the time-out.
// After that the message is dropped, and the handler is notified if it is an Expirer.
func (c *Conn) SendWithin(message []byte, tag uint64, timeout time.Duration) bool {
	return c.writeOrQueue(frame{tag: tag, expiresAt: monotonic() + timeout, body: c.encodeFrame(ws.OpText, message)}, false)
}

// SendReplaceable sends a message that may be dropped or replaced. It replaces a queued message with the same key,
// except for key 0, and is dropped if more than half of Limits.MaxQueuedBytes is in use. It is meant for advisory
// messages, which a later one makes obsolete.
func (c *Conn) SendReplaceable(message []byte, key uint64) {
	c.mu.Lock()
	if c.overQueued(0, 2) {
		c.mu.Unlock()
		return
	}
	for i := range c.queue {
		if f := &c.queue[i]; key != 0 && f.replaceKey == key {
			body := c.encodeFrame(ws.OpText, message)
			c.addQueued(len(body)-len(f.body), 0)
			f.body = body
			c.mu.Unlock()
			return
		}
	}
	c.mu.Unlock()
	c.writeOrQueue(frame{body: c.encodeFrame(ws.OpText, message), replaceKey: key}, false)
}

// Ping sends a WebSocket ping. A SplitFunc protocol has none.
func (c *Conn) Ping() bool { return c.split != nil || c.send(ws.OpPing, nil, 0) }

func (c *Conn) send(op ws.OpCode, payload []byte, tag uint64) bool {
	return c.writeOrQueue(frame{tag: tag, body: c.encodeFrame(op, payload)}, op == ws.OpClose)
}

// encodeFrame returns a payload as a single frame.
func (c *Conn) encodeFrame(op ws.OpCode, payload []byte) []byte {
	if c.split != nil {
		return payload
	}
	f := ws.NewFrame(op, true, payload)
	if c.client {
		f = ws.MaskFrame(f)
	}
	return ws.MustCompileFrame(f)
}

// writeOrQueue writes a frame at once if the queue is empty, and queues it otherwise. No frame is accepted after one
// with last set.
func (c *Conn) writeOrQueue(f frame, last bool) bool {
	c.mu.Lock()
	if c.closeErr != nil && !last || c.sendClosed {
		c.mu.Unlock()
		return false
	}
	if !last && !c.writing && c.usable {
		n, err := c.raw.write(f.body)
		if err != nil {
			c.mu.Unlock()
			go c.closeNow(err) // the handler's Closed may need a lock that the caller holds
			return false
		}
		if n == len(f.body) {
			c.mu.Unlock()
			return true
		}
		if n > 0 { // a partly written frame can no longer be cancelled, replaced or dropped
			f = frame{body: f.body[n:]}
		}
	}
	if c.overQueued(len(f.body), 1) && !last {
		queuedBytes := c.queuedBytes
		c.mu.Unlock()
		go c.closeNow(fmt.Errorf("%w: %d bytes are queued", ErrSlowPeer, queuedBytes))
		return false
	}
	if c.joinsLast(f) {
		c.addQueued(len(f.body), 0)
	} else {
		c.queue = append(c.queue, f)
		c.addQueued(len(f.body), 1)
	}
	c.sendClosed = c.sendClosed || last
	start := !c.writing
	c.writing = true
	c.mu.Unlock()
	if start {
		go c.writeQueue()
	}
	return true
}

// maxJoinedBytes bounds a frame that short messages are joined to. It is small because a frame has to be written within the
// write time-out.
const maxJoinedBytes = 1 << 10

// joinsLast appends a frame to the last one of the queue if both are short and neither may be dropped by itself: each
// frame takes more memory than a short message. It is called with the connection's lock held.
func (c *Conn) joinsLast(f frame) bool {
	if len(c.queue) == 0 || !f.joinable() || !c.queue[len(c.queue)-1].joinable() {
		return false
	}
	last := &c.queue[len(c.queue)-1]
	if len(last.body)+len(f.body) > maxJoinedBytes {
		return false
	}
	if cap(last.body) < maxJoinedBytes { // the sender's own memory is not written to
		last.body = append(make([]byte, 0, maxJoinedBytes), last.body...)
	}
	last.body = append(last.body, f.body...)
	return true
}

func (f frame) joinable() bool { return f.tag == 0 && f.replaceKey == 0 && f.expiresAt == 0 }

// applyCloseTimeout makes the kernel give up after the write time-out on a peer that acknowledges nothing. It is
// called with the lock held, before an orderly close.
func (c *Conn) applyCloseTimeout() {
	if c.limits.WriteTimeout > 0 {
		c.raw.setCloseTimeout(c.limits.WriteTimeout)
	}
}

// CancelSend removes the message with the tag from the queue. It returns true if no byte of the message was passed to
// the kernel and none will be.
func (c *Conn) CancelSend(tag uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, f := range c.queue {
		if f.tag == tag {
			c.addQueued(-len(f.body), -1)
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Initial and maximum delay before a write is tried again when the kernel accepts nothing. The delay doubles while no
// bytes are accepted.
const (
	initialWriteDelay = 200 * time.Microsecond
	maxWriteDelay     = 10 * time.Millisecond
)

// writeQueue passes queued frames to the kernel until none is left. Each connection runs at most one writeQueue at a
// time.
func (c *Conn) writeQueue() {
	delay, lastFrame := initialWriteDelay, monotonic()
	for {
		c.dropExpired()
		progress, done, err := c.writeNextFrame()
		switch {
		case err != nil:
			c.closeNow(err)
			return
		case done:
			return
		case progress == frameWritten:
			delay, lastFrame = initialWriteDelay, monotonic()
			continue
		case c.limits.WriteTimeout > 0 && monotonic()-lastFrame > c.limits.WriteTimeout:
			c.closeNow(fmt.Errorf("%w: no frame was written completely for %v", ErrSlowPeer, c.limits.WriteTimeout))
			return
		case progress == partWritten:
			delay = initialWriteDelay
		}
		time.Sleep(delay)
		delay = min(2*delay, maxWriteDelay)
	}
}

// writeProgress is the result of one write of the first queued frame.
type writeProgress int

const (
	nothingWritten writeProgress = iota
	partWritten
	frameWritten
)

// writeNextFrame passes as much of the first queued frame to the kernel as it accepts. It returns done if nothing is
// left to write, after closing the connection if the last frame before the close has been written.
func (c *Conn) writeNextFrame() (progress writeProgress, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable { // finishClose reports the queued messages as unsent
		c.writing = false
		return nothingWritten, true, nil
	}
	if len(c.queue) == 0 {
		c.writing = false
		c.queue = nil
		switch {
		case c.sendClosed && c.closeErr != nil:
			c.applyCloseTimeout()
			go c.raw.Close() // the handler's Closed may need this lock
		case c.readingOn:
			c.raw.closeWrite()
		}
		return nothingWritten, true, nil
	}
	f := &c.queue[0]
	n, err := c.raw.write(f.body)
	if err != nil {
		c.writing = false
		return nothingWritten, false, err
	}
	c.addQueued(-n, 0)
	if n == len(f.body) {
		c.addQueued(0, -1)
		c.queue = c.queue[1:]
		return frameWritten, false, nil
	}
	if n == 0 {
		return nothingWritten, false, nil
	}
	*f = frame{body: f.body[n:]} // a partly written frame can no longer be cancelled, replaced or dropped
	return partWritten, false, nil
}

// dropExpired drops the queued frames whose time has run out, and notifies the handler if it is an Expirer.
func (c *Conn) dropExpired() {
	now := monotonic()
	var tags []uint64
	c.mu.Lock()
	c.queue = slices.DeleteFunc(c.queue, func(f frame) bool {
		if f.expiresAt == 0 || now <= f.expiresAt {
			return false
		}
		c.addQueued(-len(f.body), -1)
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
