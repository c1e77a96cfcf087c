package transport

import (
	"errors"
	"sync"
	"time"
)

// errPeerEnded is the result of a read after the last byte that the peer has sent.
var errPeerEnded = errors.New("the peer has ended its side")

// A DepartureHandler is a Handler that is notified when a peer has ended its side of a connection while earlier input of
// the peer still waits. That input is handled afterwards, and then the connection ends.
type DepartureHandler interface {
	// Departed is called at most once, and possibly while Message runs.
	Departed(c *Conn)
}

// inputState is how far the input of a connection over a socket is handled. One goroutine at a time handles it, for as
// long as running is set. While that goroutine is busy, or the handler has enough input of the connection, the poller
// does not read: the bytes wait in the kernel, and TCP's flow control holds the peer back.
type inputState struct {
	mu       sync.Mutex
	running  bool // input is being handled
	parked   bool // handling waits until the handler has released earlier input; see InputBudget
	resumed  bool // input was released before the running goroutine could park
	unread   bool // more input may wait in the kernel: it is read before the poller watches for input again
	departed bool // the peer has ended its side
	closed   bool // the socket is closed: the handler is notified once nothing runs
	arrival  arrivalEstimate
}

// inputReady is called by the poller. It reads once and passes the input to a reader, unless one is busy with earlier
// input, which then reads on by itself.
func (c *Conn) inputReady(events uint32) {
	state := &c.input
	ended := events&goneEvents != 0
	state.mu.Lock()
	if state.closed {
		state.mu.Unlock()
		return
	}
	notify := ended && !state.departed
	state.departed = state.departed || ended
	busy := state.running || state.parked
	if busy {
		state.unread = true
		state.arrival.fallBehind()
		c.watchWhileBusy()
	}
	state.running = state.running || !busy // before the read, after which the bytes no longer count as unread
	state.mu.Unlock()
	if notify {
		if handler, ok := c.handler.(DepartureHandler); ok {
			handler.Departed(c) // before any input that is still unread
		}
		c.reserveAsDeparted()
	}
	if busy {
		return
	}
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	n, err := c.raw.read(buffer[:])
	inputReaders.Go(func() { c.runInput(buffer, n, err) })
}

// Departed reports whether the peer is known to have ended its side of the connection. Input of the peer may still wait.
func (c *Conn) Departed() bool {
	c.input.mu.Lock()
	defer c.input.mu.Unlock()
	return c.input.departed
}

// watchWhileBusy makes the poller report nothing but the end of the peer's side, and nothing at all after that. It is
// called with the state's lock held.
func (c *Conn) watchWhileBusy() {
	if c.input.departed {
		c.raw.watchFor(0)
		return
	}
	c.raw.watchFor(endEvents)
}

// runInput handles n bytes in a buffer, and what else has arrived, until nothing is left or the handler has enough. The
// error is that of the read.
func (c *Conn) runInput(buffer *[readBufferBytes]byte, n int, err error) {
	defer readBuffers.Put(buffer)
	for {
		if n > 0 || len(c.partial) > 0 && err == nil {
			c.countRead(n)
			c.handleRecovering(buffer[:n])
		}
		if err != nil {
			c.recordReadError(err)
			_ = c.raw.Close()
			c.endRun()
			return
		}
		if !c.readOn() {
			return
		}
		if c.inputBlocked { // what was read before comes first
			n = 0
			continue
		}
		n, err = c.raw.read(buffer[:])
		if n == 0 && err == nil && c.drained() {
			return
		}
	}
}

func (c *Conn) countRead(n int) {
	c.input.mu.Lock()
	c.input.arrival.readBytes += uint64(n)
	c.input.mu.Unlock()
}

// handleRecovering is handleInput, and ends the connection's input if a handler panics.
func (c *Conn) handleRecovering(in []byte) {
	defer c.recoverPanic()
	c.handleInput(in)
}

// readOn reports whether the running goroutine is to read more. Otherwise the run has ended. If the handler has enough
// input, the connection is parked then.
func (c *Conn) readOn() bool {
	state := &c.input
	state.mu.Lock()
	switch {
	case state.closed:
	case !c.inputBlocked && state.unread:
		state.arrival.beforeRead(c.raw.unread)
		state.mu.Unlock()
		return true
	case !c.inputBlocked:
	case state.resumed:
		state.resumed, state.unread = false, true
		state.arrival.beforeRead(c.raw.unread)
		state.mu.Unlock()
		return true
	default:
		state.parked = true
		state.arrival.fallBehind()
		c.watchWhileBusy()
	}
	c.endRunLocked()
	return false
}

// drained is called when a read has found nothing. It makes the poller watch for input again, and reports whether that
// is all and the run has ended: if the peer has ended its side, the next read returns its end.
func (c *Conn) drained() bool {
	state := &c.input
	state.mu.Lock()
	if state.departed && !state.closed {
		state.mu.Unlock()
		time.Sleep(readRetryDelay)
		return false
	}
	state.unread = false
	state.arrival.catchUp()
	c.raw.watchFor(inputEvents)
	c.endRunLocked()
	return true
}

// recordReadError records that the peer has closed the connection in order, if nothing else has ended it.
func (c *Conn) recordReadError(err error) {
	if !errors.Is(err, errPeerEnded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr == nil {
		c.closeErr = ErrClosedByPeer
	}
}

// readRetryDelay is the delay after a read that failed because the system lacks a buffer or memory.
const readRetryDelay = time.Millisecond

// endRun ends the handling of input, and notifies the handler if the connection has ended meanwhile.
func (c *Conn) endRun() {
	c.input.mu.Lock()
	c.endRunLocked()
}

// endRunLocked is endRun with the state's lock held, which it unlocks.
func (c *Conn) endRunLocked() {
	c.input.running = false
	closed := c.input.closed
	c.input.mu.Unlock()
	if closed {
		c.notifyClosed()
	}
}

// resumeInput goes on with the input of a parked connection. It may be called with any lock of a handler held.
func (c *Conn) resumeInput() {
	state := &c.input
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.closed {
		return
	}
	if !state.parked {
		state.resumed = state.running
		return
	}
	state.parked, state.running, state.unread = false, true, true
	inputReaders.Go(func() { c.runInput(readBuffers.Get().(*[readBufferBytes]byte), 0, nil) })
}

// EarliestArrival returns the earliest time at which the message that is being handled may have arrived. It is the
// present unless the connection's input had to wait.
func (c *Conn) EarliestArrival() time.Time {
	c.input.mu.Lock()
	defer c.input.mu.Unlock()
	now := time.Now()
	if a := &c.input.arrival; a.behind {
		return now.Add(a.since - monotonic())
	}
	return now
}

// An arrivalEstimate bounds how long the input of a connection has waited in the kernel, which does not tell: what had
// not arrived at one look at the number of unread bytes has arrived after it. Times are by monotonic.
type arrivalEstimate struct {
	behind    bool          // input waits; without it what is read has just arrived
	readBytes uint64        // read so far
	batchEnd  uint64        // bytes that had arrived at the last look
	lookedAt  time.Duration // the last look
	since     time.Duration // bytes up to batchEnd have arrived after this time
}

func (a *arrivalEstimate) fallBehind() {
	if !a.behind {
		now := monotonic()
		a.behind, a.batchEnd, a.lookedAt, a.since = true, a.readBytes, now, now
	}
}

func (a *arrivalEstimate) catchUp() { a.behind = false }

// beforeRead looks at the number of unread bytes if all that had arrived at the last look has been read.
func (a *arrivalEstimate) beforeRead(unread func() int) {
	if a.behind && a.readBytes >= a.batchEnd {
		a.since, a.lookedAt = a.lookedAt, monotonic()
		a.batchEnd = a.readBytes + uint64(unread())
	}
}
