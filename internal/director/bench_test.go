package director

import (
	"fmt"
	"runtime"
	"testing"

	"fordusher/internal/wire"
)

// BenchmarkSessionMemory measures the memory that a client connection with one playing session takes in the loop and
// its decider.
func BenchmarkSessionMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	h := newHarness(b, 8)
	before, sessions := heap(), 0
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
		b.ReportMetric(float64(heap()-before)/float64(n), "B/session")
		b.ReportMetric(float64(n), "sessions")
	}
	runtime.KeepAlive(h)
}
