package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

// Everything is let go by the term, whatever there was, and never more at once than the doubling or the
// term asks for.
func TestAllIsLetGoInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := Policy{
			Timeout:       time.Duration(rapid.IntRange(1, 20_000).Draw(t, "within")) * time.Millisecond,
			BatchInterval: time.Duration(rapid.IntRange(10, 1000).Draw(t, "slice")) * time.Millisecond,
		}
		now := time.Duration(rapid.IntRange(0, 1e6).Draw(t, "now"))
		end := now + term.Timeout
		c := Start(now, term)
		left := Remaining{Owed: rapid.IntRange(0, 50).Draw(t, "owed"), Playing: rapid.IntRange(0, 20_000).Draw(t, "playing")}
		for step := 0; ; step++ {
			p := c.Step(now, left)
			if p.Done {
				if left != (Remaining{}) {
					t.Fatal("stopped with", left)
				}
				return
			}
			if p.AbandonRequests != (now >= end) || p.EndSessions > left.Playing {
				t.Fatal(p, now, end)
			}
			left.Playing -= p.EndSessions
			if p.AbandonRequests {
				left.Owed = 0
			}
			if left.Owed > 0 && rapid.Bool().Draw(t, "answered") {
				left.Owed--
			}
			if left == (Remaining{}) {
				continue
			}
			if p.NextStep <= now || p.NextStep > max(end, now+term.BatchInterval) || step > 5000 {
				t.Fatal("no way on", p, now, end)
			}
			if rapid.Bool().Draw(t, "early") {
				now += (p.NextStep - now) / 2
			} else {
				now = p.NextStep
			}
		}
	})
}

func TestSlicesDouble(t *testing.T) {
	c := Start(0, Policy{Timeout: 10 * time.Second, BatchInterval: 500 * time.Millisecond})
	left, now := Remaining{Playing: 15}, time.Duration(0)
	for _, want := range []int{1, 2, 4, 8} {
		p := c.Step(now, left)
		if p.EndSessions != want {
			t.Fatal(p.EndSessions, want)
		}
		left.Playing -= p.EndSessions
		now = p.NextStep
	}
}
