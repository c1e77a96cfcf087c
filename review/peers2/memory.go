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

// The figures of the case with the smallest memory limit.
const (
	smallMemoryMB   = 32
	memoryNodes     = 17
	handedOver      = 30 * memoryNodes // sessions that play when the director starts
	idleConnections = 60               // of viewers that ask once and hold their connection
	floodFor        = 30 * time.Second
	badClientsEach  = 31         // bad clients of each kind
	badClientBytes  = 60_000_000 // that one bad client sends at most
	longDescription = 16_000     // just below the limit of a message
	memoryLookEvery = 2 * time.Millisecond
)

// badKinds are what bad clients send, without end and at full speed. The id is new each time.
var badKinds = []struct {
	name    string
	message func(id uint64) []byte
	stalls  bool // it sends one piece only and waits for the end of its connection
}{
	{name: "an unknown class, longest messages", message: func(id uint64) []byte { return badSetup(id, "no-such-class", longDescription) }},
	{name: "longest set-ups", message: func(id uint64) []byte { return badSetup(id, "prog-intro", longDescription) }},
	{name: "an unknown class, small messages", message: many(func(id uint64) []byte { return badSetup(id, "no-such-class", 6) })},
	{name: "tests", message: many(func(id uint64) []byte { return clientMessage(kindTest, id, param{codeCause, "\x00"}) })},
	{name: "progress", message: many(func(id uint64) []byte { return clientMessage(kindProgress, id) })},
	{name: "releases of unknown sessions", message: many(func(id uint64) []byte {
		return clientMessage(kindRelease, id, param{codeCause, "\x10"})
	})},
	{name: "set-ups withdrawn at once", message: many(func(id uint64) []byte {
		return append(badSetup(id, "prog-intro", 1000), clientMessage(kindRelease, id, param{codeCause, "\x10"})...)
	})},
	{name: "ids unknown to every media node", message: many(func(id uint64) []byte { return handOver(id, "s-0000ffff") })},
	{name: "half a set-up", stalls: true, message: func(id uint64) []byte {
		raw := badSetup(id, "prog-intro", longDescription)
		return raw[:len(raw)-1]
	}},
}

// many repeats a small message, so that the sender takes few system calls.
func many(message func(id uint64) []byte) func(id uint64) []byte {
	return func(id uint64) (all []byte) {
		for i := range uint64(50) {
			all = append(all, message(id<<6|i)...)
		}
		return all
	}
}

func badSetup(id uint64, class string, description int) []byte {
	return clientMessage(kindSetup, id, param{codeClass, class}, param{codeWait, "1500"}, param{codeTitle, "7f3a9c21e0b4d600"},
		param{codeHint, "8200.0"}, param{codePlacement, "home:0;copies:2;top:3;viewer:00000000b4d65521"},
		param{codeDescription, strings.Repeat("x", description)})
}

// handOver is a set-up for a session that plays at a media node already.
func handOver(id uint64, node string) []byte {
	return clientMessage(kindSetup, id, param{codeClass, "prog-intro"}, param{codeTitle, "7f3a9c21e0b4d600"}, param{codeHint, "8200.0"},
		param{codePlacement, "home:0;copies:2;top:3;viewer:00000000b4d65521;at:" + node})
}

// playMemory lets bad clients send at full speed to a director with the smallest memory limit. The platform kills it once it
// holds more.
func playMemory(r *run) error {
	d, err := r.newDiscovery()
	if err != nil {
		return err
	}
	nodes, err := r.newMediaNodes(memoryNodes)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c := newConfiguration(listen, d.address(), nodes)
	c.Limits.MemoryMB, c.Limits.Sockets = smallMemoryMB, 1024
	r.record.quiet.Store(true) // thousands of messages
	if err := r.startDirector(c); err != nil {
		return err
	}
	r.tellNotes(nodes)
	v, err := r.newViewer(listen)
	if err != nil {
		return err
	}
	var handOvers []byte
	for i := range uint64(handedOver) {
		id := 0x5e55<<40 | i
		n := nodes[i%memoryNodes]
		n.stand(fmt.Sprintf("%016x", id))
		handOvers = append(handOvers, handOver(id, n.name())...)
	}
	if _, err := v.conn.Write(handOvers); err != nil {
		return err
	}
	for range idleConnections {
		if idle, err := net.DialTimeout("tcp", listen, time.Second); err == nil {
			r.onEnd(func() { idle.Close() })
			go io.Copy(io.Discard, idle)
			idle.Write(clientMessage(kindTest, 1, param{codeCause, "\x00"}))
		}
	}
	time.Sleep(2 * time.Second)
	before := residentKB(r.process.Process.Pid)
	r.record.always("%d sessions handed over, %d idle connections; the director holds %d kB of %d", handedOver, idleConnections, before,
		smallMemoryMB<<10)
	stop := make(chan struct{})
	var sent, most atomic.Int64 // by all bad clients, and by the one that has sent most
	var clients sync.WaitGroup
	if r.trouble {
		for k, kind := range badKinds {
			r.record.always("%d bad clients send %s", badClientsEach, kind.name)
			for i := range badClientsEach {
				id := uint64(k+1)<<32 | uint64(i+1)<<20
				clients.Go(func() { runBadClient(listen, id, kind.message, kind.stalls, stop, &sent, &most) })
			}
		}
	}
	peak, asked, asks := before, time.Now(), 0
	for start := time.Now(); time.Since(start) < floodFor; time.Sleep(memoryLookEvery) {
		if time.Since(asked) > 500*time.Millisecond {
			asked, asks = time.Now(), asks+1
			v.send("prog-intro", asks%cells, 4*time.Second) // its answer is not what this case checks
		}
		if now := residentKB(r.process.Process.Pid); now > peak {
			peak = now
		}
		if peak > smallMemoryMB<<10 {
			r.process.Process.Signal(syscall.SIGKILL)
			r.violation("the director held %d kB, %.1f s after the bad clients began; its limit is %d kB, so it is killed, and %d sessions that stand are lost",
				peak, time.Since(start).Seconds(), smallMemoryMB<<10, handedOver)
			break
		}
	}
	close(stop)
	clients.Wait()
	r.record.always("the director held %d kB at most; bad clients sent %d MB, none over %d bytes", peak, sent.Load()/1_000_000, most.Load())
	return nil
}

// runBadClient sends messages until it is stopped or has sent as much as a bad client sends at most. It reads what it gets,
// and comes again if its connection ends.
func runBadClient(address string, id uint64, message func(id uint64) []byte, stalls bool, stop chan struct{}, sent, most *atomic.Int64) {
	for own := int64(0); own < badClientBytes; {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		ended := make(chan struct{})
		go func() {
			io.Copy(io.Discard, c)
			close(ended)
		}()
		go func() {
			select {
			case <-stop:
				c.SetDeadline(time.Now())
			case <-ended:
			}
		}()
		for err == nil {
			var n int
			id++
			next := message(id)
			if own+int64(len(next)) > badClientBytes {
				own = badClientBytes // it has sent all that it may
				break
			}
			n, err = c.Write(next)
			own += int64(n)
			sent.Add(int64(n))
			for before := most.Load(); own > before && !most.CompareAndSwap(before, own); before = most.Load() {
			}
			if stalls {
				<-ended
				break
			}
		}
		c.Close()
		<-ended
	}
}

// residentKB returns the resident memory of a process in kB, or 0 if it has ended.
func residentKB(pid int) (kb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			break
		}
	}
	return kb
}
