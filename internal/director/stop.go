package director

import (
	"fordusher/closing"
)

// logInvariants says at the end what the guard has refused.
func (l *Loop) logInvariants() {
	total := uint64(0)
	for _, n := range l.counts.Refused {
		total += n
	}
	l.log("invariants: %d violations refused by the guard, %d requests taken", total, l.counts.Taken)
}

// close works on a stop under way.
func (l *Loop) close() {
	plan := l.stop.Step(l.now, closing.Remaining{Owed: l.owed, Playing: l.playing, Clients: len(l.conns)})
	if plan.CloseClients {
		l.part(plan.Done)
	}
	if plan.Done && l.mayStop() {
		l.ended = true
		l.logInvariants()
		l.do(Ended{})
		return
	}
	if plan.EndSessions > 0 || plan.AbandonRequests {
		for _, s := range sorted(l.sessions) {
			switch {
			case s.phase == playing && plan.EndSessions > 0:
				plan.EndSessions--
				l.over(s, "director closes")
				l.gone(s, "director closes")
			case s.phase != playing && plan.AbandonRequests && !s.answered:
				l.answerOverdue(s)
			}
		}
	}
	l.timers.Add(plan.NextStep, due{timerClose, 0})
}

// part closes the clients' connections on which nothing more is to come. One on which something was read meanwhile stays,
// unless this is the last look, and is closed once that is answered.
func (l *Loop) part(last bool) {
	if !l.parting {
		l.parting = true
		l.do(StopAccepting{})
	}
	for _, c := range sorted(l.conns) {
		if !c.parting || last {
			l.partFrom(c, last)
		}
	}
}

func (l *Loop) partFrom(c *conn, last bool) {
	c.parting = l.closeClient(CloseClient{Conn: c.number, Code: 1001, Why: "director closes", Idle: !last})
}
