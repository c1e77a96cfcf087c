package shutdown

import (
	"testing"
	"time"
)

// A shutdown lasts MinDuration even if nothing remains, so that clients that connect until then get an answer.
func TestShutdownLastsMinDuration(t *testing.T) {
	s := Start(time.Second, Policy{Timeout: 3 * time.Second, BatchInterval: time.Second, MinDuration: 2 * time.Second})
	if plan := s.Step(time.Second, Remaining{}); plan.Done || plan.NextStep != 3*time.Second {
		t.Fatalf("%+v", plan)
	}
	if plan := s.Step(3*time.Second, Remaining{}); !plan.Done {
		t.Fatalf("%+v", plan)
	}
}

// Client connections are closed once no session plays and no answer is owed, and delay the end of the shutdown by
// CloseTimeout at most.
func TestClientConnectionsCloseLast(t *testing.T) {
	s := Start(0, Policy{Timeout: 3 * time.Second, BatchInterval: time.Second, CloseTimeout: 100 * time.Millisecond})
	if plan := s.Step(0, Remaining{Owed: 1, Clients: 2}); plan.CloseClients || plan.Done {
		t.Fatalf("client connections are closed while an answer is owed: %+v", plan)
	}
	if plan := s.Step(time.Second, Remaining{Clients: 2}); !plan.CloseClients || plan.Done || plan.NextStep <= time.Second {
		t.Fatalf("%+v", plan)
	}
	if plan := s.Step(1050*time.Millisecond, Remaining{Owed: 1, Clients: 1}); plan.CloseClients || plan.Done {
		t.Fatalf("client connections are closed while the answer to a late request is owed: %+v", plan)
	}
	if plan := s.Step(1090*time.Millisecond, Remaining{Clients: 1}); !plan.CloseClients || plan.Done || plan.NextStep > 1100*time.Millisecond {
		t.Fatalf("%+v", plan)
	}
	if plan := s.Step(1100*time.Millisecond, Remaining{Clients: 1}); !plan.Done {
		t.Fatalf("the shutdown takes longer than CloseTimeout: %+v", plan)
	}
}
