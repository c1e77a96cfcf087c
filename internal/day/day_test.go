package day

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fordusher/internal/director"
	"fordusher/internal/rulecheck"
	"fordusher/policy"
)

// shortDay is a script of six seconds in which drains, a crash, lost answers, a delayed server list and killed
// directors overlap.
const shortDay = `{
  "length": "6s", "requests": 500, "directors": 3, "nodes": 12, "racks": 3, "titles": 10, "load": 0.8,
  "viewers": {"mean_length": "1500ms", "hasty": 0.1, "repeats": 0.05, "drops": 0.1},
  "list": {"notice_low": "100ms", "notice_high": "400ms", "silent_notice": "1s"},
  "troubles": [
    {"kind": "answer_lost", "at": "500ms", "for": "3s", "share": 0.3, "size": 0.3},
    {"kind": "crash", "at": "1s", "for": "1s", "share": 0.1},
    {"kind": "deploy", "at": "1s", "for": "3s", "share": 0.4, "size": 0.5},
    {"kind": "discovery_stale", "at": "1500ms", "for": "2s", "size": 1},
    {"kind": "balancer_roll", "at": "2s", "for": "2s", "share": 0.4, "size": 0.3},
    {"kind": "hang", "at": "2500ms", "for": "1s", "share": 0.1},
    {"kind": "vanish", "at": "3s", "for": "1s", "share": 0.1},
  ],
}`

// testTolerance allows for stalls of CI machines. The violations that the rule checker has to find here are longer than
// a second by far.
const testTolerance = 400 * time.Millisecond

func runScript(t *testing.T, text string, opt Options) *Result {
	t.Helper()
	s, err := ParseScript("test.jsonc", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	opt.Log, opt.Tolerance = zerolog.Nop(), testTolerance
	if opt.Seed == 0 {
		opt.Seed = 1
	}
	r, err := Run(context.Background(), s, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Overlapping incidents of many kinds lead to no violation of a rule and no unanswered request.
func TestShortDayKeepsTheRules(t *testing.T) {
	r := runScript(t, shortDay, Options{})
	if !r.Passed() {
		r.Print(os.Stderr)
		t.Fatal("a rule was violated")
	}
	if r.Received != r.Played+r.Nacked+r.Errored+r.Abandoned || r.Played < 100 || r.Clients != 500 {
		t.Fatalf("%+v", r)
	}
	for _, rule := range []string{rulecheck.RuleAnswer, rulecheck.RuleSetupOnce, rulecheck.RuleDrain, rulecheck.RuleSlowStart, rulecheck.RuleTariffLimits} {
		if r.Rules[rule].Checked < 5 {
			t.Errorf("%s was checked %d times", rule, r.Rules[rule].Checked)
		}
	}
}

// One day with an incident of every kind, all at the same time, violates no rule.
func TestEveryIncidentKind(t *testing.T) {
	var incidents []string
	for _, k := range IncidentKinds {
		incidents = append(incidents, `{"kind": "`+k+`", "at": "300ms", "for": "700ms", "share": 0.08}`)
	}
	r := runScript(t, `{"length": "3s", "requests": 200, "directors": 2, "nodes": 20, "racks": 4, "titles": 10,
		"viewers": {"mean_length": "800ms"}, "list": {"notice_low": "50ms", "notice_high": "200ms"},
		"troubles": [`+strings.Join(incidents, ",")+`]}`, Options{Seed: 2})
	if !r.Passed() {
		r.Print(os.Stderr)
		t.Fatal("a rule was violated")
	}
}

// A brokenDecider changes the actions of a decider so that they violate a rule.
type brokenDecider struct {
	director.Decider
	rewrite func(policy.Event, []policy.Action) []policy.Action
}

func (b brokenDecider) Step(now time.Duration, e policy.Event) []policy.Action {
	return b.rewrite(e, b.Decider.Step(now, e))
}

// The rule checker reports each rule that a broken decider violates. The guard of the director loop is off, since it
// would block the actions.
func TestCheckerDetectsBrokenDecider(t *testing.T) {
	drained := map[string]bool{}
	for rule, rewrite := range map[string]func(policy.Event, []policy.Action) []policy.Action{
		// All sessions play at rung 0, even if their tariff has a higher floor.
		rulecheck.RuleTariffLimits: func(_ policy.Event, out []policy.Action) []policy.Action {
			for i, a := range out {
				if r, ok := a.(policy.SetRung); ok {
					out[i] = policy.SetRung{ID: r.ID, Rung: 0}
				}
			}
			return out
		},
		// Requests are dispatched to nodes that drain.
		rulecheck.RuleDrain: func(e policy.Event, out []policy.Action) []policy.Action {
			if r, ok := e.(policy.ServerList); ok {
				for _, x := range r.Entries {
					if x.State == policy.Draining {
						drained[x.Node] = true
					}
				}
			}
			for i, a := range out {
				if d, ok := a.(policy.Dispatch); ok && len(drained) > 0 {
					for d.Node = range drained {
						out[i] = d
					}
				}
			}
			return out
		},
		// A failed set-up is repeated at the same node, for paid sessions too.
		rulecheck.RuleSetupOnce: func(e policy.Event, out []policy.Action) []policy.Action {
			if r, ok := e.(policy.LegResult); ok && r.Outcome == policy.Errored && !r.Final {
				return []policy.Action{policy.Dispatch{ID: r.ID, Node: r.Node}}
			}
			return out
		},
	} {
		script := `{"length": "2s", "requests": 200, "directors": 1, "nodes": 6, "racks": 2, "titles": 4,
			"viewers": {"mean_length": "500ms"}, "list": {"notice_low": "50ms", "notice_high": "100ms"},
			"troubles": [{"kind": "fast_errors", "at": "200ms", "for": "2s", "share": 0.5, "size": 0.5},
				{"kind": "preempt", "at": "300ms", "for": "500ms", "share": 0.3, "size": 2}]}`
		r := runScript(t, script, Options{DisableGuard: true, WrapDecider: func(d director.Decider) director.Decider { return brokenDecider{d, rewrite} }})
		if r.Rules[rule].Violations == 0 {
			t.Errorf("%s is violated on purpose, but the checker reports no violation: %+v", rule, r.Rules[rule])
		}
	}
}

// The error for a mistake in a script names the mistake, and for an unknown key suggests a known one.
func TestScriptErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"lenght": "5s"}`, `s:1:2: unknown key "lenght"; did you mean "length"?`},
		{`{"troubles": [{"kind": "flood", "at": "1s"}]}`, `unknown trouble "flood"`},
		{`{"length": "5s", "troubles": [{"kind": "crash", "at": "9s"}]}`, `crash begins at 9s, but the day ends at 5s`},
		{`{"troubles": [{"kind": "crash"}]}`, `"at" is missing`},
		{`{"nodes": 2, "racks": 5}`, `there are 5 racks for 2 nodes`},
		{`{`, `s:1:`},
	} {
		if _, err := ParseScript("s", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}
