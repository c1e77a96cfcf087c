package transport

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gobwas/ws"
	"golang.org/x/sys/unix"
)

// maxOpened bounds how many files a test opens to get one on a given descriptor number.
const maxOpened = 20

// fileOn identifies the open file on a descriptor number.
func fileOn(descriptor int) (inode uint64, err error) {
	var status unix.Stat_t
	err = unix.Fstat(descriptor, &status)
	return status.Ino, err
}

func descriptorOf(t *testing.T, ln net.Listener) (descriptor int) {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { descriptor = int(fd) }); err != nil {
		t.Fatal(err)
	}
	return descriptor
}

// listenOn opens listeners until one has the descriptor number, and returns it, or nil if the number is not free.
func listenOn(t *testing.T, descriptor int) net.Listener {
	t.Helper()
	for range maxOpened {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		if descriptorOf(t, ln) == descriptor {
			return ln
		}
	}
	return nil
}

// waitUntilServed returns when the server has accepted a connection.
func waitUntilServed(t *testing.T, s *Server) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		accepted := 0
		s.Each(func(*Conn) { accepted++ })
		if accepted > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no connection was accepted")
		}
	}
}

// Guards against a server that is closed or stopped right after it was started, and goes on to listen because the
// poller did not know it yet.
func TestCloseRightAfterServe(t *testing.T) {
	for range 100 {
		for name, end := range map[string]func(*Server){"Close": (*Server).Close, "StopAccepting": (*Server).StopAccepting} {
			s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{})
			if err != nil {
				t.Fatal(err)
			}
			end(s)
			if c, err := net.Dial("tcp", s.Address()); err == nil {
				c.Close()
				t.Fatalf("a connection was accepted after %s", name)
			}
			s.Close()
		}
	}
}

// A blockedAccept is a system call whose first call waits for release before it reaches the kernel.
type blockedAccept struct {
	entered   chan int // receives the descriptor number of the first call
	release   chan struct{}
	returned  chan struct{} // closed when the first call has returned
	otherFile bool          // the number of the first call belonged to another file after release
	calls     atomic.Int64
}

func newBlockedAccept() *blockedAccept {
	return &blockedAccept{entered: make(chan int, 1), release: make(chan struct{}), returned: make(chan struct{})}
}

func (b *blockedAccept) call(descriptor int) (accepted int, peer unix.Sockaddr, err error) {
	if b.calls.Add(1) != 1 {
		return realCalls.accept(descriptor)
	}
	defer close(b.returned)
	before, err := fileOn(descriptor)
	if err != nil {
		return -1, nil, err
	}
	b.entered <- descriptor
	<-b.release
	after, err := fileOn(descriptor)
	b.otherFile = err != nil || after != before
	return realCalls.accept(descriptor)
}

// Guards against an accept call that reaches the kernel after its listener was closed, on a descriptor number that
// belongs to another listener by then, whose connection it would take.
func TestAcceptTakesNoConnectionOfAnotherListener(t *testing.T) {
	accept := newBlockedAccept()
	injectCalls(t, systemCalls{accept: accept.call})
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	waiting, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	descriptor := <-accept.entered
	closed := make(chan struct{})
	go func() { s.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(100 * time.Millisecond): // Close waits for the accept call
	}
	other := listenOn(t, descriptor)
	if other != nil {
		client, err := net.Dial("tcp", other.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
	}
	close(accept.release)
	<-accept.returned
	<-closed
	if accept.otherFile {
		t.Error("an accept call reached the kernel on another file's descriptor number")
	}
	if other != nil {
		other.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second))
		if c, err := other.Accept(); err != nil {
			t.Errorf("the other listener's connection was taken: %v", err)
		} else {
			c.Close()
		}
	}
}

// Guards against a close of a stopped server that detaches a connection which has the listener's descriptor number by
// then: the connection would never be read again.
func TestCloseAfterStopAcceptingDetachesNoConnection(t *testing.T) {
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	echo, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{echo: true})
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	waitUntilServed(t, s)
	s.StopAccepting()
	if c, err := net.Dial("tcp", s.Address()); err == nil {
		c.Close()
		t.Fatal("a connection was accepted after StopAccepting")
	}
	type client struct {
		*recordingHandler
		conn *Conn
	}
	var clients []client
	for range maxOpened {
		h := &recordingHandler{}
		c, err := DialTCP(echo.Address(), time.Second, splitByLength, testTCPLimits, h)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Abort()
		c.Send([]byte("\x02a"), 0)
		h.wait(t, "no answer before the close", func() bool { return len(h.messages) == 1 })
		clients = append(clients, client{h, c})
	}
	s.Close()
	for _, c := range clients {
		c.conn.Send([]byte("\x02b"), 0)
		c.wait(t, "no answer after the close", func() bool { return len(c.messages) == 2 })
	}
}

// Guards against a listener that closes its descriptor number a second time, when the number may belong to another
// file. Another goroutine opens files all the time, so that one of them gets the number.
func TestListenerClosesNoOtherFile(t *testing.T) {
	stop, lost := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(lost)
		for {
			select {
			case <-stop:
				return
			default:
			}
			var opened [maxOpened]int
			for i := range opened {
				var err error
				if opened[i], err = unix.Eventfd(0, unix.EFD_CLOEXEC); err != nil {
					lost <- err
					return
				}
			}
			for _, descriptor := range opened {
				if err := unix.Close(descriptor); err != nil {
					lost <- err
					return
				}
			}
		}
	}()
	for range 1000 {
		ln, err := listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := ln.Close(); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	if err := <-lost; err != nil {
		t.Fatalf("another file's descriptor was closed: %v", err)
	}
}

// A closingOpener closes each connection in Opened and then opens a socket on its descriptor number.
type closingOpener struct {
	t        *testing.T
	viaQueue bool // a message is queued when the connection is closed
	other    int  // the socket with the connection's former descriptor number; -1: none
}

func (h *closingOpener) Opened(c *Conn) {
	descriptor := c.raw.(*socketConn).descriptor
	if h.viaQueue {
		c.Send([]byte("\x02a"), 0)
	}
	c.Close(ws.StatusNormalClosure, "")
	h.other = -1
	for end := time.Now().Add(time.Second); h.other < 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := fileOn(descriptor); err == nil {
			continue // not closed yet
		}
		for range maxOpened {
			socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			if err != nil {
				h.t.Error(err)
				return
			}
			h.t.Cleanup(func() { unix.Close(socket) })
			if socket == descriptor {
				h.other = socket
				break
			}
		}
		if h.other < 0 {
			break
		}
	}
	c.Reset()
}
func (h *closingOpener) Message(*Conn, []byte)         {}
func (h *closingOpener) Closed(*Conn, error, []uint64) {}

// Guards against a socket option that is set on another socket, because a dialed connection that was closed in Opened
// still counts as usable.
func TestResetAfterCloseInOpenedTouchesNoOtherSocket(t *testing.T) {
	for name, viaQueue := range map[string]bool{"nothing to write": false, "queued": true} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			if viaQueue {
				injectCalls(t, systemCalls{write: func(descriptor int, p []byte) (int, error) {
					if calls.Add(1) == 1 {
						return -1, unix.EAGAIN // so that the message is queued
					}
					return unix.Write(descriptor, p)
				}})
			}
			h := &closingOpener{t: t, viaQueue: viaQueue}
			tcpPair(t, &recordingHandler{}, h, testTCPLimits)
			if h.other < 0 {
				t.Fatal("no socket got the connection's descriptor number")
			}
			linger, err := unix.GetsockoptInt(h.other, unix.SOL_SOCKET, unix.SO_LINGER)
			if err != nil {
				t.Fatal(err)
			}
			if linger != 0 {
				t.Error("the reset was set on another socket")
			}
		})
	}
}
