package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// The peer sends a message and resets the connection at once. Guards against a message that has arrived and is not passed to
// the handler, because the reset is noticed first.
func TestMessageBeforeResetIsRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const rounds = 300
	go func() {
		for range rounds {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			one := make([]byte, 1)
			io.ReadFull(c, one) // the connection is in use
			io.WriteString(c, "\x05last")
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	lost := 0
	for range rounds {
		h := &recordingHandler{}
		c, err := DialTCP(ln.Addr().String(), time.Second, splitByLength, testTCPLimits, h)
		if err != nil {
			t.Fatal(err)
		}
		c.Send([]byte("\x01"), 0)
		h.wait(t, "the connection did not end", func() bool { return h.closed == 1 })
		if len(h.messages) != 1 {
			lost++
		}
	}
	if lost > 0 {
		t.Fatalf("%d of %d messages were lost", lost, rounds)
	}
}
