package director

import (
	"time"

	"fordusher/internal/wire"
)

// Answers.

// settleAnswer marks a session's answer as given, or as no longer owed where there is none.
func (l *Loop) settleAnswer(s *session, answer *wire.SessionMessage, description ...byte) {
	if answer != nil && !l.mayAnswer(s, answer.Type) {
		return
	}
	s.answered, s.description = true, nil
	l.owed--
	l.timers.Cancel(s.answerTimer)
	s.answerTimer = 0
	if answer == nil || s.conn == nil {
		return
	}
	answer.ID, answer.Session = s.request, s.name
	if r := s.conn.requests[s.request]; r != nil {
		r.answer = answer
	}
	l.requestEvent(RequestAnswered, s, answer.Type+" "+answer.Reason)
	l.emit(SendClient{Conn: s.conn.id, Message: *answer, Description: description})
}

func (l *Loop) answerNack(s *session, backoff time.Duration, why string) {
	l.counts.Nacked++
	l.settleAnswer(s, &wire.SessionMessage{Type: wire.Nack, BackoffMS: backoff.Milliseconds(), Reason: why})
}

func (l *Loop) answerError(s *session, why string) {
	l.counts.Errored++
	l.settleAnswer(s, &wire.SessionMessage{Type: wire.Errored, Reason: why})
}

func (l *Loop) playsMessage(s *session) wire.SessionMessage {
	return wire.SessionMessage{
		Type: wire.Playing, ID: s.request, Session: s.name, Node: s.leg.node.name, Address: s.leg.node.address,
		Ticket: s.name, Rung: s.rung,
	}
}

// sendPlays answers a request for a session that already plays.
func (l *Loop) sendPlays(s *session) {
	answer := l.playsMessage(s)
	s.conn.requests[s.request].answer = &answer
	l.emit(SendClient{Conn: s.conn.id, Message: answer})
}

// answerDeadlineReached gives a session the answer that its time leaves. The module answers before; this holds
// where it did not, and where a viewer came again with less time than before.
func (l *Loop) answerDeadlineReached(s *session) {
	if s.answered || s.phase == sessionOver {
		return
	}
	if s.leg != nil {
		l.legDeadlineReached(s.leg) // the module decides what that means for the viewer
		if s.answered {
			return
		}
	}
	l.counts.Overdue++
	l.answerError(s, "no answer in time")
	l.abandonSession(s, "no answer in time")
}

// Why a session is over: it has come to its end by itself, or its node says that its viewer has ended it or that it was
// moved.
const (
	ReasonEnded          = "ended"
	ReasonEndedElsewhere = "ended elsewhere"
)
