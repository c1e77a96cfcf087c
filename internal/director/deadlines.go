package director

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fordusher/policy"
	"fordusher/reach"
)

// stalled is how late the loop may be before it counts as having stood still.
const stalled = 100 * time.Millisecond

// due works off the timers whose time has come, in the order of their times. After a stall of the process
// answers come first, those whose hard stop was first before the others.
func (l *Loop) due() {
	isDue := func() bool {
		at, ok := l.timers.First()
		return ok && at <= l.now
	}
	if at, ok := l.timers.First(); ok && l.now-at > stalled {
		l.counts.Stalls++
		var late []due
		for isDue() {
			late = append(late, l.timers.Pop())
		}
		slices.SortStableFunc(late, func(a, b due) int { return cmp.Compare(l.urgency(a), l.urgency(b)) })
		for _, t := range late {
			if !l.ended {
				l.fire(t)
			}
		}
	}
	for isDue() && !l.ended {
		l.fire(l.timers.Pop())
	}
}

// urgency is the hard stop that a timer serves; one that serves none comes last.
func (l *Loop) urgency(t due) time.Duration {
	switch t.kind {
	case timerLeg:
		if g := l.legs[t.id]; g != nil {
			return g.session.stop
		}
	case timerAnswer:
		if s := l.sessions[t.id]; s != nil {
			return s.stop
		}
	}
	return math.MaxInt64
}

func (l *Loop) fire(t due) {
	switch t.kind {
	case timerRing:
		l.tell(policy.TimerFired{})
	case timerLeg:
		if g := l.legs[t.id]; g != nil {
			l.legOverdue(g)
		}
	case timerAnswer:
		if s := l.sessions[t.id]; s != nil {
			l.answerOverdue(s)
		}
	case timerLinger:
		if s := l.sessions[t.id]; s != nil {
			l.gone(s, "the client did not come again")
		}
	case timerReach:
		l.ring = 0
		l.reached(reach.Event{Kind: reach.TimerFired})
	case timerPing:
		if n := l.links[t.id]; n != nil && n.up && n.link == t.id {
			l.do(ProbeLink{t.id})
			n.ping = l.timers.Add(l.now+l.pace.HeartbeatInterval, due{timerPing, t.id})
		}
	case timerIdle:
		if n := l.links[t.id]; n != nil && n.up && n.link == t.id {
			l.idled(n)
		}
	case timerClose:
		l.close()
	case timerUntold:
		l.tellStrangers()
	case timerTurned:
		if c := l.conns[t.id]; c != nil && c.turned {
			l.closeClient(CloseClient{Conn: t.id, Code: 1013, Why: "no room"})
		}
	}
}
