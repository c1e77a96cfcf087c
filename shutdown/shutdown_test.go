package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

// For any number of sessions and owed answers: a finished shutdown leaves none, answers are abandoned from the timeout
// on and not before, no more sessions are ended than play, and the next step comes within the timeout or a batch
// interval.
func TestShutdownEndsByTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{
			Timeout:       time.Duration(rapid.IntRange(1, 20_000).Draw(t, "timeout")) * time.Millisecond,
			BatchInterval: time.Duration(rapid.IntRange(10, 1000).Draw(t, "batch interval")) * time.Millisecond,
		}
		now := time.Duration(rapid.IntRange(0, 1e6).Draw(t, "now"))
		deadline := now + policy.Timeout
		s := Start(now, policy)
		remaining := Remaining{Owed: rapid.IntRange(0, 50).Draw(t, "owed"), Playing: rapid.IntRange(0, 20_000).Draw(t, "playing")}
		for step := 0; ; step++ {
			p := s.Step(now, remaining)
			if p.Done {
				if remaining != (Remaining{}) {
					t.Fatal("done, but still remaining:", remaining)
				}
				return
			}
			if p.AbandonRequests != (now >= deadline) || p.EndSessions > remaining.Playing {
				t.Fatal(p, now, deadline)
			}
			remaining.Playing -= p.EndSessions
			if p.AbandonRequests {
				remaining.Owed = 0
			}
			if remaining.Owed > 0 && rapid.Bool().Draw(t, "answered") {
				remaining.Owed--
			}
			if remaining == (Remaining{}) {
				continue
			}
			if p.NextStep <= now || p.NextStep > max(deadline, now+policy.BatchInterval) || step > 5000 {
				t.Fatal("next step is out of bounds", p, now, deadline)
			}
			if rapid.Bool().Draw(t, "early") {
				now += (p.NextStep - now) / 2
			} else {
				now = p.NextStep
			}
		}
	})
}

func TestBatchesDouble(t *testing.T) {
	s := Start(0, Policy{Timeout: 10 * time.Second, BatchInterval: 500 * time.Millisecond})
	remaining, now := Remaining{Playing: 15}, time.Duration(0)
	for _, want := range []int{1, 2, 4, 8} {
		p := s.Step(now, remaining)
		if p.EndSessions != want {
			t.Fatal(p.EndSessions, want)
		}
		remaining.Playing -= p.EndSessions
		now = p.NextStep
	}
}
