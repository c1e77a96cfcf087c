package director

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fordusher/connector"
	"fordusher/policy"
)

// stallThreshold is how late a timer may run before the loop counts as stalled.
const stallThreshold = 100 * time.Millisecond

// runDueTimers runs the timers that are due, in the order of their times. After a stall of the process the overdue
// timers of legs and answers run first, in the order of their sessions' deadlines.
func (l *Loop) runDueTimers() {
	isDue := func() bool {
		at, ok := l.timers.NextDeadline()
		return ok && at <= l.now
	}
	if at, ok := l.timers.NextDeadline(); ok && l.now-at > stallThreshold {
		l.counts.Stalls++
		var overdue []timer
		for isDue() {
			overdue = append(overdue, l.timers.Pop())
		}
		slices.SortStableFunc(overdue, func(a, b timer) int { return cmp.Compare(l.urgency(a), l.urgency(b)) })
		for _, t := range overdue {
			if !l.ended {
				l.fire(t)
			}
		}
	}
	for isDue() && !l.ended {
		l.fire(l.timers.Pop())
	}
}

// urgency returns the deadline of the session that a timer belongs to; timers without a session come last.
func (l *Loop) urgency(t timer) time.Duration {
	switch t.kind {
	case timerLeg:
		if g := l.legs[t.id]; g != nil {
			return g.session.deadline
		}
	case timerAnswer:
		if s := l.sessions[t.id]; s != nil {
			return s.deadline
		}
	}
	return math.MaxInt64
}

func (l *Loop) fire(t timer) {
	switch t.kind {
	case timerPolicy:
		l.notifyDecider(policy.TimerFired{})
	case timerLeg:
		if g := l.legs[t.id]; g != nil {
			l.legDeadlineReached(g)
		}
	case timerAnswer:
		if s := l.sessions[t.id]; s != nil {
			l.answerDeadlineReached(s)
		}
	case timerLinger:
		if s := l.sessions[t.id]; s != nil {
			l.abandonSession(s, "the client did not reconnect")
		}
	case timerConnector:
		l.connectorTimer = 0
		l.stepConnector(connector.Event{Kind: connector.TimerFired})
	case timerPing:
		if n := l.links[t.id]; n != nil && n.connected && n.link == t.id {
			l.emit(ProbeLink{t.id}) // in detached mode checkSilence, which gets the answer, may choose another time
			n.pingTimer = l.timers.Add(l.now+l.reconnectPolicy.HeartbeatInterval, timer{timerPing, t.id})
		}
	case timerIdle:
		if n := l.links[t.id]; n != nil && n.connected && n.link == t.id {
			l.checkIdleLink(n)
		}
	case timerShutdown:
		l.stepShutdown()
	case timerUndelivered:
		l.deliverToAnyClient()
	case timerClosingLink:
		l.closingLinkLost(LinkLost{Link: t.id, Aborted: true})
	case timerRejected:
		if c := l.conns[t.id]; c != nil && c.rejected {
			l.closeClient(CloseClient{Conn: t.id, Code: 1013, Reason: "no room"})
		}
	}
}
