package transport

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Server accepts connections: WebSocket with one sub-protocol, or a protocol with a SplitFunc.
type Server struct {
	protocol          string
	split             SplitFunc // nil: WebSocket
	limits            Limits
	handler           Handler
	listener          *listener
	silent            atomic.Bool
	refusing          atomic.Bool
	pendingHandshakes atomic.Int32 // connections whose handshake is not completely received
	mu                sync.Mutex
	conns             map[*Conn]bool // a connection is removed when it closes
	stopped           bool           // a connection accepted from now on is aborted
}

// Serve listens at an address and serves connections with the handler until Close is called.
func Serve(address, protocol string, limits Limits, handler Handler) (*Server, error) {
	return serve(address, protocol, nil, limits, handler)
}

func serve(address, protocol string, split SplitFunc, limits Limits, handler Handler) (*Server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	s := &Server{protocol: protocol, split: split, limits: limits, handler: handler, listener: ln, conns: map[*Conn]bool{}}
	go ln.serve(s.accepted)
	return s, nil
}

// accepted serves a connection, or resets it if there are too many without a handshake.
func (s *Server) accepted(descriptor int, peer net.Addr) {
	n := s.pendingHandshakes.Add(1)
	if s.split != nil && s.limits.MaxPendingHandshakes > 0 && int(n) > s.limits.MaxPendingHandshakes {
		s.resetOldestPending()
		n = 0
	}
	if s.refusing.Load() || s.limits.MaxPendingHandshakes > 0 && int(n) > s.limits.MaxPendingHandshakes {
		s.pendingHandshakes.Add(-1)
		setResetOnClose(descriptor)
		unix.Close(descriptor)
		return
	}
	// Without the options the connection is slower but correct, or keeps a larger buffer, so errors are ignored.
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if s.limits.KernelBufferBytes > 0 {
		// By default the send buffer grows to megabytes for a peer that requests much and reads nothing.
		_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, s.limits.KernelBufferBytes)
	}
	np, err := netpoll.NewFDConnection(descriptor) // closes the descriptor when it returns an error
	if err != nil {
		s.pendingHandshakes.Add(-1)
		return
	}
	s.enter(addressedConn{np, peer}).receive()
}

// enter adds an accepted connection to the table, without receiving input of it yet.
func (s *Server) enter(np netpoll.Connection) *Conn {
	socket := newSocket(np)
	socket.gate = &closeGate{}
	c := &Conn{raw: socket, handler: s.handler, limits: s.limits, server: s, split: s.split,
		handshakeDone: s.split != nil, acceptedAt: time.Now()}
	np.AddCloseCallback(c.onClosed)
	c.mu.Lock()
	c.usable = true // finishClose clears it before the descriptor is closed
	if s.limits.HandshakeTimeout > 0 {
		c.handshakeTimer = time.AfterFunc(s.limits.HandshakeTimeout, func() { s.handshakeTimedOut(c) })
	}
	c.mu.Unlock()
	s.mu.Lock()
	s.conns[c] = true
	stopped := s.stopped
	s.mu.Unlock()
	if stopped { // accepted while the listener was being closed
		c.Abort()
	}
	return c
}

// receive lets netpoll pass the input of an accepted connection to it.
func (c *Conn) receive() {
	socket := c.raw.(socketConn)
	socket.SetOnRequest(c.read)
	closeWanted := socket.gate.open()
	if closeWanted || !socket.IsActive() { // netpoll does not clean up a connection that ended before SetOnRequest
		socket.Connection.Close()
	}
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.address.String() }

// SetSilent makes the server read input without answering handshakes and pings, so that the peer sees a half-open
// connection.
func (s *Server) SetSilent(on bool) { s.silent.Store(on) }

// SetRefusing makes the server reset every new connection, like a machine on which no process listens.
func (s *Server) SetRefusing(on bool) { s.refusing.Store(on) }

// StopAccepting closes the listener and the connections on which no input has been received. The system refuses later
// connections.
func (s *Server) StopAccepting() {
	s.stop()
	s.Each(func(c *Conn) {
		if c.lastRead.Load() == 0 {
			c.Abort()
		}
	})
}

// Each calls f for every connection.
func (s *Server) Each(f func(*Conn)) {
	s.mu.Lock()
	all := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

// Close stops listening and aborts every connection.
func (s *Server) Close() {
	s.stop()
	s.Each((*Conn).Abort)
}

// stop closes the listening socket, and makes enter abort a connection that was accepted just before.
func (s *Server) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.listener.Close()
}

func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// handshakeTimedOut ends a connection whose handshake took too long.
func (s *Server) handshakeTimedOut(c *Conn) {
	if !c.handshakeReceived.Load() {
		c.failHandshake(fmt.Errorf("not completed within %v", s.limits.HandshakeTimeout))
	}
}
