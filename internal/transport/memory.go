package transport

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// MemoryNetwork carries connections in memory, for loads that no machine has descriptors for. Everything above
// the carrier is the code that sockets have. One goroutine delivers what servers write, in order.
type MemoryNetwork struct {
	mu      sync.Mutex
	waiting []parcel
	wake    chan struct{}
}

type parcel struct {
	to   *memory
	body []byte
}

// NewMemoryNetwork starts a network; it delivers until stop is closed.
func NewMemoryNetwork(stop <-chan struct{}) *MemoryNetwork {
	n := &MemoryNetwork{wake: make(chan struct{}, 1)}
	go func() {
		var batch []parcel
		for {
			n.mu.Lock()
			batch, n.waiting = n.waiting, batch[:0]
			n.mu.Unlock()
			for i, p := range batch {
				p.to.out(p.body)
				batch[i] = parcel{}
			}
			if len(batch) > 0 {
				continue
			}
			select {
			case <-stop:
				return
			case <-n.wake:
			}
		}
	}()
	return n
}

func (n *MemoryNetwork) carry(to *memory, body []byte) {
	n.mu.Lock()
	n.waiting = append(n.waiting, parcel{to, body})
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// memory is a carrier without sockets.
type memory struct {
	conn    *Conn
	network *MemoryNetwork
	peer    netip.AddrPort
	out     func(p []byte)
}

func (m *memory) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(m.peer) }

func (m *memory) write(p []byte) (int, error) {
	if len(p) > 0 {
		m.network.carry(m, p)
	}
	return len(p), nil
}

func (m *memory) reset() {}

func (m *memory) closeWithin(time.Duration) {}

func (m *memory) Close() error { return m.conn.closed(nil) }

// AttachInMemory adds a connection in memory, as from an address; what the server writes goes to out, from the
// network's goroutine.
func (s *Server) AttachInMemory(n *MemoryNetwork, peer netip.AddrPort, out func(p []byte)) *Conn {
	c := &Conn{handler: s.handler, bounds: s.bounds, server: s, usable: true}
	c.np = &memory{conn: c, network: n, peer: peer, out: out}
	s.pending.Add(1)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	return c
}

// Receive takes bytes from the peer of a connection in memory. Calls for one connection must not overlap.
func (c *Conn) Receive(in []byte) { c.feed(in) }
