package transport

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// MemoryNetwork carries connections in memory, for load tests with more connections than a machine has descriptors
// for. All code above rawConn is the same as for sockets. One goroutine delivers what servers write, in order.
type MemoryNetwork struct {
	mu      sync.Mutex
	pending []delivery
	wake    chan struct{}
}

// A delivery is a piece of output of a server's connection.
type delivery struct {
	to   *memoryConn
	body []byte
}

// NewMemoryNetwork starts a network that delivers until stop is closed.
func NewMemoryNetwork(stop <-chan struct{}) *MemoryNetwork {
	n := &MemoryNetwork{wake: make(chan struct{}, 1)}
	go func() {
		var batch []delivery
		for {
			n.mu.Lock()
			batch, n.pending = n.pending, batch[:0]
			n.mu.Unlock()
			for i, d := range batch {
				d.to.deliver(d.body)
				batch[i] = delivery{}
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

func (n *MemoryNetwork) enqueue(to *memoryConn, body []byte) {
	n.mu.Lock()
	n.pending = append(n.pending, delivery{to, body})
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// memoryConn is a rawConn without a socket.
type memoryConn struct {
	conn    *Conn
	network *MemoryNetwork
	peer    netip.AddrPort
	deliver func(p []byte)
}

func (m *memoryConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(m.peer) }

func (m *memoryConn) write(p []byte) (int, error) {
	if len(p) > 0 {
		m.network.enqueue(m, p)
	}
	return len(p), nil
}

// read finds nothing: Receive passes the input in.
func (m *memoryConn) read([]byte) (int, error) { return 0, nil }

func (m *memoryConn) watchFor(uint32) {}

func (m *memoryConn) resetOnClose() {}

func (m *memoryConn) unread() int { return 0 }

func (m *memoryConn) closeWrite() {}

func (m *memoryConn) setCloseTimeout(time.Duration) {}

func (m *memoryConn) Close() error {
	m.conn.onClosed()
	return nil
}

// AttachInMemory adds a connection in memory with the given remote address. The network's goroutine calls deliver with
// what the server writes.
func (s *Server) AttachInMemory(n *MemoryNetwork, peer netip.AddrPort, deliver func(p []byte)) *Conn {
	c := &Conn{handler: s.handler, limits: s.limits, server: s, usable: true}
	c.raw = &memoryConn{conn: c, network: n, peer: peer, deliver: deliver}
	s.pendingHandshakes.Add(1)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	return c
}

// Receive passes in bytes from the peer of a connection in memory. Calls for one connection must not overlap.
func (c *Conn) Receive(in []byte) { c.handleInput(in) }
