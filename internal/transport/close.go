package transport

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
)

// The reasons for which connections end, counted by the caller with Cause.
var (
	ErrSlowPeer      = errors.New("peer does not read")
	ErrTooLarge      = errors.New("message too large")
	ErrProtocol      = errors.New("protocol broken")
	ErrHandshake     = errors.New("handshake failed")
	ErrClosedByPeer  = errors.New("closed by peer")
	ErrClosedLocally = errors.New("closed here")
)

// CauseLabel is a short word for a closing error, for logs and metrics.
func CauseLabel(err error) string {
	for _, c := range []struct {
		err  error
		word string
	}{{ErrSlowPeer, "slow"}, {ErrTooLarge, "too_large"}, {ErrProtocol, "protocol"}, {ErrHandshake, "handshake"},
		{ErrClosedByPeer, "peer"}, {ErrClosedLocally, "here"}} {
		if errors.Is(err, c.err) {
			return c.word
		}
	}
	return "lost"
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

// Close ends the connection after what is queued and a close frame have gone out.
func (c *Conn) Close(code ws.StatusCode, reason string) {
	c.end(fmt.Errorf("%w: %s", ErrClosedLocally, reason), code, reason)
}

func (c *Conn) end(why error, code ws.StatusCode, reason string) {
	c.mu.Lock()
	if c.why != nil {
		c.mu.Unlock()
		return
	}
	c.why = why
	// Where there is no close frame to write the connection is closed at once: what comes from now on isn't read.
	nothingToWrite := !c.shook || c.split != nil && !c.writing
	if nothingToWrite && c.usable {
		c.boundClose()
	}
	c.mu.Unlock()
	if nothingToWrite {
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

// Abort ends the connection at once; what is queued is dropped.
func (c *Conn) Abort() { c.fail(ErrClosedLocally) }

// Reset ends the connection at once so that the peer sees a reset.
func (c *Conn) Reset() {
	c.mu.Lock()
	if c.usable {
		c.np.reset()
	}
	c.mu.Unlock()
	c.fail(ErrClosedLocally)
}

func (c *Conn) fail(why error) {
	c.mu.Lock()
	if c.why == nil {
		c.why = why
	}
	if errors.Is(why, ErrSlowPeer) && c.usable {
		// The peer's window is shut: a closing that waits for it would leave what is unsent in the kernel
		// for minutes, and the peer would not hear of it.
		c.np.reset()
	}
	c.usable = false
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
	c.queue, c.queued, c.last, c.usable = nil, 0, true, false // the descriptor is closed after this
	c.mu.Unlock()
	c.handler.Closed(c, why, unsent)
}
