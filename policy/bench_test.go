package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures one request of a tariff with seats, from the request to the session's end, with 250 nodes
// and the given number of playing sessions.
func BenchmarkRequest(b *testing.B) {
	for _, sessions := range []int{0, 5_000, 20_000} {
		b.Run(fmt.Sprint("playing=", sessions), func(b *testing.B) {
			tariffs := []Tariff{{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 1, Scale: 1, Top: 3, Seats: 1 << 20}}
			d := New(1, Peers{Directors: 1}, tariffs, Ladder{Rates: []float64{100, 200, 400, 800}, JoinCost: 1},
				Topology{Cells: 250, Racks: 36, LinkUnit: 1e9, Uplink: 1e10}, Ramp{MaxStreams: []float64{1e6}},
				RetryPolicy{MaxLegs: 4}, ReportTiming{Delay: time.Second})
			list := ServerList{Kind: ListReplaced}
			for i := range 250 {
				list.Entries = append(list.Entries, NodeEntry{Node: fmt.Sprint(i), StartedAt: UnknownStart, Weight: 1, Cell: i})
			}
			d.Step(0, list)
			id := uint64(0)
			request := func() {
				id++
				d.Step(0, Request{ID: id, Title: id % 500, FirstCell: int(id) % 250, Copies: 6, MaxRung: 3, Deadline: 2 * time.Second})
				d.Step(0, Accepted{ID: id})
			}
			for range sessions {
				request()
			}
			for b.Loop() {
				request()
				d.Step(0, LegResult{ID: id, Final: true, Load: NoLoad})
			}
		})
	}
}

// BenchmarkEvents measures single events with the given number of known nodes, of which only costCopies are used.
func BenchmarkEvents(b *testing.B) {
	for _, nodes := range []int{200, 800, 3200} {
		run := func(event string, measure func(b *testing.B, d *Director, list ServerList)) {
			b.Run(fmt.Sprintf("%s/nodes=%d", event, nodes), func(b *testing.B) {
				d, list := newFleet(nodes)
				b.ReportAllocs()
				measure(b, d, list)
			})
		}
		run("session", func(b *testing.B, d *Director, _ ServerList) { benchmarkSessions(b, d) })
		run("note", func(b *testing.B, d *Director, _ ServerList) {
			name := playOne(d)
			for b.Loop() {
				d.Step(costStart, Measurement{ID: 1, Node: name, Kind: LinkLoad, Value: 0.5})
			}
		})
		for _, changed := range []int{1, 100} {
			run(fmt.Sprintf("listchange%d", changed), func(b *testing.B, d *Director, list ServerList) {
				name, change := playOne(d), update(list, 0, changed-1)
				for b.Loop() { // the note makes the rack that is in use up to date again
					d.Step(costStart, change)
					d.Step(costStart, Measurement{ID: 1, Node: name, Kind: DeliveredShare, Value: 1})
				}
			})
		}
		run("idlesecond", func(b *testing.B, d *Director, _ ServerList) {
			for now := costStart; b.Loop(); {
				for range time.Second / tickInterval {
					now += tickInterval
					d.Step(now, TimerFired{})
				}
			}
		})
	}
}

// playOne starts a session and returns its node.
func playOne(d *Director) string {
	d.Step(costStart, costRequest(1, costStart))
	d.Step(costStart, Accepted{ID: 1})
	return d.nodes[d.sessions[0].node].name
}

// benchmarkSessions measures set-ups, answers and ends of sessions. Bytes and allocations are those of all three.
func benchmarkSessions(b *testing.B, d *Director) {
	const batch = 50
	elapsed := map[string]time.Duration{}
	now := costStart
	pass := func(unit string, n int, event func(id uint64) Event) {
		start := time.Now()
		for id := range n {
			d.Step(now, event(uint64(id)))
		}
		elapsed[unit] += time.Since(start)
	}
	for done := 0; done < b.N; done += batch {
		n := min(batch, b.N-done)
		now += batch * 100 * time.Millisecond // as many sessions as a small director has
		pass("ns/setup", n, func(id uint64) Event { return costRequest(id, now) })
		pass("ns/answer", n, func(id uint64) Event { return Accepted{ID: id} })
		pass("ns/end", n, func(id uint64) Event { return LegResult{ID: id, Final: true, Load: NoLoad} })
	}
	for unit, d := range elapsed {
		b.ReportMetric(float64(d.Nanoseconds())/float64(b.N), unit)
	}
}
