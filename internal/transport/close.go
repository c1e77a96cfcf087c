package transport

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/gobwas/ws"
)

// The causes for which connections end; CauseLabel gives the label under which the caller counts them.
var (
	ErrSlowPeer      = errors.New("peer does not read")
	ErrTooLarge      = errors.New("message too large")
	ErrProtocol      = errors.New("protocol violation")
	ErrHandshake     = errors.New("handshake failed")
	ErrClosedByPeer  = errors.New("closed by peer")
	ErrClosedLocally = errors.New("closed here")
)

// CauseLabel returns a short label for the error that ended a connection, for logs and metrics.
func CauseLabel(err error) string {
	for _, c := range []struct {
		err   error
		label string
	}{{ErrSlowPeer, "slow"}, {ErrTooLarge, "too_large"}, {ErrProtocol, "protocol"}, {ErrHandshake, "handshake"},
		{ErrClosedByPeer, "peer"}, {ErrClosedLocally, "here"}} {
		if errors.Is(err, c.err) {
			return c.label
		}
	}
	return "lost"
}

// An InputEnder is a Handler that itself closes the connection of a peer that sent invalid input. Further input of the
// peer is discarded, while messages to it are still sent. InputEnded is called only for accepted connections of a
// SplitFunc protocol, after their first complete message.
type InputEnder interface {
	InputEnded(c *Conn, err error)
}

// An InputGuard is a Handler that closes the connection of a peer with bad input itself, once nothing is owed to the peer.
// Until then the connection is read on: what is written whole on an open connection is taken. Its methods are called only
// for accepted connections of a SplitFunc protocol, after their first complete message.
type InputGuard interface {
	// InvalidMessage is called for a message that the SplitFunc reports as an InvalidMessage, which is skipped.
	InvalidMessage(c *Conn, err error)
	// MessageStalled is called when a message is incomplete for Limits.HandshakeTimeout, and again after each further
	// such time. The message may be completed at any moment.
	MessageStalled(c *Conn)
}

// inputGuard returns the handler if it is an InputGuard and the connection is one for which its methods are called.
func (c *Conn) inputGuard() (guard InputGuard, ok bool) {
	if c.split == nil || c.server == nil || !c.handshakeReceived.Load() {
		return nil, false
	}
	guard, ok = c.handler.(InputGuard)
	return guard, ok
}

// EndInput stops reading from a peer that has violated the protocol or exceeded a limit. If the handler is an
// InputEnder and the connection is one for which InputEnded is called, the handler closes the connection when no
// answer is pending on it; otherwise EndInput closes it with the status code.
func (c *Conn) EndInput(err error, code ws.StatusCode) {
	ender, ok := c.handler.(InputEnder)
	if !ok || c.split == nil || c.server == nil || !c.handshakeReceived.Load() {
		c.beginClose(err, code, err.Error())
		return
	}
	if !c.inputEnded.Swap(true) {
		ender.InputEnded(c, err)
	}
}

// Close ends the connection after the queued messages and a close frame have been written.
func (c *Conn) Close(code ws.StatusCode, reason string) {
	c.beginClose(fmt.Errorf("%w: %s", ErrClosedLocally, reason), code, reason)
}

// beginClose queues a close frame, or closes the connection at once if there is nothing to write.
func (c *Conn) beginClose(err error, code ws.StatusCode, reason string) {
	c.mu.Lock()
	if c.closeErr != nil {
		c.mu.Unlock()
		return
	}
	c.closeErr = err
	// With no close frame to write, the connection is closed at once, because further input is not read.
	nothingToWrite := !c.handshakeDone || c.split != nil && !c.writing
	if nothingToWrite && c.usable {
		c.applyCloseTimeout()
	}
	c.mu.Unlock()
	if nothingToWrite {
		c.raw.Close()
		return
	}
	var body []byte
	if c.split == nil {
		body = ws.NewCloseFrameBody(code, closeReason(reason))
	}
	c.send(ws.OpClose, body, 0)
}

// closeReason shortens a text to fit into a close frame and makes it valid UTF-8, which a peer may require (RFC 6455,
// 5.5.1). A text that quotes the peer's own bytes may be invalid UTF-8.
func closeReason(text string) string {
	const maxBytes = 120
	text = strings.ToValidUTF8(text, "?")
	for len(text) > maxBytes {
		_, size := utf8.DecodeLastRuneInString(text)
		text = text[:len(text)-size]
	}
	return text
}

// CloseWrite ends the sending side after the queued messages have been written. Messages that the peer sends before it
// closes its own side are still passed to the handler. The connection ends when the peer closes it, at the latest after
// the given time. Nothing can be sent after the call.
func (c *Conn) CloseWrite(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil || c.sendClosed || !c.usable {
		return
	}
	c.sendClosed, c.readingOn = true, true
	if !c.writing {
		c.raw.closeWrite()
	}
	time.AfterFunc(limit, c.Abort)
}

// Abort ends the connection at once and drops the queued messages.
func (c *Conn) Abort() { c.closeNow(ErrClosedLocally) }

// Reset ends the connection at once with a TCP reset.
func (c *Conn) Reset() {
	c.mu.Lock()
	if c.usable {
		c.raw.resetOnClose()
	}
	c.mu.Unlock()
	c.closeNow(ErrClosedLocally)
}

// closeNow ends the connection without writing the queue or a close frame. It resets a peer that does not read.
func (c *Conn) closeNow(err error) {
	c.mu.Lock()
	if c.closeErr == nil {
		c.closeErr = err
	}
	if errors.Is(err, ErrSlowPeer) && c.usable {
		// The peer's receive window is full. An orderly close would keep the unsent bytes in the kernel for minutes,
		// and the peer would not learn of the close.
		c.raw.resetOnClose()
	}
	c.usable = false
	c.mu.Unlock()
	c.raw.Close()
}

// onClosed is called when raw is closed, possibly more than once. The handler is notified at once, or by the goroutine
// that handles input of the connection.
func (c *Conn) onClosed() {
	c.mu.Lock()
	c.usable = false
	c.mu.Unlock()
	c.input.mu.Lock()
	c.input.closed = true
	running := c.input.running
	c.input.mu.Unlock()
	if !running {
		c.notifyClosed()
	}
}

// notifyClosed reports the end of the connection, once.
func (c *Conn) notifyClosed() {
	defer recoverClosePanic()
	c.closeOnce.Do(c.finishClose)
}

// recoverClosePanic counts a panic of a handler's Closed, which would otherwise end the program.
func recoverClosePanic() {
	if r := recover(); r != nil {
		internalErrors.Add(1)
	}
}

// finishClose reports the end of the connection to the handler, with the tags of the messages that were not sent.
func (c *Conn) finishClose() {
	c.abandonReservation()
	if c.server != nil {
		c.markHandshakeReceived()
		c.server.removeConn(c)
	}
	c.mu.Lock()
	err := c.closeErr
	if err == nil {
		err = fmt.Errorf("connection lost")
		c.closeErr = err
	}
	var unsent []uint64
	for _, f := range c.queue {
		if f.tag != 0 {
			unsent = append(unsent, f.tag)
		}
	}
	c.addQueued(-c.queuedBytes, -len(c.queue))
	c.queue, c.sendClosed, c.usable = nil, true, false
	c.mu.Unlock()
	c.handler.Closed(c, err, unsent)
}
