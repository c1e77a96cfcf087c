package director

import (
	"fmt"
	"runtime"
	"testing"

	"fordusher/internal/wire"
)

// What a connection with a session that plays takes of the loop's and the module's memory.
func BenchmarkSessionMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	s := newHarness(b, 8)
	before, sessions := heap(), 0
	for b.Loop() {
		if sessions++; sessions > 900 { // the stage's room is 1,000
			continue
		}
		conn := uint64(1 + sessions)
		s.connectClient(conn)
		s.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Request, ID: "1", Tariff: "clip", Title: "t", Key: fmt.Sprint("key-", conn), WaitMS: 5000, LengthMS: 60_000}})
		for _, g := range s.setups() {
			s.step(legReply(g, wire.Accepted))
		}
		s.clearOutputs()
	}
	if n := len(s.loop.sessions); n > 0 {
		b.ReportMetric(float64(heap()-before)/float64(n), "B/session")
		b.ReportMetric(float64(n), "sessions")
	}
	runtime.KeepAlive(s)
}
