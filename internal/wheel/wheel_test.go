package wheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/seeded"
)

const ms = time.Millisecond

// Against a plain list: every timer comes once, never early, in the first Expire that reaches its tick with
// steps left, and none that was taken off.
func TestWheelAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		w := New(now, ms)
		type timer struct {
			at    time.Duration
			name  Timer
			alive bool
		}
		timers := map[uint64]*timer{}
		last := uint64(0)
		ahead := func(label string) time.Duration {
			span := rapid.SampledFrom([]int64{300, 70_000, 20_000_000, 5_000_000_000}).Draw(t, label+"span")
			return time.Duration(rapid.Int64Range(-5, span).Draw(t, label)) * ms
		}
		order := func() (ids []uint64) {
			for id := uint64(1); id <= last; id++ {
				if timers[id].alive {
					ids = append(ids, id)
				}
			}
			return ids
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				last++
				x := &timer{at: now + ahead("add"), alive: true}
				x.name = w.Add(x.at, last)
				timers[last] = x
			case 2:
				if ids := order(); len(ids) > 0 {
					x := timers[rapid.SampledFrom(ids).Draw(t, "id")]
					x.at = now + ahead("move")
					if !w.Move(x.name, x.at) {
						t.Fatal("a timer that is set can't be moved")
					}
				}
			case 3:
				if ids := order(); len(ids) > 0 {
					x := timers[rapid.SampledFrom(ids).Draw(t, "id")]
					x.alive = false
					w.Cancel(x.name)
				}
			case 4:
				now += max(0, ahead("pass"))
				if at, ok := w.Next(); ok {
					for _, id := range order() {
						if x := timers[id]; x.at < at-ms && at > now {
							t.Fatalf("nothing before %v, but a timer is due at %v", at, x.at)
						}
					}
				}
				slice := rapid.IntRange(1, 50).Draw(t, "slice")
				got := 0
				for more := true; more; {
					n := 0
					more = w.Expire(now, slice, func(id uint64) {
						n++
						x := timers[id]
						if !x.alive {
							t.Fatal("a timer that is off came due")
						}
						if x.at > now {
							t.Fatalf("%v early", x.at-now)
						}
						x.alive = false
					})
					if n > slice {
						t.Fatalf("%d in a slice of %d", n, slice)
					}
					if got++; got > 10_000 {
						t.Fatal("no end")
					}
				}
				for _, id := range order() {
					if x := timers[id]; w.ticks(x.at) <= int64(now/ms) {
						t.Fatalf("overdue by %v and not come", now-x.at)
					}
				}
			}
			if n := len(order()); n != w.Len() {
				t.Fatal(n, w.Len())
			}
		}
	})
}

// A million timers of the same moment, dealt out and handed over in slices.
func TestAMillionAtOnceComeInSlices(t *testing.T) {
	w := New(0, ms)
	for i := range 1_000_000 {
		w.Add(time.Minute, uint64(i))
	}
	came, slices := 0, 0
	for more := true; more; slices++ {
		n := 0
		more = w.Expire(time.Minute, 1000, func(uint64) { n++ })
		if n > 1000 {
			t.Fatal(n)
		}
		came += n
	}
	if came != 1_000_000 || slices < 1000 || w.Len() != 0 {
		t.Fatal(came, slices)
	}
}

type item struct {
	at   time.Duration
	spot int
}
type items []*item

func (h items) Len() int           { return len(h) }
func (h items) Less(i, j int) bool { return h[i].at < h[j].at }
func (h items) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].spot, h[j].spot = i, j }
func (h *items) Push(x any)        { x.(*item).spot = len(*h); *h = append(*h, x.(*item)) }
func (h *items) Pop() any          { x := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return x }

// What it costs to move one of so many timers: the wheel, a heap, and the runtime's own timers.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000} {
		at := func(r *rand.Rand) time.Duration { return time.Minute + time.Duration(r.Int64N(int64(time.Minute))) }
		b.Run(fmt.Sprint("wheel/", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			w := New(0, ms)
			names := make([]Timer, n)
			for i := range names {
				names[i] = w.Add(at(r), uint64(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				w.Move(names[r.IntN(n)], at(r))
			}
		})
		b.Run(fmt.Sprint("heap/", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var h items
			all := make([]*item, n)
			for i := range all {
				all[i] = &item{at: at(r)}
				heap.Push(&h, all[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				x := all[r.IntN(n)]
				x.at = at(r)
				heap.Fix(&h, x.spot)
			}
		})
		b.Run(fmt.Sprint("runtime/", n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			all := make([]*time.Timer, n)
			for i := range all {
				all[i] = time.AfterFunc(time.Hour+at(r), func() {})
			}
			b.ReportAllocs()
			for b.Loop() {
				all[r.IntN(n)].Reset(time.Hour + at(r))
			}
			for _, t := range all {
				t.Stop()
			}
		})
	}
}
