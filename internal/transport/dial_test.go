package transport

import (
	"net"
	"os"
	"testing"
	"time"
)

// A closeNotifier reports each call of Closed.
type closeNotifier struct{ closed chan struct{} }

func (closeNotifier) Opened(*Conn) { time.Sleep(time.Millisecond) } // gives the peer time to close
func (closeNotifier) Message(*Conn, []byte) {
}
func (h closeNotifier) Closed(*Conn, error, []uint64) { h.closed <- struct{}{} }

func openDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list open descriptors")
	}
	return len(all)
}

// Guards against a leaked descriptor, and against a missing or second call of Closed, when the peer closes the
// connection before the dialing side has added its close callback.
func TestConnectionClosedWhileBeingDialed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	const dials = 100
	h := closeNotifier{make(chan struct{}, 2*dials)}
	before := openDescriptors(t)
	for range dials {
		split := func(in []byte) (int, error) { return len(in), nil }
		if _, err := DialTCP(ln.Addr().String(), time.Second, split, Limits{MaxMessageBytes: 100, MaxQueuedBytes: 100}, h); err != nil {
			t.Fatal(err)
		}
		select {
		case <-h.closed:
		case <-time.After(5 * time.Second):
			t.Fatal("Closed was not called")
		}
	}
	after := openDescriptors(t)
	for end := time.Now().Add(2 * time.Second); after > before+dials/10 && time.Now().Before(end); after = openDescriptors(t) {
		time.Sleep(10 * time.Millisecond)
	}
	if after > before+dials/10 {
		t.Errorf("%d open descriptors before, %d after %d connections", before, after, dials)
	}
	if n := len(h.closed); n > 0 {
		t.Errorf("Closed was called %d times too often", n)
	}
}

// Guards against an idle time that is taken from the wall clock: a step of that clock would change it.
func TestReadIdleTimeIsMonotonic(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	split := func(in []byte) (int, error) { return len(in), nil }
	c, err := DialTCP(ln.Addr().String(), time.Second, split, Limits{MaxMessageBytes: 100, MaxQueuedBytes: 100},
		closeNotifier{make(chan struct{}, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Abort()
	if idle := c.ReadIdleTime(); idle < 0 || idle > time.Minute {
		t.Fatalf("idle for %v right after the dial", idle)
	}
	c.lastRead.Store(int64(monotonic() - time.Hour))
	if idle := c.ReadIdleTime(); idle < time.Hour || idle > time.Hour+time.Minute {
		t.Fatalf("idle for %v after an hour", idle)
	}
	// A value from the wall clock would be the decades since 1970.
	if since := monotonic(); since > 24*time.Hour {
		t.Fatalf("monotonic returned %v", since)
	}
}
