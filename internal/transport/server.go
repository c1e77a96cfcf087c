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

// Server accepts WebSocket connections of one sub-protocol.
type Server struct {
	protocol string
	bounds   Limits
	handler  Handler
	listener net.Listener
	loop     netpoll.EventLoop
	silent   atomic.Bool
	refusing atomic.Bool
	pending  atomic.Int32 // connections whose handshake has not come whole yet
	mu       sync.Mutex
	conns    map[*Conn]bool // emptied as connections close
}

// Serve listens at an address and hands connections to the handler until Close.
func Serve(address, protocol string, bounds Limits, handler Handler) (*Server, error) {
	return serve(address, protocol, nil, bounds, handler)
}

func serve(address, protocol string, split SplitFunc, bounds Limits, handler Handler) (*Server, error) {
	ln, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	s := &Server{protocol: protocol, bounds: bounds, handler: handler, listener: ln, conns: map[*Conn]bool{}}
	type key struct{}
	s.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, np netpoll.Connection) error { return ctx.Value(key{}).(*Conn).read(ctx, np) },
		netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
			c := &Conn{np: newSocket(np), handler: handler, bounds: bounds, server: s, split: split, shook: split != nil, came: time.Now()}
			n := s.pending.Add(1)
			if split != nil && bounds.MaxPendingHandshakes > 0 && int(n) > bounds.MaxPendingHandshakes {
				s.crowdOut()
				n = 0
			}
			if s.refusing.Load() || bounds.MaxPendingHandshakes > 0 && int(n) > bounds.MaxPendingHandshakes {
				s.pending.Add(-1)
				c.server = nil
				if f, ok := np.(netpoll.Conn); ok {
					setLinger(f.Fd())
				}
				np.Close()
				return context.Background()
			}
			if f, ok := np.(netpoll.Conn); ok && bounds.KernelBufferBytes > 0 {
				// Left alone it grows to megabytes for a peer that asks for much and reads nothing. An error
				// leaves it as it was.
				unix.SetsockoptInt(f.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, bounds.KernelBufferBytes)
			}
			np.AddCloseCallback(c.closed)
			c.mu.Lock()
			c.usable = true // the callback runs before the descriptor is closed
			c.mu.Unlock()
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			if bounds.HandshakeTimeout > 0 {
				c.cutoff = time.AfterFunc(bounds.HandshakeTimeout, func() { s.expire(c) })
			}
			return context.WithValue(context.Background(), key{}, c)
		}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	go s.loop.Serve(ln)
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetSilent makes the server take bytes and answer nothing of itself (handshakes, pings): half-open, as
// seen from the other side.
func (s *Server) SetSilent(on bool) { s.silent.Store(on) }

// SetRefusing makes the server reset whoever connects, as a machine does on which nothing listens.
func (s *Server) SetRefusing(on bool) { s.refusing.Store(on) }

// StopAccepting ends the listener and closes the connections on which nothing has come yet. Who connects from then on is
// refused by the system.
func (s *Server) StopAccepting() {
	s.listener.Close()
	s.Each(func(c *Conn) {
		if c.heard.Load() == 0 {
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

// Close stops listening and cuts every connection.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	s.Each((*Conn).Abort)
	s.loop.Shutdown(ctx)
	s.Each((*Conn).Abort)
}

func (s *Server) forget(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// expire ends a connection whose handshake took too long.
func (s *Server) expire(c *Conn) {
	if !c.whole.Load() {
		c.turnAway(fmt.Errorf("not done within %v", s.bounds.HandshakeTimeout))
	}
}
