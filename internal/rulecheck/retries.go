package rulecheck

import (
	"slices"
	"time"
)

// checkRetryBudget checks rule 6: the further legs that one run of a director sends within the retry window.
func (c *checker) checkRetryBudget() {
	if c.limits.RetryWindow == 0 {
		return
	}
	var requests []Record
	for _, req := range c.requestOrder {
		requests = append(requests, req.Record)
	}
	further := map[string][]time.Duration{}
	for _, l := range c.sentLegs {
		if c.legsBySession[l.Session][0] == l {
			continue
		}
		run := runOf(l.Session)
		// Transit times vary: legs sent a whole window apart may be recorded closer together, so the window is
		// shorter by the tolerance.
		recent := slices.DeleteFunc(append(further[run], l.At), func(t time.Duration) bool {
			return t <= l.At-c.limits.RetryWindow+c.limits.Tolerance
		})
		further[run] = recent
		n := 0
		for _, req := range requests {
			if req.Director == l.Director && req.At > l.At-c.limits.RetryWindow-c.limits.Tolerance && req.At <= l.At {
				n++
			}
		}
		budget := c.limits.MinRetries + c.limits.RetryRatio*float64(n)
		// One leg more than the budget is allowed for random variation.
		c.findings.recordMargin(RuleRetryBudget, 1-float64(len(recent))/(budget+1))
		c.findings.check(RuleRetryBudget, float64(len(recent)) <= budget+1,
			"%s: %s sent %d further legs within %v (budget %.1f)", formatTime(l.At), run, len(recent), c.limits.RetryWindow, budget)
	}
}
