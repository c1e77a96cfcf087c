package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lossWindow is how long before a connection's end a request may be sent and be lost with the connection. The client of
// such a request sends it again.
const lossWindow = 50 * time.Millisecond

// Sends requests on open connections after SIGTERM until the director closes them. Guards against a request without an
// answer, other than one sent just before the close, and against a program that has not exited by itself at the time
// when the platform kills it, also with short deadlines.
func TestRequestsDuringShutdownAreAnswered(t *testing.T) {
	for _, deadline := range []float64{0.3, 2} {
		t.Run(fmt.Sprint(deadline), func(t *testing.T) {
			t.Parallel()
			d := startPlatformDirector(t, platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: deadline,
				nodes: []*mediaNode{newMediaNode(t)}})
			const connections = 40
			var clients sync.WaitGroup
			for i := range connections {
				c := d.connect()
				clients.Go(func() { sendUntilClosed(t, c.conn, uint64(1+i*100_000)) })
			}
			time.Sleep(100 * time.Millisecond)
			d.cmd.Process.Signal(syscall.SIGTERM)
			signaled := time.Now()
			killAfter := time.Duration(min(deadline, 3)*float64(time.Second)) + 700*time.Millisecond
			select {
			case err := <-d.done:
				if err != nil {
					t.Errorf("the program exited with %v", err)
				}
			case <-time.After(time.Until(signaled.Add(killAfter))):
				t.Errorf("the program still runs after %v", killAfter)
				d.cmd.Process.Kill()
			}
			clients.Wait()
		})
	}
}

// sendUntilClosed requests sessions one after the other, each as soon as the previous one is answered, until the
// connection is closed.
func sendUntilClosed(t *testing.T, c net.Conn, firstID uint64) {
	client := &client{t, c}
	for id := firstID; ; id++ {
		sent := time.Now()
		if _, err := c.Write(setupRequest(id)); err != nil {
			return
		}
		for answered := false; !answered; {
			kind, session := client.next()
			switch {
			case kind == 0:
				if since := time.Since(sent); since > lossWindow {
					t.Errorf("request %d has no answer, %v before its connection ended", id, since)
				}
				return
			case session == id && (kind == kindAnswer || kind == kindRelease):
				answered = true
			}
		}
	}
}
