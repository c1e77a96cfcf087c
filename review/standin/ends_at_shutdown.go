package main

import (
	"syscall"
	"time"
)

// endsAtShutdown: the connection on which the sessions came is reset, and the viewers come again on another one. The
// director is restarted as planned. What it ends has to be released towards its client.
func endsAtShutdown(t *trial, trouble bool) int {
	const (
		length    = 50 * time.Second
		killAfter = 3700 * time.Millisecond // PROTOCOL.md: the longest deadline, 3 s, and 0.7 s
	)
	t.start()
	v := newViewers(t.record)
	first := t.connect(v, "viewer connection 1", t.listen)
	if !first.setUpSessions(length) {
		return notRun
	}
	stood := v.standing()
	if trouble {
		t.record.note("viewer connection 1 is reset by the network")
		first.reset()
		time.Sleep(500 * time.Millisecond)
	}
	second := t.connect(v, "viewer connection 2", t.listen)
	second.test()
	time.Sleep(500 * time.Millisecond)
	stopAt := time.Now()
	t.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	third := t.connect(v, "viewer connection 3", t.listen)
	third.setup(0, length)
	select {
	case <-t.exited:
	case <-time.After(time.Until(stopAt.Add(killAfter))):
		t.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	left := 0
	for _, s := range v.standing() {
		if s.releasedAt.IsZero() {
			t.record.say("session %016x was ended by the director and not released", s.id)
			left++
		}
	}
	ended := 0
	for _, s := range t.servers {
		ended += s.teardowns()
	}
	t.record.say("%d sessions stood, the director ended %d at their servers, %d were not released", len(stood), ended, left)
	if left > 0 {
		return ruleBroken
	}
	return ruleHeld
}
