package closing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/seeded"
)

// Everything is let go by the term, whatever there was, and never more at once than the doubling or the
// term asks for.
func TestAllIsLetGoInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := Term{
			Within: time.Duration(rapid.IntRange(1, 20_000).Draw(t, "within")) * time.Millisecond,
			Slice:  time.Duration(rapid.IntRange(10, 1000).Draw(t, "slice")) * time.Millisecond,
		}
		now := time.Duration(rapid.IntRange(0, 1e6).Draw(t, "now"))
		end := now + term.Within
		c := Begin(now, term)
		left := Left{Owed: rapid.IntRange(0, 50).Draw(t, "owed"), Playing: rapid.IntRange(0, 20_000).Draw(t, "playing")}
		for step := 0; ; step++ {
			p := c.Step(now, left)
			if p.Done {
				if left != (Left{}) {
					t.Fatal("stopped with", left)
				}
				return
			}
			if p.GiveUp != (now >= end) || p.End > left.Playing {
				t.Fatal(p, now, end)
			}
			left.Playing -= p.End
			if p.GiveUp {
				left.Owed = 0
			}
			if left.Owed > 0 && rapid.Bool().Draw(t, "answered") {
				left.Owed--
			}
			if left == (Left{}) {
				continue
			}
			if p.Again <= now || p.Again > max(end, now+term.Slice) || step > 5000 {
				t.Fatal("no way on", p, now, end)
			}
			if rapid.Bool().Draw(t, "early") {
				now += (p.Again - now) / 2
			} else {
				now = p.Again
			}
		}
	})
}

func TestSlicesDouble(t *testing.T) {
	c := Begin(0, Term{Within: 10 * time.Second, Slice: 500 * time.Millisecond})
	left, now := Left{Playing: 15}, time.Duration(0)
	for _, want := range []int{1, 2, 4, 8} {
		p := c.Step(now, left)
		if p.End != want {
			t.Fatal(p.End, want)
		}
		left.Playing -= p.End
		now = p.Again
	}
}
