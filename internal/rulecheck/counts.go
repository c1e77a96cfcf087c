package rulecheck

import "fordusher/internal/wire"

// OutcomeCounts count the requests in a list of records by outcome; each request has exactly one. Retries are the
// requests that are not their client's first; Legs are the set-ups that reached nodes.
type OutcomeCounts struct {
	Received, Played, Nacked, Errored, Abandoned, Unanswered, Retries, Legs int
}

// CountOutcomes counts requests by outcome. Abandoned are unanswered requests that the client cancelled, whose
// connection the client ended or the director closed for lack of capacity, or whose director was killed. Unanswered
// are all others without an answer.
func CountOutcomes(records []Record) OutcomeCounts {
	c := outcomeCounter{requests: map[requestKey]*countedRequest{}, byConn: map[uint64][]*countedRequest{}, killed: map[string]bool{}}
	for _, r := range records {
		c.count(r)
	}
	for _, q := range c.requests {
		switch {
		case q.answered:
		case q.abandoned:
			c.counts.Abandoned++
		default:
			c.counts.Unanswered++
		}
	}
	return c.counts
}

// A countedRequest is a request whose outcome is being counted.
type countedRequest struct {
	answered  bool // or counted as unanswered
	abandoned bool
	director  string
}

// An outcomeCounter is the state of CountOutcomes.
type outcomeCounter struct {
	counts   OutcomeCounts
	requests map[requestKey]*countedRequest
	byConn   map[uint64][]*countedRequest
	killed   map[string]bool // directors that were killed and not started again
}

// count counts one record.
func (c *outcomeCounter) count(r Record) {
	q := c.requests[requestKey{r.Conn, r.RequestID}]
	switch r.Kind {
	case wire.Request:
		if q == nil {
			c.countRequest(r)
		}
	case wire.Playing, wire.Nack, wire.Errored:
		if q != nil && !q.answered {
			q.answered = true
			c.countAnswer(r.Kind)
		}
	case wire.Cancel:
		if q != nil {
			q.abandoned = true
		}
	case wire.Setup:
		c.counts.Legs++
	case ConnClosed:
		if r.Node == "" && r.waivesAnswers() {
			for _, q := range c.byConn[r.Conn] {
				q.abandoned = true
			}
		}
	case DirectorKilled:
		c.killed[r.Director] = true
		for _, q := range c.requests {
			if q.director == r.Director {
				q.abandoned = true
			}
		}
	case DirectorStarted:
		delete(c.killed, r.Director)
	case ClientTimedOut:
		if q != nil && !q.answered && !q.abandoned {
			c.counts.Unanswered++
			q.answered = true
		}
	}
}

// countRequest counts a request that is not a repeated one.
func (c *outcomeCounter) countRequest(r Record) {
	q := &countedRequest{director: r.Director, abandoned: c.killed[r.Director]}
	c.requests[requestKey{r.Conn, r.RequestID}] = q
	c.byConn[r.Conn] = append(c.byConn[r.Conn], q)
	c.counts.Received++
	if r.Retry {
		c.counts.Retries++
	}
}

// countAnswer counts the first answer to a request, by its kind.
func (c *outcomeCounter) countAnswer(kind string) {
	switch kind {
	case wire.Playing:
		c.counts.Played++
	case wire.Nack:
		c.counts.Nacked++
	default:
		c.counts.Errored++
	}
}
