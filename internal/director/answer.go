package director

import (
	"time"

	"fordusher/internal/wire"
)

// settleAnswer gives a session its final answer, unless the guard refuses that. If answer is nil, the session gets
// none, and it is no longer owed one.
func (l *Loop) settleAnswer(s *session, answer *wire.SessionMessage, description ...byte) {
	if answer != nil && !l.mayAnswer(s, answer.Type) {
		return
	}
	s.answered, s.description = true, nil
	l.owed--
	l.owedBytes -= s.owedBytes
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

func (l *Loop) answerNack(s *session, backoff time.Duration, reason string) {
	l.counts.Nacked++
	l.settleAnswer(s, &wire.SessionMessage{Type: wire.Nack, BackoffMS: backoff.Milliseconds(), Reason: reason})
}

func (l *Loop) answerError(s *session, reason string) {
	l.counts.Errored++
	l.settleAnswer(s, &wire.SessionMessage{Type: wire.Errored, Reason: reason})
}

// playingAnswer returns the final answer of a session that plays.
func (l *Loop) playingAnswer(s *session) wire.SessionMessage {
	return wire.SessionMessage{
		Type: wire.Playing, ID: s.request, Session: s.name, Node: s.leg.node.name, Address: s.leg.node.address,
		Ticket: s.name, Rung: s.rung,
	}
}

// sendPlaying answers a request that resumes a session that is already playing.
func (l *Loop) sendPlaying(s *session) {
	answer := l.playingAnswer(s)
	s.conn.requests[s.request].answer = &answer
	l.emit(SendClient{Conn: s.conn.id, Message: answer})
}

// answerDeadlineReached answers a session that has reached its deadline. The decider normally answers earlier; this
// covers the cases where it did not, and where a client resumed its session with an earlier deadline than before.
func (l *Loop) answerDeadlineReached(s *session) {
	if s.answered || s.phase == sessionOver {
		return
	}
	if s.leg != nil {
		l.legDeadlineReached(s.leg) // the decider chooses the answer
		if s.answered {
			return
		}
	}
	l.counts.Overdue++
	l.answerError(s, "no answer in time")
	l.abandonSession(s, "no answer in time")
}

// The reasons for the end of a session. Only the first two are not failures.
const (
	ReasonEnded          = "ended"           // it has come to its regular end
	ReasonEndedElsewhere = "ended elsewhere" // its client ended it through its node or another connection, or it was moved
	reasonNodeLost       = "node lost"       // its node, or the connection to it, was lost
)
