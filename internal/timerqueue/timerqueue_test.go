package timerqueue

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

// An expectedTimer is a timer that the queue must hold.
type expectedTimer struct {
	deadline time.Duration
	seq      int
	handle   Handle
}

// Guards against timers that expire out of order or more than once after any sequence of additions, reschedulings and
// cancellations, and against a handle of an ended timer that affects the timer that reuses its entry.
func TestTimersExpireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var want []*expectedTimer
		var ended []Handle
		for n := range rapid.IntRange(1, 200).Draw(t, "n") {
			deadline := time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline"))
			switch operation := rapid.IntRange(0, 5).Draw(t, "operation"); {
			case operation < 3 || len(want) == 0:
				want = append(want, &expectedTimer{deadline, n, q.Add(deadline, n)})
			case operation == 3:
				timer := rapid.SampledFrom(want).Draw(t, "timer")
				if timer.deadline = deadline; !q.Reschedule(timer.handle, deadline) {
					t.Fatal("a timer in the queue was not rescheduled")
				}
			case operation == 4:
				i := rapid.IntRange(0, len(want)-1).Draw(t, "timer")
				q.Cancel(want[i].handle)
				ended = append(ended, want[i].handle)
				want = slices.Delete(want, i, i+1)
			default:
				slices.SortFunc(want, func(x, y *expectedTimer) int {
					return cmp.Or(cmp.Compare(x.deadline, y.deadline), cmp.Compare(x.seq, y.seq))
				})
				if first, ok := q.NextDeadline(); !ok || first != want[0].deadline {
					t.Fatal("the next deadline is", first, ok)
				}
				if got := q.Pop(); got != want[0].seq {
					t.Fatalf("timer %d expired, want %d", got, want[0].seq)
				}
				ended = append(ended, want[0].handle)
				want = want[1:]
			}
			for _, h := range ended {
				if q.Cancel(h); q.Reschedule(h, 0) {
					t.Fatal("an ended timer was rescheduled")
				}
			}
			if q.Len() != len(want) || len(q.entries) > 200 {
				t.Fatal(q.Len(), "timers, want", len(want))
			}
		}
	})
}

func BenchmarkReschedule(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var q Queue[int32]
			all := make([]Handle, n)
			for i := range all {
				all[i] = q.Add(time.Duration(r.Int64N(int64(time.Minute))), int32(i))
			}
			for b.Loop() {
				q.Reschedule(all[r.IntN(n)], time.Duration(r.Int64N(int64(time.Minute))))
			}
		})
	}
}
