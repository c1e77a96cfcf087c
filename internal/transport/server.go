package transport

import (
	"context"
	"fmt"
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
	eventLoop         netpoll.EventLoop
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
	var err error
	s := &Server{protocol: protocol, split: split, limits: limits, handler: handler, listener: ln, conns: map[*Conn]bool{}}
	s.eventLoop, err = netpoll.NewEventLoop(
		func(ctx context.Context, np netpoll.Connection) error {
			return ctx.Value(connKey{}).(*Conn).read(ctx, np)
		},
		netpoll.WithOnPrepare(s.prepare), netpoll.WithOnConnect(s.connected))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen at %s: %w", ln.Addr(), err)
	}
	go s.serveEvents()
	<-ln.known // netpoll's shutdown has no effect before that, and waits for the rest of its start after it
	return s, nil
}

// serveEvents returns when the listener has been closed. If netpoll cannot watch it, clients are refused rather than
// left waiting.
func (s *Server) serveEvents() {
	if err := s.eventLoop.Serve(watchedListener{s.listener}); err != nil {
		internalErrors.Add(1)
		s.stop()
	}
}

// connKey is the key of a connection in the context that netpoll keeps for it.
type connKey struct{}

// prepare is called with each accepted connection before netpoll watches it. It returns the connection's context.
func (s *Server) prepare(np netpoll.Connection) context.Context {
	socket := newSocket(np)
	socket.gate = &closeGate{}
	c := &Conn{raw: socket, handler: s.handler, limits: s.limits, server: s, split: s.split,
		handshakeDone: s.split != nil, acceptedAt: time.Now()}
	n := s.pendingHandshakes.Add(1)
	if s.split != nil && s.limits.MaxPendingHandshakes > 0 && int(n) > s.limits.MaxPendingHandshakes {
		s.resetOldestPending()
		n = 0
	}
	if s.refusing.Load() || s.limits.MaxPendingHandshakes > 0 && int(n) > s.limits.MaxPendingHandshakes {
		s.pendingHandshakes.Add(-1)
		c.server = nil
		if f, ok := np.(netpoll.Conn); ok {
			setResetOnClose(f.Fd())
		}
		np.Close()
		return context.Background()
	}
	if f, ok := np.(netpoll.Conn); ok && s.limits.KernelBufferBytes > 0 {
		// By default the send buffer grows to megabytes for a peer that requests much and reads nothing.
		// On an error it keeps its default.
		unix.SetsockoptInt(f.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, s.limits.KernelBufferBytes)
	}
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
	return context.WithValue(context.Background(), connKey{}, c)
}

// connected is called when netpoll watches an accepted connection. It is not called for one that has ended before.
func (s *Server) connected(ctx context.Context, np netpoll.Connection) context.Context {
	if ctx.Value(connKey{}).(*Conn).raw.(socketConn).gate.open() {
		np.Close()
	}
	return ctx
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

// stop has netpoll detach the listening socket and close it, in this order, and makes prepare abort a connection that
// was accepted just before. It returns when the system refuses connections.
func (s *Server) stop() {
	s.stopOnce.Do(func() {
		s.mu.Lock()
		s.stopped = true
		s.mu.Unlock()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			s.eventLoop.Shutdown(context.Background()) // does not return: watchedListener's Close ends the goroutine
		}()
		<-closed
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
