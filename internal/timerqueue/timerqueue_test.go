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

type expectedTimer struct {
	at     time.Duration
	seq    int
	handle Handle
}

// Whatever is set, moved and called off, alarms ring in the order of their times and then of their setting, once each,
// and a handle that rang or was called off touches nobody else's, though its place is another's by then.
func TestTimersExpireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Queue[int]
		var want []*expectedTimer
		var old []Handle
		for n := range rapid.IntRange(1, 200).Draw(t, "n") {
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what < 3 || len(want) == 0:
				want = append(want, &expectedTimer{at, n, a.Add(at, n)})
			case what == 3:
				w := rapid.SampledFrom(want).Draw(t, "one")
				if w.at = at; !a.Reschedule(w.handle, at) {
					t.Fatal("not moved")
				}
			case what == 4:
				i := rapid.IntRange(0, len(want)-1).Draw(t, "one")
				a.Cancel(want[i].handle)
				old = append(old, want[i].handle)
				want = slices.Delete(want, i, i+1)
			default:
				slices.SortFunc(want, func(x, y *expectedTimer) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.seq, y.seq)) })
				if first, ok := a.NextDeadline(); !ok || first != want[0].at {
					t.Fatal("first is", first, ok)
				}
				if got := a.Pop(); got != want[0].seq {
					t.Fatalf("%d rang, not %d", got, want[0].seq)
				}
				old = append(old, want[0].handle)
				want = want[1:]
			}
			for _, h := range old {
				if a.Cancel(h); a.Reschedule(h, 0) {
					t.Fatal("an alarm that is off was moved")
				}
			}
			if a.Len() != len(want) || len(a.entries) > 200 {
				t.Fatal(a.Len(), "set, not", len(want))
			}
		}
	})
}

func BenchmarkReschedule(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var a Queue[int32]
			all := make([]Handle, n)
			for i := range all {
				all[i] = a.Add(time.Duration(r.Int64N(int64(time.Minute))), int32(i))
			}
			for b.Loop() {
				a.Reschedule(all[r.IntN(n)], time.Duration(r.Int64N(int64(time.Minute))))
			}
		})
	}
}
