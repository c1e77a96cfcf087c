package rulecheck

import (
	"strings"
	"time"

	"fordusher/internal/wire"
)

// capacityCloseMark is the part of a recorded close reason, code and retry delay, that marks a close for lack of
// capacity.
const capacityCloseMark = "1013 retry-ms="

// waivesAnswers reports whether the end of a client connection, as recorded, leaves its open requests without a claim
// to an answer: the client ended it, or the director closed it with a retry delay, which counts as the answer to
// requests that cross it.
func (r Record) waivesAnswers() bool {
	return r.ClosedBy == ClosedByRecorder || strings.Contains(r.Reason, capacityCloseMark)
}

// waive records that a request needs no answer from a time on, unless it needs none already.
func (r *request) waive(at time.Duration) {
	if r.waivedAt == 0 {
		r.waivedAt = at
	}
}

// recordRequest records a request, or that it is repeated.
func (c *checker) recordRequest(r Record) {
	k := requestKey{r.Conn, r.RequestID}
	if req := c.requests[k]; req != nil {
		req.duplicates++
		return
	}
	req := &request{Record: r}
	if c.killedDirectors[r.Director] {
		req.waive(r.At)
	}
	c.requests[k] = req
	c.requestOrder = append(c.requestOrder, req)
	c.requestsByConn[r.Conn] = append(c.requestsByConn[r.Conn], req)
}

// recordAnswer records a request's answer. It checks the part of rule 1 on answers without a request and on second
// answers, which are allowed to a duplicate request if they are of the same kind.
func (c *checker) recordAnswer(r Record) {
	req := c.requests[requestKey{r.Conn, r.RequestID}]
	if req == nil {
		c.findings.check(RuleAnswer, false, "%s: answer %s to %q, for which there is no request", formatTime(r.At), r.Kind, r.RequestID)
		return
	}
	if req.answeredAt != 0 {
		c.findings.check(RuleAnswer, req.duplicates > 0 && req.answer == r.Kind,
			"%s: client %d got a second answer %s after %s from %s", formatTime(r.At), req.Client, r.Kind, req.answer, req.Director)
		req.duplicates--
		return
	}
	req.answeredAt, req.answer, req.session = r.At, r.Kind, r.Session
	if r.Session != "" && r.Kind != wire.Playing {
		c.unservedBySession[r.Session] = req
	}
}

// checkAnswers checks rule 1: each request gets exactly one final answer before its deadline, unless none is required.
func (c *checker) checkAnswers() {
	for _, req := range c.requestOrder {
		deadline := req.At + req.Wait + c.limits.Tolerance
		switch {
		case req.answeredAt != 0:
			c.findings.recordMargin(RuleAnswer, float64(deadline-req.answeredAt)/float64(req.Wait+c.limits.Tolerance))
			c.findings.check(RuleAnswer, req.answeredAt <= deadline, "client %d was answered %v after the deadline by %s", req.Client,
				req.answeredAt-req.At-req.Wait, req.Director)
		case req.waivedAt != 0 && req.waivedAt <= deadline:
		case c.end <= deadline: // the records end before the deadline
		default:
			c.findings.check(RuleAnswer, false, "client %d was never answered by %s (%s, requested at %s)", req.Client, req.Director,
				req.Tariff, formatTime(req.At))
		}
	}
}
