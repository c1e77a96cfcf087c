package transport

import (
	"net"
	"net/netip"
)

// memory is a carrier without sockets, for loads that no machine has descriptors for. Everything above it
// is the code that sockets have.
type memory struct {
	conn *Conn
	peer netip.AddrPort
	out  func(p []byte)
	next []byte
}

func (m *memory) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(m.peer) }

func (m *memory) stage(frames []frame, _ int) error {
	for _, f := range frames {
		m.next = append(m.next, f.body...)
	}
	return nil
}

func (m *memory) flush() error {
	m.out(m.next)
	m.next = nil
	return nil
}

func (m *memory) Close() error { return m.conn.closed(nil) }

// Attach adds a connection in memory, as from an address; what the server writes goes to out, from any
// goroutine.
func (s *Server) Attach(peer netip.AddrPort, out func(p []byte)) *Conn {
	c := &Conn{handler: s.handler, bounds: s.bounds, server: s, fd: -1}
	c.np = &memory{conn: c, peer: peer, out: out}
	s.pending.Add(1)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	return c
}

// Feed takes bytes from the peer of a connection in memory. Calls for one connection must not overlap.
func (c *Conn) Feed(in []byte) { c.feed(in) }
