package rulecheck

import (
	"cmp"
	"slices"

	"fordusher/internal/wire"
)

// checkSetupOnce checks rule 2: a session has one leg at a time and at most MaxLegs, a paid set-up is sent again or
// nacked only if it provably never ran, and no set-up is sent for a session that has been nacked or has failed.
func (c *checker) checkSetupOnce() {
	// Leg numbers give the order in which the director sent them. Set-ups sent to different nodes in quick succession
	// may be recorded in the reverse order.
	for _, all := range c.legsBySession {
		slices.SortStableFunc(all, func(x, y *leg) int { return cmp.Compare(x.Leg, y.Leg) })
	}
	for _, l := range c.sentLegs {
		all := c.legsBySession[l.Session]
		if all[0] != l {
			continue
		}
		paid := c.limits.Tariffs[l.Tariff].Paid
		accepted := 0
		for i, x := range all {
			accepted += x.acceptedCount
			if i == 0 {
				c.findings.check(RuleSetupOnce, true, "")
				continue
			}
			previous := all[i-1]
			c.findings.check(RuleSetupOnce, x.At >= c.legEnd(previous)-c.limits.Tolerance,
				"%s: %s has two legs at once, on %s and %s", formatTime(x.At), x.Session, previous.Node, x.Node)
			c.findings.check(RuleSetupOnce, !paid || previous.neverRan,
				"%s: paid %s is sent again to %s, although its leg on %s may have run", formatTime(x.At), x.Session, x.Node, previous.Node)
		}
		if c.limits.MaxLegs > 0 {
			c.findings.check(RuleSetupOnce, len(all) <= c.limits.MaxLegs, "%s had %d legs", l.Session, len(all))
		}
		c.findings.check(RuleSetupOnce, !paid || accepted <= 1, "paid %s was accepted %d times", l.Session, accepted)
		req := c.unservedBySession[l.Session]
		if req == nil {
			continue
		}
		for _, x := range all {
			c.findings.check(RuleSetupOnce, x.At <= req.answeredAt+c.limits.Tolerance, "%s: %s is sent to %s after its answer %s",
				formatTime(x.At), x.Session, x.Node, req.answer)
			if paid && req.answer == wire.Nack {
				c.findings.check(RuleSetupOnce, x.neverRan, "%s: paid %s is nacked, although its leg on %s may have run",
					formatTime(req.answeredAt), x.Session, x.Node)
			}
		}
	}
}
