package rulecheck

import (
	"fmt"
	"slices"
	"strings"

	"fordusher/internal/wire"
)

// capacityCloseMark is the part of a recorded close reason, code and retry delay, that marks a close for lack of
// capacity.
const capacityCloseMark = "1013 retry-ms="

func (c *checker) process(r Record) {
	switch r.Kind {
	case wire.Request:
		k := requestKey{r.Conn, r.RequestID}
		if req := c.requests[k]; req != nil {
			req.duplicates++
			return
		}
		req := &request{Record: r}
		if c.killedDirectors[r.Director] {
			req.waivedAt = r.At
		}
		c.requests[k] = req
		c.requestOrder = append(c.requestOrder, req)
		c.requestsByConn[r.Conn] = append(c.requestsByConn[r.Conn], req)
	case wire.Playing, wire.Nack, wire.Errored:
		c.recordAnswer(r)
	case wire.Cancel:
		if req := c.requests[requestKey{r.Conn, r.RequestID}]; req != nil && req.waivedAt == 0 {
			req.waivedAt = r.At
		}
	case wire.Setup:
		c.recordSetup(r)
	case wire.Rung:
		if r.Node != "" && r.Leg != 0 {
			if l := c.legsByKey[legKey{r.Node, r.Conn, r.Leg}]; l != nil {
				c.checkMinRung(l.Tariff, r)
			}
		}
	case wire.Accepted:
		if l := c.legsByKey[legKey{r.Node, r.Conn, r.Leg}]; l != nil {
			l.accepted = true
			l.acceptedCount++
		}
	case wire.Full, wire.Failed, wire.Ended, wire.End:
		if l := c.legsByKey[legKey{r.Node, r.Conn, r.Leg}]; l != nil {
			l.neverRan = l.neverRan || r.Kind == wire.Full && !l.accepted && l.endedAt == 0
			c.endLeg(l, r.At)
		}
	case ConnClosed:
		if r.Node != "" {
			for _, l := range c.outstandingLegs[r.Node] {
				if l.Conn == r.Conn {
					c.endLeg(l, r.At)
				}
			}
			return
		}
		for _, req := range c.requestsByConn[r.Conn] {
			// A close that names a retry delay counts as the answer to requests that cross it.
			if (r.ClosedBy == ClosedByRecorder || strings.Contains(r.Reason, capacityCloseMark)) && req.waivedAt == 0 {
				req.waivedAt = r.At
			}
		}
		delete(c.requestsByConn, r.Conn)
	case DirectorStarted:
		delete(c.killedDirectors, r.Director)
	case DirectorKilled:
		c.killedDirectors[r.Director] = true
		for _, req := range c.requestOrder {
			if req.Director == r.Director && req.answeredAt == 0 && req.waivedAt == 0 {
				req.waivedAt = r.At
			}
		}
	case ListSubscribed:
		for k := range c.listStates {
			if k[0] == r.Director {
				delete(c.listStates, k)
				c.settleDrainChecks(k, r.At)
			}
		}
	case ListAcknowledged:
		k := [2]string{r.Director, r.Node}
		if c.listStates[k].state != r.State {
			c.listStates[k] = listState{r.At, r.State}
		}
		if r.State == wire.Up {
			c.settleDrainChecks(k, r.At)
		}
	case NodeStarted:
		c.nodeStarts[r.Node] = r
		c.recentSetups[r.Node] = nil
	case NodeExited:
		delete(c.nodeStarts, r.Node)
		for _, l := range c.outstandingLegs[r.Node] {
			c.endLeg(l, r.At)
		}
	}
}

func (c *checker) recordSetup(r Record) {
	l := &leg{Record: r}
	c.legsByKey[legKey{r.Node, r.Conn, r.Leg}] = l
	c.sentLegs = append(c.sentLegs, l)
	c.outstandingLegs[r.Node] = append(slices.DeleteFunc(c.outstandingLegs[r.Node], func(x *leg) bool { return x.endedAt != 0 }), l)
	c.legsBySession[r.Session] = append(c.legsBySession[r.Session], l)
	c.checkMinRung(r.Tariff, r)
	// Rule 3: a director knows the node states that it has acknowledged.
	if t, ok := c.listStates[[2]string{r.Director, r.Node}]; ok && t.state != wire.Up {
		if r.At <= t.at+c.limits.DrainGrace+c.limits.Tolerance {
			c.findings.recordMargin(RuleDrain, 1-float64(r.At-t.at)/float64(c.limits.DrainGrace+c.limits.Tolerance))
			c.findings.check(RuleDrain, true, "")
		} else {
			k := [2]string{r.Director, r.Node}
			c.pendingDrainChecks[k] = append(c.pendingDrainChecks[k], pendingDrainCheck{r.At,
				fmt.Sprintf("%s: %s sent a set-up to %s %v after it received that the node is %s", formatTime(r.At), r.Director,
					r.Node, r.At-t.at, t.state)})
		}
	} else {
		c.findings.check(RuleDrain, true, "")
	}
	// Rule 4: the set-up rate of a node in slow start, from all directors together.
	start, started := c.nodeStarts[r.Node]
	if age := r.At - start.At; started && age < c.limits.Warmup {
		c.recentSetups[r.Node] = slices.DeleteFunc(append(c.recentSetups[r.Node], r), func(x Record) bool {
			return x.At <= r.At-c.limits.OverloadWindow
		})
		rampShare := c.limits.InitialShare + (1-c.limits.InitialShare)*age.Seconds()/c.limits.Warmup.Seconds()
		budget := c.limits.OverloadMultiple * start.MaxStreams / c.limits.Warmup.Seconds() * rampShare * c.limits.OverloadWindow.Seconds()
		// One set-up more than the budget is allowed for random variation.
		c.findings.recordMargin(RuleSlowStart, 1-float64(len(c.recentSetups[r.Node]))/(budget+1))
		c.findings.check(RuleSlowStart, float64(len(c.recentSetups[r.Node])) <= budget+1,
			"%s: %d set-ups within %v on %s, %v after its start (budget %.1f)", formatTime(r.At),
			len(c.recentSetups[r.Node]), c.limits.OverloadWindow, r.Node, age, budget)
	}
}
