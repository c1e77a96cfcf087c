package closing

import (
	"testing"
	"time"
)

// With nothing left to do a stop still lasts its least time, for who comes until then.
func TestAStopLastsItsLeastTime(t *testing.T) {
	c := Begin(time.Second, Term{Within: 3 * time.Second, Slice: time.Second, Least: 2 * time.Second})
	if plan := c.Step(time.Second, Left{}); plan.Done || plan.Again != 3*time.Second {
		t.Fatalf("%+v", plan)
	}
	if plan := c.Step(3*time.Second, Left{}); !plan.Done {
		t.Fatalf("%+v", plan)
	}
}
