package rollout

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

var testConstraints = Constraints{Cells: 8, Racks: 2, MaxPerRack: 2, MaxPerTitle: 1, MaxWarming: 2,
	Warmup: 5 * time.Second, DrainTime: 10 * time.Second, PropagationDelay: time.Second}

func node(name string, cell int, up bool) Node {
	return Node{Name: name, Cell: cell, Up: up, Weight: 1, Identity: "at " + name}
}

// drawNodes draws up to eight nodes, some of which share an identity.
func drawNodes(t *rapid.T, cells int, label string) (all []Node) {
	for i := range 8 {
		if rapid.IntRange(0, 3).Draw(t, label) == 0 {
			continue
		}
		n := node(fmt.Sprint("n", i), rapid.IntRange(0, cells-1).Draw(t, "cell"), rapid.IntRange(0, 4).Draw(t, "up") > 0)
		n.Weight = float64(rapid.IntRange(1, 2).Draw(t, "weight"))
		if rapid.IntRange(0, 4).Draw(t, "other identity") == 0 {
			n.Identity = fmt.Sprint("at other ", rapid.IntRange(i, i+1).Draw(t, "shared"))
		}
		all = append(all, n)
	}
	return all
}

// For any nodes and titles, a plan keeps the constraints and ends with the target nodes, as Check finds independently.
// If there is no plan because of a title, that title really is the reason: with another holder of it, it is no longer
// reported.
func TestPlansKeepConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		constraints := Constraints{Cells: rapid.IntRange(2, 6).Draw(t, "cells"), MaxPerRack: rapid.IntRange(1, 3).Draw(t, "per rack"),
			MaxPerTitle: rapid.IntRange(1, 2).Draw(t, "per title"), MaxWarming: rapid.IntRange(0, 3).Draw(t, "warming"),
			Warmup: 5 * time.Second, DrainTime: 10 * time.Second, PropagationDelay: time.Second}
		constraints.Racks = rapid.IntRange(1, constraints.Cells).Draw(t, "racks")
		current, target := drawNodes(t, constraints.Cells, "current"), drawNodes(t, constraints.Cells, "target")
		var titles []Title
		for i := range rapid.IntRange(0, 4).Draw(t, "titles") {
			titles = append(titles, Title{fmt.Sprint("t", i), rapid.IntRange(0, constraints.Cells-1).Draw(t, "base"),
				rapid.IntRange(1, 2).Draw(t, "copies")})
		}
		steps, blocked := Plan(current, target, titles, constraints)
		if blocked == nil {
			if err := Check(current, target, titles, constraints, steps); err != nil {
				t.Fatalf("%v\ncurrent %v\ntarget %v\ntitles %v\n%v", err, current, target, titles, steps)
			}
			return
		}
		if len(steps) > 0 {
			t.Fatal("Plan returns steps and a BlockedError")
		}
		if blocked.Title == "" {
			return
		}
		// With an additional node in every cell, each title has a further holder.
		for c := range constraints.Cells {
			extra := node(fmt.Sprint("helper", c), c, true)
			current, target = append(current, extra), append(target, extra)
		}
		if steps, again := Plan(current, target, titles, constraints); again != nil && again.Title == blocked.Title {
			t.Fatalf("%v, and again with extra nodes: %v", blocked, again)
		} else if again == nil {
			if err := Check(current, target, titles, constraints, steps); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a Check that finds nothing: it reports a violation for each of these plans.
func TestCheckReportsViolations(t *testing.T) {
	a, b := node("a", 0, true), node("b", 0, true)
	down, twin := a, a
	down.Up, twin.Name = false, "twin"
	titles := []Title{{"t", 0, 1}}
	for _, x := range []struct {
		name            string
		want            Violation
		current, target []Node
		steps           []Step
	}{
		{"removed while up", InvalidChange, []Node{a, b}, []Node{b}, []Step{{0, []Change{{Remove, a}}}}},
		{"removed too soon", RemovedTooSoon, []Node{a, b}, []Node{b},
			[]Step{{0, []Change{{Drain, down}}}, {5 * time.Second, []Change{{Remove, down}}}}},
		{"title without a holder", TitleWithoutHolder, []Node{a}, []Node{down}, []Step{{0, []Change{{Drain, down}}}}},
		{"too many warming up", TooManyWarming, nil, []Node{a, b, node("c", 1, true)},
			[]Step{{0, []Change{{Add, a}, {Add, b}, {Add, node("c", 1, true)}}}}},
		{"too many holders of a title in transition", TooManyOfTitle, nil, []Node{a, b}, []Step{{0, []Change{{Add, a}, {Add, b}}}}},
		{"the only other holder is warming up and counts as in transition", TooManyOfTitle, []Node{a}, []Node{b, down},
			[]Step{{0, []Change{{Add, b}}}, {time.Second, []Change{{Drain, down}}}}},
		{"identity of another node", IdentityTaken, []Node{a}, nil, []Step{{0, []Change{{Add, twin}}}}},
		{"removed and added in one step", AddedTooSoon, []Node{down}, []Node{a}, []Step{{0, []Change{{Remove, down}, {Add, a}}}}},
		{"a rack drained at once", TooManyInRack, []Node{node("r1", 1, true), node("r3", 3, true), node("r5", 5, true)}, nil,
			[]Step{{0, []Change{{Drain, node("r1", 1, false)}, {Drain, node("r3", 3, false)}, {Drain, node("r5", 5, false)}}}}},
		{"added after drains", AddedAfterDrains, []Node{a, b}, []Node{b, down, node("c", 1, true)},
			[]Step{{0, []Change{{Drain, down}}}, {20 * time.Second, []Change{{Add, node("c", 1, true)}}}}},
		{"a node is missing at the end", TargetMissed, []Node{a}, []Node{a, b}, nil},
		{"steps too close together", StepTooEarly, nil, []Node{a, node("c", 1, true)},
			[]Step{{0, []Change{{Add, a}}}, {0, []Change{{Add, node("c", 1, true)}}}}},
	} {
		err := Check(x.current, x.target, titles, testConstraints, x.steps)
		if got, ok := errors.AsType[*ViolationError](err); !ok || got.Violation != x.want {
			t.Errorf("%s: Check reports %v, want the violation %v", x.name, err, x.want)
		}
	}
	// A holder that is warming up does not count as one that is up, even if it may be in transition beside the other.
	constraints := testConstraints
	constraints.MaxPerTitle = 2
	err := Check([]Node{a}, []Node{b, down}, titles, constraints, []Step{{0, []Change{{Add, b}}}, {time.Second, []Change{{Drain, down}}}})
	if got, ok := errors.AsType[*ViolationError](err); !ok || got.Violation != TitleWithoutHolder {
		t.Errorf("the only other holder is warming up: Check reports %v", err)
	}
}

func TestEveryViolationAndReasonHasAName(t *testing.T) {
	for v := StepTooEarly; v <= TargetMissed; v++ {
		if v.String() == "" {
			t.Errorf("violation %d has no name", v)
		}
	}
	for r := BlockedByConstraints; r <= BlockedByIdentity; r++ {
		if r.String() == "" {
			t.Errorf("reason %d has no name", r)
		}
	}
}

func TestMoveOrder(t *testing.T) {
	// Two nodes swap their cells and each is the only holder of its title: no order exists, and the error reports that
	// every order was tried.
	a, b := node("a", 0, true), node("b", 1, true)
	a2, b2 := a, b
	a2.Cell, b2.Cell = 1, 0
	titles := []Title{{"t0", 0, 1}, {"t1", 1, 1}}
	if _, blocked := Plan([]Node{a, b}, []Node{a2, b2}, titles, testConstraints); blocked == nil ||
		!blocked.Exhaustive || blocked.Title == "" || blocked.Reason != BlockedByTitle {
		t.Fatal(blocked)
	}
	// Nodes m1 and m2 leave cell 0, m3 moves into it, and m2 moves into the cell of m3: a plan exists only if m2 moves
	// first.
	m1, m2, m3 := node("m1", 0, true), node("m2", 0, true), node("m3", 1, true)
	w1, w2, w3 := m1, m2, m3
	w1.Cell, w2.Cell, w3.Cell = 2, 1, 0
	steps, blocked := Plan([]Node{m1, m2, m3}, []Node{w1, w2, w3}, titles, testConstraints)
	if blocked != nil {
		t.Fatal(blocked)
	}
	if err := Check([]Node{m1, m2, m3}, []Node{w1, w2, w3}, titles, testConstraints, steps); err != nil {
		t.Fatal(err)
	}
}

// All 250 nodes are replaced by 250 others. Planning takes less than a second; the test allows five.
func TestReplacesAllNodes(t *testing.T) {
	constraints := Constraints{Cells: 250, Racks: 36, MaxPerRack: 2, MaxPerTitle: 2,
		Warmup: time.Minute, DrainTime: time.Hour, PropagationDelay: 10 * time.Second}
	var current, target []Node
	var titles []Title
	for i := range 250 {
		current = append(current, node(fmt.Sprint("old", i), i, true))
		target = append(target, node(fmt.Sprint("new", i), i, true))
	}
	for i := range 1000 {
		titles = append(titles, Title{fmt.Sprint("t", i), i * 7 % 250, 5})
	}
	start := time.Now()
	steps, blocked := Plan(current, target, titles, constraints)
	took := time.Since(start)
	if blocked != nil {
		t.Fatal(blocked)
	}
	if err := Check(current, target, titles, constraints, steps); err != nil {
		t.Fatal(err)
	}
	if took > 5*time.Second {
		t.Fatal("planning took ", took)
	}
	t.Logf("%d steps over %v, planned in %v", len(steps), steps[len(steps)-1].At, took)
}
