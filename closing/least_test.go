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

// Clients' connections are closed once all else is done, and keep a stop for their time at most.
func TestClientsConnectionsAreClosedAtTheEnd(t *testing.T) {
	c := Begin(0, Term{Within: 3 * time.Second, Slice: time.Second, Part: 100 * time.Millisecond})
	if plan := c.Step(0, Left{Owed: 1, Clients: 2}); plan.Part || plan.Done {
		t.Fatalf("closed while an answer is owed: %+v", plan)
	}
	if plan := c.Step(time.Second, Left{Clients: 2}); !plan.Part || plan.Done || plan.Again <= time.Second {
		t.Fatalf("%+v", plan)
	}
	if plan := c.Step(1050*time.Millisecond, Left{Owed: 1, Clients: 1}); plan.Part || plan.Done {
		t.Fatalf("closed while the answer to a late request is owed: %+v", plan)
	}
	if plan := c.Step(1090*time.Millisecond, Left{Clients: 1}); !plan.Part || plan.Done || plan.Again > 1100*time.Millisecond {
		t.Fatalf("%+v", plan)
	}
	if plan := c.Step(1100*time.Millisecond, Left{Clients: 1}); !plan.Done {
		t.Fatalf("kept for longer than its time: %+v", plan)
	}
}
