package main

import (
	"syscall"
	"testing"
	"time"
)

// A request that waited in the kernel while the process did not run has less time left than it says. What a server is told
// is at most what its client has left, with 0.15 s of slack.
func TestSetupTimeoutCountsProcessPause(t *testing.T) {
	const (
		wait  = 800 * time.Millisecond
		slack = 150 * time.Millisecond
	)
	n := newMediaNode(t)
	f := startPlatformDirector(t, startConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5, nodes: []*mediaNode{n}})
	for i, pause := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond} {
		session := uint64(i + 1)
		c := f.connect()
		time.Sleep(30 * time.Millisecond) // so that the connection is accepted
		f.cmd.Process.Signal(syscall.SIGSTOP)
		c.c.Write(setupRequestWithin(session, 0, 1, wait))
		sent := time.Now()
		time.Sleep(pause)
		f.cmd.Process.Signal(syscall.SIGCONT)
		c.expect(kindPlaying, session)
		n.mu.Lock()
		told := n.timeouts[len(n.timeouts)-1]
		n.mu.Unlock()
		if left := wait - told.receivedAt.Sub(sent); told.timeout > left+slack {
			t.Errorf("after a pause of %v a server was told %v; the client had %v left", pause, told.timeout, left)
		}
	}
}
