// Package shutdown decides how a director that is told to stop lets its sessions go: nothing new is
// taken, every answer owed goes out first, and the sessions that play are ended in slices that double,
// so that their viewers do not all come to the other directors in one moment. It does no I/O and has no clock.
package shutdown

import "time"

// Policy is how long a director has from the order to stop until it must have ended.
type Policy struct {
	Timeout       time.Duration // sessions and answers alike are done by then
	BatchInterval time.Duration // time between slices
	MinDuration   time.Duration // who still comes is answered for so long
	CloseTimeout  time.Duration // longest that clients' connections may take to close after that
}

// Remaining is what a director still has: answers owed, sessions that play, and connections from clients.
type Remaining struct{ Owed, Playing, Clients int }

// Plan is what is to be done now: end so many sessions that play, give up what is still owed, close the connections from
// clients on which nothing is owed, stop, or look again at a time.
type Plan struct {
	EndSessions     int
	AbandonRequests bool
	CloseClients    bool
	Done            bool
	NextStep        time.Duration
}

// partEvery is how often connections that did not close are looked at again.
const partEvery = 10 * time.Millisecond

// Sequence is one stop under way.
type Sequence struct {
	term  Policy
	began time.Duration
	slice int
	due   time.Duration
	parts time.Duration // when clients' connections began to be closed; 0: they have not
}

// Start starts a stop.
func Start(now time.Duration, term Policy) *Sequence {
	return &Sequence{term: term, began: now, slice: 1, due: now}
}

// Step takes what is left at a time and returns what is to be done. The slices double; where doubling
// would not end in time, the rest is spread evenly over the slices there are.
func (c *Sequence) Step(now time.Duration, left Remaining) Plan {
	if left.Owed == 0 && left.Playing == 0 {
		if least := c.began + c.term.MinDuration; now < least {
			return Plan{NextStep: least}
		}
		return c.part(now, left)
	}
	end := c.began + c.term.Timeout
	if now >= end {
		return Plan{EndSessions: left.Playing, AbandonRequests: true, NextStep: now + c.term.BatchInterval}
	}
	plan := Plan{NextStep: max(now+1, min(c.due, end))}
	if now < c.due {
		return plan
	}
	slices := max(1, int((end-now)/c.term.BatchInterval))
	need := (left.Playing + slices - 1) / slices
	if doubled := c.slice * (1<<min(slices, 30) - 1); doubled >= left.Playing {
		need = 0
	}
	plan.EndSessions = min(left.Playing, max(c.slice, need))
	c.slice = max(c.slice, plan.EndSessions) * 2
	c.due = now + c.term.BatchInterval
	plan.NextStep = min(c.due, end)
	return plan
}

// part ends the stop once no client is connected, or the time for that is over.
func (c *Sequence) part(now time.Duration, left Remaining) Plan {
	if c.parts == 0 {
		c.parts = max(1, now)
	}
	if left.Clients == 0 || now >= c.parts+c.term.CloseTimeout {
		return Plan{CloseClients: true, Done: true}
	}
	return Plan{CloseClients: true, NextStep: min(now+partEvery, c.parts+c.term.CloseTimeout)}
}
