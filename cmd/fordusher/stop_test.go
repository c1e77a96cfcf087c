package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lostWindow is how long before a connection's end a request may be sent that is lost with it: its client sends it again.
const lostWindow = 50 * time.Millisecond

// After SIGTERM clients go on sending on their open connections until these are closed. Each request but one that crosses
// the close has its answer, and the program has ended by itself before it is killed, also where deadlines are short.
func TestRequestsDuringShutdownAreAnswered(t *testing.T) {
	for _, deadline := range []float64{0.3, 2} {
		t.Run(fmt.Sprint(deadline), func(t *testing.T) {
			t.Parallel()
			f := startPlatformDirector(t, startConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: deadline,
				nodes: []*mediaNode{newMediaNode(t)}})
			const connections = 40
			var wait sync.WaitGroup
			for i := range connections {
				c := f.connect()
				wait.Go(func() { sendUntilClosed(t, c.c, uint64(1+i*100_000)) })
			}
			time.Sleep(100 * time.Millisecond)
			f.cmd.Process.Signal(syscall.SIGTERM)
			ordered := time.Now()
			kill := time.Duration(min(deadline, 3)*float64(time.Second)) + 700*time.Millisecond
			select {
			case err := <-f.done:
				if err != nil {
					t.Errorf("it ended with %v", err)
				}
			case <-time.After(time.Until(ordered.Add(kill))):
				t.Errorf("it is still there after %v", kill)
				f.cmd.Process.Kill()
			}
			wait.Wait()
		})
	}
}

// sendUntilClosed asks for sessions one after the other, each as soon as the last was answered.
func sendUntilClosed(t *testing.T, c net.Conn, first uint64) {
	client := &client{t, c}
	for id := first; ; id++ {
		sent := time.Now()
		if _, err := c.Write(setupRequest(id)); err != nil {
			return
		}
		for answered := false; !answered; {
			kind, session := client.next()
			switch {
			case kind == 0:
				if since := time.Since(sent); since > lostWindow {
					t.Errorf("request %d has no answer, %v before its connection ended", id, since)
				}
				return
			case session == id && (kind == kindPlaying || kind == kindEnded):
				answered = true
			}
		}
	}
}
