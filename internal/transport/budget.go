package transport

import (
	"slices"
	"sync"
	"sync/atomic"
)

// An InputBudget bounds the bytes of input that connections hold together: messages that wait for their handlers, and
// messages that are received in part. A connection over its share is not read until its handler has released some of
// its input, so that the peer is held back and nothing is dropped. Its methods may be called by any goroutine.
//
// A connection may hold as much as one part in inputShare of what is free. With n connections at that bound, the
// free part is still 1/(1+n/inputShare) of the budget, and a connection that holds nothing is always handled: peers that
// send faster than they are handled hold up themselves only.
type InputBudget struct {
	limit int64

	mu      sync.Mutex
	held    int64
	waiting []*Conn // connections that wait for a reservation, in their order
	// Connections whose peers have ended their side have reservations of their own, maxDepartedReservations at most.
	departedWaiting      []*Conn
	departedReservations int
}

// maxDepartedReservations bounds the reservations beyond the limit for connections whose peers have ended their side. What
// is left of their input has arrived already, so they need them for a moment only; without them, peers that come, leave and
// come again pile up connections that wait.
const maxDepartedReservations = 4

// inputShare is the part of the free budget that one connection may hold.
const inputShare = 8

// unreservedBytes is how much of an incomplete message a connection may hold without a reservation. Usual messages are
// shorter.
const unreservedBytes = 2 << 10

// NewInputBudget returns a budget of so many bytes.
func NewInputBudget(limit int64) *InputBudget { return &InputBudget{limit: limit} }

// Held returns how many bytes are held.
func (b *InputBudget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// heldInput is what one connection holds of a budget. The budget's lock guards it.
type heldInput struct {
	messages int64 // of messages that the handler holds
	reserved int64 // for an incomplete message
	blocked  bool  // the next message waits until the handler has released others
	departed bool  // the reservation is one of departedReservations
}

// HoldInput counts bytes of a message that the handler keeps beyond its call of Message.
func (c *Conn) HoldInput(bytes int64) {
	if b := c.budget; b != nil {
		b.mu.Lock()
		c.held.messages += bytes
		b.held += bytes
		b.mu.Unlock()
	}
}

// ReleaseInput ends the holding of bytes. It may be called after the end of the connection, and with any lock held.
func (c *Conn) ReleaseInput(bytes int64) {
	b := c.budget
	if b == nil || bytes == 0 {
		return
	}
	b.mu.Lock()
	c.held.messages -= bytes
	b.held -= bytes
	resume := c.held.blocked && (c.held.messages == 0 || c.held.messages <= (b.limit-b.held)/(2*inputShare))
	if resume {
		c.held.blocked = false
	}
	granted := b.grant()
	b.mu.Unlock()
	if resume {
		c.resumeInput()
	}
	resumeAll(granted)
}

// mayHandle reports whether a message of so many bytes may be passed to the handler now. Otherwise resumeInput is called
// when that is worth another try.
func (c *Conn) mayHandle(bytes int) bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.held.blocked = c.held.messages > 0 && c.held.messages+int64(bytes) > (b.limit-b.held)/inputShare
	return !c.held.blocked
}

// reserveInput asks for the room for an incomplete message, for which so many bytes of memory are taken, and gives up a
// reservation that is not needed any more. If it returns false, resumeInput is called once there is room.
func (c *Conn) reserveInput(taken int) bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	if taken <= unreservedBytes {
		granted := b.giveUp(c)
		b.mu.Unlock()
		resumeAll(granted)
		return true
	}
	if c.held.reserved > 0 || len(b.waiting) == 0 && b.reserve(c) {
		b.mu.Unlock()
		return true
	}
	if !slices.Contains(b.waiting, c) && !slices.Contains(b.departedWaiting, c) {
		b.waiting = append(b.waiting, c)
	}
	b.mu.Unlock()
	if c.Departed() {
		c.reserveAsDeparted()
	}
	return false
}

// reserveAsDeparted has a connection that waits for a reservation wait for one of those for departed peers.
func (c *Conn) reserveAsDeparted() {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	if i := slices.Index(b.waiting, c); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.departedWaiting = append(b.departedWaiting, c)
	}
	granted := b.grant()
	b.mu.Unlock()
	resumeAll(granted)
}

// reserve makes a reservation if there is room. It is called with the lock held.
func (b *InputBudget) reserve(c *Conn) bool {
	size := int64(c.limits.MaxMessageBytes)
	if b.held > 0 && b.held+size > b.limit {
		return false
	}
	c.held.reserved = size
	b.held += size
	return true
}

// grant makes the reservations for which there is room now, and returns their connections. It is called with the lock
// held.
func (b *InputBudget) grant() (granted []*Conn) {
	for len(b.departedWaiting) > 0 && b.departedReservations < maxDepartedReservations {
		c := b.departedWaiting[0]
		b.departedWaiting[0] = nil
		b.departedWaiting = b.departedWaiting[1:]
		b.departedReservations++
		c.held.reserved, c.held.departed = int64(c.limits.MaxMessageBytes), true
		b.held += c.held.reserved
		granted = append(granted, c)
	}
	for len(b.waiting) > 0 && b.reserve(b.waiting[0]) {
		granted = append(granted, b.waiting[0])
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
	}
	return granted
}

// giveUp ends a connection's reservation and returns the connections that have one for it. It is called with the lock
// held.
func (b *InputBudget) giveUp(c *Conn) (granted []*Conn) {
	if c.held.reserved == 0 {
		return nil
	}
	b.held -= c.held.reserved
	c.held.reserved = 0
	if c.held.departed {
		b.departedReservations--
		c.held.departed = false
	}
	return b.grant()
}

// abandonReservation ends the reservation of a connection that has ended, or its wait for one.
func (c *Conn) abandonReservation() {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	isConn := func(waiting *Conn) bool { return waiting == c }
	b.waiting = slices.DeleteFunc(b.waiting, isConn)
	b.departedWaiting = slices.DeleteFunc(b.departedWaiting, isConn)
	granted := b.giveUp(c)
	b.mu.Unlock()
	resumeAll(granted)
}

func resumeAll(conns []*Conn) {
	for _, c := range conns {
		c.resumeInput()
	}
}

// An OutputBudget bounds the memory of messages that wait to be written on all connections together. A connection that
// needs more than its share is ended, because its peer does not read. Its methods may be called by any goroutine.
type OutputBudget struct {
	limit  int64
	queued atomic.Int64
}

// outputShare is the part of the free budget that one connection may queue. minQueuedBytes is what it may queue in any
// case.
const (
	outputShare    = 8
	minQueuedBytes = 4 << 10
)

// frameOverhead is what a queued frame occupies beyond its bytes.
const frameOverhead = 128

// NewOutputBudget returns a budget of so many bytes.
func NewOutputBudget(limit int64) *OutputBudget { return &OutputBudget{limit: limit} }

// Queued returns how many bytes of memory the messages that wait to be written occupy.
func (b *OutputBudget) Queued() int64 { return b.queued.Load() }

// overQueued reports whether more than one part in share of what may wait on the connection would wait with one more
// message of so many bytes. It is called with the connection's lock held.
func (c *Conn) overQueued(bytes, share int) bool {
	if (c.queuedBytes+bytes)*share > c.limits.MaxQueuedBytes {
		return true
	}
	b := c.limits.Output
	if b == nil {
		return false
	}
	memory := int64(c.queuedBytes + bytes + (len(c.queue)+1)*frameOverhead)
	return memory*int64(share) > max(minQueuedBytes, (b.limit-b.queued.Load())/outputShare)
}

// addQueued changes the numbers of bytes and of frames that wait on the connection. It is called with the connection's
// lock held.
func (c *Conn) addQueued(bytes, frames int) {
	c.queuedBytes += bytes
	if b := c.limits.Output; b != nil {
		b.queued.Add(int64(bytes + frames*frameOverhead))
	}
}
