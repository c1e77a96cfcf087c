package director

import (
	"fordusher/shutdown"
)

// logInvariants says at the end what the guard has refused.
func (l *Loop) logInvariants() {
	total := uint64(0)
	for _, n := range l.counts.RefusedByRule {
		total += n
	}
	l.log("invariants: %d violations refused by the guard, %d requests taken", total, l.counts.Taken)
}

// stepShutdown works on a stop under way.
func (l *Loop) stepShutdown() {
	plan := l.shutdown.Step(l.now, shutdown.Remaining{Owed: l.owed, Playing: l.playing, Clients: len(l.conns)})
	if plan.CloseClients {
		l.closeClients(plan.Done)
	}
	if plan.Done && l.mayShutDown() {
		l.ended = true
		l.logInvariants()
		l.emit(ShutdownComplete{})
		return
	}
	if plan.EndSessions > 0 || plan.AbandonRequests {
		for _, s := range sorted(l.sessions) {
			switch {
			case s.phase == sessionPlaying && plan.EndSessions > 0:
				plan.EndSessions--
				l.notifySessionEnded(s, "director closes")
				l.abandonSession(s, "director closes")
			case s.phase != sessionPlaying && plan.AbandonRequests && !s.answered:
				l.answerDeadlineReached(s)
			}
		}
	}
	l.timers.Add(plan.NextStep, timer{timerShutdown, 0})
}

// closeClients closes the clients' connections on which nothing more is to come. One on which something was read meanwhile stays,
// unless this is the last look, and is closed once that is answered.
func (l *Loop) closeClients(last bool) {
	if !l.closingClients {
		l.closingClients = true
		l.emit(StopAccepting{})
	}
	for _, c := range sorted(l.conns) {
		if !c.shutdownClose || last {
			l.closeForShutdown(c, last)
		}
	}
}

func (l *Loop) closeForShutdown(c *conn, last bool) {
	c.shutdownClose = l.closeClient(CloseClient{Conn: c.id, Code: 1001, Reason: "director closes", Idle: !last})
}
