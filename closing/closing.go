// Package closing decides how a director that is told to stop lets its sessions go: nothing new is
// taken, every answer owed goes out first, and the sessions that play are ended in slices that double,
// so that their viewers do not all come to the other directors in one moment. It does no I/O and has no clock.
package closing

import "time"

// Term is how long a director has from the order to stop until it must have ended.
type Term struct {
	Within time.Duration // sessions and answers alike are done by then
	Slice  time.Duration // time between slices
	Least  time.Duration // who still comes is answered for so long
	Part   time.Duration // longest that clients' connections may take to close after that
}

// Left is what a director still has: answers owed, sessions that play, and connections from clients.
type Left struct{ Owed, Playing, Clients int }

// Plan is what is to be done now: end so many sessions that play, give up what is still owed, close the connections from
// clients on which nothing is owed, stop, or look again at a time.
type Plan struct {
	End    int
	GiveUp bool
	Part   bool
	Done   bool
	Again  time.Duration
}

// partEvery is how often connections that did not close are looked at again.
const partEvery = 10 * time.Millisecond

// Closing is one stop under way.
type Closing struct {
	term  Term
	began time.Duration
	slice int
	due   time.Duration
	parts time.Duration // when clients' connections began to be closed; 0: they have not
}

// Begin starts a stop.
func Begin(now time.Duration, term Term) *Closing {
	return &Closing{term: term, began: now, slice: 1, due: now}
}

// Step takes what is left at a time and returns what is to be done. The slices double; where doubling
// would not end in time, the rest is spread evenly over the slices there are.
func (c *Closing) Step(now time.Duration, left Left) Plan {
	if left.Owed == 0 && left.Playing == 0 {
		if least := c.began + c.term.Least; now < least {
			return Plan{Again: least}
		}
		return c.part(now, left)
	}
	end := c.began + c.term.Within
	if now >= end {
		return Plan{End: left.Playing, GiveUp: true, Again: now + c.term.Slice}
	}
	plan := Plan{Again: max(now+1, min(c.due, end))}
	if now < c.due {
		return plan
	}
	slices := max(1, int((end-now)/c.term.Slice))
	need := (left.Playing + slices - 1) / slices
	if doubled := c.slice * (1<<min(slices, 30) - 1); doubled >= left.Playing {
		need = 0
	}
	plan.End = min(left.Playing, max(c.slice, need))
	c.slice = max(c.slice, plan.End) * 2
	c.due = now + c.term.Slice
	plan.Again = min(c.due, end)
	return plan
}

// part ends the stop once no client is connected, or the time for that is over.
func (c *Closing) part(now time.Duration, left Left) Plan {
	if c.parts == 0 {
		c.parts = max(1, now)
	}
	if left.Clients == 0 || now >= c.parts+c.term.Part {
		return Plan{Part: true, Done: true}
	}
	return Plan{Part: true, Again: min(now+partEvery, c.parts+c.term.Part)}
}
