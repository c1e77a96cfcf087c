package director

import (
	"time"

	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/policy"
)

type phase int

const (
	held phase = iota
	setting
	playing
	over
)

var sessionMoves = [...][4]bool{
	held:    {setting: true, over: true},
	setting: {held: true, playing: true, over: true},
	playing: {over: true},
	over:    {},
}

type session struct {
	id       uint64
	name     string
	key      string
	tariff   int
	title    string
	length   time.Duration
	phase    phase
	answered bool // the final answer was given, or is no longer owed
	rung     int
	stop     time.Duration // the answer is out by then
	conn     *conn         // nil while the player's connection is gone
	request  string
	leg      *leg
	legs     int
	answer   alarm.Handle
	linger   alarm.Handle

	ran         bool   // an attempt of it may have run
	description []byte // for the node; until the session has its answer
	via         uint64 // loose: the connection that it came on
	stands      bool   // loose: that one counts it among what plays
}

// move changes a session's phase; one that the table does not have is counted.
func (l *Loop) move(s *session, to phase) {
	if !sessionMoves[s.phase][to] {
		l.odd("session", int(s.phase), int(to))
	}
	switch {
	case s.phase == playing:
		l.playing--
	case to == playing:
		l.playing++
	}
	s.phase = to
}

func (l *Loop) odd(what string, from, to int) {
	l.counts.OddMove++
	if !l.oddMove {
		l.oddMove = true
		l.log("a %s moved from %d to %d, which should not be; further ones are only counted", what, from, to)
	}
}

// want takes a request that has waited for the loop for so long.
func (l *Loop) want(c *conn, m wire.Session, waited time.Duration, brought *Brought) {
	l.counts.Taken++
	r := &request{}
	if c.requests == nil {
		c.requests = map[string]*request{}
	}
	c.requests[m.ID] = r
	backoff := time.Duration(0)
	refuse := func(kind, why string, count *uint64) {
		*count++
		answer := wire.Session{Type: kind, ID: m.ID, Why: why, Backoff: backoff.Milliseconds()}
		r.answer = &answer
		l.refuseRequest(c, answer)
		l.remember(c, m.ID)
	}
	tariff, known := l.tariff[m.Tariff]
	t, listed := l.titles[m.Title]
	if brought != nil {
		t, listed = title{titleID(m.Title), brought.Base, brought.Copies}, true
	}
	came := l.now - waited
	stop := came + time.Duration(m.Wait)*time.Millisecond
	switch {
	case brought != nil && brought.Wrong != "":
		refuse(wire.Errored, brought.Wrong, &l.counts.Errored)
		return
	case l.stop != nil:
		l.counts.Closing++
		refuse(wire.Nack, "director closes", &l.counts.Nacked)
		return
	case !known:
		refuse(wire.Errored, "unknown tariff", &l.counts.Errored)
		return
	case !listed:
		refuse(wire.Nack, "unknown title", &l.counts.Nacked)
		return
	case int(c.live) >= l.manners.PerConnection:
		refuse(wire.Nack, "too many sessions on this connection", &l.counts.Nacked)
		return
	}
	stop = min(stop, came+l.tariffs[tariff].HardStop) - l.manners.AnswerAhead
	if s := l.keys[m.Key]; s != nil {
		switch {
		case s.tariff != tariff || s.title != m.Title || s.answered && s.phase != playing:
			refuse(wire.Errored, "key is in use", &l.counts.Errored)
		default:
			l.adopt(s, c, m.ID, stop)
		}
		return
	}
	if stop <= l.now {
		refuse(wire.Nack, "no time left", &l.counts.Nacked)
		return
	}
	word := l.line.Step(l.now, waited)
	if word.Log != "" {
		l.log("%s", word.Log)
	}
	if !word.Admit { // nothing was done for it yet, so this claims nothing
		l.counts.Pressed++
		backoff = word.RetryAfter
		refuse(wire.Nack, "busy", &l.counts.Nacked)
		return
	}
	l.lastSession++
	s := &session{
		id: l.lastSession, name: l.sessionName(l.lastSession), via: c.number, key: m.Key, tariff: tariff, title: m.Title,
		length: time.Duration(m.Length) * time.Millisecond, stop: stop, conn: c, request: m.ID,
		rung: l.tariffs[tariff].Floor,
	}
	if brought != nil {
		s.description = brought.Description
	}
	if l.manners.Loose {
		s.name = m.ID
	}
	r.session = s
	l.requestEvent(RequestTaken, s, "")
	l.busy(c, +1, 0)
	l.sessions[s.id], l.keys[s.key] = s, s
	l.owed++
	s.answer = l.timers.Add(stop, due{timerAnswer, s.id})
	top := len(l.ladder.Rates) - 1
	if m.Top != nil {
		top = min(top, *m.Top)
	}
	l.tell(policy.Request{
		ID: s.id, Tariff: tariff, Title: t.id, FirstCell: t.base, Copies: t.copies, MaxRung: top, Deadline: stop,
	})
}

// adopt gives a session to the connection on which its viewer came again. It guards a viewer whose
// connection broke against a second set-up, the paid one above all: the session is the same one, with
// the answer due no later than before.
func (l *Loop) adopt(s *session, c *conn, id string, stop time.Duration) {
	l.counts.Adopted++
	if s.conn != nil && s.conn != c {
		l.do(SendClient{Conn: s.conn.number, Message: wire.Session{Type: wire.Over, ID: s.request, Session: s.name, Why: "taken over"}})
	}
	l.unhand(s)
	s.conn, s.request = c, id
	c.requests[id].session = s
	l.busy(c, +1, 0)
	if s.linger != 0 {
		l.timers.Cancel(s.linger)
		s.linger = 0
	}
	if s.phase == playing {
		l.counts.Played++
		l.tellPlays(s)
		return
	}
	l.counts.Gone++ // the first request; the second has taken its place
	if stop < s.stop {
		s.stop = stop
		l.timers.Cancel(s.answer)
		s.answer = l.timers.Add(stop, due{timerAnswer, s.id})
	}
}

// unhand takes a session off its connection.
func (l *Loop) unhand(s *session) {
	if c := s.conn; c != nil {
		l.busy(c, -1, 0)
		if r := c.requests[s.request]; r != nil {
			r.session = nil
		}
		l.remember(c, s.request)
		s.conn = nil
	}
}

// gone ends a session whose viewer has left: no answer is owed any more.
func (l *Loop) gone(s *session, reason string) {
	if s.phase == over {
		return
	}
	if !s.answered {
		l.counts.Gone++
		l.requestEvent(RequestAbandoned, s, reason)
		l.settleAnswer(s, nil)
	}
	l.tell(policy.ClientGone{ID: s.id})
	if s.leg != nil {
		l.callOff(s.leg)
		l.legEnds(s.leg, fateCalledOff, nil)
	} else {
		l.closeSession(s)
	}
}

// over tells a player that its session has ended.
func (l *Loop) over(s *session, why string) {
	if l.manners.Loose {
		l.tellOver(s, why)
		return
	}
	if s.conn != nil {
		l.do(SendClient{Conn: s.conn.number, Message: wire.Session{Type: wire.Over, ID: s.request, Session: s.name, Why: why}})
	}
}

// closeSession takes a session off the books once it has no leg any more.
func (l *Loop) closeSession(s *session) {
	if s.leg != nil || s.phase == over {
		return
	}
	l.move(s, over)
	l.unhand(s)
	if c := l.conns[s.via]; c != nil && s.stands {
		l.busy(c, 0, -1)
	}
	l.timers.Cancel(s.answer)
	l.timers.Cancel(s.linger)
	delete(l.sessions, s.id)
	if l.keys[s.key] == s {
		delete(l.keys, s.key)
	}
	if l.stop != nil && l.owed == 0 && l.playing == 0 {
		l.timers.Add(l.now, due{timerClose, 0})
	}
}
