package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Stops the process while a request arrives, so that the request waits in the kernel and its client has less time left
// than the request says. Guards against a set-up whose time-out is longer than the client's remaining time, with a
// tolerance of 0.15 s.
func TestSetupTimeoutCountsProcessPause(t *testing.T) {
	const (
		wait      = 800 * time.Millisecond
		tolerance = 150 * time.Millisecond
	)
	n := newMediaNode(t)
	d := startPlatformDirector(t, platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, deadline: 5,
		nodes: []*mediaNode{n}})
	for i, pause := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond} {
		session := uint64(i + 1)
		c := d.connect()
		time.Sleep(30 * time.Millisecond) // so that the connection is accepted
		d.stopProcess()
		c.conn.Write(setupRequestWithin(session, 0, 1, wait))
		sent := time.Now()
		time.Sleep(pause)
		d.cmd.Process.Signal(syscall.SIGCONT)
		c.expect(kindAnswer, session)
		n.mu.Lock()
		setup := n.timeouts[len(n.timeouts)-1]
		n.mu.Unlock()
		if remaining := wait - setup.receivedAt.Sub(sent); setup.timeout > remaining+tolerance {
			t.Errorf("after a pause of %v the node received a time-out of %v; the client had %v left", pause, setup.timeout, remaining)
		}
	}
}

// stopProcess stops the process and waits until it has stopped: the signal takes effect some time after it was sent.
func (d *platformDirector) stopProcess() {
	d.t.Helper()
	d.cmd.Process.Signal(syscall.SIGSTOP)
	eventually(d.t, "the process does not stop", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	})
}
