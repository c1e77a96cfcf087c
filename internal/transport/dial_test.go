package transport

import (
	"net"
	"os"
	"testing"
	"time"
)

type quietHandler struct{ closed chan struct{} }

func (quietHandler) Opened(*Conn) { time.Sleep(time.Millisecond) } // the peer's end comes first
func (quietHandler) Message(*Conn, []byte) {
}
func (h quietHandler) Closed(*Conn, error, []uint64) { h.closed <- struct{}{} }

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list descriptors")
	}
	return len(all)
}

// A peer that ends a connection before it is in use here costs no descriptor, and its end is told once.
func TestAConnectionThatEndsBeforeItIsInUse(t *testing.T) {
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
	h := quietHandler{make(chan struct{}, 2*dials)}
	before := descriptors(t)
	for range dials {
		split := func(in []byte) (int, error) { return len(in), nil }
		if _, err := DialTCP(ln.Addr().String(), time.Second, split, Limits{MaxMessageBytes: 100, MaxQueuedBytes: 100}, h); err != nil {
			t.Fatal(err)
		}
		select {
		case <-h.closed:
		case <-time.After(5 * time.Second):
			t.Fatal("its end was not told")
		}
	}
	after := descriptors(t)
	for end := time.Now().Add(2 * time.Second); after > before+dials/10 && time.Now().Before(end); after = descriptors(t) {
		time.Sleep(10 * time.Millisecond)
	}
	if after > before+dials/10 {
		t.Errorf("%d descriptors before, %d after %d connections", before, after, dials)
	}
	if n := len(h.closed); n > 0 {
		t.Errorf("%d ends were told twice", n)
	}
}

// What is told of a peer's last word is a span of the monotonic clock: a step of the wall clock changes nothing of it.
func TestQuietIsASpanOfRealTime(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	split := func(in []byte) (int, error) { return len(in), nil }
	c, err := DialTCP(ln.Addr().String(), time.Second, split, Limits{MaxMessageBytes: 100, MaxQueuedBytes: 100}, quietHandler{make(chan struct{}, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Abort()
	if quiet := c.ReadIdleTime(); quiet < 0 || quiet > time.Minute {
		t.Fatalf("quiet for %v", quiet)
	}
	c.heard.Store(int64(monotonic() - time.Hour))
	if quiet := c.ReadIdleTime(); quiet < time.Hour || quiet > time.Hour+time.Minute {
		t.Fatalf("quiet for %v after an hour", quiet)
	}
	// A reading with a wall clock in it would be decades since 1970.
	if since := monotonic(); since > 24*time.Hour {
		t.Fatalf("the clock of connections reads %v", since)
	}
}
