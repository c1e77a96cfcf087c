package director

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// defaultSimConfig is a town in which nothing is scarce.
func defaultSimConfig(rule string) simConfig {
	return simConfig{rule: rule, directors: 2, nodes: 3, steps: 60, maxBurst: 3, reportAges: true, nodeReplies: []string{wire.Accepted, wire.Accepted, wire.Full, wire.Failed, wire.Ended, wire.Measurement, wire.Measurement}, tariffs: testTariffs,
		ramp: policy.Ramp{MaxStreams: []float64{100}, Warmup: 2 * time.Second, InitialShare: 0.5, OverloadMultiple: 4, OverloadWindow: 500 * ms},
		legs: policy.RetryPolicy{MaxLegs: 4}}
}

// seedsPerProperty is how many seeds each property is held to.
const seedsPerProperty = 250

// requireProperty plays a town from many fixed seeds: no rule may break, and the rule that is looked at has to have been
// within reach. Then it is played with directors that are broken in that one way, which the same judge must notice.
func requireProperty(t *testing.T, c simConfig, broken func(*simConfig)) {
	t.Helper()
	if c.alterEvent != nil || c.dropOutput != nil || c.alterPolicy != nil {
		t.Fatal("broken already")
	}
	bites := 0
	for seed := range uint64(seedsPerProperty) {
		w := newSimulation(t, seed, c)
		v := w.run()
		if !v.Passed() {
			t.Fatalf("seed %d, %d steps: %s", seed, shortestFailingRun(t, seed, c), describeViolations(v))
		}
		bites += w.opportunities
		if v[c.rule].MinMargin < 0.5 { // where the witness knows how near it came
			bites++
		}
		w.shutDown()
		for _, p := range w.directors {
			if p.loop.counts.RefusedByRule != [ruleCount]uint64{} {
				t.Fatalf("seed %d: the guard refused %v", seed, p.loop.counts.Violations())
			}
		}
	}
	if bites < seedsPerProperty/2 {
		t.Fatalf("%s was within reach %d times in %d runs", c.rule, bites, seedsPerProperty)
	}
	broken(&c)
	for seed := range uint64(seedsPerProperty) {
		if newSimulation(t, seed, c).run()[c.rule].Violations > 0 {
			return
		}
	}
	t.Fatalf("%s can't fail: directors that break it on purpose pass", c.rule)
}

// shortestFailingRun is how many steps a failing seed needs.
func shortestFailingRun(t *testing.T, seed uint64, c simConfig) int {
	for steps := 1; steps < c.steps; steps++ {
		short := c
		short.steps = steps
		if !newSimulation(t, seed, short).run().Passed() {
			return steps
		}
	}
	return c.steps
}

func describeViolations(v rulecheck.Findings) string {
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(v)) {
		for _, x := range v[rule].Examples {
			all = append(all, rule+": "+x)
		}
	}
	return strings.Join(all, "; ")
}

// Rule 1: each request that is taken gets exactly one final answer, before its hard stop.
func TestRule1OneAnswerInTime(t *testing.T) {
	requireProperty(t, defaultSimConfig(rulecheck.RuleAnswer), func(c *simConfig) {
		c.dropOutput = func(o Output) bool { m, ok := o.(SendClient); return ok && m.Message.Type == wire.Errored }
	})
}

// Rule 2: a paid set-up that may have run is neither sent again nor nacked, and never are two legs of a session out.
func TestRule2PaidSetUpOnce(t *testing.T) {
	requireProperty(t, defaultSimConfig(rulecheck.RuleSetupOnce), func(c *simConfig) {
		c.alterEvent = func(e policy.Event) policy.Event {
			if r, ok := e.(policy.LegResult); ok && r.Outcome == policy.Errored {
				r.Outcome = policy.ConnectFailed
				return r
			}
			return e
		}
	})
}

// Rule 3: from the moment a director was told that a node drains or is gone, nothing new reaches it from there.
func TestRule3NothingToADrainingNode(t *testing.T) {
	requireProperty(t, defaultSimConfig(rulecheck.RuleDrain), func(c *simConfig) {
		c.alterEvent = alterEntries(func(e *policy.NodeEntry) { e.State = policy.Up })
		c.guardDisabled = true
	})
}

// With the guard, a module that is wrong about what drains breaks nothing, and is counted.
func TestGuardStopsInvalidDecisions(t *testing.T) {
	refused := uint64(0)
	for seed := range uint64(20) {
		c := defaultSimConfig(rulecheck.RuleDrain)
		c.alterEvent = alterEntries(func(e *policy.NodeEntry) { e.State = policy.Up })
		w := newSimulation(t, seed, c)
		if v := w.run(); !v.Passed() {
			t.Fatalf("seed %d: %s", seed, describeViolations(v))
		}
		for _, p := range w.directors {
			refused += p.loop.counts.RefusedByRule[RuleNoSendToDraining]
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused: the test can't fail")
	}
}

// alterEntries is a lie about the list.
func alterEntries(change func(*policy.NodeEntry)) func(policy.Event) policy.Event {
	return func(e policy.Event) policy.Event {
		r, ok := e.(policy.ServerList)
		if !ok {
			return e
		}
		r.Entries = slices.Clone(r.Entries)
		for i := range r.Entries {
			change(&r.Entries[i])
		}
		return r
	}
}

// scarceSimConfig is a town in which a node that has started takes a set-up a second from all directors together.
func scarceSimConfig() simConfig {
	c := defaultSimConfig(rulecheck.RuleSlowStart)
	c.directors, c.nodes, c.steps, c.maxBurst = 4, 2, 120, 8
	c.tariffs = testTariffs[:1]
	c.ramp = policy.Ramp{MaxStreams: []float64{20}, Warmup: 4 * time.Second, InitialShare: 0.4, OverloadMultiple: 2, OverloadWindow: time.Second}
	return c
}

// Rule 4: what all directors together set up on a node that has just started stays under its fall budget.
func TestRule4SlowStartNodesAreLimited(t *testing.T) {
	for name, ages := range map[string]bool{"ages": true, "no ages": false} {
		t.Run(name, func(t *testing.T) {
			c := scarceSimConfig()
			c.reportAges = ages
			requireProperty(t, c, func(c *simConfig) {
				c.alterPolicy = func(g *policyConfig) { g.ramp.OverloadMultiple *= 10 }
			})
		})
	}
}

// Rule 5: no rung under a tariff's floor, no more sessions of a title at a director than it has seats, set-ups included.
func TestRule5FloorsAndSeats(t *testing.T) {
	for _, c := range []struct {
		name  string
		widen func(*policy.Tariff)
	}{{"floors", func(x *policy.Tariff) { x.Floor = 0 }}, {"seats", func(x *policy.Tariff) { x.Seats = 0 }}} {
		t.Run(c.name, func(t *testing.T) {
			town := defaultSimConfig(rulecheck.RuleTariffLimits)
			town.tariffs, town.nodes, town.maxBurst = testTariffs[1:], 4, 6
			requireProperty(t, town, func(x *simConfig) {
				x.alterPolicy = func(g *policyConfig) {
					for i := range g.tariffs {
						c.widen(&g.tariffs[i])
					}
				}
			})
		})
	}
}

// Rule 6: legs beyond the first of each session stay within the ration of their span.
func TestRule6RetryBudget(t *testing.T) {
	c := defaultSimConfig(rulecheck.RuleRetryBudget)
	c.nodes, c.steps, c.maxBurst, c.tariffs, c.nodeReplies = 4, 120, 6, testTariffs[:1], []string{wire.Accepted, wire.Full, wire.Full, wire.Ended}
	c.legs = policy.RetryPolicy{MaxLegs: 4, MinRetries: 2, RetryRatio: 0.02, Window: 3 * time.Second}
	requireProperty(t, c, func(c *simConfig) {
		c.alterPolicy = func(g *policyConfig) { g.legs.Window = 0 }
	})
}

// A seed gives the same records each time, or no verdict above could be trusted.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		one, two := newSimulation(t, seed, scarceSimConfig()), newSimulation(t, seed, scarceSimConfig())
		one.run()
		two.run()
		if !slices.Equal(one.records, two.records) {
			t.Fatalf("seed %d gives two records", seed)
		}
	}
}
