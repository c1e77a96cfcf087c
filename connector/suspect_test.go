package connector

import (
	"testing"
	"time"
)

// A suspected connection is checked by exactly one further dial. A refused dial proves at once that the node is dead;
// dials that fail otherwise prove it only after deadAfter failures in a row.
func TestSuspectedConnectionAndDeadNode(t *testing.T) {
	for _, refused := range []bool{true, false} {
		c := New(1, ReconnectPolicy{InitialBackoff: time.Second, MaxBackoff: time.Second, MaxConcurrent: 4})
		c.Step(0, Event{Kind: Listed})
		c.Step(0, Event{Kind: Connected})
		if plan := c.Step(0, Event{Kind: Suspected}); len(plan.Dial) != 1 {
			t.Fatal("the suspected connection is not checked by a dial")
		}
		if plan := c.Step(0, Event{Kind: Suspected}); len(plan.Dial) != 0 {
			t.Fatal("the suspected connection is checked by two dials at the same time")
		}
		kind, want := ConnectFailed, deadAfter
		if refused {
			kind, want = Refused, 1
		}
		dials, now := 0, time.Duration(0)
		for dead := false; !dead; {
			dials++
			plan := c.Step(now, Event{Kind: kind})
			if dead = len(plan.Dead) > 0; !dead {
				now += 2 * time.Second
				c.Step(now, Event{Kind: TimerFired})
			}
			if dials > deadAfter {
				t.Fatal("the node is not taken for dead")
			}
		}
		if dials != want {
			t.Fatalf("refused %v: dead after %d dials, want %d", refused, dials, want)
		}
	}
}
