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
	requestTimes := map[string][]time.Duration{} // by director, ascending
	for _, req := range c.requestOrder {
		requestTimes[req.Director] = append(requestTimes[req.Director], req.At)
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
		times := requestTimes[l.Director]
		first, _ := slices.BinarySearch(times, l.At-c.limits.RetryWindow-c.limits.Tolerance+1)
		end, _ := slices.BinarySearch(times, l.At+1)
		n := end - first
		budget := c.limits.MinRetries + c.limits.RetryRatio*float64(n)
		// One leg more than the budget is allowed for random variation.
		c.findings.recordMargin(RuleRetryBudget, 1-float64(len(recent))/(budget+1))
		c.findings.check(RuleRetryBudget, float64(len(recent)) <= budget+1,
			"%s: %s sent %d further legs within %v (budget %.1f)", formatTime(l.At), run, len(recent), c.limits.RetryWindow, budget)
	}
}
