package emulator

import (
	"fmt"
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
)

// The default script in virtual time answers every request, violates no rule and produces the same records byte for
// byte on each run, whatever the number of workers. A dependence on the order of goroutines would change the hash.
func TestDefaultScriptIsDeterministic(t *testing.T) {
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

// The scripts in testdata are minimized results of earlier searches. Each violated a rule, or appeared to, when it was
// found.
func TestSearchRegressions(t *testing.T) {
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

// 200 random scripts violate no rule and leave no request unanswered.
func TestRandomScripts(t *testing.T) {
	search := Search{Seed: 5, Runs: 200, Workers: runtime.GOMAXPROCS(0), MaxResults: 3}
	results, features, err := search.Run(t.Context(), func(string, ...any) {})
	if err != nil || features < 150 {
		t.Fatal(features, err)
	}
	for _, f := range results {
		if !f.Result.Passed() {
			t.Errorf("%+v\n%s", f.Result.Rules, f.Script.Format("broken"))
		}
	}
}

// 60 directors share nodes that have just restarted, more directors than such a node's budget has set-ups. With the
// policy module no node fails from overload, whatever the directors sent it before the restart. With a baseline that
// ignores slow start some nodes fail.
func TestRestartedNodesWithManyDirectors(t *testing.T) {
	s, err := day.ParseScript("many.jsonc", []byte(`{"length": "10s", "requests": 3000, "directors": 60, "nodes": 12, "racks": 3, "titles": 12, "load": 0.7,
		"viewers": {"mean_length": "2s"}, "list": {"notice_low": "10ms", "notice_high": "200ms", "silent_notice": "1s"},
		"troubles": [{"kind": "crash", "at": "2s", "for": "400ms", "share": 0.4}, {"kind": "vanish", "at": "5s", "for": "1s", "share": 0.3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	failures := func(r *Result) (n int) {
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
		if failures(r) > 0 || !r.Passed() || r.Rules[rulecheck.RuleSlowStart].Checked == 0 {
			t.Errorf("seed %d: %d nodes failed from overload, %+v", seed, failures(r), r.Rules[rulecheck.RuleSlowStart])
		}
		b, err := Run(s, seed, Options{Workers: 4, NewDecider: day.Baselines["least-middle"]})
		if err != nil {
			t.Fatal(err)
		}
		baseline += failures(b)
	}
	if baseline == 0 {
		t.Error("no node failed from overload with the baseline: the day is too easy to prove anything")
	}
}

// 20 to 30 directors share nodes that have just restarted. During the warm-up the directors are killed, a third at a
// time, and forget what they have sent. In any overload window the set-ups from all directors together must stay within
// the budget N of the node's ramp plus a random excess of 2*sqrt(N) + 2. The nodes must still get set-ups during the
// warm-up, and a baseline that ignores slow start must exceed the budget.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	baselineFailures := 0 // an emulated node fails as soon as its budget is exceeded, so a failure shows that the baseline exceeded it
	for seed, directors := range []int{20, 25, 30} {
		s, err := day.ParseScript("cold.jsonc", fmt.Appendf(nil, `{"length": "9s", "requests": 5000, "directors": %d, "nodes": 12, "racks": 3,
 "titles": 12, "load": 2, "viewers": {"mean_length": "400ms"}, "list": {"notice_low": "10ms", "notice_high": "300ms", "silent_notice": "1s"},
 "troubles": [{"kind": "crash", "at": "2s", "for": "400ms", "share": 0.5},
  {"kind": "balancer_roll", "at": "2600ms", "for": "1500ms", "share": 0.34, "size": 0.2}]}`, directors))
		if err != nil {
			t.Fatal(err)
		}
		for name, decider := range map[string]func(config *conf.Config, seed uint64) director.Decider{"module": nil, "baseline": day.Baselines["least-middle"]} {
			r, err := Run(s, uint64(seed), Options{Workers: 4, NewDecider: decider})
			if err != nil {
				t.Fatal(err)
			}
			worst, early := SlowStartExcess(r, false)
			failures := 0
			for _, x := range r.Records {
				if x.Kind == rulecheck.NodeExited && x.Reason == "pushed over" {
					failures++
				}
			}
			if name == "baseline" {
				baselineFailures += failures
				continue
			}
			if failures > 0 {
				t.Errorf("%d directors, seed %d: %d nodes failed from overload", directors, seed, failures)
			}
			if worst > 0 {
				t.Errorf("%d directors, seed %d: %.1f set-ups above the budget and its random excess", directors, seed, worst)
			}
			if early < 6 {
				t.Errorf("%d directors, seed %d: only %d set-ups reached nodes during their warm-up", directors, seed, early)
			}
		}
	}
	if baselineFailures == 0 {
		t.Error("no node failed from overload with the baseline: the day is too easy to prove anything")
	}
}

// Format loses no setting of a script: a formatted script parses to the same value.
func TestScriptFormatRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		s := mutate(random, drawScript(random))
		s.Seed = random.Uint64() >> 12
		parsed, err := day.ParseScript("again", s.Format("a comment\nof two lines"))
		if err == nil && len(s.Incidents) == 0 {
			s.Incidents, parsed.Incidents = nil, nil
		}
		if err != nil || !reflect.DeepEqual(s, parsed) {
			t.Fatalf("%v\n%+v\n%+v\n%s", err, s, parsed, s.Format(""))
		}
	}
}

// MinimizeScript returns a smaller script that still fails, and nil for a script that does not fail.
func TestMinimizeScript(t *testing.T) {
	s := day.DefaultScript()
	s.Seed = 3
	fails := func(r *Result) bool { return r.Errored > 0 }
	smaller, runs, err := MinimizeScript(s, fails, 60, func(string, ...any) {})
	if err != nil || smaller == nil || runs > 60 || len(smaller.Incidents) >= len(s.Incidents) {
		t.Fatal(smaller, runs, err)
	}
	if r, err := Run(smaller, smaller.Seed, Options{}); err != nil || !fails(r) {
		t.Fatal(err)
	}
	if none, _, err := MinimizeScript(s, func(*Result) bool { return false }, 10, func(string, ...any) {}); none != nil || err != nil {
		t.Fatal("a script that does not fail was minimized")
	}
}

// A day recorded on sockets is replayed in virtual time: the same nodes exit and start, in the same order and within
// 200 ms of the recorded times.
func TestReplayOfRecordedDay(t *testing.T) {
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
	script, seed, actions, err := day.ReconstructRun(r.Records)
	if err != nil || seed != 4 {
		t.Fatal(seed, err)
	}
	v, err := Run(script, seed, Options{Actions: actions})
	if err != nil || !v.Passed() {
		t.Fatal(v, err)
	}
	type moment struct {
		kind, node string
		at         time.Duration
	}
	moments := func(records []rulecheck.Record, startedAt time.Duration) (all []moment) {
		for _, x := range records {
			if x.Kind == rulecheck.NodeExited || x.Kind == rulecheck.NodeStarted {
				all = append(all, moment{x.Kind, x.Node, x.At - startedAt})
			}
		}
		return all
	}
	var startedAt time.Duration
	for _, x := range r.Records {
		if x.Kind == rulecheck.RunStarted {
			startedAt = x.At
		}
	}
	a, b := moments(r.Records, startedAt), moments(v.Records, settleTime)
	if len(a) < 6 || len(a) != len(b) {
		t.Fatal(a, b)
	}
	for i := range a {
		if a[i].kind != b[i].kind || a[i].node != b[i].node || (a[i].at-b[i].at).Abs() > 200*time.Millisecond {
			t.Errorf("%v on sockets, %v in the replay", a[i], b[i])
		}
	}
	if _, _, _, err := day.ReconstructRun(nil); err == nil {
		t.Error("an empty record was accepted for a replay")
	}
}

// The slow-start budget holds for fleets of 1, 5 and 100 directors. Half of the nodes crash and restart, and meanwhile
// the directors are restarted a third at a time and forget what they sent. The baseline must exceed the budget at each
// size.
func TestSlowStartBudgetByFleetSize(t *testing.T) {
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
		worst, early := SlowStartExcess(r, true)
		if worst > 0 || early == 0 {
			t.Errorf("%d directors: %d set-ups during warm-up, at worst %.1f above the budget", directors, early, worst)
		}
		t.Logf("%d directors: %d set-ups during warm-up, at least %.1f below the budget", directors, early, -worst)
		b, err := Run(s, uint64(seed), Options{Workers: 4, NewDecider: day.Baselines["least-middle"]})
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(b.Records, func(x rulecheck.Record) bool { return x.Kind == rulecheck.NodeExited && x.Reason == "pushed over" }) {
			t.Errorf("%d directors: no node failed from overload with the baseline, so the day proves nothing", directors)
		}
	}
}
