package transport

import (
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"
)

// A SplitFunc tells how many bytes at the beginning of what has come are one whole message, 0 where it is not whole yet.
// An error says that the bytes can't be read, now or ever: the connection is ended. It must give the same answers
// however the bytes are cut, and looks at nothing but them.
type SplitFunc func(in []byte) (size int, err error)

// ServeTCP is Serve for a protocol without a handshake that frames its messages itself. A peer knocks with its first
// whole message, and until then counts as one whose handshake has not come: beyond Bounds.Pending the one that has
// been silent for longest is reset, not the newcomer, and all are after Bounds.Handshake. So long may any later
// message take to come whole.
func ServeTCP(address string, split SplitFunc, bounds Limits, handler Handler) (*Server, error) {
	return serve(address, "", split, bounds, handler)
}

// DialTCP is Dial for a protocol without a handshake that frames its messages itself.
func DialTCP(address string, within time.Duration, split SplitFunc, bounds Limits, handler Handler) (*Conn, error) {
	np, err := dialAgain(within, func(within time.Duration) (netpoll.Connection, error) { return dialPlain(address, within) })
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	c := &Conn{np: newSocket(np), handler: handler, bounds: bounds, client: true, split: split, open: true, shook: true, usable: true}
	c.heard.Store(int64(monotonic()))
	c.stand(np, nil)
	return c, nil
}

// dialPlain connects by way of the standard library, which tells a refusal from other failures; netpoll does not.
func dialPlain(address string, within time.Duration) (netpoll.Connection, error) {
	c, err := system.Load().dial(address, within)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var dup error
	if err := raw.Control(func(f uintptr) { fd, dup = unix.FcntlInt(f, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return nil, err
	}
	if dup != nil {
		return nil, dup
	}
	np, err := netpoll.NewFDConnection(fd) // on an error it has closed the descriptor
	if err != nil {
		return nil, err
	}
	return dialled{np, c.RemoteAddr()}, nil
}

// dialled is a connection of netpoll's that knows its peer, which netpoll does not of a descriptor that it is given.
type dialled struct {
	netpoll.Connection
	peer net.Addr
}

func (d dialled) RemoteAddr() net.Addr { return d.peer }

func (d dialled) Fd() int { return d.Connection.(netpoll.Conn).Fd() }

// closeLater is "try again later" of the registry of RFC 6455.
const closeLater = ws.StatusCode(1013)

// plain works through messages that the protocol frames itself and returns the incomplete rest.
func (c *Conn) plain(in []byte) []byte {
	for len(in) > 0 {
		c.mu.Lock()
		ended := c.why != nil
		c.mu.Unlock()
		if ended || c.deaf.Load() {
			return nil
		}
		size, err := c.split(in)
		if err == nil && (size > c.bounds.MaxMessageBytes || size == 0 && len(in) > c.bounds.MaxMessageBytes) {
			err = fmt.Errorf("%w: over %d bytes", ErrTooLarge, c.bounds.MaxMessageBytes)
		}
		if err != nil {
			c.EndInput(fmt.Errorf("%w: %w", ErrProtocol, err), ws.StatusProtocolError)
			return nil
		}
		if size == 0 {
			return in
		}
		if !c.open {
			c.open = true
			c.cameWhole()
			if gate, ok := c.handler.(AdmissionHandler); ok {
				gate.Connecting(c)
			} else {
				c.handler.Opened(c)
			}
		}
		c.moved = true
		message := append([]byte(nil), in[:size]...)
		in = in[size:]
		c.handler.Message(c, message)
	}
	return nil
}

// hurry ends the connection of a peer that has begun a message and does not finish it within the time of a handshake.
func (c *Conn) hurry() {
	if c.begun != nil && (c.moved || len(c.partial) == 0) {
		c.begun.Stop()
		c.begun = nil
	}
	c.moved = false
	if len(c.partial) > 0 && c.begun == nil && c.bounds.HandshakeTimeout > 0 {
		c.begun = time.AfterFunc(c.bounds.HandshakeTimeout, func() {
			c.EndInput(fmt.Errorf("%w: half a message for %v", ErrSlowPeer, c.bounds.HandshakeTimeout), ws.StatusPolicyViolation)
		})
	}
}

// crowdOut resets the connection that has said nothing whole for longest: one that has said nothing at all, if there is
// one, since what comes in pieces may be a request.
func (s *Server) crowdOut() {
	var oldest *Conn
	begun := false // it has said something
	s.mu.Lock()
	for c := range s.conns {
		if c.whole.Load() {
			continue
		}
		spoke := c.heard.Load() != 0
		if oldest == nil || begun && !spoke || begun == spoke && c.came.Before(oldest.came) {
			oldest, begun = c, spoke
		}
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.Reset()
	}
}
