package rulecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"fordusher/internal/wire"
)

// checkDrain checks rule 3 for a set-up: a director knows the node states that it has acknowledged.
func (c *checker) checkDrain(r Record) {
	k := [2]string{r.Director, r.Node}
	known, ok := c.listStates[k]
	if !ok || known.state == wire.Up {
		c.findings.check(RuleDrain, true, "")
		return
	}
	if grace := c.limits.DrainGrace + c.limits.Tolerance; r.At <= known.at+grace {
		c.findings.recordMargin(RuleDrain, 1-float64(r.At-known.at)/float64(grace))
		c.findings.check(RuleDrain, true, "")
		return
	}
	c.pendingDrainChecks[k] = append(c.pendingDrainChecks[k], pendingDrainCheck{r.At,
		fmt.Sprintf("%s: %s sent a set-up to %s %v after it received that the node is %s", formatTime(r.At), r.Director,
			r.Node, r.At-known.at, known.state)})
}

// recordSubscription records that a director has subscribed to the server list, and has none yet.
func (c *checker) recordSubscription(r Record) {
	for k := range c.listStates {
		if k[0] == r.Director {
			delete(c.listStates, k)
			c.settleDrainChecks(k, r.At)
		}
	}
}

// recordAcknowledgement records that a director has acknowledged the state of a node.
func (c *checker) recordAcknowledgement(r Record) {
	k := [2]string{r.Director, r.Node}
	if c.listStates[k].state != r.State {
		c.listStates[k] = listState{r.At, r.State}
	}
	if r.State == wire.Up {
		c.settleDrainChecks(k, r.At)
	}
}

// settleDrainChecks decides the pending checks of a director and a node once the director has acknowledged that the
// node is up or has subscribed anew. The director may have received the state earlier, by up to the tolerance.
func (c *checker) settleDrainChecks(k [2]string, now time.Duration) {
	for _, d := range c.pendingDrainChecks[k] {
		c.findings.check(RuleDrain, d.at >= now-c.limits.Tolerance, "%s", d.example)
	}
	delete(c.pendingDrainChecks, k)
}

// failPendingDrainChecks counts the checks that are pending at the end of the records as violations.
func (c *checker) failPendingDrainChecks() {
	for _, k := range slices.SortedFunc(maps.Keys(c.pendingDrainChecks), func(x, y [2]string) int {
		return cmp.Or(cmp.Compare(x[0], y[0]), cmp.Compare(x[1], y[1]))
	}) {
		for _, d := range c.pendingDrainChecks[k] {
			c.findings.check(RuleDrain, false, "%s", d.example)
		}
	}
}
