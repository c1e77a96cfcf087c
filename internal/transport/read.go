package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/gobwas/ws"
)

// maxHandshakeBytes is the largest request head of a handshake.
const maxHandshakeBytes = 4 << 10

// maxPreallocatedBytes bounds the memory that is taken at once for an incomplete message. Longer messages are rare, and
// their memory grows with them.
const maxPreallocatedBytes = 64 << 10

// InputPending reports whether input has arrived that was not passed to the handler, or is being passed to it.
func (c *Conn) InputPending() bool {
	if c.inputEnded.Load() {
		return false
	}
	c.mu.Lock()
	unread := c.usable && c.raw.unread() > 0
	c.mu.Unlock()
	if unread {
		return true
	}
	c.input.mu.Lock() // after the look at the unread bytes: a read begins with running set
	defer c.input.mu.Unlock()
	return c.input.running || c.input.parked
}

// recoverPanic ends the input of a connection whose handler has panicked because of a bug in the program, and counts
// the panic.
func (c *Conn) recoverPanic() {
	if r := recover(); r != nil {
		internalErrors.Add(1)
		c.EndInput(fmt.Errorf("%w: panic: %v", ErrClosedLocally, r), ws.StatusInternalServerError)
	}
}

// handleInput handles bytes from the peer, after those that were kept before. It does not keep the slice after it
// returns. It sets inputBlocked if the handler has to release input before it is called again.
func (c *Conn) handleInput(in []byte) {
	c.inputBlocked = false
	if len(in) > 0 {
		c.lastRead.Store(int64(monotonic()))
	}
	if len(c.partial) > 0 {
		c.growPartial(len(in))
		c.partial = append(c.partial, in...)
		in = c.partial
	}
	c.storePartial(in, c.consume(in))
	if !c.inputBlocked && !c.reserveInput(cap(c.partial)) {
		c.inputBlocked = true
	}
	if c.split != nil && c.server != nil && c.established {
		c.updateMessageTimer()
	}
	c.pong()
}

// pong answers only the latest of several pings received together, as RFC 6455 allows (5.5.3), so that a flood of
// pings costs the sender more than the receiver.
func (c *Conn) pong() {
	if c.pongPending && (c.server == nil || !c.server.silent.Load()) {
		c.send(ws.OpPong, c.pingPayload, 0)
	}
	c.pongPending, c.pingPayload = false, nil
}

// storePartial keeps the rest of the input that is not handled yet.
func (c *Conn) storePartial(in, rest []byte) {
	switch {
	case len(rest) == 0:
		c.partial = nil
	case len(c.partial) == 0:
		c.partial = bytes.Clone(rest)
	case len(rest) < len(in): // the rest is at the end of partial, whose memory is kept for the next message
		c.partial = c.partial[:copy(c.partial, rest)]
	}
}

// growPartial makes room for n more bytes in partial. Beyond unreservedBytes it makes room for a whole message and one
// read at once, because growing step by step would leave several times the message to the garbage collector.
func (c *Conn) growPartial(n int) {
	whole := c.limits.MaxMessageBytes + readBufferBytes
	if needed := len(c.partial) + n; needed > cap(c.partial) && needed > unreservedBytes && needed <= whole && whole <= maxPreallocatedBytes {
		c.partial = append(make([]byte, 0, whole), c.partial...)
	}
}

// consume handles the complete part of the input, as far as the handler has room for it, and returns the rest.
func (c *Conn) consume(in []byte) []byte {
	if c.split != nil {
		return c.consumeSplit(in)
	}
	if !c.established {
		c.mu.Lock()
		pending := c.pendingHandshake != nil
		c.established = c.handshakeDone
		c.mu.Unlock()
		if pending {
			c.failHandshake(errors.New("bytes before the handshake was answered"))
			return nil
		}
	}
	if !c.established {
		end := bytes.Index(in, []byte("\r\n\r\n"))
		if end < 0 {
			if len(in) > maxHandshakeBytes {
				c.failHandshake(fmt.Errorf("request head exceeds %d bytes", maxHandshakeBytes))
				return nil
			}
			return in
		}
		head := in[:end+4]
		c.markHandshakeReceived()
		if admission, ok := c.handler.(AdmissionHandler); ok && c.server != nil && !c.server.silent.Load() {
			c.mu.Lock()
			c.pendingHandshake = bytes.Clone(head)
			c.mu.Unlock()
			admission.Connecting(c)
			return nil
		}
		if !c.upgrade(head) {
			return nil
		}
		c.established = true
		in = in[end+4:]
	}
	for len(in) > 0 {
		c.mu.Lock()
		ended := c.closeErr != nil
		c.mu.Unlock()
		if ended {
			return nil
		}
		h, size, ok := parseHeader(in)
		if !ok {
			return in
		}
		state := ws.StateServerSide
		if c.client {
			state = ws.StateClientSide
		}
		if c.fragmented {
			state = state.Set(ws.StateFragmented)
		}
		if err := ws.CheckHeader(h, state); err != nil {
			c.beginClose(fmt.Errorf("%w: %v", ErrProtocol, err), ws.StatusProtocolError, err.Error())
			return nil
		}
		if h.Length > int64(c.limits.MaxMessageBytes) || len(c.fragments)+int(h.Length) > c.limits.MaxMessageBytes {
			c.beginClose(fmt.Errorf("%w: over %d bytes", ErrTooLarge, c.limits.MaxMessageBytes), ws.StatusMessageTooBig,
				fmt.Sprintf("over %d bytes", c.limits.MaxMessageBytes))
			return nil
		}
		if len(in) < size+int(h.Length) {
			return in
		}
		if !c.mayHandle(int(h.Length)) {
			c.inputBlocked = true
			return in
		}
		payload := bytes.Clone(in[size : size+int(h.Length)])
		in = in[size+int(h.Length):]
		if h.Masked {
			ws.Cipher(payload, h.Mask, 0)
		}
		c.handleFrame(h, payload)
	}
	return nil
}

// parseHeader reads a frame's header and its size. It returns false if the header is incomplete.
func parseHeader(in []byte) (h ws.Header, size int, ok bool) {
	r := bytes.NewReader(in)
	h, err := ws.ReadHeader(r)
	if err != nil {
		// The only other error is a length with its highest bit set. The header returned for it exceeds every limit.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return h, 0, false
		}
		return ws.Header{Fin: true, OpCode: ws.OpText, Masked: true, Length: 1 << 62}, 0, true
	}
	return h, len(in) - r.Len(), true
}

func (c *Conn) handleFrame(h ws.Header, payload []byte) {
	switch h.OpCode {
	case ws.OpPing:
		c.pongPending, c.pingPayload = true, payload
	case ws.OpPong:
	case ws.OpClose:
		code, reason := ws.ParseCloseFrameData(payload)
		c.beginClose(fmt.Errorf("%w: %d %s", ErrClosedByPeer, code, reason), ws.StatusNormalClosure, "")
	case ws.OpBinary:
		c.beginClose(fmt.Errorf("%w: binary message", ErrProtocol), ws.StatusUnsupportedData, "text messages only")
	default:
		c.pong()
		if !h.Fin {
			c.fragmented = true
			c.fragments = append(c.fragments, payload...)
			return
		}
		if c.fragmented {
			payload, c.fragments, c.fragmented = append(c.fragments, payload...), nil, false
		}
		c.handler.Message(c, payload)
	}
}
