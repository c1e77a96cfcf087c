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

// BenchmarkEvents measures single events with the given number of nodes, four of which hold each title.
func BenchmarkEvents(b *testing.B) {
	for _, nodes := range []int{200, 800, 3200} {
		start := func() (*Director, ServerList) {
			tariffs := []Tariff{{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 1, Scale: 1, Top: 3}}
			d := New(1, Peers{Directors: 300}, tariffs, Ladder{Rates: []float64{100, 200, 400, 800}, JoinCost: 1},
				Topology{Cells: nodes, Racks: nodes / 7, LinkUnit: 1e9, Uplink: 1e10}, Ramp{MaxStreams: []float64{1e6}, Warmup: 10 * time.Second},
				RetryPolicy{MaxLegs: 4}, ReportTiming{Delay: time.Second, Interval: 4 * time.Second})
			list := ServerList{Kind: ListReplaced}
			for i := range nodes {
				list.Entries = append(list.Entries, NodeEntry{Node: fmt.Sprint(i), StartedAt: UnknownStart, Weight: 1, Cell: i})
			}
			d.Step(0, list)
			return d, list
		}
		now := 20 * time.Second
		request := func(d *Director, id uint64) {
			d.Step(now, Request{ID: id, Title: id % 500, FirstCell: int(id) % nodes, Copies: 4, MaxRung: 3, Deadline: now + 2*time.Second})
			d.Step(now, Accepted{ID: id})
		}
		b.Run(fmt.Sprintf("request/nodes=%d", nodes), func(b *testing.B) {
			d, _ := start()
			for id := uint64(1); b.Loop(); id++ {
				request(d, id)
				d.Step(now, LegResult{ID: id, Final: true, Load: NoLoad})
			}
		})
		b.Run(fmt.Sprintf("measurement/nodes=%d", nodes), func(b *testing.B) {
			d, _ := start()
			request(d, 1)
			s := &d.sessions[0]
			for b.Loop() {
				d.Step(now, Measurement{ID: 1, Node: d.nodes[s.node].name, Kind: LinkLoad, Value: 0.5})
			}
		})
		b.Run(fmt.Sprintf("tick/nodes=%d", nodes), func(b *testing.B) {
			d, _ := start()
			for at := now; b.Loop(); at += tickInterval {
				d.Step(at, TimerFired{})
			}
		})
		b.Run(fmt.Sprintf("listupdate/nodes=%d", nodes), func(b *testing.B) {
			d, list := start()
			for b.Loop() {
				d.Step(now, ServerList{Kind: ListUpdate, Entries: list.Entries[:1]})
			}
		})
	}
}
