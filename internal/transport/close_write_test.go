package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// The peer sends a last message when it reads the end of the other side, and closes at once, or keeps its side open.
// Guards against a last message that is not read, against messages queued before that are not sent, and against a
// connection that stays for a peer that never closes.
func TestCloseWriteReadsOn(t *testing.T) {
	for name, peerCloses := range map[string]bool{"the peer closes": true, "the peer stays": false} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			received := make(chan string, 1)
			rounds := 200
			if !peerCloses {
				rounds = 3
			}
			go func() {
				for range rounds {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { c.Close() })
					before, _ := io.ReadAll(c)
					received <- string(before)
					io.WriteString(c, "\x05last")
					if peerCloses {
						c.Close()
					}
				}
			}()
			const limit = 200 * time.Millisecond
			for range rounds {
				h := &recordingHandler{}
				c, err := DialTCP(ln.Addr().String(), time.Second, splitByLength, testTCPLimits, h)
				if err != nil {
					t.Fatal(err)
				}
				c.Send([]byte("\x06first"), 0)
				began := time.Now()
				c.CloseWrite(limit)
				if c.Send([]byte("\x05late"), 0) {
					t.Fatal("a message was accepted after the end of the sending side")
				}
				if got := <-received; got != "\x06first" {
					t.Fatalf("the peer read %q before the end", got)
				}
				h.wait(t, "the connection did not end", func() bool { return h.closed == 1 })
				if len(h.messages) != 1 || h.messages[0] != "\x05last" {
					t.Fatalf("read %q, want the last message", h.messages)
				}
				if !peerCloses && time.Since(began) < limit {
					t.Fatalf("the connection ended after %v, before the limit", time.Since(began))
				}
			}
		})
	}
}
