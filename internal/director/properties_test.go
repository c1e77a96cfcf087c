package director

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/internal/witness"
	"fordusher/policy"
)

// usual is a town in which nothing is scarce.
func usual(rule string) charter {
	return charter{rule: rule, directors: 2, nodes: 3, steps: 60, crowd: 3, ages: true, says: []string{wire.Accepted, wire.Accepted, wire.Full, wire.Failed, wire.Ended, wire.Note, wire.Note}, tariffs: tariffs,
		ramp: policy.Ramp{MaxStreams: []float64{100}, Warmup: 2 * time.Second, InitialShare: 0.5, OverloadMultiple: 4, OverloadWindow: 500 * ms},
		legs: policy.RetryPolicy{MaxLegs: 4}}
}

// runs is how many seeds each property is held to.
const runs = 250

// holds plays a town from many fixed seeds: no rule may break, and the rule that is looked at has to have been
// within reach. Then it is played with directors that are broken in that one way, which the same judge must notice.
func holds(t *testing.T, c charter, broken func(*charter)) {
	t.Helper()
	if c.lie != nil || c.drop != nil || c.module != nil {
		t.Fatal("broken already")
	}
	bites := 0
	for seed := range uint64(runs) {
		w := newTown(t, seed, c)
		v := w.play()
		if !v.Kept() {
			t.Fatalf("seed %d, %d steps: %s", seed, shortest(t, seed, c), breaches(v))
		}
		bites += w.bites
		if v[c.rule].Least < 0.5 { // where the witness knows how near it came
			bites++
		}
		w.goHome()
		for _, p := range w.posts {
			if p.loop.counts.Refused != [rules]uint64{} {
				t.Fatalf("seed %d: the guard refused %v", seed, p.loop.counts.Violations())
			}
		}
	}
	if bites < runs/2 {
		t.Fatalf("%s was within reach %d times in %d runs", c.rule, bites, runs)
	}
	broken(&c)
	for seed := range uint64(runs) {
		if newTown(t, seed, c).play()[c.rule].Broken > 0 {
			return
		}
	}
	t.Fatalf("%s can't fail: directors that break it on purpose pass", c.rule)
}

// shortest is how many steps a failing seed needs.
func shortest(t *testing.T, seed uint64, c charter) int {
	for steps := 1; steps < c.steps; steps++ {
		short := c
		short.steps = steps
		if !newTown(t, seed, short).play().Kept() {
			return steps
		}
	}
	return c.steps
}

func breaches(v witness.Verdict) string {
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
	holds(t, usual(witness.RuleAnswer), func(c *charter) {
		c.drop = func(o Output) bool { m, ok := o.(SendClient); return ok && m.Message.Type == wire.Errored }
	})
}

// Rule 2: a paid set-up that may have run is neither sent again nor nacked, and never are two legs of a session out.
func TestRule2PaidSetUpOnce(t *testing.T) {
	holds(t, usual(witness.RuleOnce), func(c *charter) {
		c.lie = func(e policy.Event) policy.Event {
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
	holds(t, usual(witness.RuleDrain), func(c *charter) {
		c.lie = roster(func(e *policy.NodeEntry) { e.State = policy.Up })
		c.unguarded = true
	})
}

// With the guard, a module that is wrong about what drains breaks nothing, and is counted.
func TestTheGuardKeepsWhatAModuleWouldBreak(t *testing.T) {
	refused := uint64(0)
	for seed := range uint64(20) {
		c := usual(witness.RuleDrain)
		c.lie = roster(func(e *policy.NodeEntry) { e.State = policy.Up })
		w := newTown(t, seed, c)
		if v := w.play(); !v.Kept() {
			t.Fatalf("seed %d: %s", seed, breaches(v))
		}
		for _, p := range w.posts {
			refused += p.loop.counts.Refused[RuleNoSendToDraining]
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused: the test can't fail")
	}
}

// roster is a lie about the list.
func roster(change func(*policy.NodeEntry)) func(policy.Event) policy.Event {
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

// scarce is a town in which a node that has started takes a set-up a second from all directors together.
func scarce() charter {
	c := usual(witness.RuleCold)
	c.directors, c.nodes, c.steps, c.crowd = 4, 2, 120, 8
	c.tariffs = tariffs[:1]
	c.ramp = policy.Ramp{MaxStreams: []float64{20}, Warmup: 4 * time.Second, InitialShare: 0.4, OverloadMultiple: 2, OverloadWindow: time.Second}
	return c
}

// Rule 4: what all directors together set up on a node that has just started stays under its fall budget.
func TestRule4ColdNodesArePaced(t *testing.T) {
	for name, ages := range map[string]bool{"ages": true, "no ages": false} {
		t.Run(name, func(t *testing.T) {
			c := scarce()
			c.ages = ages
			holds(t, c, func(c *charter) {
				c.module = func(g *given) { g.ramp.OverloadMultiple *= 10 }
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
			town := usual(witness.RuleTerms)
			town.tariffs, town.nodes, town.crowd = tariffs[1:], 4, 6
			holds(t, town, func(x *charter) {
				x.module = func(g *given) {
					for i := range g.tariffs {
						c.widen(&g.tariffs[i])
					}
				}
			})
		})
	}
}

// Rule 6: legs beyond the first of each session stay within the ration of their span.
func TestRule6FurtherLegsAreRationed(t *testing.T) {
	c := usual(witness.RuleBudget)
	c.nodes, c.steps, c.crowd, c.tariffs, c.says = 4, 120, 6, tariffs[:1], []string{wire.Accepted, wire.Full, wire.Full, wire.Ended}
	c.legs = policy.RetryPolicy{MaxLegs: 4, MinRetries: 2, RetryRatio: 0.02, Window: 3 * time.Second}
	holds(t, c, func(c *charter) {
		c.module = func(g *given) { g.legs.Window = 0 }
	})
}

// A seed gives the same records each time, or no verdict above could be trusted.
func TestTownIsTheSameEachTime(t *testing.T) {
	for seed := range uint64(5) {
		one, two := newTown(t, seed, scarce()), newTown(t, seed, scarce())
		one.play()
		two.play()
		if !slices.Equal(one.records, two.records) {
			t.Fatalf("seed %d gives two records", seed)
		}
	}
}
