package policy

import (
	"testing"
	"time"
)

// setUpAboveFloor has a director of the given number place one session, above its lowest rung, and returns the
// director and the session's node. The node accepts the session at once.
func setUpAboveFloor(t *testing.T, directors int) (*Director, string) {
	t.Helper()
	d, _ := newTestDirector(false, directors)
	start := 20 * time.Second // past the slow start of a new director
	leg, ok := firstAction[Dispatch](d.Step(start, Request{ID: 1, Copies: 3, MaxRung: 2, Deadline: time.Hour}))
	if !ok {
		t.Fatal("no leg was sent")
	}
	d.Step(start, Accepted{ID: 1})
	i, _ := d.sessionIndexes.find(1)
	if d.sessions[i].rung == 0 {
		t.Fatal("the session was set up at its lowest rung")
	}
	return d, leg.Node
}

// stepsDown reports whether the director steps its session down at a tick at the given time.
func stepsDown(d *Director, at time.Duration) bool {
	_, ok := firstAction[SetRung](d.Step(at, TimerFired{}))
	return ok
}

// Guards against a session that was placed blindly keeping a rung for two seconds that the report with its set-up
// shows to be too high.
func TestSetupOnOverloadedNodeIsScoredAtOnce(t *testing.T) {
	for _, kind := range []MeasurementKind{LinkLoad, UplinkLoad} {
		d, node := setUpAboveFloor(t, 1)
		d.Step(20*time.Second, Measurement{ID: 1, Node: node, Kind: kind, Value: 1.5})
		if !stepsDown(d, 20*time.Second+tickInterval) {
			t.Errorf("kind %d: no step down at the next evaluation", kind)
		}
	}
}

// A short delivery is a report of an overload too.
func TestShortDeliveryIsScoredAtOnce(t *testing.T) {
	d, node := setUpAboveFloor(t, 1)
	i, _ := d.sessionIndexes.find(1)
	d.Step(20*time.Second, Measurement{ID: 1, Node: node, Kind: UplinkLoad, Value: 0.5})
	d.Step(20*time.Second+tickInterval, Measurement{ID: 1, Node: node, Kind: DeliveredShare, Value: 0.8})
	if d.Step(20*time.Second+2*tickInterval, TimerFired{}); d.sessions[i].scoredAt != 20*time.Second+2*tickInterval {
		t.Fatal("not scored at the next evaluation")
	}
}

// Guards against a reaction to a load that is high but no overload: such a session keeps its regular scoring.
func TestLoadUnderCapacityIsScoredRegularly(t *testing.T) {
	d, node := setUpAboveFloor(t, 1)
	d.Step(20*time.Second, Measurement{ID: 1, Node: node, Kind: LinkLoad, Value: 0.95})
	i, _ := d.sessionIndexes.find(1)
	if d.Step(20*time.Second+tickInterval, TimerFired{}); d.sessions[i].scoredAt != 20*time.Second {
		t.Fatal("scored ahead of time")
	}
}

// Guards against one report being followed by scoring after scoring, each of which would step a part of the sessions.
func TestReportScoresASessionOnce(t *testing.T) {
	d, node := setUpAboveFloor(t, 1)
	d.Step(20*time.Second, Measurement{ID: 1, Node: node, Kind: LinkLoad, Value: 1.5})
	i, _ := d.sessionIndexes.find(1)
	scored := 20*time.Second + tickInterval
	for at := scored; at < scored+rescoreEvery; at += tickInterval {
		if d.Step(at, TimerFired{}); d.sessions[i].scoredAt != scored {
			t.Fatalf("scored at %v, want %v", d.sessions[i].scoredAt, scored)
		}
	}
}

// Guards against a herd: hundreds of directors that receive the same report act on it at the same moment, and together
// they would empty the link.
func TestOnlySomeDirectorsStepAtOnce(t *testing.T) {
	steps := 0
	for seed := range uint64(200) {
		d, node := setUpAboveFloor(t, 200)
		d.random = newPCG(seed)
		d.Step(20*time.Second, Measurement{ID: 1, Node: node, Kind: LinkLoad, Value: 1.2})
		if stepsDown(d, 20*time.Second+tickInterval) {
			steps++
		}
	}
	if steps < 20 || steps > 180 {
		t.Fatalf("%d of 200 directors step", steps)
	}
}

// Guards against a node that reports an overload all the time, falsely or not, making its sessions switch more often
// than once in switchEvery.
func TestLastingOverloadKeepsTheSwitchInterval(t *testing.T) {
	d, node := setUpAboveFloor(t, 1)
	switches := 0
	for at := 20 * time.Second; at < 20*time.Second+switchEvery; at += tickInterval {
		d.Step(at, Measurement{ID: 1, Node: node, Kind: LinkLoad, Value: 3})
		if stepsDown(d, at+tickInterval/2) {
			switches++
		}
	}
	if switches != 1 {
		t.Fatalf("%d switches within %v, want 1", switches, switchEvery)
	}
}
