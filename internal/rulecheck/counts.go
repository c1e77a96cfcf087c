package rulecheck

import (
	"strings"

	"fordusher/internal/wire"
)

// OutcomeCounts count the requests in a list of records by outcome; each request has exactly one. Retries are the
// requests that are not their client's first; Legs are the set-ups that reached nodes.
type OutcomeCounts struct {
	Received, Played, Nacked, Errored, Abandoned, Unanswered, Retries, Legs int
}

// CountOutcomes counts requests by outcome. Abandoned are unanswered requests that the client cancelled, whose
// connection the client ended or the director closed for lack of capacity, or whose director was killed. Unanswered
// are all others without an answer.
func CountOutcomes(records []Record) (c OutcomeCounts) {
	type requestState struct {
		answered  bool
		abandoned bool
		director  string
	}
	requests := map[requestKey]*requestState{}
	byConn := map[uint64][]*requestState{}
	killed := map[string]bool{}
	for _, r := range records {
		k := requestKey{r.Conn, r.RequestID}
		switch r.Kind {
		case wire.Request:
			if requests[k] != nil {
				continue
			}
			s := &requestState{director: r.Director, abandoned: killed[r.Director]}
			requests[k] = s
			byConn[r.Conn] = append(byConn[r.Conn], s)
			c.Received++
			if r.Retry {
				c.Retries++
			}
		case wire.Playing, wire.Nack, wire.Errored:
			s := requests[k]
			if s == nil || s.answered {
				continue
			}
			s.answered = true
			switch r.Kind {
			case wire.Playing:
				c.Played++
			case wire.Nack:
				c.Nacked++
			default:
				c.Errored++
			}
		case wire.Cancel:
			if s := requests[k]; s != nil {
				s.abandoned = true
			}
		case wire.Setup:
			c.Legs++
		case ConnClosed:
			if r.Node == "" && (r.ClosedBy == ClosedByRecorder || strings.Contains(r.Reason, capacityCloseMark)) {
				for _, s := range byConn[r.Conn] {
					s.abandoned = true
				}
			}
		case DirectorKilled:
			killed[r.Director] = true
			for _, s := range requests {
				if s.director == r.Director {
					s.abandoned = true
				}
			}
		case DirectorStarted:
			delete(killed, r.Director)
		}
		if r.Kind == ClientTimedOut {
			if s := requests[k]; s != nil && !s.answered && !s.abandoned {
				s.abandoned = false
				c.Unanswered++
				s.answered = true
			}
		}
	}
	for _, s := range requests {
		switch {
		case s.answered:
		case s.abandoned:
			c.Abandoned++
		default:
			c.Unanswered++
		}
	}
	return c
}
