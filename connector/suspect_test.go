package connector

import (
	"testing"
	"time"
)

// A connection in doubt is checked by one more; a refusal is proof at once, silence only several times in a row.
func TestDoubtAndDeath(t *testing.T) {
	for _, refused := range []bool{true, false} {
		r := New(1, ReconnectPolicy{InitialBackoff: time.Second, MaxBackoff: time.Second, MaxConcurrent: 4})
		r.Step(0, Event{Kind: Listed})
		r.Step(0, Event{Kind: Connected})
		if plan := r.Step(0, Event{Kind: Suspected}); len(plan.Dial) != 1 {
			t.Fatal("not checked")
		}
		if plan := r.Step(0, Event{Kind: Suspected}); len(plan.Dial) != 0 {
			t.Fatal("checked twice at a time")
		}
		what, want := ConnectFailed, deadAfter
		if refused {
			what, want = Refused, 1
		}
		tries, now := 0, time.Duration(0)
		for dead := false; !dead; {
			tries++
			plan := r.Step(now, Event{Kind: what})
			if dead = len(plan.Dead) > 0; !dead {
				now += 2 * time.Second
				r.Step(now, Event{Kind: TimerFired})
			}
			if tries > deadAfter {
				t.Fatal("never dead")
			}
		}
		if tries != want {
			t.Fatalf("refused %v: dead after %d tries, wanted %d", refused, tries, want)
		}
	}
}
