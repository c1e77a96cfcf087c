package witness

import (
	"strings"

	"fordusher/internal/wire"
)

// Counts are how the requests of a record ended: each in exactly one way.
type Counts struct {
	Taken, Played, Nacked, Errored, Gone, Unanswered, Again, Legs int
}

// Tally counts how requests ended. Gone are those whose viewer left, whose connection the viewer ended, or
// whose director was killed.
func Tally(records []Record) (c Counts) {
	type state struct {
		answered bool
		gone     bool
		director string
	}
	wants := map[wantKey]*state{}
	byConn := map[uint64][]*state{}
	down := map[string]bool{}
	for _, r := range records {
		k := wantKey{r.Conn, r.ID}
		switch r.What {
		case wire.Request:
			if wants[k] != nil {
				continue
			}
			s := &state{director: r.Director, gone: down[r.Director]}
			wants[k] = s
			byConn[r.Conn] = append(byConn[r.Conn], s)
			c.Taken++
			if r.Again {
				c.Again++
			}
		case wire.Playing, wire.Nack, wire.Errored:
			s := wants[k]
			if s == nil || s.answered {
				continue
			}
			s.answered = true
			switch r.What {
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
		case Closed:
			if r.Node == "" && (r.By == ByUs || strings.Contains(r.Why, wentForRoom)) {
				for _, s := range byConn[r.Conn] {
					s.gone = true
				}
			}
		case Killed:
			down[r.Director] = true
			for _, s := range wants {
				if s.director == r.Director {
					s.gone = true
				}
			}
		case Returned:
			delete(down, r.Director)
		}
		if r.What == GaveUp {
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
			c.Gone++
		default:
			c.Unanswered++
		}
	}
	return c
}
