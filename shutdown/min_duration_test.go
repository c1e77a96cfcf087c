package shutdown

import (
	"testing"
	"time"
)

// With nothing left to do a stop still lasts its least time, for who comes until then.
func TestAStopLastsItsLeastTime(t *testing.T) {
	c := Start(time.Second, Policy{Timeout: 3 * time.Second, BatchInterval: time.Second, MinDuration: 2 * time.Second})
	if plan := c.Step(time.Second, Remaining{}); plan.Done || plan.NextStep != 3*time.Second {
		t.Fatalf("%+v", plan)
	}
	if plan := c.Step(3*time.Second, Remaining{}); !plan.Done {
		t.Fatalf("%+v", plan)
	}
}

// Clients' connections are closed once all else is done, and keep a stop for their time at most.
func TestClientsConnectionsAreClosedAtTheEnd(t *testing.T) {
	c := Start(0, Policy{Timeout: 3 * time.Second, BatchInterval: time.Second, CloseTimeout: 100 * time.Millisecond})
	if plan := c.Step(0, Remaining{Owed: 1, Clients: 2}); plan.CloseClients || plan.Done {
		t.Fatalf("closed while an answer is owed: %+v", plan)
	}
	if plan := c.Step(time.Second, Remaining{Clients: 2}); !plan.CloseClients || plan.Done || plan.NextStep <= time.Second {
		t.Fatalf("%+v", plan)
	}
	if plan := c.Step(1050*time.Millisecond, Remaining{Owed: 1, Clients: 1}); plan.CloseClients || plan.Done {
		t.Fatalf("closed while the answer to a late request is owed: %+v", plan)
	}
	if plan := c.Step(1090*time.Millisecond, Remaining{Clients: 1}); !plan.CloseClients || plan.Done || plan.NextStep > 1100*time.Millisecond {
		t.Fatalf("%+v", plan)
	}
	if plan := c.Step(1100*time.Millisecond, Remaining{Clients: 1}); !plan.Done {
		t.Fatalf("kept for longer than its time: %+v", plan)
	}
}
