package director

import (
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

type sessionPhase int

const (
	sessionWaiting sessionPhase = iota
	sessionSettingUp
	sessionPlaying
	sessionOver
)

var sessionTransitions = [...][4]bool{
	sessionWaiting:   {sessionSettingUp: true, sessionOver: true},
	sessionSettingUp: {sessionWaiting: true, sessionPlaying: true, sessionOver: true},
	sessionPlaying:   {sessionOver: true},
	sessionOver:      {},
}

type session struct {
	id          uint64
	name        string
	key         string
	tariff      int
	title       string
	length      time.Duration
	phase       sessionPhase
	answered    bool // the final answer was given, or is no longer owed
	rung        int
	deadline    time.Duration // the answer is out by then
	conn        *conn         // nil while the player's connection is gone
	request     string
	leg         *leg
	legsSent    int
	answerTimer timerqueue.Handle
	lingerTimer timerqueue.Handle

	mayHaveRun      bool   // an attempt of it may have run
	description     []byte // for the node; until the session has its answer
	originConn      uint64 // loose: the connection that it came on
	countedOnOrigin bool   // loose: that one counts it among what plays
}

// setSessionPhase changes a session's phase; one that the table does not have is counted.
func (l *Loop) setSessionPhase(s *session, to sessionPhase) {
	if !sessionTransitions[s.phase][to] {
		l.illegalTransition("session", int(s.phase), int(to))
	}
	switch {
	case s.phase == sessionPlaying:
		l.playing--
	case to == sessionPlaying:
		l.playing++
	}
	s.phase = to
}

func (l *Loop) illegalTransition(what string, from, to int) {
	l.counts.IllegalTransitions++
	if !l.illegalTransitionLogged {
		l.illegalTransitionLogged = true
		l.log("a %s moved from %d to %d, which should not be; further ones are only counted", what, from, to)
	}
}

// takeRequest takes a request that has waited for the loop for so long.
func (l *Loop) takeRequest(c *conn, m wire.SessionMessage, waited time.Duration, brought *RequestDetails) {
	l.counts.Taken++
	r := &request{}
	if c.requests == nil {
		c.requests = map[string]*request{}
	}
	c.requests[m.ID] = r
	backoff := time.Duration(0)
	refuse := func(kind, why string, count *uint64) {
		*count++
		answer := wire.SessionMessage{Type: kind, ID: m.ID, Reason: why, BackoffMS: backoff.Milliseconds()}
		r.answer = &answer
		l.refuseRequest(c, answer)
		l.retainEndedRequest(c, m.ID)
	}
	tariff, known := l.tariffIndex[m.Tariff]
	t, listed := l.titles[m.Title]
	if brought != nil {
		t, listed = title{titleID(m.Title), brought.Base, brought.Copies}, true
	}
	came := l.now - waited
	stop := came + time.Duration(m.WaitMS)*time.Millisecond
	switch {
	case brought != nil && brought.InvalidReason != "":
		refuse(wire.Errored, brought.InvalidReason, &l.counts.Errored)
		return
	case l.shutdown != nil:
		l.counts.RejectedByShutdown++
		refuse(wire.Nack, "director closes", &l.counts.Nacked)
		return
	case !known:
		refuse(wire.Errored, "unknown tariff", &l.counts.Errored)
		return
	case !listed:
		refuse(wire.Nack, "unknown title", &l.counts.Nacked)
		return
	case int(c.activeRequests) >= l.options.SessionsPerConnection:
		refuse(wire.Nack, "too many sessions on this connection", &l.counts.Nacked)
		return
	}
	stop = min(stop, came+l.tariffs[tariff].HardStop) - l.options.AnswerMargin
	if s := l.sessionsByKey[m.Key]; s != nil {
		switch {
		case s.tariff != tariff || s.title != m.Title || s.answered && s.phase != sessionPlaying:
			refuse(wire.Errored, "key is in use", &l.counts.Errored)
		default:
			l.resumeSession(s, c, m.ID, stop)
		}
		return
	}
	if stop <= l.now {
		refuse(wire.Nack, "no time left", &l.counts.Nacked)
		return
	}
	word := l.queue.Step(l.now, waited)
	if word.Log != "" {
		l.log("%s", word.Log)
	}
	if !word.Admit { // nothing was done for it yet, so this claims nothing
		l.counts.RequestsShed++
		backoff = word.RetryAfter
		refuse(wire.Nack, "busy", &l.counts.Nacked)
		return
	}
	l.lastSession++
	s := &session{
		id: l.lastSession, name: l.sessionName(l.lastSession), originConn: c.id, key: m.Key, tariff: tariff, title: m.Title,
		length: time.Duration(m.LengthMS) * time.Millisecond, deadline: stop, conn: c, request: m.ID,
		rung: l.tariffs[tariff].Floor,
	}
	if brought != nil {
		s.description = brought.Description
	}
	if l.options.Detached {
		s.name = m.ID
	}
	r.session = s
	l.requestEvent(RequestTaken, s, "")
	l.countSessions(c, +1, 0)
	l.sessions[s.id], l.sessionsByKey[s.key] = s, s
	l.owed++
	s.answerTimer = l.timers.Add(stop, timer{timerAnswer, s.id})
	top := len(l.ladder.Rates) - 1
	if m.MaxRung != nil {
		top = min(top, *m.MaxRung)
	}
	l.notifyDecider(policy.Request{
		ID: s.id, Tariff: tariff, Title: t.id, FirstCell: t.base, Copies: t.copies, MaxRung: top, Deadline: stop,
	})
}

// resumeSession gives a session to the connection on which its viewer came again. It guards a viewer whose
// connection broke against a second set-up, the paid one above all: the session is the same one, with
// the answer due no later than before.
func (l *Loop) resumeSession(s *session, c *conn, id string, stop time.Duration) {
	l.counts.Adopted++
	if s.conn != nil && s.conn != c {
		l.emit(SendClient{Conn: s.conn.id, Message: wire.SessionMessage{Type: wire.SessionEnded, ID: s.request, Session: s.name, Reason: "taken over"}})
	}
	l.detachFromConn(s)
	s.conn, s.request = c, id
	c.requests[id].session = s
	l.countSessions(c, +1, 0)
	if s.lingerTimer != 0 {
		l.timers.Cancel(s.lingerTimer)
		s.lingerTimer = 0
	}
	if s.phase == sessionPlaying {
		l.counts.Played++
		l.sendPlays(s)
		return
	}
	l.counts.Abandoned++ // the first request; the second has taken its place
	if stop < s.deadline {
		s.deadline = stop
		l.timers.Cancel(s.answerTimer)
		s.answerTimer = l.timers.Add(stop, timer{timerAnswer, s.id})
	}
}

// detachFromConn takes a session off its connection.
func (l *Loop) detachFromConn(s *session) {
	if c := s.conn; c != nil {
		l.countSessions(c, -1, 0)
		if r := c.requests[s.request]; r != nil {
			r.session = nil
		}
		l.retainEndedRequest(c, s.request)
		s.conn = nil
	}
}

// abandonSession ends a session whose viewer has left: no answer is owed any more.
func (l *Loop) abandonSession(s *session, reason string) {
	if s.phase == sessionOver {
		return
	}
	if !s.answered {
		l.counts.Abandoned++
		l.requestEvent(RequestAbandoned, s, reason)
		l.settleAnswer(s, nil)
	}
	l.notifyDecider(policy.ClientGone{ID: s.id})
	if s.leg != nil {
		l.cancelLeg(s.leg)
		l.endLeg(s.leg, outcomeCancelled, nil)
	} else {
		l.closeSession(s)
	}
}

// notifySessionEnded tells a player that its session has ended.
func (l *Loop) notifySessionEnded(s *session, why string) {
	if l.options.Detached {
		l.notifyDetachedEnd(s, why)
		return
	}
	if s.conn != nil {
		l.emit(SendClient{Conn: s.conn.id, Message: wire.SessionMessage{Type: wire.SessionEnded, ID: s.request, Session: s.name, Reason: why}})
	}
}

// closeSession takes a session off the books once it has no leg any more.
func (l *Loop) closeSession(s *session) {
	if s.leg != nil || s.phase == sessionOver {
		return
	}
	l.setSessionPhase(s, sessionOver)
	l.detachFromConn(s)
	if c := l.conns[s.originConn]; c != nil && s.countedOnOrigin {
		l.countSessions(c, 0, -1)
	}
	l.timers.Cancel(s.answerTimer)
	l.timers.Cancel(s.lingerTimer)
	delete(l.sessions, s.id)
	if l.sessionsByKey[s.key] == s {
		delete(l.sessionsByKey, s.key)
	}
	if l.shutdown != nil && l.owed == 0 && l.playing == 0 {
		l.timers.Add(l.now, timer{timerShutdown, 0})
	}
}
