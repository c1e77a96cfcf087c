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

// inject puts system calls with faults in the place of the real ones for connections that begin during the test.
func inject(t *testing.T, calls systemCalls) {
	t.Helper()
	if calls.accept == nil {
		calls.accept = realCalls.accept
	}
	if calls.write == nil {
		calls.write = realCalls.write
	}
	if calls.dial == nil {
		calls.dial = realCalls.dial
	}
	system.Store(&calls)
	t.Cleanup(func() { system.Store(&realCalls) })
}

// A faultyWrite fails so often, then writes one byte less than it was given, then fails again, and so on.
type faultyWrite struct {
	mu      sync.Mutex
	fault   error
	inARow  int
	already int
}

func (w *faultyWrite) write(descriptor int, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.already++; w.already <= w.inARow {
		return -1, w.fault
	}
	w.already = 0
	if len(p) > 1 {
		p = p[:len(p)-1] // a short write
	}
	return unix.Write(descriptor, p)
}

// A write that fails for a moment or is short costs no connection and no message, and nothing goes out twice.
func TestMomentaryWriteErrorsLoseNothing(t *testing.T) {
	for _, fault := range []error{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(fault.Error(), func(t *testing.T) {
			faults := &faultyWrite{fault: fault, inARow: 3}
			inject(t, systemCalls{write: faults.write})
			h := &heardPlain{}
			back := &heardPlain{}
			c := plainPair(t, h, back, plainBounds)
			const messages = 20
			for i := range messages {
				if !c.Send(fmt.Appendf(nil, "\x04%03d", i), uint64(i+1)) {
					t.Fatalf("message %d was refused", i)
				}
			}
			h.wait(t, "not all came", func() bool { return len(h.said) == messages })
			for i, said := range h.said {
				if want := fmt.Sprintf("\x04%03d", i); said != want {
					t.Fatalf("message %d is %q", i, said)
				}
			}
			back.mu.Lock()
			defer back.mu.Unlock()
			if back.closed != 0 {
				t.Fatal("the connection was closed")
			}
		})
	}
}

// A connection that is broken ends, whichever of its errors the system tells.
func TestABrokenConnectionEnds(t *testing.T) {
	for _, fault := range []error{unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			inject(t, systemCalls{write: func(int, []byte) (int, error) { return -1, fault }})
			back := &heardPlain{}
			c := plainPair(t, &heardPlain{}, back, plainBounds)
			if c.Send([]byte("\x02a"), 1) {
				t.Fatal("a message was taken")
			}
			back.wait(t, "not closed", func() bool { return back.closed == 1 })
		})
	}
}

// A write that the kernel takes nothing of ends the connection after the write time-out, and names what never went out.
func TestAWriteThatStandsStillEnds(t *testing.T) {
	inject(t, systemCalls{write: func(int, []byte) (int, error) { return -1, unix.ENOBUFS }})
	bounds := plainBounds
	bounds.WriteTimeout = 100 * time.Millisecond
	ended := &endedPlain{why: make(chan error, 1)}
	c := plainPair(t, &heardPlain{}, ended, bounds)
	began := time.Now()
	c.Send([]byte("\x02a"), 7)
	select {
	case why := <-ended.why:
		if took := time.Since(began); !errors.Is(why, ErrSlowPeer) || took < bounds.WriteTimeout {
			t.Fatalf("%v after %v", why, took)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it stands still for ever")
	}
	if len(ended.unsent) != 1 || ended.unsent[0] != 7 {
		t.Fatalf("never sent: %v", ended.unsent)
	}
}

// An endedPlain tells why its connection ended, and what was never sent on it.
type endedPlain struct {
	why    chan error
	unsent []uint64
}

func (h *endedPlain) Opened(*Conn)          {}
func (h *endedPlain) Message(*Conn, []byte) {}
func (h *endedPlain) Closed(_ *Conn, why error, unsent []uint64) {
	h.unsent = unsent
	h.why <- why
}

// Trouble of this machine while it connects passes: it is tried again within the time there is, and what is told in the
// end is told from what a server says.
func TestMomentaryTroubleWhileConnecting(t *testing.T) {
	s, err := ServeTCP("127.0.0.1:0", byLine, plainBounds, &heardPlain{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, fault := range []syscall.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EAGAIN, unix.EADDRNOTAVAIL, unix.ENETUNREACH,
		unix.ENETDOWN, unix.EMFILE, unix.ENFILE, unix.ECONNABORTED} {
		failed := func() error { return &net.OpError{Op: "dial", Err: &net.OpError{Op: "connect", Err: fault}} }
		left := 3
		inject(t, systemCalls{dial: func(address string, within time.Duration) (net.Conn, error) {
			if left--; left >= 0 {
				return nil, failed()
			}
			return realCalls.dial(address, within)
		}})
		c, err := DialTCP(s.Address(), time.Second, byLine, plainBounds, &heardPlain{})
		if err != nil {
			t.Fatalf("%v three times: %v", fault, err)
		}
		c.Abort()
		inject(t, systemCalls{dial: func(string, time.Duration) (net.Conn, error) { return nil, failed() }})
		began := time.Now()
		if _, err := DialTCP(s.Address(), 50*time.Millisecond, byLine, plainBounds, &heardPlain{}); !IsLocalError(err) {
			t.Fatalf("%v throughout is not told as trouble of this machine: %v", fault, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Fatalf("%v: gave up after %v", fault, took)
		}
	}
	for _, fault := range []syscall.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		tries := 0
		inject(t, systemCalls{dial: func(string, time.Duration) (net.Conn, error) { tries++; return nil, fault }})
		if _, err := DialTCP(s.Address(), time.Second, byLine, plainBounds, &heardPlain{}); IsLocalError(err) || !errors.Is(err, fault) || tries != 1 {
			t.Fatalf("%v, which speaks of the server: %v after %d tries", fault, err, tries)
		}
	}
}

// Accepting that fails, whatever for and for however long, is taken up again at once when the trouble is over, and costs
// no connection: clients wait in the listener's queue.
func TestAcceptGoesOnAfterTrouble(t *testing.T) {
	for _, fault := range []error{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETUNREACH, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
		unix.EPERM} {
		t.Run(fault.Error(), func(t *testing.T) {
			const trouble = 700 * time.Millisecond // over the library's rests of 10, 50, 100, 200 ms: it would wait 500 more
			var until atomic.Int64
			var calls atomic.Int64
			inject(t, systemCalls{accept: func(descriptor int) (int, unix.Sockaddr, error) {
				if calls.Add(1); int64(monotonic()) < until.Load() {
					return -1, nil, fault
				}
				return realCalls.accept(descriptor)
			}})
			h := &heardPlain{echo: true}
			s, err := ServeTCP("127.0.0.1:0", byLine, plainBounds, h)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for range 2 { // and again after it went well
				before := InternalErrors()
				until.Store(int64(monotonic() + trouble))
				back := &heardPlain{}
				c, err := DialTCP(s.Address(), time.Second, byLine, plainBounds, back)
				if err != nil {
					t.Fatal(err)
				}
				c.Send([]byte("\x02a"), 0)
				back.wait(t, "no answer", func() bool { return len(back.said) == 1 })
				if InternalErrors() == before {
					t.Fatal("failed accepts are not counted")
				}
				if late := monotonic() - time.Duration(until.Load()); late > 200*time.Millisecond {
					t.Fatalf("answered %v after the trouble was over", late)
				}
			}
		})
	}
}

// A server that is closed while accepting fails lets go of its listener's descriptor and leaves nothing behind.
func TestCloseWhileAcceptFails(t *testing.T) {
	inject(t, systemCalls{accept: func(int) (int, unix.Sockaddr, error) { return -1, nil, unix.ENFILE }})
	s, err := ServeTCP("127.0.0.1:0", byLine, plainBounds, &heardPlain{})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	before := runtime.NumGoroutine()
	time.Sleep(50 * time.Millisecond) // it rests
	s.Close()
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}

// Who was dialled is known by its address, which the line on a malformed message tells.
func TestADialledPeerIsKnown(t *testing.T) {
	s, err := ServeTCP("127.0.0.1:0", byLine, plainBounds, &heardPlain{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := DialTCP(s.Address(), time.Second, byLine, plainBounds, &heardPlain{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Abort()
	if peer := c.RemoteAddr(); peer == nil || peer.String() != s.Address() {
		t.Fatalf("%v, dialled %s", peer, s.Address())
	}
}

// A message that is worth something for a time only goes out within it or never, and its sender is told; what waits behind
// it goes out.
func TestAMessageThatWaitsTooLongIsDropped(t *testing.T) {
	var blocked atomic.Bool
	inject(t, systemCalls{write: func(descriptor int, p []byte) (int, error) {
		if blocked.Load() {
			return -1, unix.EAGAIN
		}
		return unix.Write(descriptor, p)
	}})
	server := &heardPlain{}
	h := &expiring{expired: make(chan uint64, 10)}
	c := plainPair(t, server, h, plainBounds)
	blocked.Store(true)
	began := time.Now()
	c.SendWithin([]byte("\x02a"), 7, 50*time.Millisecond)
	c.Send([]byte("\x02b"), 8)
	c.SendWithin([]byte("\x02c"), 9, time.Minute)
	select {
	case tag := <-h.expired:
		if took := time.Since(began); tag != 7 || took < 50*time.Millisecond {
			t.Fatalf("message %d was dropped after %v", tag, took)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was dropped")
	}
	blocked.Store(false)
	server.wait(t, "the others did not come", func() bool { return len(server.said) == 2 })
	if server.said[0] != "\x02b" || server.said[1] != "\x02c" {
		t.Fatalf("%q", server.said)
	}
	if c.CancelSend(7) {
		t.Fatal("what was dropped is withdrawn too")
	}
}

type expiring struct {
	heardPlain
	expired chan uint64
}

func (h *expiring) Expired(_ *Conn, tag uint64) { h.expired <- tag }
