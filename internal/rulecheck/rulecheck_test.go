package rulecheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fordusher/internal/resultarchive"
	"fordusher/internal/wire"
)

const ms = time.Millisecond

var testLimits = Limits{
	Tariffs:    map[string]TariffLimits{"exam": {Paid: true, MinRung: 1, Seats: 2}, "clip": {}},
	DrainGrace: 250 * ms, Warmup: 10 * time.Second, InitialShare: 0.5, OverloadMultiple: 2, OverloadWindow: time.Second, MaxLegs: 4,
	MinRetries: 1, RetryRatio: 0.1, RetryWindow: 5 * time.Second, Tolerance: 50 * ms,
}

// A recordLog is a list of records that a test builds; times are in milliseconds.
type recordLog []Record

func (l *recordLog) add(at int, r Record) { r.At = time.Duration(at) * ms; *l = append(*l, r) }

func (l *recordLog) request(at int, conn uint64, tariff string) {
	l.add(at, Record{Kind: wire.Request, Conn: conn, RequestID: "1", Director: "d", Tariff: tariff, Wait: 2 * time.Second})
}

func (l *recordLog) answer(at int, conn uint64, kind, session string) {
	l.add(at, Record{Kind: kind, Conn: conn, RequestID: "1", Director: "d", Session: session})
}

func (l *recordLog) setup(at int, node string, leg uint64, session, tariff string) {
	l.add(at, Record{Kind: wire.Setup, Node: node, Conn: 1, Leg: leg, Director: "d", Session: session, Tariff: tariff, Title: "t", Rung: 1})
}

func (l *recordLog) node(at int, kind, node string, leg uint64) {
	l.add(at, Record{Kind: kind, Node: node, Conn: 1, Leg: leg})
}

// Each case has records that violate one rule, and the closest records that violate none. Check must report exactly the
// violated rule.
func TestReportsViolationsOfEachRule(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		write      func(l *recordLog, violate bool)
	}{
		{"no answer", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			if !violate {
				l.answer(2000, 1, wire.Nack, "")
			}
			l.request(3000, 2, "clip")
		}},
		{"answer after the deadline", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			if violate {
				l.answer(2100, 1, wire.Errored, "")
			} else {
				l.answer(2040, 1, wire.Errored, "")
			}
		}},
		{"two answers", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			if !violate {
				l.request(1, 1, "clip") // a duplicate request may get the same answer again
			}
			l.answer(10, 1, wire.Nack, "")
			l.answer(11, 1, wire.Nack, "")
		}},
		{"two different answers", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			l.request(1, 1, "clip")
			l.answer(10, 1, wire.Nack, "")
			if violate {
				l.answer(11, 1, wire.Errored, "")
			}
		}},
		{"an answer without a request", RuleAnswer, func(l *recordLog, violate bool) {
			if !violate {
				l.request(0, 1, "clip")
			}
			l.answer(10, 1, wire.Nack, "")
		}},
		{"a connection that the director ended", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			by := ClosedByRecorder
			if violate {
				by = ClosedByPeer
			}
			l.add(10, Record{Kind: ConnClosed, Conn: 1, ClosedBy: by})
			l.request(3000, 2, "clip")
		}},
		{"a close for lack of capacity", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			why := "closed by peer: 1013 retry-ms=1200 no room for the idle"
			if violate {
				why = "closed by peer: 1008 too many messages at once"
			}
			l.add(10, Record{Kind: ConnClosed, Conn: 1, ClosedBy: ClosedByPeer, Reason: why})
			l.request(3000, 2, "clip")
		}},
		{"a director that was killed", RuleAnswer, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			if !violate {
				l.add(10, Record{Kind: DirectorKilled, Director: "d"})
			}
			l.request(3000, 2, "clip")
		}},
		{"two legs at once", RuleSetupOnce, func(l *recordLog, violate bool) {
			l.setup(0, "a", 1, "d.1.1", "clip")
			if !violate {
				l.node(50, wire.End, "a", 1)
			}
			l.setup(100, "b", 2, "d.1.1", "clip")
		}},
		{"two legs at once unless the first timed out", RuleSetupOnce, func(l *recordLog, violate bool) {
			within := 90 * ms
			if violate {
				within = 300 * ms
			}
			l.add(0, Record{Kind: wire.Setup, Node: "a", Conn: 1, Leg: 1, Director: "d", Session: "d.1.1", Tariff: "clip", StartTimeout: within})
			l.setup(100, "b", 2, "d.1.1", "clip")
		}},
		{"paid and sent again", RuleSetupOnce, func(l *recordLog, violate bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			if violate {
				l.node(10, wire.Failed, "a", 1)
			} else {
				l.node(10, wire.Full, "a", 1)
			}
			l.setup(100, "b", 2, "d.1.1", "exam")
		}},
		{"paid and nacked", RuleSetupOnce, func(l *recordLog, violate bool) {
			l.request(0, 1, "exam")
			l.setup(1, "a", 1, "d.1.1", "exam")
			if !violate {
				l.node(10, wire.Full, "a", 1)
			}
			l.answer(20, 1, wire.Nack, "d.1.1")
		}},
		{"full after accepted", RuleSetupOnce, func(l *recordLog, violate bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			if violate {
				l.node(5, wire.Accepted, "a", 1)
			}
			l.node(10, wire.Full, "a", 1)
			l.setup(100, "b", 2, "d.1.1", "exam")
		}},
		{"set-up after the answer", RuleSetupOnce, func(l *recordLog, violate bool) {
			l.request(0, 1, "clip")
			if violate {
				l.answer(20, 1, wire.Nack, "d.1.1")
			}
			l.setup(100, "b", 2, "d.1.1", "clip")
		}},
		{"too many legs", RuleSetupOnce, func(l *recordLog, violate bool) {
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
		{"sent to a draining node", RuleDrain, func(l *recordLog, violate bool) {
			l.add(0, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
			if violate {
				l.setup(301, "a", 1, "d.1.1", "clip")
			} else {
				l.setup(299, "a", 1, "d.1.1", "clip")
			}
		}},
		{"grace time starts at the first of two draining updates", RuleDrain, func(l *recordLog, violate bool) {
			l.add(0, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
			if !violate {
				l.add(100, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Up})
			}
			l.add(200, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
			l.setup(400, "a", 1, "d.1.1", "clip")
		}},
		{"too many set-ups in slow start", RuleSlowStart, func(l *recordLog, violate bool) {
			l.add(0, Record{Kind: NodeStarted, Node: "a", MaxStreams: 50})
			for i := range 10 { // the budget is 2 x 50 / 10 s x 0.5 = 5, and one more is allowed for random variation
				if i == 6 && !violate {
					return
				}
				l.setup(i*10, "a", uint64(i+1), "d.1."+string(rune('a'+i)), "clip")
			}
		}},
		{"below the lowest rung", RuleTariffLimits, func(l *recordLog, violate bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			if violate {
				l.add(10, Record{Kind: wire.Rung, Node: "a", Conn: 1, Leg: 1, Rung: 0})
			}
		}},
		{"more legs than seats", RuleTariffLimits, func(l *recordLog, violate bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			l.setup(0, "b", 2, "d.1.2", "exam")
			if !violate {
				l.node(50, wire.Ended, "a", 1)
			}
			l.setup(100, "c", 3, "d.1.3", "exam")
		}},
		{"too many further legs", RuleRetryBudget, func(l *recordLog, violate bool) {
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
	} {
		for _, violate := range []bool{true, false} {
			var l recordLog
			c.write(&l, violate)
			Sort(l)
			v := Check(testLimits, l)
			for rule, f := range v {
				if want := violate && rule == c.rule; (f.Violations > 0) != want {
					t.Errorf("%s, violation %v: %s violated %d times: %v", c.name, violate, rule, f.Violations, f.Examples)
				}
			}
			if v.Passed() == violate {
				t.Errorf("%s, violation %v: passed %v", c.name, violate, v.Passed())
			}
		}
	}
}

// A director ends a leg right after sending it and sends the next leg to another node. The set-ups are recorded in
// reverse order, and the first must not count as a second leg at the same time.
func TestSetupsToDifferentNodesArriveOutOfOrder(t *testing.T) {
	var l recordLog
	l.request(0, 1, "clip")
	l.setup(100, "b", 20, "s", "clip")
	l.setup(101, "a", 19, "s", "clip")
	l.node(102, wire.End, "a", 19)
	l.node(110, wire.Accepted, "b", 20)
	l.answer(111, 1, wire.Playing, "s")
	if v := Check(testLimits, l); !v.Passed() {
		t.Fatalf("%+v", v[RuleSetupOnce])
	}
}

// A director receives that a node is up again and sends a set-up, which overtakes its acknowledgement. That is no
// violation, but a set-up long before the acknowledgement is one.
func TestSetupOvertakesAcknowledgementOfNodeUp(t *testing.T) {
	for _, x := range []struct {
		setup int
		pass  bool
	}{{990, true}, {900, false}} {
		var l recordLog
		l.add(100, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Draining})
		l.request(800, 1, "clip")
		l.setup(x.setup, "a", 1, "s", "clip")
		l.add(1000, Record{Kind: ListAcknowledged, Director: "d", Node: "a", State: wire.Up})
		l.node(1001, wire.Accepted, "a", 1)
		l.answer(1002, 1, wire.Playing, "s")
		if v := Check(testLimits, l); v.Passed() != x.pass || v[RuleDrain].Checked != 1 {
			t.Errorf("set-up at %d: %+v", x.setup, v[RuleDrain])
		}
	}
}

func TestCountOutcomesCountsEachRequestOnce(t *testing.T) {
	var l recordLog
	l.request(0, 1, "clip")
	l.request(1, 1, "clip")
	l.answer(10, 1, wire.Playing, "s")
	l.request(0, 2, "clip")
	l.answer(10, 2, wire.Nack, "")
	l.request(0, 3, "clip")
	l.answer(10, 3, wire.Errored, "")
	l.request(0, 4, "clip")
	l.add(5, Record{Kind: wire.Cancel, Conn: 4, RequestID: "1"})
	l.request(0, 5, "clip")
	l.add(3000, Record{Kind: ClientTimedOut, Conn: 5, RequestID: "1"})
	l.add(3001, Record{Kind: ConnClosed, Conn: 5, ClosedBy: ClosedByRecorder})
	Sort(l)
	if c := CountOutcomes(l); c != (OutcomeCounts{Received: 5, Played: 1, Nacked: 1, Errored: 1, Abandoned: 1, Unanswered: 1}) {
		t.Fatal(c)
	}
}

func TestRecordsAreSavedAndLoaded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.zst")
	var l recordLog
	l.request(1, 1, "exam")
	l.setup(2, "a", 1, "d.1.1", "exam")
	if err := resultarchive.Save(file, testLimits, l); err != nil {
		t.Fatal(err)
	}
	got, records, err := resultarchive.Load[Limits, Record](file)
	if err != nil || len(records) != 2 || records[1] != l[1] || got.Tariffs["exam"] != testLimits.Tariffs["exam"] {
		t.Fatal(got, records, err)
	}
	raw, _ := os.ReadFile(file)
	if err := os.WriteFile(file, raw[:len(raw)-5], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := resultarchive.Load[Limits, Record](file); err == nil || !strings.Contains(err.Error(), "day.zst") {
		t.Fatal("a truncated file is loaded without an error that names it", err)
	}
}
