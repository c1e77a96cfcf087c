package transport

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against accept calls that take a whole core while an error persists: the poller's thread then waits for a
// processor on a busy machine, and the whole process with it.
func TestAcceptDoesNotSpinOnErrors(t *testing.T) {
	const failureTime = 200 * time.Millisecond
	for _, fault := range []error{unix.ECONNABORTED, unix.EINTR, unix.ENETUNREACH, unix.EMFILE} {
		t.Run(fault.Error(), func(t *testing.T) {
			var failing atomic.Bool
			var calls atomic.Int64
			failing.Store(true)
			injectCalls(t, systemCalls{accept: func(descriptor int) (int, unix.Sockaddr, error) {
				if !failing.Load() {
					return realCalls.accept(descriptor)
				}
				calls.Add(1)
				return -1, nil, fault
			}})
			s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{echo: true})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			start := time.Now()
			client := &recordingHandler{}
			c, err := DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, client)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Abort()
			c.Send([]byte("\x02a"), 0)
			time.Sleep(failureTime)
			made, elapsed := calls.Load(), time.Since(start)
			if allowed := maxFailuresAtOnce * int64(elapsed/acceptDelay+1); made == 0 || made > allowed {
				t.Fatalf("%d accept calls in %v, %d allowed", made, elapsed, allowed)
			}
			failing.Store(false)
			client.wait(t, "no answer after the errors ended", func() bool { return len(client.messages) == 1 })
		})
	}
}

// Guards against a server whose listener the poller cannot watch, and which leaves clients waiting.
func TestServerThatCannotWatchRefusesClients(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "file")) // epoll_ctl refuses a regular file
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	descriptor, err := duplicate(file)
	if err != nil {
		t.Fatal(err)
	}
	before := ErrorCount()
	s, err := serveListener(newListener(descriptor, nil), "", splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for end := time.Now().Add(5 * time.Second); s.listener.Fd() != noDescriptor; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the descriptor is still open")
		}
	}
	if ErrorCount() == before {
		t.Fatal("the error is not counted")
	}
}

// Guards against a connection that is accepted while its server is closed or stops accepting, and is left open.
func TestConnectionAcceptedDuringCloseIsAborted(t *testing.T) {
	for name, end := range map[string]func(*Server){"Close": (*Server).Close, "StopAccepting": (*Server).StopAccepting} {
		t.Run(name, func(t *testing.T) {
			entered, release := make(chan struct{}), make(chan struct{})
			var calls atomic.Int64
			injectCalls(t, systemCalls{accept: func(descriptor int) (int, unix.Sockaddr, error) {
				accepted, peer, err := realCalls.accept(descriptor)
				if err == nil && calls.Add(1) == 1 {
					close(entered)
					<-release
				}
				return accepted, peer, err
			}})
			s, err := ServeTCP("127.0.0.1:0", splitByLength, Limits{MaxMessageBytes: 64, MaxQueuedBytes: 64}, &recordingHandler{})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			<-entered
			ended := make(chan struct{})
			go func() { end(s); close(ended) }()
			time.Sleep(20 * time.Millisecond) // the server is waiting for the accept call
			close(release)
			<-ended
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Fatalf("the connection was not closed: %v", err)
			}
		})
	}
}

// An echoCheck is a connection whose peer sends every message back.
type echoCheck struct {
	recordingHandler
	conn *Conn
	sent int
}

func newEchoCheck(t *testing.T) *echoCheck {
	t.Helper()
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{echo: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	e := &echoCheck{}
	if e.conn, err = DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, e); err != nil {
		t.Fatal(err)
	}
	e.check(t, "at first")
	return e
}

func (e *echoCheck) check(t *testing.T, when string) {
	t.Helper()
	e.conn.Send([]byte("\x02a"), 0)
	e.sent++
	e.wait(t, "no answer on another connection "+when, func() bool { return len(e.messages) == e.sent })
}

// Guards against a listener without descriptors that holds up the reading of all other connections in the process,
// during the shortage or after a close in it. The second shortage follows a
// recovery.
func TestAcceptTroubleHoldsUpNoOtherConnection(t *testing.T) {
	other := newEchoCheck(t)
	var failing atomic.Bool
	var failures atomic.Int64
	injectCalls(t, systemCalls{accept: func(descriptor int) (int, unix.Sockaddr, error) {
		if failing.Load() {
			failures.Add(1)
			return -1, nil, unix.EMFILE
		}
		return realCalls.accept(descriptor)
	}})
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{echo: true})
	if err != nil {
		t.Fatal(err)
	}
	startShortage := func() *recordingHandler {
		failing.Store(true)
		failures.Store(0)
		client := &recordingHandler{}
		waiting, err := DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, client)
		if err != nil {
			t.Fatal(err)
		}
		waiting.Send([]byte("\x02a"), 0)
		client.wait(t, "accept was not tried again", func() bool { return failures.Load() > 3 })
		return client
	}
	client := startShortage()
	other.check(t, "in the first shortage")
	failing.Store(false)
	client.wait(t, "no answer after the shortage", func() bool { return len(client.messages) == 1 })
	time.Sleep(2 * acceptDelay) // every call of the first shortage has ended
	startShortage()
	other.check(t, "in the second shortage")
	s.Close()
	other.check(t, "after a close in the shortage")
	time.Sleep(2 * acceptDelay)
	other.check(t, "after the last accept call")
}

// Guards against a close of an accepted connection between its registration in the server and in the poller, which would
// go on to watch the descriptor's number, although it may belong to another file by then.
func TestConnectionClosedBeforeItIsWatchedWatchesNoOtherFile(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"StopAccepting": (*Server).StopAccepting,
		"Abort":         func(s *Server) { s.Each((*Conn).Abort) },
		"Reset":         func(s *Server) { s.Each((*Conn).Reset) },
	} {
		t.Run(name, func(t *testing.T) {
			h := &recordingHandler{}
			s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, h)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer unix.Close(pair[1])
			c := s.prepare(pair[0], &net.TCPAddr{})
			end(s)
			if _, err := fileOn(pair[0]); err == nil {
				t.Fatal("the descriptor is open after the close")
			}
			other, err := unix.Dup(pair[1]) // gets the lowest free number
			if err != nil {
				t.Fatal(err)
			}
			defer unix.Close(other)
			socket := c.raw.(*socketConn)
			c.beginReading(socket)
			if other != pair[0] || socket.token != 0 {
				t.Fatalf("descriptor %d was closed, %d opened, registration %d", pair[0], other, socket.token)
			}
			c.Abort()
			if _, err := fileOn(other); err != nil {
				t.Fatal("another file's descriptor was closed")
			}
			h.wait(t, "the handler was not told once", func() bool { return h.closed == 1 })
		})
	}
}
