package rulecheck

import (
	"strings"

	"fordusher/internal/wire"
)

// OutcomeCounts are how the requests of a record ended: each in exactly one way.
type OutcomeCounts struct {
	Received, Played, Nacked, Errored, Abandoned, Unanswered, Retries, Legs int
}

// CountOutcomes counts how requests ended. Gone are those whose viewer left, whose connection the viewer ended, or
// whose director was killed.
func CountOutcomes(records []Record) (c OutcomeCounts) {
	type state struct {
		answered bool
		gone     bool
		director string
	}
	wants := map[wantKey]*state{}
	byConn := map[uint64][]*state{}
	down := map[string]bool{}
	for _, r := range records {
		k := wantKey{r.Conn, r.RequestID}
		switch r.Kind {
		case wire.Request:
			if wants[k] != nil {
				continue
			}
			s := &state{director: r.Director, gone: down[r.Director]}
			wants[k] = s
			byConn[r.Conn] = append(byConn[r.Conn], s)
			c.Received++
			if r.Retry {
				c.Retries++
			}
		case wire.Playing, wire.Nack, wire.Errored:
			s := wants[k]
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
			if s := wants[k]; s != nil {
				s.gone = true
			}
		case wire.Setup:
			c.Legs++
		case ConnClosed:
			if r.Node == "" && (r.ClosedBy == ClosedByRecorder || strings.Contains(r.Reason, wentForRoom)) {
				for _, s := range byConn[r.Conn] {
					s.gone = true
				}
			}
		case DirectorKilled:
			down[r.Director] = true
			for _, s := range wants {
				if s.director == r.Director {
					s.gone = true
				}
			}
		case DirectorStarted:
			delete(down, r.Director)
		}
		if r.Kind == ClientTimedOut {
			if s := wants[k]; s != nil && !s.answered && !s.gone {
				s.gone = false
				c.Unanswered++
				s.answered = true
			}
		}
	}
	for _, s := range wants {
		switch {
		case s.answered:
		case s.gone:
			c.Abandoned++
		default:
			c.Unanswered++
		}
	}
	return c
}
