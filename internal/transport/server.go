package transport

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	stopOnce          sync.Once
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
	return serveListener(ln, protocol, split, limits, handler)
}

func serveListener(ln *listener, protocol string, split SplitFunc, limits Limits, handler Handler) (*Server, error) {
	if limits.ReceiveBufferBytes > 0 {
		setReceiveBuffer(ln.Fd(), limits.ReceiveBufferBytes)
	}
	s := &Server{protocol: protocol, split: split, limits: limits, handler: handler, listener: ln, conns: map[*Conn]bool{}}
	if err := ln.watch(s); err != nil { // clients are refused rather than left waiting
		internalErrors.Add(1)
		s.stop()
	}
	return s, nil
}

// ready is called by the poller when a connection can be accepted.
func (s *Server) ready(uint32) {
	if s.split != nil && s.limits.MaxPendingHandshakes > 0 && int(s.pendingHandshakes.Load()) >= s.limits.MaxPendingHandshakes &&
		!s.resetOldestPending() {
		s.listener.pause(s)
		return
	}
	descriptor, peer, delay := s.listener.accept()
	if descriptor == noDescriptor {
		time.Sleep(delay)
		return
	}
	if c := s.prepare(descriptor, peer); c != nil {
		c.beginReading(c.raw.(*socketConn))
	}
}

// prepare returns the connection for an accepted descriptor, which is not read yet, or nil if it is refused.
func (s *Server) prepare(descriptor int, peer net.Addr) *Conn {
	socket := newSocket(descriptor, peer)
	c := &Conn{raw: socket, handler: s.handler, limits: s.limits, budget: s.limits.Input, server: s, split: s.split,
		handshakeDone: s.split != nil, acceptedAt: time.Now()}
	socket.conn = c
	n := s.pendingHandshakes.Add(1)
	if s.refusing.Load() || s.split == nil && s.limits.MaxPendingHandshakes > 0 && int(n) > s.limits.MaxPendingHandshakes {
		s.pendingHandshakes.Add(-1)
		setResetOnClose(descriptor)
		_ = unix.Close(descriptor)
		return nil
	}
	if s.limits.KernelBufferBytes > 0 {
		// By default the send buffer grows to megabytes for a peer that requests much and reads nothing.
		// On an error it keeps its default.
		_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, s.limits.KernelBufferBytes)
	}
	c.mu.Lock()
	c.usable = true
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

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

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
		if c.lastRead.Load() == 0 && !c.InputPending() {
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

// stop closes the listening socket, and makes prepare abort a connection that was accepted just before. It returns when
// the system refuses connections.
func (s *Server) stop() {
	s.stopOnce.Do(func() {
		s.mu.Lock()
		s.stopped = true
		s.mu.Unlock()
		_ = s.listener.Close()
	})
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
