package rulecheck

import "time"

// settleDrainChecks decides the pending checks of a director and a node once the director has acknowledged that the
// node is up or has subscribed anew. The director may have received the state earlier, by up to the tolerance.
func (c *checker) settleDrainChecks(k [2]string, now time.Duration) {
	for _, d := range c.pendingDrainChecks[k] {
		c.findings.check(RuleDrain, d.at >= now-c.limits.Tolerance, "%s", d.example)
	}
	delete(c.pendingDrainChecks, k)
}
