package director

import (
	"time"

	"fordusher/internal/wire"
)

// Answers.

// settleAnswer marks a session's answer as given, or as no longer owed where there is none.
func (l *Loop) settleAnswer(s *session, answer *wire.Session, description ...byte) {
	if answer != nil && !l.mayAnswer(s, answer.Type) {
		return
	}
	s.answered, s.description = true, nil
	l.owed--
	l.timers.Cancel(s.answer)
	s.answer = 0
	if answer == nil || s.conn == nil {
		return
	}
	answer.ID, answer.Session = s.request, s.name
	if r := s.conn.requests[s.request]; r != nil {
		r.answer = answer
	}
	l.requestEvent(RequestAnswered, s, answer.Type+" "+answer.Why)
	l.do(SendClient{Conn: s.conn.number, Message: *answer, Description: description})
}

func (l *Loop) nack(s *session, backoff time.Duration, why string) {
	l.counts.Nacked++
	l.settleAnswer(s, &wire.Session{Type: wire.Nack, Backoff: backoff.Milliseconds(), Why: why})
}

func (l *Loop) errored(s *session, why string) {
	l.counts.Errored++
	l.settleAnswer(s, &wire.Session{Type: wire.Errored, Why: why})
}

func (l *Loop) plays(s *session) wire.Session {
	return wire.Session{
		Type: wire.Plays, ID: s.request, Session: s.name, Node: s.leg.node.name, Address: s.leg.node.address,
		Ticket: s.name, Rung: s.rung,
	}
}

// tellPlays answers a request for a session that already plays.
func (l *Loop) tellPlays(s *session) {
	answer := l.plays(s)
	s.conn.requests[s.request].answer = &answer
	l.do(SendClient{Conn: s.conn.number, Message: answer})
}

// answerOverdue gives a session the answer that its time leaves. The module answers before; this holds
// where it did not, and where a viewer came again with less time than before.
func (l *Loop) answerOverdue(s *session) {
	if s.answered || s.phase == over {
		return
	}
	if s.leg != nil {
		l.legOverdue(s.leg) // the module decides what that means for the viewer
		if s.answered {
			return
		}
	}
	l.counts.Overdue++
	l.errored(s, "no answer in time")
	l.gone(s, "no answer in time")
}

// Why a session is over: it has come to its end by itself, or its node says that its viewer has ended it or that it was
// moved.
const (
	WhyEnded          = "ended"
	WhyEndedElsewhere = "ended elsewhere"
)
