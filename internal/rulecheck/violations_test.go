package rulecheck

import (
	"testing"

	"fordusher/internal/wire"
)

// A violationCase writes records that violate a rule, or the closest records that violate none.
type violationCase struct {
	name  string
	write func(l *recordLog, violate bool)
}

// Check must report exactly the violated rule for the records of each case.
func TestReportsViolationsOfEachRule(t *testing.T) {
	cases := map[string][]violationCase{RuleAnswer: answerViolations, RuleSetupOnce: setupOnceViolations, RuleDrain: drainViolations,
		RuleSlowStart: slowStartViolations, RuleTariffLimits: tariffViolations, RuleRetryBudget: retryBudgetViolations}
	for _, rule := range Rules {
		if len(cases[rule]) == 0 {
			t.Errorf("no case violates %s", rule)
		}
		for _, c := range cases[rule] {
			for _, violate := range []bool{true, false} {
				checkViolationCase(t, rule, c, violate)
			}
		}
	}
}

// checkViolationCase checks the records of a case of a rule, with the violation or without.
func checkViolationCase(t *testing.T, violated string, c violationCase, violate bool) {
	t.Helper()
	var l recordLog
	c.write(&l, violate)
	Sort(l)
	v := Check(testLimits, l)
	for rule, f := range v {
		if want := violate && rule == violated; (f.Violations > 0) != want {
			t.Errorf("%s, violation %v: %s violated %d times: %v", c.name, violate, rule, f.Violations, f.Examples)
		}
	}
	if v.Passed() == violate {
		t.Errorf("%s, violation %v: passed %v", c.name, violate, v.Passed())
	}
}

// The cases of RuleAnswer.
var answerViolations = []violationCase{
	{"no answer", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		if !violate {
			l.answer(2000, 1, wire.Nack, "")
		}
		l.request(3000, 2, "clip")
	}},
	{"answer after the deadline", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		if violate {
			l.answer(2100, 1, wire.Errored, "")
		} else {
			l.answer(2040, 1, wire.Errored, "")
		}
	}},
	{"two answers", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		if !violate {
			l.request(1, 1, "clip") // a duplicate request may get the same answer again
		}
		l.answer(10, 1, wire.Nack, "")
		l.answer(11, 1, wire.Nack, "")
	}},
	{"two different answers", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		l.request(1, 1, "clip")
		l.answer(10, 1, wire.Nack, "")
		if violate {
			l.answer(11, 1, wire.Errored, "")
		}
	}},
	{"an answer without a request", func(l *recordLog, violate bool) {
		if !violate {
			l.request(0, 1, "clip")
		}
		l.answer(10, 1, wire.Nack, "")
	}},
	{"a connection that the director ended", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		by := ClosedByRecorder
		if violate {
			by = ClosedByPeer
		}
		l.add(10, Record{Kind: ConnClosed, Conn: 1, ClosedBy: by})
		l.request(3000, 2, "clip")
	}},
	{"a close for lack of capacity", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		why := "closed by peer: 1013 retry-ms=1200 no room for the idle"
		if violate {
			why = "closed by peer: 1008 too many messages at once"
		}
		l.add(10, Record{Kind: ConnClosed, Conn: 1, ClosedBy: ClosedByPeer, Reason: why})
		l.request(3000, 2, "clip")
	}},
	{"a director that was killed", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		if !violate {
			l.add(10, Record{Kind: DirectorKilled, Director: "d"})
		}
		l.request(3000, 2, "clip")
	}},
}

// The cases of RuleSetupOnce.
var setupOnceViolations = []violationCase{
	{"two legs at once", func(l *recordLog, violate bool) {
		l.setup(0, "a", 1, "d.1.1", "clip")
		if !violate {
			l.node(50, wire.End, "a", 1)
		}
		l.setup(100, "b", 2, "d.1.1", "clip")
	}},
	{"two legs at once unless the first timed out", func(l *recordLog, violate bool) {
		within := 90 * ms
		if violate {
			within = 300 * ms
		}
		l.add(0, Record{Kind: wire.Setup, Node: "a", Conn: 1, Leg: 1, Director: "d", Session: "d.1.1", Tariff: "clip", StartTimeout: within})
		l.setup(100, "b", 2, "d.1.1", "clip")
	}},
	{"paid and sent again", func(l *recordLog, violate bool) {
		l.setup(0, "a", 1, "d.1.1", "exam")
		if violate {
			l.node(10, wire.Failed, "a", 1)
		} else {
			l.node(10, wire.Full, "a", 1)
		}
		l.setup(100, "b", 2, "d.1.1", "exam")
	}},
	{"paid and nacked", func(l *recordLog, violate bool) {
		l.request(0, 1, "exam")
		l.setup(1, "a", 1, "d.1.1", "exam")
		if !violate {
			l.node(10, wire.Full, "a", 1)
		}
		l.answer(20, 1, wire.Nack, "d.1.1")
	}},
	{"full after accepted", func(l *recordLog, violate bool) {
		l.setup(0, "a", 1, "d.1.1", "exam")
		if violate {
			l.node(5, wire.Accepted, "a", 1)
		}
		l.node(10, wire.Full, "a", 1)
		l.setup(100, "b", 2, "d.1.1", "exam")
	}},
	{"set-up after the answer", func(l *recordLog, violate bool) {
		l.request(0, 1, "clip")
		if violate {
			l.answer(20, 1, wire.Nack, "d.1.1")
		}
		l.setup(100, "b", 2, "d.1.1", "clip")
	}},
	{"too many legs", func(l *recordLog, violate bool) {
		for i := range 40 {
			l.request(0, uint64(i+1), "clip") // so many requests that rule 6 allows the further legs
			l.answer(1, uint64(i+1), wire.Nack, "")
		}
		for i := range 5 {
			if i == 4 && !violate {
				return
			}
			l.setup(i*100, "a", uint64(i+1), "d.1.1", "clip")
			l.node(i*100+1, wire.Full, "a", uint64(i+1))
		}
	}},
}

// The cases of RuleDrain.
var drainViolations = []violationCase{
	{"sent to a draining node", func(l *recordLog, violate bool) {
		l.add(0, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
		if violate {
			l.setup(301, "a", 1, "d.1.1", "clip")
		} else {
			l.setup(299, "a", 1, "d.1.1", "clip")
		}
	}},
	{"grace time starts at the first of two draining updates", func(l *recordLog, violate bool) {
		l.add(0, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
		if !violate {
			l.add(100, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Up})
		}
		l.add(200, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
		l.setup(400, "a", 1, "d.1.1", "clip")
	}},
}

// The cases of RuleSlowStart.
var slowStartViolations = []violationCase{
	{"too many set-ups in slow start", func(l *recordLog, violate bool) {
		l.add(0, Record{Kind: NodeStarted, Node: "a", MaxStreams: 50})
		for i := range 10 { // the budget is 2 x 50 / 10 s x 0.5 = 5, and one more is allowed for random variation
			if i == 6 && !violate {
				return
			}
			l.setup(i*10, "a", uint64(i+1), "d.1."+string(rune('a'+i)), "clip")
		}
	}},
}

// The cases of RuleTariffLimits.
var tariffViolations = []violationCase{
	{"below the lowest rung", func(l *recordLog, violate bool) {
		l.setup(0, "a", 1, "d.1.1", "exam")
		if violate {
			l.add(10, Record{Kind: wire.Rung, Node: "a", Conn: 1, Leg: 1, Rung: 0})
		}
	}},
	{"more legs than seats", func(l *recordLog, violate bool) {
		l.setup(0, "a", 1, "d.1.1", "exam")
		l.setup(0, "b", 2, "d.1.2", "exam")
		if !violate {
			l.node(50, wire.Ended, "a", 1)
		}
		l.setup(100, "c", 3, "d.1.3", "exam")
	}},
}

// The cases of RuleRetryBudget.
var retryBudgetViolations = []violationCase{
	{"too many further legs", func(l *recordLog, violate bool) {
		for i := range 10 {
			l.request(i, uint64(i+1), "clip") // the budget is 1 + 0.1 x 10, and one more is allowed for random variation
		}
		for i := range 4 {
			if i == 3 && !violate {
				return
			}
			s := "d.1." + string(rune('a'+i))
			l.setup(20, "a", uint64(100+i), s, "clip")
			l.node(21, wire.Full, "a", uint64(100+i))
			l.setup(22, "b", uint64(200+i), s, "clip")
		}
	}},
}
