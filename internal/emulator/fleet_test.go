package emulator

import (
	"testing"
	"time"

	"fordusher/internal/day"
)

// Small fleets with 20 and with 320 nodes keep the rules and the slow-start budget, and the larger one makes no more
// connections for each director than the standing test's bound for it.
func TestFleetOfMoreNodes(t *testing.T) {
	const directors = 30
	connections := map[int]float64{}
	for _, nodes := range []int{20, 320} {
		fleet := Fleet{Directors: directors, Nodes: nodes, RequestRate: DefaultRequestRate, Seed: 1, Workers: 2}
		r, err := fleet.Run()
		if err != nil {
			t.Fatal(err)
		}
		worst, early := SlowStartExcess(r, true)
		if !r.Passed() || r.Overloaded() > 0 || worst > 0 || early == 0 {
			t.Errorf("%d nodes: %+v, %d nodes failed from overload, %d set-ups in slow start, at worst %.1f above the budget", nodes, r.Rules,
				r.Overloaded(), early, worst)
		}
		if r.Usage.ListBytes == 0 || r.Usage.Descriptors == 0 || r.Played == 0 {
			t.Errorf("%d nodes: %+v, %d played", nodes, r.Usage, r.Played)
		}
		connections[nodes] = float64(r.Usage.Connections) / directors
	}
	if connections[320] > 2.5*connections[20]+40 || connections[20] == 0 {
		t.Errorf("connections made by a director: %v", connections)
	}
}

// The slow-start budget holds for 900 directors that are restarted and forget what they sent. A baseline that ignores
// slow start makes nodes fail on the same day.
func TestSlowStartBudgetOf900Directors(t *testing.T) {
	r, err := RunRestarts(900, 1, Options{Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	if worst, early := SlowStartExcess(r, true); !r.Passed() || r.Overloaded() > 0 || worst > 0 || early == 0 {
		t.Errorf("%+v, %d nodes failed, %d set-ups in slow start, at worst %.1f above the budget", r.Rules, r.Overloaded(), early, worst)
	}
	b, err := RunRestarts(900, 1, Options{Workers: 2, NewDecider: day.Baselines["least-middle"]})
	if err != nil {
		t.Fatal(err)
	}
	if b.Overloaded() == 0 {
		t.Error("no node failed from overload with the baseline: the day is too easy to prove anything")
	}
}

// A fleet with more nodes than its capacity allows is refused: it would have more capacity for each director.
func TestFleetOfTooManyNodes(t *testing.T) {
	for nodes, valid := range map[int]bool{32: true, 33: false} {
		_, err := (&Fleet{Directors: 3, Nodes: nodes, RequestRate: DefaultRequestRate, Seed: 1, Workers: 2}).Run()
		if (err == nil) != valid {
			t.Errorf("%d nodes: %v", nodes, err)
		}
	}
}

// The length of a fleet's day is never too short for its incidents.
func TestFleetScriptIsLongEnough(t *testing.T) {
	s := (&Fleet{Directors: 1, Nodes: 10, RequestRate: DefaultRequestRate, Length: time.Second}).script()
	for _, incident := range s.Incidents {
		if end := incident.At + incident.Duration; end >= s.Length {
			t.Errorf("%s ends at %v of %v", incident.Kind, end, s.Length)
		}
	}
}
