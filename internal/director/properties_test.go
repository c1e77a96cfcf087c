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

// defaultSimConfig is a simulation in which the nodes have capacity to spare.
func defaultSimConfig(rule string) simConfig {
	return simConfig{rule: rule, directors: 2, nodes: 3, steps: 60, maxBurst: 3, reportAges: true,
		nodeReplies: []string{wire.Accepted, wire.Accepted, wire.Full, wire.Failed, wire.Ended, wire.Measurement, wire.Measurement},
		tariffs:     testTariffs,
		ramp: policy.Ramp{MaxStreams: []float64{100}, Warmup: 2 * time.Second, InitialShare: 0.5,
			OverloadMultiple: 4, OverloadWindow: 500 * ms},
		retryPolicy: policy.RetryPolicy{MaxLegs: 4}}
}

// seedsPerProperty is how many seeds each property is checked with.
const seedsPerProperty = 250

// requireProperty runs a simulation with many fixed seeds. No rule may be violated, and the rule under test must have
// had enough opportunities to be violated. Then it runs with directors that breakRule has broken, and the same check
// must find a violation of that rule: this shows that the check can fail.
func requireProperty(t *testing.T, c simConfig, breakRule func(*simConfig)) {
	t.Helper()
	if c.alterEvent != nil || c.dropOutput != nil || c.alterPolicy != nil {
		t.Fatal("the configuration is broken already")
	}
	opportunities := 0
	for seed := range uint64(seedsPerProperty) {
		sim := newSimulation(t, seed, c)
		findings := sim.run()
		if !findings.Passed() {
			t.Fatalf("seed %d, %d steps: %s", seed, shortestFailingRun(t, seed, c), describeViolations(findings))
		}
		opportunities += sim.opportunities
		if findings[c.rule].MinMargin < 0.5 { // for rules with a margin: less than half of what the rule allows was left
			opportunities++
		}
		sim.shutDown()
		for _, d := range sim.directors {
			if d.loop.counts.RefusedByRule != [ruleCount]uint64{} {
				t.Fatalf("seed %d: the guard refused %v", seed, d.loop.counts.Violations())
			}
		}
	}
	if opportunities < seedsPerProperty/2 {
		t.Fatalf("%s could have been violated %d times in %d runs, which is too rare", c.rule, opportunities, seedsPerProperty)
	}
	breakRule(&c)
	for seed := range uint64(seedsPerProperty) {
		if newSimulation(t, seed, c).run()[c.rule].Violations > 0 {
			return
		}
	}
	t.Fatalf("the check of %s can't fail: directors that violate it on purpose pass", c.rule)
}

// shortestFailingRun returns how many steps a failing seed needs to fail.
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

// describeViolations lists the examples of all violations, with their rules.
func describeViolations(findings rulecheck.Findings) string {
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(findings)) {
		for _, example := range findings[rule].Examples {
			all = append(all, rule+": "+example)
		}
	}
	return strings.Join(all, "; ")
}

// Rule 1: each request that is taken gets exactly one final answer, within its client's wait and its tariff's hard
// stop. The broken directors drop error answers.
func TestRule1OneAnswerInTime(t *testing.T) {
	requireProperty(t, defaultSimConfig(rulecheck.RuleAnswer), func(c *simConfig) {
		c.dropOutput = func(o Output) bool { m, ok := o.(SendClient); return ok && m.Message.Type == wire.Errored }
	})
}

// Rule 2: a paid set-up that may have run is neither sent again nor nacked, and a session never has two legs in
// progress. In the broken directors the decider sees a failed set-up as a failed connect.
func TestRule2PaidSetupOnce(t *testing.T) {
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

// Rule 3: once a director has received the list entry of a draining or removed node, it sends that node no new set-up.
// In the broken directors the decider sees every node as up and the guard is disabled.
func TestRule3NoSetupToDrainingNode(t *testing.T) {
	requireProperty(t, defaultSimConfig(rulecheck.RuleDrain), func(c *simConfig) {
		c.alterEvent = alterEntries(func(e *policy.NodeEntry) { e.State = policy.Up })
		c.guardDisabled = true
	})
}

// With the guard, a decider that sees draining nodes as up violates no rule, and the refusals are counted.
func TestGuardStopsInvalidDecisions(t *testing.T) {
	refused := uint64(0)
	for seed := range uint64(20) {
		c := defaultSimConfig(rulecheck.RuleDrain)
		c.alterEvent = alterEntries(func(e *policy.NodeEntry) { e.State = policy.Up })
		sim := newSimulation(t, seed, c)
		if findings := sim.run(); !findings.Passed() {
			t.Fatalf("seed %d: %s", seed, describeViolations(findings))
		}
		for _, d := range sim.directors {
			refused += d.loop.counts.RefusedByRule[RuleNoSendToDraining]
		}
	}
	if refused == 0 {
		t.Fatal("the guard refused nothing, so the test can't fail")
	}
}

// alterEntries returns an alterEvent function that changes every entry of the server list.
func alterEntries(change func(*policy.NodeEntry)) func(policy.Event) policy.Event {
	return func(e policy.Event) policy.Event {
		list, ok := e.(policy.ServerList)
		if !ok {
			return e
		}
		list.Entries = slices.Clone(list.Entries)
		for i := range list.Entries {
			change(&list.Entries[i])
		}
		return list
	}
}

// scarceSimConfig is a simulation in which a node that has just started may get only a few set-ups a second from all
// directors together.
func scarceSimConfig() simConfig {
	c := defaultSimConfig(rulecheck.RuleSlowStart)
	c.directors, c.nodes, c.steps, c.maxBurst = 4, 2, 120, 8
	c.tariffs = testTariffs[:1]
	c.ramp = policy.Ramp{MaxStreams: []float64{20}, Warmup: 4 * time.Second, InitialShare: 0.4, OverloadMultiple: 2,
		OverloadWindow: time.Second}
	return c
}

// Rule 4: the set-ups of all directors together on a node that has just started stay within its slow-start limit.
func TestRule4SlowStartNodesAreLimited(t *testing.T) {
	for name, ages := range map[string]bool{"ages": true, "no ages": false} {
		t.Run(name, func(t *testing.T) {
			c := scarceSimConfig()
			c.reportAges = ages
			requireProperty(t, c, func(c *simConfig) {
				c.alterPolicy = func(p *policyConfig) { p.ramp.OverloadMultiple *= 10 }
			})
		})
	}
}

// Rule 5: no session gets a rung under its tariff's floor, and a director has no more sessions of a title, including
// those in set-up, than the tariff has seats.
func TestRule5FloorsAndSeats(t *testing.T) {
	for _, test := range []struct {
		name        string
		removeLimit func(*policy.Tariff)
	}{{"floors", func(tariff *policy.Tariff) { tariff.Floor = 0 }}, {"seats", func(tariff *policy.Tariff) { tariff.Seats = 0 }}} {
		t.Run(test.name, func(t *testing.T) {
			config := defaultSimConfig(rulecheck.RuleTariffLimits)
			config.tariffs, config.nodes, config.maxBurst = testTariffs[1:], 4, 6
			requireProperty(t, config, func(c *simConfig) {
				c.alterPolicy = func(p *policyConfig) {
					for i := range p.tariffs {
						test.removeLimit(&p.tariffs[i])
					}
				}
			})
		})
	}
}

// Rule 6: the legs after the first of each session stay within the retry budget of their window.
func TestRule6RetryBudget(t *testing.T) {
	c := defaultSimConfig(rulecheck.RuleRetryBudget)
	c.nodes, c.steps, c.maxBurst, c.tariffs, c.nodeReplies = 4, 120, 6, testTariffs[:1],
		[]string{wire.Accepted, wire.Full, wire.Full, wire.Ended}
	c.retryPolicy = policy.RetryPolicy{MaxLegs: 4, MinRetries: 2, RetryRatio: 0.02, Window: 3 * time.Second}
	requireProperty(t, c, func(c *simConfig) {
		c.alterPolicy = func(p *policyConfig) { p.retryPolicy.Window = 0 }
	})
}

// A seed gives the same records in each run. Otherwise the results of the tests above could not be trusted.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		first, second := newSimulation(t, seed, scarceSimConfig()), newSimulation(t, seed, scarceSimConfig())
		first.run()
		second.run()
		if !slices.Equal(first.records, second.records) {
			t.Fatalf("seed %d gives different records in two runs", seed)
		}
	}
}
