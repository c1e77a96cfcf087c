package rulecheck

import "slices"

// checkSlowStart checks rule 4 for a set-up: the set-up rate of a node in slow start, from all directors together.
func (c *checker) checkSlowStart(r Record) {
	start, started := c.nodeStarts[r.Node]
	age := r.At - start.At
	if !started || age >= c.limits.Warmup {
		return
	}
	recent := slices.DeleteFunc(append(c.recentSetups[r.Node], r), func(x Record) bool {
		return x.At <= r.At-c.limits.OverloadWindow
	})
	c.recentSetups[r.Node] = recent
	rampShare := c.limits.InitialShare + (1-c.limits.InitialShare)*age.Seconds()/c.limits.Warmup.Seconds()
	budget := c.limits.OverloadMultiple * start.MaxStreams / c.limits.Warmup.Seconds() * rampShare * c.limits.OverloadWindow.Seconds()
	// One set-up more than the budget is allowed for random variation.
	c.findings.recordMargin(RuleSlowStart, 1-float64(len(recent))/(budget+1))
	c.findings.check(RuleSlowStart, float64(len(recent)) <= budget+1,
		"%s: %d set-ups within %v on %s, %v after its start (budget %.1f)", formatTime(r.At),
		len(recent), c.limits.OverloadWindow, r.Node, age, budget)
}
