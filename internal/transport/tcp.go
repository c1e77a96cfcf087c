package transport

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"
)

// A SplitFunc returns the size of the complete message at the beginning of the input, or 0 if the message is not
// complete. An error means that no further input can make the bytes valid; the connection is ended, unless the error is
// an InvalidMessage and the handler an InputGuard. The result must depend on the input alone, and not on how it is divided
// into reads.
type SplitFunc func(in []byte) (size int, err error)

// An InvalidMessage is the error of a SplitFunc for a message that can't be valid, but whose end is known.
type InvalidMessage struct {
	Size int // of the message, in bytes
	Err  error
}

// Error implements error.
func (e *InvalidMessage) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong with the message.
func (e *InvalidMessage) Unwrap() error { return e.Err }

// ServeTCP is Serve for a protocol without a handshake that frames its messages itself. The first complete message of
// a peer counts as its handshake. When a new connection would exceed Limits.MaxPendingHandshakes, the pending
// connection that resetOldestPending selects is reset for it; if there is none, the new one waits in the kernel. Pending connections end after
// Limits.HandshakeTimeout, which also applies to the completion of every later message.
func ServeTCP(address string, split SplitFunc, limits Limits, handler Handler) (*Server, error) {
	return serve(address, "", split, limits, handler)
}

// DialTCP is Dial for a protocol without a handshake that frames its messages itself.
func DialTCP(address string, timeout time.Duration, split SplitFunc, limits Limits, handler Handler) (*Conn, error) {
	dialed, err := dialWithRetry(timeout, func(remaining time.Duration) (net.Conn, error) {
		return currentCalls.Load().dial(address, remaining)
	})
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	c := &Conn{handler: handler, limits: limits, budget: limits.Input, client: true, split: split,
		established: true, handshakeDone: true, usable: true}
	if err := c.start(dialed, nil); err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return c, nil
}

// duplicate returns another descriptor of a file of the standard library, which keeps its own.
func duplicate(file syscall.Conn) (descriptor int, err error) {
	raw, err := file.SyscallConn()
	if err != nil {
		return noDescriptor, err
	}
	controlErr := raw.Control(func(fd uintptr) { descriptor, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) })
	if controlErr != nil {
		return noDescriptor, controlErr
	}
	return descriptor, err
}

// closeTryAgainLater is the status code "try again later" in the registry of RFC 6455.
const closeTryAgainLater = ws.StatusCode(1013)

// consumeSplit handles the complete messages in the input of a SplitFunc protocol and returns the incomplete rest.
func (c *Conn) consumeSplit(in []byte) []byte {
	for len(in) > 0 {
		c.mu.Lock()
		ended := c.closeErr != nil
		c.mu.Unlock()
		if ended || c.inputEnded.Load() {
			return nil
		}
		if in = c.skip(in); len(in) == 0 {
			return nil
		}
		size, err := c.split(in)
		if err == nil && (size > c.limits.MaxMessageBytes || size == 0 && len(in) > c.limits.MaxMessageBytes) {
			err = fmt.Errorf("%w: over %d bytes", ErrTooLarge, c.limits.MaxMessageBytes)
		}
		if c.skipInvalid(err) {
			continue
		}
		if err != nil {
			c.EndInput(fmt.Errorf("%w: %w", ErrProtocol, err), ws.StatusProtocolError)
			return nil
		}
		if size == 0 {
			return in
		}
		if !c.mayHandle(size) {
			c.inputBlocked = true
			return in
		}
		if !c.established {
			c.established = true
			c.markHandshakeReceived()
			if admission, ok := c.handler.(AdmissionHandler); ok {
				admission.Connecting(c)
			} else {
				c.handler.Opened(c)
			}
		}
		c.messageCompleted = true
		message := append([]byte(nil), in[:size]...)
		in = in[size:]
		c.handler.Message(c, message)
	}
	return nil
}

// skip drops the rest of a skipped message from the input.
func (c *Conn) skip(in []byte) []byte {
	n := min(c.skipBytes, len(in))
	c.skipBytes -= n
	return in[n:]
}

// skipInvalid skips a message with an InvalidMessage error and tells the handler, if that is an InputGuard. It reports
// whether it did.
func (c *Conn) skipInvalid(err error) bool {
	var invalid *InvalidMessage
	if !errors.As(err, &invalid) {
		return false
	}
	guard, ok := c.inputGuard()
	if !ok {
		return false
	}
	c.skipBytes, c.messageCompleted = invalid.Size, true
	guard.InvalidMessage(c, fmt.Errorf("%w: %w", ErrProtocol, invalid.Err))
	return true
}

// updateMessageTimer runs a timer while a message is incomplete, unless the connection itself is what waits. When the handshake time-out expires before the
// message is complete, the timer notifies the InputGuard, or ends the input of the connection if there is none.
func (c *Conn) updateMessageTimer() {
	incomplete := (len(c.partial) > 0 || c.skipBytes > 0) && !c.inputBlocked
	if c.messageTimer != nil && (c.messageCompleted || !incomplete) {
		c.messageTimer.Stop()
		c.messageTimer = nil
		c.incompleteMessage.Add(1)
	}
	c.messageCompleted = false
	if incomplete && c.messageTimer == nil && c.limits.HandshakeTimeout > 0 {
		message := c.incompleteMessage.Load()
		c.messageTimer = time.AfterFunc(c.limits.HandshakeTimeout, func() { c.messageOverdue(message) })
	}
}

// messageOverdue is called when a message is incomplete for another HandshakeTimeout, for as long as that message is the
// incomplete one.
func (c *Conn) messageOverdue(message uint64) {
	guard, ok := c.inputGuard()
	if !ok {
		c.EndInput(fmt.Errorf("%w: incomplete message for %v", ErrSlowPeer, c.limits.HandshakeTimeout), ws.StatusPolicyViolation)
		return
	}
	c.mu.Lock()
	usable := c.usable
	c.mu.Unlock()
	if usable && message == c.incompleteMessage.Load() {
		guard.MessageStalled(c)
		time.AfterFunc(c.limits.HandshakeTimeout, func() { c.messageOverdue(message) })
	}
}

// A connection without a complete message may be reset for a new one minPendingAge after it was accepted, and one with
// input that is not read yet after maxUnreadAge: its message is about to be read.
const (
	minPendingAge = 10 * time.Millisecond
	maxUnreadAge  = time.Second
)

// resetOldestPending resets the oldest connection without a complete message that may be reset, and reports whether there
// is one. Connections that have sent nothing at all are reset first, since a partial message may be a request.
func (s *Server) resetOldestPending() bool {
	var oldest *Conn
	oldestSent := false // oldest has sent a partial message
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		age := now.Sub(c.acceptedAt)
		if c.handshakeReceived.Load() || age < minPendingAge {
			continue
		}
		sent := c.lastRead.Load() != 0
		if oldest != nil && (sent && !oldestSent || oldestSent == sent && oldest.acceptedAt.Before(c.acceptedAt)) {
			continue
		}
		if age < maxUnreadAge && c.InputPending() {
			continue
		}
		oldest, oldestSent = c, sent
	}
	s.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.Reset()
	return true
}
