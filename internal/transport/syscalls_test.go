package transport

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// injectCalls replaces system calls for listeners and connections created during the test; nil fields keep the real
// call.
func injectCalls(t *testing.T, calls systemCalls) {
	t.Helper()
	if calls.accept == nil {
		calls.accept = realCalls.accept
	}
	if calls.read == nil {
		calls.read = realCalls.read
	}
	if calls.write == nil {
		calls.write = realCalls.write
	}
	if calls.dial == nil {
		calls.dial = realCalls.dial
	}
	currentCalls.Store(&calls)
	t.Cleanup(func() { currentCalls.Store(&realCalls) })
}

// A failingWriter repeats a cycle: some failed writes, then a write that is short by one byte.
type failingWriter struct {
	mu       sync.Mutex
	fault    error
	failures int // in each cycle
	calls    int // in this cycle
}

func (w *failingWriter) write(descriptor int, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls++; w.calls <= w.failures {
		return -1, w.fault
	}
	w.calls = 0
	if len(p) > 1 {
		p = p[:len(p)-1] // a short write
	}
	return unix.Write(descriptor, p)
}

// Guards against transient write errors and short writes that close the connection, lose a message or send bytes twice.
func TestTransientWriteErrorsLoseNothing(t *testing.T) {
	for _, fault := range []error{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(fault.Error(), func(t *testing.T) {
			faults := &failingWriter{fault: fault, failures: 3}
			injectCalls(t, systemCalls{write: faults.write})
			h := &recordingHandler{}
			client := &recordingHandler{}
			c := tcpPair(t, h, client, testTCPLimits)
			const messages = 20
			for i := range messages {
				if !c.Send(fmt.Appendf(nil, "\x04%03d", i), uint64(i+1)) {
					t.Fatalf("message %d was not accepted", i)
				}
			}
			h.wait(t, "some messages were not received", func() bool { return len(h.messages) == messages })
			for i, got := range h.messages {
				if want := fmt.Sprintf("\x04%03d", i); got != want {
					t.Fatalf("message %d is %q", i, got)
				}
			}
			client.mu.Lock()
			defer client.mu.Unlock()
			if client.closed != 0 {
				t.Fatal("the connection was closed")
			}
		})
	}
}

// Guards against a broken connection that stays open because its write error is taken for a transient one.
func TestFatalWriteErrorClosesConnection(t *testing.T) {
	for _, fault := range []error{unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			injectCalls(t, systemCalls{write: func(int, []byte) (int, error) { return -1, fault }})
			client := &recordingHandler{}
			c := tcpPair(t, &recordingHandler{}, client, testTCPLimits)
			if c.Send([]byte("\x02a"), 1) {
				t.Fatal("Send accepted a message")
			}
			client.wait(t, "the connection was not closed", func() bool { return client.closed == 1 })
		})
	}
}

// Guards against a connection that stays open while the kernel accepts no bytes: it must end after the write time-out
// and report the unsent messages.
func TestStalledWriteClosesConnection(t *testing.T) {
	injectCalls(t, systemCalls{write: func(int, []byte) (int, error) { return -1, unix.ENOBUFS }})
	limits := testTCPLimits
	limits.WriteTimeout = 100 * time.Millisecond
	ended := &closeRecorder{closeErr: make(chan error, 1)}
	c := tcpPair(t, &recordingHandler{}, ended, limits)
	start := time.Now()
	c.Send([]byte("\x02a"), 7)
	select {
	case err := <-ended.closeErr:
		if elapsed := time.Since(start); !errors.Is(err, ErrSlowPeer) || elapsed < limits.WriteTimeout {
			t.Fatalf("closed with %v after %v", err, elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not closed")
	}
	if len(ended.unsent) != 1 || ended.unsent[0] != 7 {
		t.Fatalf("unsent messages: %v", ended.unsent)
	}
}

// A closeRecorder records the cause of a connection's end and the unsent messages.
type closeRecorder struct {
	closeErr chan error
	unsent   []uint64
}

func (h *closeRecorder) Opened(*Conn)          {}
func (h *closeRecorder) Message(*Conn, []byte) {}
func (h *closeRecorder) Closed(_ *Conn, err error, unsent []uint64) {
	h.unsent = unsent
	h.closeErr <- err
}

// Guards against local errors during a dial being taken for failures of the server: they are retried within the
// time-out and reported as local, while errors caused by the server are reported at once.
func TestDialRetriesLocalErrors(t *testing.T) {
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, fault := range []syscall.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EAGAIN, unix.EADDRNOTAVAIL, unix.ENETUNREACH,
		unix.ENETDOWN, unix.EMFILE, unix.ENFILE, unix.ECONNABORTED} {
		failed := func() error { return &net.OpError{Op: "dial", Err: &net.OpError{Op: "connect", Err: fault}} }
		failuresLeft := 3
		injectCalls(t, systemCalls{dial: func(address string, timeout time.Duration) (net.Conn, error) {
			if failuresLeft--; failuresLeft >= 0 {
				return nil, failed()
			}
			return realCalls.dial(address, timeout)
		}})
		c, err := DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, &recordingHandler{})
		if err != nil {
			t.Fatalf("dial after three failures with %v: %v", fault, err)
		}
		c.Abort()
		injectCalls(t, systemCalls{dial: func(string, time.Duration) (net.Conn, error) { return nil, failed() }})
		start := time.Now()
		if _, err := DialTCP(s.Address(), 50*time.Millisecond, splitByLength, testTCPLimits, &recordingHandler{}); !IsLocalError(err) {
			t.Fatalf("permanent %v is not reported as a local error: %v", fault, err)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Fatalf("dial with permanent %v took %v", fault, elapsed)
		}
	}
	for _, fault := range []syscall.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		tries := 0
		injectCalls(t, systemCalls{dial: func(string, time.Duration) (net.Conn, error) { tries++; return nil, fault }})
		if _, err := DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, &recordingHandler{}); IsLocalError(err) ||
			!errors.Is(err, fault) || tries != 1 {
			t.Fatalf("%v, an error caused by the server: got %v after %d tries", fault, err, tries)
		}
	}
}

// A failingAccept is an accept call that fails for a while. No call is under way when that begins, since it could still
// succeed, and take a connection that was made later.
type failingAccept struct {
	mu        sync.Mutex
	fault     error
	failUntil time.Duration // by monotonic
}

func (f *failingAccept) accept(descriptor int) (int, unix.Sockaddr, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if monotonic() < f.failUntil {
		return -1, nil, f.fault
	}
	return realCalls.accept(descriptor)
}

func (f *failingAccept) start(failureTime time.Duration) (failUntil time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failUntil = monotonic() + failureTime
	return f.failUntil
}

// Guards against a listener that stays idle after accept errors have ended, or loses connections that wait in its
// backlog meanwhile, whatever the error and however long it lasts.
func TestAcceptGoesOnAfterTrouble(t *testing.T) {
	for _, fault := range []error{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETUNREACH, unix.EMFILE, unix.ENFILE,
		unix.ENOBUFS, unix.ENOMEM, unix.EPERM} {
		t.Run(fault.Error(), func(t *testing.T) {
			const failureTime = 700 * time.Millisecond
			faults := &failingAccept{fault: fault}
			injectCalls(t, systemCalls{accept: faults.accept})
			h := &recordingHandler{echo: true}
			s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, h)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for range 2 { // the second failure follows successful accepts
				before := ErrorCount()
				failUntil := faults.start(failureTime)
				client := &recordingHandler{}
				c, err := DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, client)
				if err != nil {
					t.Fatal(err)
				}
				c.Send([]byte("\x02a"), 0)
				client.wait(t, "no answer", func() bool { return len(client.messages) == 1 })
				if ErrorCount() == before {
					t.Fatal("failed accepts are not counted")
				}
				if late := monotonic() - failUntil; late > 200*time.Millisecond {
					t.Fatalf("answered %v after the accept errors ended", late)
				}
			}
		})
	}
}

// Guards against a retry goroutine that outlives a server closed while accept fails, and keeps its listener's
// descriptor.
func TestCloseWhileAcceptFails(t *testing.T) {
	injectCalls(t, systemCalls{accept: func(int) (int, unix.Sockaddr, error) { return -1, nil, unix.ENFILE }})
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	before := runtime.NumGoroutine()
	time.Sleep(50 * time.Millisecond) // the listener is retrying
	s.Close()
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines after Close, %d before", runtime.NumGoroutine(), before)
		}
	}
}

// Guards against a dialed connection without a remote address, which log lines about malformed messages need.
func TestDialedConnectionHasRemoteAddr(t *testing.T) {
	s, err := ServeTCP("127.0.0.1:0", splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := DialTCP(s.Address(), time.Second, splitByLength, testTCPLimits, &recordingHandler{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Abort()
	if peer := c.RemoteAddr(); peer == nil || peer.String() != s.Address() {
		t.Fatalf("remote address %v, dialed %s", peer, s.Address())
	}
}

// Guards against a message of SendWithin that is sent after its time-out, or is dropped without a notification. The
// messages queued after it must still be sent.
func TestExpiredMessageIsDropped(t *testing.T) {
	var blocked atomic.Bool
	injectCalls(t, systemCalls{write: func(descriptor int, p []byte) (int, error) {
		if blocked.Load() {
			return -1, unix.EAGAIN
		}
		return unix.Write(descriptor, p)
	}})
	server := &recordingHandler{}
	h := &expiryRecorder{expired: make(chan uint64, 10)}
	c := tcpPair(t, server, h, testTCPLimits)
	blocked.Store(true)
	start := time.Now()
	c.SendWithin([]byte("\x02a"), 7, 50*time.Millisecond)
	c.Send([]byte("\x02b"), 8)
	c.SendWithin([]byte("\x02c"), 9, time.Minute)
	select {
	case tag := <-h.expired:
		if elapsed := time.Since(start); tag != 7 || elapsed < 50*time.Millisecond {
			t.Fatalf("message %d was dropped after %v", tag, elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was dropped")
	}
	blocked.Store(false)
	server.wait(t, "the other messages were not received", func() bool { return len(server.messages) == 2 })
	if server.messages[0] != "\x02b" || server.messages[1] != "\x02c" {
		t.Fatalf("received %q", server.messages)
	}
	if c.CancelSend(7) {
		t.Fatal("CancelSend succeeded for a dropped message")
	}
}

// An expiryRecorder also records the tags of dropped messages.
type expiryRecorder struct {
	recordingHandler
	expired chan uint64
}

func (h *expiryRecorder) Expired(_ *Conn, tag uint64) { h.expired <- tag }
