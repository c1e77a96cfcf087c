package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

var terms = Constraints{Cells: 8, Racks: 2, MaxPerRack: 2, MaxPerTitle: 1, MaxWarming: 2, Warmup: 5 * time.Second, DrainTime: 10 * time.Second, PropagationDelay: time.Second}

func node(name string, cell int, up bool) Node {
	return Node{Name: name, Cell: cell, Up: up, Weight: 1, Identity: "at " + name}
}

func drawFleet(t *rapid.T, cells int, what string) (all []Node) {
	for i := range 8 {
		if rapid.IntRange(0, 3).Draw(t, what) == 0 {
			continue
		}
		n := node(fmt.Sprint("n", i), rapid.IntRange(0, cells-1).Draw(t, "cell"), rapid.IntRange(0, 4).Draw(t, "up") > 0)
		n.Weight = float64(rapid.IntRange(1, 2).Draw(t, "weight"))
		if rapid.IntRange(0, 4).Draw(t, "site") == 0 {
			n.Identity = fmt.Sprint("at other ", rapid.IntRange(i, i+1).Draw(t, "shared"))
		}
		all = append(all, n)
	}
	return all
}

// Whatever fleets and titles: a plan keeps the terms and ends where it is to, by books of the checker's own.
// Where there is none, what it names does stand in the way: with a holder more for that title, or without
// the node's change, it is not named again.
func TestPlansKeepTheTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Constraints{Cells: rapid.IntRange(2, 6).Draw(t, "cells"), MaxPerRack: rapid.IntRange(1, 3).Draw(t, "per rack"),
			MaxPerTitle: rapid.IntRange(1, 2).Draw(t, "per title"), MaxWarming: rapid.IntRange(0, 3).Draw(t, "cold"),
			Warmup: 5 * time.Second, DrainTime: 10 * time.Second, PropagationDelay: time.Second}
		terms.Racks = rapid.IntRange(1, terms.Cells).Draw(t, "racks")
		have, want := drawFleet(t, terms.Cells, "have"), drawFleet(t, terms.Cells, "want")
		var titles []Title
		for i := range rapid.IntRange(0, 4).Draw(t, "titles") {
			titles = append(titles, Title{fmt.Sprint("t", i), rapid.IntRange(0, terms.Cells-1).Draw(t, "base"), rapid.IntRange(1, 2).Draw(t, "copies")})
		}
		steps, blocked := Plan(have, want, titles, terms)
		if blocked == nil {
			if err := Check(have, want, titles, terms, steps); err != nil {
				t.Fatalf("%v\nhave %v\nwant %v\ntitles %v\n%v", err, have, want, titles, steps)
			}
			return
		}
		if len(steps) > 0 {
			t.Fatal("steps of a plan that does not exist")
		}
		if blocked.Title == "" {
			return
		}
		// A helper on every cell: no title is without a holder any more.
		for c := range terms.Cells {
			helper := node(fmt.Sprint("helper", c), c, true)
			have, want = append(have, helper), append(want, helper)
		}
		if steps, again := Plan(have, want, titles, terms); again != nil && again.Title == blocked.Title {
			t.Fatalf("%v, and again with helpers: %v", blocked, again)
		} else if again == nil {
			if err := Check(have, want, titles, terms, steps); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The checker is no stub: each of these is named.
func TestCheckerFinds(t *testing.T) {
	a, b := node("a", 0, true), node("b", 0, true)
	down := a
	down.Up = false
	titles := []Title{{"t", 0, 1}}
	for _, x := range []struct {
		name       string
		have, want []Node
		steps      []Step
	}{
		{"removed while up", []Node{a, b}, []Node{b}, []Step{{0, []Change{{Remove, a}}}}},
		{"removed too soon", []Node{a, b}, []Node{b}, []Step{{0, []Change{{Drain, down}}}, {5 * time.Second, []Change{{Remove, down}}}}},
		{"no holder", []Node{a}, []Node{down}, []Step{{0, []Change{{Drain, down}}}}},
		{"too many cold", nil, []Node{a, b, node("c", 1, true)}, []Step{{0, []Change{{Add, a}, {Add, b}, {Add, node("c", 1, true)}}}}},
		{"too many of a title", nil, []Node{a, b}, []Step{{0, []Change{{Add, a}, {Add, b}}}}},
		{"a holder that is cold", []Node{a}, []Node{b, down}, []Step{{0, []Change{{Add, b}}}, {time.Second, []Change{{Drain, down}}}}},
		{"added after drains", []Node{a, b}, []Node{b, down, node("c", 1, true)}, []Step{{0, []Change{{Drain, down}}}, {20 * time.Second, []Change{{Add, node("c", 1, true)}}}}},
		{"not there at the end", []Node{a}, []Node{a, b}, nil},
		{"too close together", nil, []Node{a, node("c", 1, true)}, []Step{{0, []Change{{Add, a}}}, {0, []Change{{Add, node("c", 1, true)}}}}},
	} {
		if Check(x.have, x.want, titles, terms, x.steps) == nil {
			t.Errorf("%s: not found", x.name)
		}
	}
}

func TestOrder(t *testing.T) {
	// Two nodes swap their cells, and each is its title's only holder: no order exists, and that is said.
	a, b := node("a", 0, true), node("b", 1, true)
	a2, b2 := a, b
	a2.Cell, b2.Cell = 1, 0
	titles := []Title{{"t0", 0, 1}, {"t1", 1, 1}}
	if _, blocked := Plan([]Node{a, b}, []Node{a2, b2}, titles, terms); blocked == nil || !blocked.Exhaustive || blocked.Title == "" {
		t.Fatal(blocked)
	}
	// M1 and M2 leave cell 0, M3 enters it and M2 takes M3's: only M2 first leads on.
	m1, m2, m3 := node("m1", 0, true), node("m2", 0, true), node("m3", 1, true)
	w1, w2, w3 := m1, m2, m3
	w1.Cell, w2.Cell, w3.Cell = 2, 1, 0
	steps, blocked := Plan([]Node{m1, m2, m3}, []Node{w1, w2, w3}, titles, terms)
	if blocked != nil {
		t.Fatal(blocked)
	}
	if err := Check([]Node{m1, m2, m3}, []Node{w1, w2, w3}, titles, terms, steps); err != nil {
		t.Fatal(err)
	}
}

// A fleet of 250 nodes is moved to 250 others; the plan is there within a second.
func TestWholeFleet(t *testing.T) {
	terms := Constraints{Cells: 250, Racks: 36, MaxPerRack: 2, MaxPerTitle: 2, Warmup: time.Minute, DrainTime: time.Hour, PropagationDelay: 10 * time.Second}
	var have, want []Node
	var titles []Title
	for i := range 250 {
		have = append(have, node(fmt.Sprint("old", i), i, true))
		want = append(want, node(fmt.Sprint("new", i), i, true))
	}
	for i := range 1000 {
		titles = append(titles, Title{fmt.Sprint("t", i), i * 7 % 250, 5})
	}
	began := time.Now()
	steps, blocked := Plan(have, want, titles, terms)
	took := time.Since(began)
	if blocked != nil {
		t.Fatal(blocked)
	}
	if err := Check(have, want, titles, terms, steps); err != nil {
		t.Fatal(err)
	}
	if took > 5*time.Second {
		t.Fatal("planned in ", took)
	}
	t.Logf("%d steps over %v, planned in %v", len(steps), steps[len(steps)-1].At, took)
}
