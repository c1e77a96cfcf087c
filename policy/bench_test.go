package policy

import (
	"fmt"
	"testing"
	"time"
)

// What one request of a tariff with seats costs, from demand to the session's end, with so many sessions
// held and 250 nodes.
func BenchmarkRequest(b *testing.B) {
	for _, held := range []int{0, 5_000, 20_000} {
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			tariffs := []Tariff{{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 1, Scale: 1, Top: 3, Seats: 1 << 20}}
			d := New(1, Peers{Directors: 1}, tariffs, Ladder{Rates: []float64{100, 200, 400, 800}, JoinAdds: 1},
				Fleet{Cells: 250, Racks: 36, LinkUnit: 1e9, Uplink: 1e10}, Ramp{Places: []float64{1e6}}, Legs{Most: 4}, Tidings{Late: time.Second})
			list := Roster{Kind: Replace}
			for i := range 250 {
				list.Entries = append(list.Entries, Entry{Node: fmt.Sprint(i), Born: LongAgo, Weight: 1, Cell: i})
			}
			d.Step(0, list)
			id := uint64(0)
			request := func() {
				id++
				d.Step(0, Demand{ID: id, Title: id % 500, Base: int(id) % 250, Copies: 6, Top: 3, HardStop: 2 * time.Second})
				d.Step(0, Accepted{ID: id})
			}
			for range held {
				request()
			}
			for b.Loop() {
				request()
				d.Step(0, Result{ID: id, Final: true, Load: NoLoad})
			}
		})
	}
}
