package rulecheck

import (
	"slices"

	"fordusher/internal/wire"
)

// process applies a record to the state, and checks the rules that can be checked at that moment.
func (c *checker) process(r Record) {
	switch r.Kind {
	case wire.Request:
		c.recordRequest(r)
	case wire.Playing, wire.Nack, wire.Errored:
		c.recordAnswer(r)
	case wire.Cancel:
		if req := c.requests[requestKey{r.Conn, r.RequestID}]; req != nil {
			req.waive(r.At)
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
		c.recordConnClosed(r)
	case DirectorStarted:
		delete(c.killedDirectors, r.Director)
	case DirectorKilled:
		c.recordDirectorKilled(r)
	case ListSubscribed:
		c.recordSubscription(r)
	case ListAcknowledged:
		c.recordAcknowledgement(r)
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

// recordConnClosed records the end of a connection of a node, which ends its legs, or of a client, which may waive the
// answers that it is owed.
func (c *checker) recordConnClosed(r Record) {
	if r.Node != "" {
		for _, l := range c.outstandingLegs[r.Node] {
			if l.Conn == r.Conn {
				c.endLeg(l, r.At)
			}
		}
		return
	}
	if r.waivesAnswers() {
		for _, req := range c.requestsByConn[r.Conn] {
			req.waive(r.At)
		}
	}
	delete(c.requestsByConn, r.Conn)
}

// recordDirectorKilled records that a director was killed. Its open requests need no answer.
func (c *checker) recordDirectorKilled(r Record) {
	c.killedDirectors[r.Director] = true
	for _, req := range c.requestOrder {
		if req.Director == r.Director && req.answeredAt == 0 {
			req.waive(r.At)
		}
	}
}

// recordSetup records a set-up and checks the rules that hold when one is sent.
func (c *checker) recordSetup(r Record) {
	l := &leg{Record: r}
	c.legsByKey[legKey{r.Node, r.Conn, r.Leg}] = l
	c.sentLegs = append(c.sentLegs, l)
	c.outstandingLegs[r.Node] = append(slices.DeleteFunc(c.outstandingLegs[r.Node], func(x *leg) bool { return x.endedAt != 0 }), l)
	c.legsBySession[r.Session] = append(c.legsBySession[r.Session], l)
	c.checkMinRung(r.Tariff, r)
	c.checkDrain(r)
	c.checkSlowStart(r)
}
