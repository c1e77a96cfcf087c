package director

import (
	"bytes"
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// A sessionPhase is a state of a session; sessionTransitions lists the legal transitions.
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

// A session is what a client asks for and plays. While its final answer is owed it is a request.
type session struct {
	id          uint64
	name        string // as clients and nodes see it
	key         string // finds the session again when its client reconnects
	tariff      int
	title       string
	length      time.Duration
	phase       sessionPhase
	answered    bool // the final answer has been given, or is no longer owed
	rung        int
	deadline    time.Duration // the final answer is sent by then
	conn        *conn         // nil while the client has no connection for it
	request     string        // the client's id for it
	leg         *leg
	legsSent    int // legs so far
	answerTimer timerqueue.Handle
	lingerTimer timerqueue.Handle

	mayHaveRun      bool   // one of its legs may have run
	description     []byte // for the node; nil once the session has its answer
	owedBytes       int64  // what the session adds to the loop's owedBytes
	originConn      uint64 // connection that the request was received on
	countedOnOrigin bool   // detached mode: that connection counts it as a playing session
}

// setSessionPhase changes the phase of a session and counts a transition that is not legal.
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

func (l *Loop) illegalTransition(machine string, from, to int) {
	l.counts.IllegalTransitions++
	if !l.illegalTransitionLogged {
		l.illegalTransitionLogged = true
		l.log("illegal %s transition from phase %d to %d; further ones are only counted", machine, from, to)
	}
}

// takeRequest starts a session for a new request, resumes the session with its key, or refuses it. Waited is how long
// the request has waited for the loop; it counts against the client's waiting time. Details are nil where a title's
// cells come from the catalogue.
func (l *Loop) takeRequest(c *conn, m wire.SessionMessage, waited time.Duration, details *RequestDetails) {
	l.counts.Taken++
	r := &request{}
	if c.requests == nil {
		c.requests = map[string]*request{}
	}
	c.requests[m.ID] = r
	backoff := time.Duration(0)
	refuse := func(kind, reason string, count *uint64) {
		*count++
		answer := wire.SessionMessage{Type: kind, ID: m.ID, Reason: reason, BackoffMS: backoff.Milliseconds()}
		r.answer = &answer
		l.refuseRequest(c, answer)
		l.retainEndedRequest(c, m.ID)
	}
	tariff, known := l.tariffIndex[m.Tariff]
	titleEntry, listed := l.titles[m.Title]
	if details != nil {
		titleEntry, listed = title{titleID(m.Title), details.FirstCell, details.Copies}, true
	}
	receivedAt := l.now - waited
	deadline := receivedAt + time.Duration(m.WaitMS)*time.Millisecond
	switch {
	case details != nil && details.InvalidReason != "":
		refuse(wire.Errored, details.InvalidReason, &l.counts.Errored)
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
	deadline = min(deadline, receivedAt+l.tariffs[tariff].HardStop) - l.options.AnswerMargin
	if s := l.sessionsByKey[m.Key]; s != nil {
		switch {
		case s.tariff != tariff || s.title != m.Title || s.answered && s.phase != sessionPlaying:
			refuse(wire.Errored, "key is in use", &l.counts.Errored)
		default:
			l.resumeSession(s, c, m.ID, deadline)
		}
		return
	}
	if deadline <= l.now {
		refuse(wire.Nack, "no time left", &l.counts.Nacked)
		return
	}
	decision := l.queue.Step(l.now, waited)
	if decision.Log != "" {
		l.log("%s", decision.Log)
	}
	memory := requestMemory(m, details)
	if decision.Admit && !l.queue.HasRoom(l.owedBytes+memory) {
		decision = l.queue.Reject()
	}
	if !decision.Admit { // nothing has been done for it yet, so a retry does no harm
		l.counts.RequestsShed++
		backoff = decision.RetryAfter
		refuse(wire.Nack, "busy", &l.counts.Nacked)
		return
	}
	l.lastSession++
	s := &session{
		id: l.lastSession, name: l.sessionName(l.lastSession), originConn: c.id, key: m.Key, tariff: tariff, title: m.Title,
		length: time.Duration(m.LengthMS) * time.Millisecond, deadline: deadline, conn: c, request: m.ID,
		rung: l.tariffs[tariff].Floor,
	}
	if details != nil { // a copy, because the message may be much longer
		s.description = bytes.Clone(details.Description)
	}
	if l.options.Detached {
		s.name = m.ID
	}
	r.session = s
	l.requestEvent(RequestTaken, s, "")
	l.countSessions(c, +1, 0)
	l.sessions[s.id], l.sessionsByKey[s.key] = s, s
	l.owed++
	s.owedBytes = memory
	l.owedBytes += memory
	s.answerTimer = l.timers.Add(deadline, timer{timerAnswer, s.id})
	top := len(l.ladder.Rates) - 1
	if m.MaxRung != nil {
		top = min(top, *m.MaxRung)
	}
	l.notifyDecider(policy.Request{
		ID: s.id, Tariff: tariff, Title: titleEntry.id, FirstCell: titleEntry.firstCell, Copies: titleEntry.copies,
		MaxRung: top, Deadline: deadline,
	})
}

// requestOverhead is what a request occupies until it has its answer, beyond the texts of its client: the session, its
// leg, their timers, the decider's state of it and the encoded set-up.
const requestOverhead = 4 << 10

// requestMemory returns how many bytes a request occupies until it has its answer.
func requestMemory(m wire.SessionMessage, details *RequestDetails) int64 {
	memory := requestOverhead + len(m.ID) + len(m.Key) + len(m.Tariff) + len(m.Title)
	if details != nil {
		memory += 2 * len(details.Description) // once in the session, once in the set-up
	}
	return int64(memory)
}

// resumeSession moves a session to the connection on which its client requests it again. It keeps a client whose
// connection broke from getting a second set-up, above all of a paid session: the session stays the same, and its
// answer is due no later than before.
func (l *Loop) resumeSession(s *session, c *conn, id string, deadline time.Duration) {
	l.counts.Adopted++
	if s.conn != nil && s.conn != c {
		l.emit(SendClient{Conn: s.conn.id, Message: wire.SessionMessage{Type: wire.SessionEnded, ID: s.request,
			Session: s.name, Reason: "taken over"}})
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
		l.sendPlaying(s)
		return
	}
	l.counts.Abandoned++ // the earlier request, which the new one replaces
	if deadline < s.deadline {
		s.deadline = deadline
		l.timers.Cancel(s.answerTimer)
		s.answerTimer = l.timers.Add(deadline, timer{timerAnswer, s.id})
	}
}

// detachFromConn removes a session from its connection and ends its request there.
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

// abandonSession ends a session and its leg. If its final answer is still owed, none is given.
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

// notifySessionEnded notifies a client that its session has ended.
func (l *Loop) notifySessionEnded(s *session, reason string) {
	if l.options.Detached {
		l.notifyDetachedEnd(s, reason)
		return
	}
	if s.conn != nil {
		l.emit(SendClient{Conn: s.conn.id, Message: wire.SessionMessage{Type: wire.SessionEnded, ID: s.request,
			Session: s.name, Reason: reason}})
	}
}

// closeSession ends a session and removes it, unless a leg is still in progress.
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
