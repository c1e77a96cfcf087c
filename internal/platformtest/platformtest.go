// Package platformtest has the peers that tests of the platform's protocols share: listeners in place of nodes and of
// discovery, and the messages that these send. It is written from the protocols' documents and uses nothing of package
// platform, so that a test with it also checks that package's reading of them. Only tests import it.
package platformtest

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition that a test waits for.
const pollInterval = time.Millisecond

// Eventually waits until ok returns true, and fails the test with the message after the given time.
func Eventually(t testing.TB, within time.Duration, message string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal(message)
		}
	}
}

// Server accepts connections on a loopback address and keeps them, so that a test can write to them or end them. Its
// methods may be called by several goroutines at once.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn // in the order in which they were accepted
}

// Serve listens at a free port and calls serve for each connection, in a goroutine of its own. The listener and the
// connections are closed when the test ends.
func Serve(t testing.TB, serve func(c net.Conn)) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener}
	t.Cleanup(func() {
		listener.Close()
		for _, c := range s.TakeConns() {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go serve(c)
		}
	}()
	return s
}

// Address returns the address at which the server listens, as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Conns returns the connections that were accepted and not taken.
func (s *Server) Conns() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]net.Conn(nil), s.conns...)
}

// Newest returns the connection that was accepted last.
func (s *Server) Newest() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[len(s.conns)-1]
}

// TakeConns returns the connections and forgets them.
func (s *Server) TakeConns() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.conns
	s.conns = nil
	return conns
}

// Crash emulates the end of the peer's process: its connections are reset, and new ones are refused.
func (s *Server) Crash() {
	s.listener.Close()
	for _, c := range s.TakeConns() {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Response encodes a node's answer to a set-up, with the status code and phrase, such as "200 OK".
func Response(session, status, body string) string {
	return fmt.Sprintf("RTSP/1.0 %s\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, session, len(body), body)
}

// Teardown encodes a node's message that a session has ended, with the cause.
func Teardown(session string, cause int) string {
	return fmt.Sprintf("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n",
		session, cause)
}

// Discovery is a discovery service. It reads the request that begins each connection: the number of the event after
// which the director wants events. It then passes the connection to the test, which sends the events.
type Discovery struct {
	listener net.Listener
	requests chan discoveryRequest
}

// discoveryRequest is a connection of a director, and the number of the event after which it wants events.
type discoveryRequest struct {
	after uint64
	conn  net.Conn
}

// maxUnreadRequests bounds the connections that a Discovery accepts before the test takes them.
const maxUnreadRequests = 16

// ServeDiscovery listens at an address until the test ends.
func ServeDiscovery(t testing.TB, address string) *Discovery {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	d := &Discovery{listener, make(chan discoveryRequest, maxUnreadRequests)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			after := make([]byte, 8)
			if _, err := io.ReadFull(c, after); err == nil {
				d.requests <- discoveryRequest{binary.BigEndian.Uint64(after), c}
			}
		}
	}()
	return d
}

// Address returns the address at which the service listens, as host:port.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close stops listening. Accepted connections stay open.
func (d *Discovery) Close() { d.listener.Close() }

// Next returns the next connection and the number of the event after which it wants events. It fails the test if there
// is none within the given time.
func (d *Discovery) Next(t testing.TB, within time.Duration) (after uint64, c net.Conn) {
	t.Helper()
	select {
	case r := <-d.requests:
		return r.after, r.conn
	case <-time.After(within):
		t.Fatalf("no discovery request within %v", within)
	}
	return 0, nil
}

// The states of a node in a discovery event.
const (
	StateUp       byte = 0
	StateDraining byte = 1
	StateRemoved  byte = 2
)

// The parts of a discovery event, in bytes, and its type.
const (
	eventHeaderSize         = 9 // after the field with the length: number and type
	eventRecordSize         = 27
	eventTypeKeepAlive byte = 0
	eventTypeUpdate    byte = 2
)

// KeepAlive encodes the frame that discovery sends each second if there is nothing new.
func KeepAlive(lastEvent uint64) []byte {
	raw := binary.BigEndian.AppendUint32(nil, eventHeaderSize)
	return append(binary.BigEndian.AppendUint64(raw, lastEvent), eventTypeKeepAlive)
}

// NodeEvent encodes the discovery event with the given number, which reports the state of a node. An empty address
// stands for port 0.
func NodeEvent(number uint64, node uint32, state byte, address string) []byte {
	port := 0
	if tcp, err := net.ResolveTCPAddr("tcp", address); err == nil {
		port = tcp.Port
	}
	raw := binary.BigEndian.AppendUint32(nil, eventHeaderSize+eventRecordSize)
	raw = append(binary.BigEndian.AppendUint64(raw, number), eventTypeUpdate)
	raw = append(binary.BigEndian.AppendUint32(raw, node), 127, 0, 0, 1)
	raw = binary.BigEndian.AppendUint16(raw, uint16(port))
	raw = append(raw, state, 0, 0, 0, byte(node))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(raw, 1000), 0)
}
