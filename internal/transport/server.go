package transport

import (
	"context"
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
	limits            Limits
	handler           Handler
	listener          net.Listener
	eventLoop         netpoll.EventLoop
	silent            atomic.Bool
	refusing          atomic.Bool
	pendingHandshakes atomic.Int32 // connections whose handshake is not completely received
	mu                sync.Mutex
	conns             map[*Conn]bool // a connection is removed when it closes
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
	s := &Server{protocol: protocol, limits: limits, handler: handler, listener: ln, conns: map[*Conn]bool{}}
	type key struct{}
	s.eventLoop, err = netpoll.NewEventLoop(
		func(ctx context.Context, np netpoll.Connection) error { return ctx.Value(key{}).(*Conn).read(ctx, np) },
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			c := &Conn{raw: newSocket(np), handler: handler, limits: limits, server: s, split: split,
				handshakeDone: split != nil, acceptedAt: time.Now()}
			n := s.pendingHandshakes.Add(1)
			if split != nil && limits.MaxPendingHandshakes > 0 && int(n) > limits.MaxPendingHandshakes {
				s.resetOldestPending()
				n = 0
			}
			if s.refusing.Load() || limits.MaxPendingHandshakes > 0 && int(n) > limits.MaxPendingHandshakes {
				s.pendingHandshakes.Add(-1)
				c.server = nil
				if f, ok := np.(netpoll.Conn); ok {
					setResetOnClose(f.Fd())
				}
				np.Close()
				return context.Background()
			}
			if f, ok := np.(netpoll.Conn); ok && limits.KernelBufferBytes > 0 {
				// By default the send buffer grows to megabytes for a peer that requests much and reads nothing.
				// On an error it keeps its default.
				unix.SetsockoptInt(f.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, limits.KernelBufferBytes)
			}
			np.AddCloseCallback(c.onClosed)
			c.mu.Lock()
			c.usable = true // finishClose clears it before the descriptor is closed
			c.mu.Unlock()
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			if limits.HandshakeTimeout > 0 {
				c.handshakeTimer = time.AfterFunc(limits.HandshakeTimeout, func() { s.handshakeTimedOut(c) })
			}
			return context.WithValue(context.Background(), key{}, c)
		}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	go s.eventLoop.Serve(ln)
	return s, nil
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
	s.listener.Close()
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
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	s.Each((*Conn).Abort)
	s.eventLoop.Shutdown(ctx)
	s.Each((*Conn).Abort)
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
