package director

import (
	"fmt"
)

// The guard is a set of checks before a leg is sent, an answer is given, a client connection is closed or the director
// stops. An action that would violate a rule is not carried out; it is counted, and logged once for each rule. A count
// above zero is a fault of the program.

// A Rule is an invariant that the guard checks.
type Rule int

// The rules. ruleCount is their number.
const (
	RuleAnswerBeforeClose Rule = iota // the director closes no client connection while an answer is owed on it
	RuleAnswerOnce                    // a request gets one final answer
	RuleNoSendAfterEnd                // nothing is sent for a request that has ended
	RuleOneAttempt                    // a request has at most one leg in progress
	RulePaidOnce                      // a paid request that may have run is not sent again
	RuleNoSendToDraining              // nothing new is sent to a node that is draining or removed
	RuleAnswerBeforeStop              // the director does not stop while answers are owed
	ruleCount
)

var ruleNames = [ruleCount]string{"answer_before_close", "answer_once", "no_send_after_end", "one_attempt", "paid_once",
	"no_send_to_draining", "answer_before_stop"}

func (r Rule) String() string { return ruleNames[r] }

// Violations returns the numbers of violations that the guard has prevented, by rule. All are zero in a program without
// faults.
func (c Counts) Violations() map[string]uint64 {
	by := map[string]uint64{}
	for rule, n := range c.RefusedByRule {
		by[Rule(rule).String()] = n
	}
	return by
}

// violated counts a violation that the guard has prevented, and logs the first one of each rule.
func (l *Loop) violated(rule Rule, format string, args ...any) {
	l.counts.RefusedByRule[rule]++
	if l.counts.RefusedByRule[rule] == 1 {
		l.log("invariant %v would have been violated; further ones are only counted: %s", rule, fmt.Sprintf(format, args...))
	}
}

// mayClose reports whether the director may close a client connection.
func (l *Loop) mayClose(conn uint64, reason string) bool {
	c := l.conns[conn]
	if c == nil || l.options.Linger > 0 && l.shutdown == nil { // with Linger, requests outlive their connection until shutdown
		return true
	}
	for id := range sorted(c.requests) {
		if s := c.requests[id].session; s != nil && !s.answered {
			l.violated(RuleAnswerBeforeClose, "connection %d, request %s, closed for %q", conn, id, reason)
			return false
		}
	}
	return true
}

// mayAnswer reports whether a session may be given a final answer.
func (l *Loop) mayAnswer(s *session, kind string) bool {
	if s.answered {
		l.violated(RuleAnswerOnce, "request %s, answer %s", s.request, kind)
		return false
	}
	return true
}

// maySend reports whether a leg may be sent to its node now.
func (l *Loop) maySend(g *leg) bool {
	if l.guardDisabled {
		return true
	}
	s := g.session
	rule := ruleCount
	switch {
	case s.answered || s.phase == sessionOver:
		rule = RuleNoSendAfterEnd
	case s.leg != g:
		rule = RuleOneAttempt
	case s.mayHaveRun && l.tariffs[s.tariff].AtMostOnce:
		rule = RulePaidOnce
	case !g.node.acceptsSessions:
		rule = RuleNoSendToDraining
	default:
		return true
	}
	l.violated(rule, "request %s, attempt %d, server %s", s.request, g.id, g.node.name)
	return false
}

// DisableGuard makes the loop send legs without asking the guard. It is for tests that violate a rule on purpose, and
// is called before the first Step.
func (l *Loop) DisableGuard() { l.guardDisabled = true }

// mayShutDown reports whether the director may stop.
func (l *Loop) mayShutDown() bool {
	if l.owed > 0 {
		l.violated(RuleAnswerBeforeStop, "%d answers are owed", l.owed)
		return false
	}
	return true
}

// closeClient closes a client connection unless the guard refuses that, and reports whether it did.
func (l *Loop) closeClient(o CloseClient) bool {
	if !l.mayClose(o.Conn, o.Reason) {
		return false
	}
	l.event(Event{Kind: ClientClosed, Conn: o.Conn, Reason: o.Reason})
	l.emit(o)
	return true
}

// inputEnded records that nothing more can be read from a client connection. It is closed once no answer is owed on it.
func (l *Loop) inputEnded(e ClientInputEnded) {
	c := l.conns[e.Conn]
	if c == nil || c.rejected || c.inputEndReason != "" {
		return
	}
	c.inputEndReason = e.Reason
	l.closeIfSettled(c)
}

// The close codes of RFC 6455 for invalid data, and for other violations.
const (
	closeCodeInvalidData = 1007
	closeCodePolicy      = 1008
)

// inputInvalid records that a client has sent an invalid message on a connection. The connection is closed once no answer
// is owed on it; until then its other messages are handled.
func (l *Loop) inputInvalid(e ClientInputInvalid) {
	l.inputEnded(ClientInputEnded(e))
}

// clientStalled closes a client connection on which a message has been incomplete for too long, or has it closed once no
// answer is owed on it, unless the message is completed before that.
func (l *Loop) clientStalled(e ClientStalled) {
	if c := l.conns[e.Conn]; c != nil && !c.rejected {
		c.stalled = true
		l.closeIfSettled(c)
	}
}

// closeIfSettled closes a client connection with bad input once no answer is owed on it.
func (l *Loop) closeIfSettled(c *conn) {
	if c.inputEndReason == "" && !c.stalled || c.activeRequests > 0 || c.closing || l.conns[c.id] != c {
		return
	}
	c.closing = true
	if c.inputEndReason != "" {
		l.closeClient(CloseClient{Conn: c.id, Code: closeCodeInvalidData, Reason: c.inputEndReason, Settled: true})
		return
	}
	l.closeClient(CloseClient{Conn: c.id, Code: closeCodePolicy, Reason: "incomplete message", Idle: true})
}
