package director

import (
	"fordusher/shutdown"
)

// logInvariants logs at the end of the run how many violations the guard has prevented.
func (l *Loop) logInvariants() {
	total := uint64(0)
	for _, n := range l.counts.RefusedByRule {
		total += n
	}
	l.log("invariants: %d violations prevented by the guard, %d requests taken", total, l.counts.Taken)
}

// stepShutdown carries out the next step of the shutdown in progress.
func (l *Loop) stepShutdown() {
	plan := l.shutdown.Step(l.now, shutdown.Remaining{Owed: l.owed, Playing: l.playing, Ends: l.waitingEnds(),
		LastEndSentAt: l.lastEndSentAt, Clients: len(l.conns)})
	if plan.CloseClients {
		l.deliverLeft()
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

// waitingEnds returns how many ends of sessions wait for a connection, to a client or to a node.
func (l *Loop) waitingEnds() int {
	l.dropExpiredUndelivered()
	waiting := len(l.undelivered)
	for _, n := range l.nodes {
		waiting += len(n.pendingEnds)
	}
	return waiting
}

// deliverLeft sends the ends that still wait when client connections are about to be closed on any of these.
func (l *Loop) deliverLeft() {
	if len(l.undelivered) == 0 {
		return
	}
	if c := l.anyConn(func(*conn) bool { return true }); c != nil {
		l.deliverUndelivered(c, l.now)
	}
}

// closeClients stops accepting and closes the client connections. One on which a message was read meanwhile stays open
// until that is answered, unless this is the last call.
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
