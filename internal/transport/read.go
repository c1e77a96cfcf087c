package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
)

// headMost is the largest HTTP head of a handshake; burstMost is how much a peer may have sent beyond one
// message before any of it was looked at.
const (
	headMost  = 4 << 10
	burstMost = 1 << 20
)

// read takes all that has come: netpoll calls it again and again while anything is left.
func (c *Conn) read(_ context.Context, np netpoll.Connection) error {
	defer c.recover()
	r := np.Reader()
	n := r.Len()
	if n == 0 {
		return nil
	}
	if n > burstMost+c.bounds.MaxMessageBytes {
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
		c.EndInput(fmt.Errorf("%w: panic: %v", ErrClosedLocally, r), ws.StatusInternalServerError)
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
		if gate, ok := c.handler.(AdmissionHandler); ok && c.server != nil && !c.server.silent.Load() {
			c.mu.Lock()
			c.head = bytes.Clone(head)
			c.mu.Unlock()
			gate.Connecting(c)
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
		if h.Length > int64(c.bounds.MaxMessageBytes) || len(c.message)+int(h.Length) > c.bounds.MaxMessageBytes {
			c.end(fmt.Errorf("%w: over %d bytes", ErrTooLarge, c.bounds.MaxMessageBytes), ws.StatusMessageTooBig,
				fmt.Sprintf("over %d bytes", c.bounds.MaxMessageBytes))
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
		c.end(fmt.Errorf("%w: %d %s", ErrClosedByPeer, code, reason), ws.StatusNormalClosure, "")
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
