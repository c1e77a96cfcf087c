package director

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fordusher/internal/wire"
)

// heapInUse returns the bytes that reachable objects take.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkKeptEndMemory measures the memory that the ends of unknown sessions take in the loop when as many are kept as
// can be.
func BenchmarkKeptEndMemory(b *testing.B) {
	h := newDetachedHarness(b, 8)
	before := heapInUse()
	for b.Loop() {
		for i := range maxKeptEnds {
			h.step(detachedReply(h.links[nodeName(0)], fmt.Sprintf("%016x", i), wire.Ended))
		}
		h.clearOutputs()
	}
	b.ReportMetric(float64(heapInUse()-before)/maxKeptEnds, "B/end")
	b.ReportMetric(float64(h.loop.nodeEnds.len()), "ends")
	runtime.KeepAlive(h)
}

// BenchmarkSessionMemory measures the memory that a client connection with one playing session takes in the loop and
// its decider.
func BenchmarkSessionMemory(b *testing.B) {
	h := newHarness(b, 8)
	before, sessions := heapInUse(), 0
	for b.Loop() {
		if sessions++; sessions > 900 { // the harness accepts 1,000 connections
			continue
		}
		conn := uint64(1 + sessions)
		h.connectClient(conn)
		h.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "clip",
			Title: "t", Key: fmt.Sprint("key-", conn), WaitMS: 5000, LengthMS: 60_000}})
		for _, setup := range h.setups() {
			h.step(legReply(setup, wire.Accepted))
		}
		h.clearOutputs()
	}
	if n := len(h.loop.sessions); n > 0 {
		b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/session")
		b.ReportMetric(float64(n), "sessions")
	}
	runtime.KeepAlive(h)
}

// BenchmarkEvents measures events of the loop with its decider, with the given number of known nodes, of which only
// fleetUsedNodes are used. Bytes and allocations of a session are those of its set-up, answer, note and end.
func BenchmarkEvents(b *testing.B) {
	for _, nodes := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("session/nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, nodes)
			elapsed := map[string]time.Duration{}
			timed := func(unit string, event func()) {
				start := time.Now()
				event()
				elapsed[unit] += time.Since(start)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.now += fleetInterval
				timed("ns/setup", func() { f.setUp() })
				timed("ns/answer", f.answer)
				timed("ns/note", f.note)
				timed("ns/end", f.end)
			}
			for unit, d := range elapsed {
				b.ReportMetric(float64(d.Nanoseconds())/float64(b.N), unit)
			}
		})
		for _, count := range []int{1, 100} {
			b.Run(fmt.Sprintf("listchange%d/nodes=%d", count, nodes), func(b *testing.B) {
				f := newFleet(b, nodes)
				f.session()
				changes := []Input{f.listChange(0, count, wire.Draining), f.listChange(0, count, wire.Up)}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					f.step(changes[i%2])
				}
			})
		}
		b.Run(fmt.Sprintf("idlesecond/nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, nodes)
			f.session()
			b.ReportAllocs()
			for b.Loop() {
				f.idleSecond()
			}
		})
	}
}
