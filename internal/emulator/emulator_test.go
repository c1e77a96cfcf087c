package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/director"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

// The bad day, in virtual time: every request is answered, no rule is broken, and the record is the same
// to the byte each time, on any number of cores.
func TestBadDayIsTheSameEachTime(t *testing.T) {
	first := ""
	for _, workers := range []int{1, 4, 3} {
		r, err := Run(day.DefaultScript(), 7, Options{Workers: workers})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Passed() {
			t.Fatalf("%+v %+v", r.Result.Rules, r.Result)
		}
		if r.Played < 1000 || r.Received != r.Played+r.Nacked+r.Errored+r.Abandoned {
			t.Fatalf("%+v", r.Result)
		}
		if first == "" {
			first = r.Hash
		} else if r.Hash != first {
			t.Fatalf("hash %s with %d workers, %s before", r.Hash, workers, first)
		}
	}
}

// Days that hunts have found, cut down: each broke a rule, or looked as if it did, when it was found.
func TestFoundDays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) < 3 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		s, err := day.LoadScript(file)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(s, s.Seed, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Passed() {
			t.Errorf("%s: %+v", file, r.Rules)
		}
	}
}

// 200 drawn days: no rule is broken, every request is answered.
func TestDrawnDays(t *testing.T) {
	h := Search{Seed: 5, Runs: 200, Workers: runtime.GOMAXPROCS(0), MaxResults: 3}
	finds, features, err := h.Run(t.Context(), func(string, ...any) {})
	if err != nil || features < 150 {
		t.Fatal(features, err)
	}
	for _, f := range finds {
		if !f.Result.Passed() {
			t.Errorf("%+v\n%s", f.Result.Rules, f.Script.Format("broken"))
		}
	}
}

// A node that has just started, and more directors than its budget has set-ups: with the module it never falls,
// whatever they had for it before. A baseline that looks at nothing pushes nodes over.
func TestFreshNodeAndManyDirectors(t *testing.T) {
	s, err := day.ParseScript("many.jsonc", []byte(`{"length": "10s", "requests": 3000, "directors": 60, "nodes": 12, "racks": 3, "titles": 12, "load": 0.7,
		"viewers": {"mean_length": "2s"}, "list": {"notice_low": "10ms", "notice_high": "200ms", "silent_notice": "1s"},
		"troubles": [{"kind": "crash", "at": "2s", "for": "400ms", "share": 0.4}, {"kind": "vanish", "at": "5s", "for": "1s", "share": 0.3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	fell := func(r *Result) (n int) {
		for _, x := range r.Records {
			if x.Kind == rulecheck.NodeExited && x.Reason == "pushed over" {
				n++
			}
		}
		return n
	}
	baseline := 0
	for seed := range uint64(2) {
		r, err := Run(s, seed, Options{Workers: 4})
		if err != nil {
			t.Fatal(err)
		}
		if fell(r) > 0 || !r.Passed() || r.Rules[rulecheck.RuleSlowStart].Checked == 0 {
			t.Errorf("seed %d: %d nodes fell, %+v", seed, fell(r), r.Rules[rulecheck.RuleSlowStart])
		}
		b, err := Run(s, seed, Options{Workers: 4, NewDecider: day.Baselines["least-middle"]})
		if err != nil {
			t.Fatal(err)
		}
		baseline += fell(b)
	}
	if baseline == 0 {
		t.Error("with the baseline no node fell: the day is too easy to show anything")
	}
}

// overColdBudget is by how much the set-ups at a node within the warm-up after a start passed, at worst, what the fleet may
// send it: the budget N of its warmth in any tipping time, and what chance may add, 2 x root of N + 2 (N under 30: 3 x root
// of N + 3, where so is asked). Early is how many there were.
func overColdBudget(r *Result, terms rulecheck.Limits, small bool) (worst float64, early int) {
	worst = math.Inf(-1)
	sent := map[string][]time.Duration{}
	started, died := map[string]rulecheck.Record{}, map[string]bool{}
	for _, x := range r.Records {
		switch x.Kind {
		case rulecheck.NodeExited:
			died[x.Node] = true
			delete(started, x.Node)
		case rulecheck.NodeStarted:
			if died[x.Node] { // at the day's begin they are warm
				started[x.Node], sent[x.Node] = x, nil
			}
		case wire.Setup:
			n, ok := started[x.Node]
			age := x.At - n.At
			if !ok || age > terms.Warmup {
				continue
			}
			early++
			all := append(sent[x.Node], x.At)
			for len(all) > 0 && all[0] <= x.At-terms.OverloadWindow {
				all = all[1:]
			}
			sent[x.Node] = all
			warmth := terms.InitialShare + (1-terms.InitialShare)*age.Seconds()/terms.Warmup.Seconds()
			budget := n.MaxStreams * terms.OverloadMultiple * warmth * terms.OverloadWindow.Seconds() / terms.Warmup.Seconds()
			chance := 2.0
			if small && budget < 30 {
				chance = 3
			}
			worst = max(worst, float64(len(all))-(budget+chance*math.Sqrt(budget)+chance))
		}
	}
	return worst, early
}

// Nodes that have just started, and twenty to thirty directors, a third of which is killed within the warm-up and forgets
// what it has sent: by the record, what reaches a node from all of them together in any tipping time stays within the
// budget N of its warmth and what chance may add, 2 x root of N + 2; the node is used before it is warm; and a
// baseline that looks at nothing breaks it.
func TestTheFleetTogetherOnColdNodes(t *testing.T) {
	fell := 0 // a stand-in node falls as soon as its budget is passed, so that is as far as a baseline gets
	for seed, directors := range []int{20, 25, 30} {
		s, err := day.ParseScript("cold.jsonc", fmt.Appendf(nil, `{"length": "9s", "requests": 5000, "directors": %d, "nodes": 12, "racks": 3,
 "titles": 12, "load": 2, "viewers": {"mean_length": "400ms"}, "list": {"notice_low": "10ms", "notice_high": "300ms", "silent_notice": "1s"},
 "troubles": [{"kind": "crash", "at": "2s", "for": "400ms", "share": 0.5},
  {"kind": "balancer_roll", "at": "2600ms", "for": "1500ms", "share": 0.34, "size": 0.2}]}`, directors))
		if err != nil {
			t.Fatal(err)
		}
		for name, module := range map[string]func(h *conf.Config, seed uint64) director.Decider{"module": nil, "baseline": day.Baselines["least-middle"]} {
			r, err := Run(s, uint64(seed), Options{Workers: 4, NewDecider: module})
			if err != nil {
				t.Fatal(err)
			}
			worst, early := overColdBudget(r, r.Limits, false)
			falls := 0
			for _, x := range r.Records {
				if x.Kind == rulecheck.NodeExited && x.Reason == "pushed over" {
					falls++
				}
			}
			if name == "baseline" {
				fell += falls
				continue
			}
			if falls > 0 {
				t.Errorf("%d directors, seed %d: %d nodes fell", directors, seed, falls)
			}
			if worst > 0 {
				t.Errorf("%d directors, seed %d: %.1f set-ups beyond what chance may add", directors, seed, worst)
			}
			if early < 6 {
				t.Errorf("%d directors, seed %d: %d set-ups reached nodes before they were warm", directors, seed, early)
			}
		}
	}
	if fell == 0 {
		t.Error("with the baseline no node fell: the day is too easy to show anything")
	}
}

// What a script can say can be written and read again.
func TestScriptsAreWrittenAsTheyAreRead(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		s := mutate(r, drawScript(r))
		s.Seed = r.Uint64() >> 12
		again, err := day.ParseScript("again", s.Format("a comment\nof two lines"))
		if err == nil && len(s.Incidents) == 0 {
			s.Incidents, again.Incidents = nil, nil
		}
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("%v\n%+v\n%+v\n%s", err, s, again, s.Format(""))
		}
	}
}

// A day that fails is cut down, and what is left fails still.
func TestShrink(t *testing.T) {
	s := day.DefaultScript()
	s.Seed = 3
	fails := func(r *Result) bool { return r.Errored > 0 }
	smaller, tried, err := MinimizeScript(s, fails, 60, func(string, ...any) {})
	if err != nil || smaller == nil || tried > 60 || len(smaller.Incidents) >= len(s.Incidents) {
		t.Fatal(smaller, tried, err)
	}
	if r, err := Run(smaller, smaller.Seed, Options{}); err != nil || !fails(r) {
		t.Fatal(err)
	}
	if none, _, err := MinimizeScript(s, func(*Result) bool { return false }, 10, func(string, ...any) {}); none != nil || err != nil {
		t.Fatal("a day that does not fail was cut down")
	}
}

// The incident of a day on sockets, gone through again in virtual time: the same nodes die and start, in the
// same order and at about the same times.
func TestReplayOfASocketDay(t *testing.T) {
	s, err := day.ParseScript("short.jsonc", []byte(`{"length": "4s", "requests": 120, "directors": 2, "nodes": 8, "racks": 2, "titles": 6, "viewers": {"mean_length": "500ms"},
		"troubles": [{"kind": "crash", "at": "500ms", "for": "1s", "share": 0.4}, {"kind": "balancer_roll", "at": "1s", "for": "1s", "share": 0.5, "size": 0.4},
		{"kind": "hang", "at": "2s", "for": "500ms", "share": 0.2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r, err := day.Run(t.Context(), s, day.Options{Seed: 4})
	if err != nil || !r.Passed() {
		t.Fatal(r, err)
	}
	again, seed, actions, err := day.ReconstructRun(r.Records)
	if err != nil || seed != 4 {
		t.Fatal(seed, err)
	}
	v, err := Run(again, seed, Options{Actions: actions})
	if err != nil || !v.Passed() {
		t.Fatal(v, err)
	}
	type moment struct {
		what, node string
		at         time.Duration
	}
	moments := func(records []rulecheck.Record, began time.Duration) (all []moment) {
		for _, x := range records {
			if x.Kind == rulecheck.NodeExited || x.Kind == rulecheck.NodeStarted {
				all = append(all, moment{x.Kind, x.Node, x.At - began})
			}
		}
		return all
	}
	var began time.Duration
	for _, x := range r.Records {
		if x.Kind == rulecheck.RunStarted {
			began = x.At
		}
	}
	a, b := moments(r.Records, began), moments(v.Records, settle)
	if len(a) < 6 || len(a) != len(b) {
		t.Fatal(a, b)
	}
	for i := range a {
		if a[i].what != b[i].what || a[i].node != b[i].node || (a[i].at-b[i].at).Abs() > 200*time.Millisecond {
			t.Errorf("%v on sockets, %v again", a[i], b[i])
		}
	}
	if _, _, _, err := day.ReconstructRun(nil); err == nil {
		t.Error("an empty record is replayed")
	}
}

// The same in fleets of any size: one director, a few, a hundred. Half of the nodes crash and come back cold, a third of
// the directors are started anew meanwhile and forget what they sent. The baseline breaks it at each size.
func TestColdNodesInFleetsOfAnySize(t *testing.T) {
	for seed, directors := range []int{1, 5, 100} {
		s, err := day.ParseScript("cold.jsonc", fmt.Appendf(nil, `{"length": "9s", "requests": 5000, "directors": %d, "nodes": 12, "racks": 3,
 "titles": 12, "load": 2, "viewers": {"mean_length": "400ms"}, "list": {"notice_low": "10ms", "notice_high": "300ms", "silent_notice": "1s"},
 "troubles": [{"kind": "crash", "at": "2s", "for": "400ms", "share": 0.5},
  {"kind": "balancer_roll", "at": "2600ms", "for": "1500ms", "share": 0.34, "size": 1}]}`, directors))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(s, uint64(seed), Options{Workers: 4})
		if err != nil {
			t.Fatal(err)
		}
		worst, early := overColdBudget(r, r.Limits, true)
		if worst > 0 || early == 0 {
			t.Errorf("%d directors: %d set-ups on cold nodes, %.1f over the budget at worst", directors, early, worst)
		}
		t.Logf("%d directors: %d set-ups on cold nodes, %.1f below the budget at the nearest", directors, early, -worst)
		b, err := Run(s, uint64(seed), Options{Workers: 4, NewDecider: day.Baselines["least-middle"]})
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(b.Records, func(x rulecheck.Record) bool { return x.Kind == rulecheck.NodeExited && x.Reason == "pushed over" }) {
			t.Errorf("%d directors: with the baseline no node fell, so the day shows nothing", directors)
		}
	}
}
