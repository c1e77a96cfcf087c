package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The bad clients. Each sends set-ups of a class that does not exist, with the largest body that a message may have, at
// full speed and 60 MB at most, and reads what it receives. One that is turned away comes again, twice at most.
const (
	badClients    = 24
	badBytes      = 60_000_000 // DAYS.md, "Bad clients": 60 MB bodies
	badAttempts   = 3
	badBody       = 16000 // with its header and parameters a message stays under 16 KiB
	badClientTime = 10 * time.Second
)

// memoryLimit: bad clients send while usual ones play and ask. The director is killed when it goes over its limit of
// memory, as the platform does.
func memoryLimit(t *trial, trouble bool) int {
	const length = 50 * time.Second
	t.start()
	v := newViewers(t.record)
	usual := t.connect(v, "viewer connection 1", t.listen)
	if !usual.setUpSessions(length) {
		return notRun
	}
	t.record.say("the director holds %d kB", residentKB(t.process.Process.Pid, "VmRSS"))
	stop := make(chan struct{})
	var over atomic.Bool
	var watch sync.WaitGroup
	watch.Add(1)
	go func() {
		defer watch.Done()
		t.watchMemory(stop, &over)
	}()
	var bad sync.WaitGroup
	for i := range badClients {
		if trouble {
			bad.Add(1)
			go func() {
				defer bad.Done()
				t.badClient(i, &over)
			}()
		}
	}
	for i := range 20 { // two requests a second
		if !over.Load() {
			usual.setup(i, length)
		}
		time.Sleep(badClientTime / 20)
	}
	bad.Wait()
	close(stop)
	watch.Wait()
	if !over.Load() && residentKB(t.process.Process.Pid, "VmHWM") > memoryMB<<10 {
		over.Store(true)
	}
	t.record.say("the director held %d kB at most, its limit is %d kB", t.peakKB.Load(), memoryMB<<10)
	select {
	case <-t.exited:
	default:
		if over.Load() {
			t.signal(syscall.SIGKILL)
			<-t.exited
		}
	}
	if !over.Load() {
		return ruleHeld
	}
	time.Sleep(200 * time.Millisecond)
	unanswered, left := v.unanswered(), 0
	for _, s := range v.standing() {
		if s.releasedAt.IsZero() {
			left++
		}
	}
	t.record.say("the director went over its limit and was killed: %d sessions that stood were lost with it, %d requests unanswered", left, unanswered)
	return ruleBroken
}

// watchMemory follows the director's resident memory, and kills the director when that is over its limit.
func (t *trial) watchMemory(stop chan struct{}, over *atomic.Bool) {
	for {
		select {
		case <-stop:
			return
		case <-t.exited:
			return
		case <-time.After(2 * time.Millisecond):
		}
		kb := residentKB(t.process.Process.Pid, "VmRSS")
		if kb > t.peakKB.Load() {
			t.peakKB.Store(kb)
		}
		if kb > memoryMB<<10 && !over.Swap(true) {
			t.record.note("the director holds %d kB, over its limit of %d kB", kb, memoryMB<<10)
			t.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentKB returns a figure of a process's resident memory, in kB, or 0 if there is none.
func residentKB(pid int, key string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		var kb int64
		if n, _ := fmt.Sscanf(line, key+": %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// badClient sends what a bad client sends, until the director is killed.
func (t *trial) badClient(number int, over *atomic.Bool) {
	sent := 0
	id := uint64(number+1) << 32
	body := strings.Repeat("x", badBody)
	size := len(setupMessage(id, "no-such-class", 1500*time.Millisecond, time.Second, body))
	for attempt := 1; attempt <= badAttempts && sent+size <= badBytes && !over.Load(); attempt++ {
		conn, err := net.DialTimeout("tcp", t.listen, time.Second)
		if err != nil {
			t.record.note("bad client %d: %v", number, err)
			return
		}
		t.record.note("bad client %d connects", number)
		answered := make(chan int64)
		go func() {
			n, _ := io.Copy(io.Discard, conn)
			answered <- n
		}()
		for sent+size <= badBytes && err == nil {
			var n int
			id++
			n, err = conn.Write(setupMessage(id, "no-such-class", 1500*time.Millisecond, time.Second, body))
			sent += n
		}
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		t.record.note("bad client %d has sent %d bytes in all: %v", number, sent, err)
		t.record.note("bad client %d has received %d bytes on this connection", number, <-answered)
		conn.Close()
	}
}

// unanswered returns how many requests have neither an answer nor a refusal.
func (v *viewers) unanswered() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.sessions {
		if s.answeredAt.IsZero() && s.refusedAt.IsZero() {
			n++
		}
	}
	return n
}
