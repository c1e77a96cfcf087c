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

var terms = Limits{
	Tariffs:    map[string]TariffLimits{"exam": {Paid: true, MinRung: 1, Seats: 2}, "clip": {}},
	DrainGrace: 250 * ms, Warmup: 10 * time.Second, InitialShare: 0.5, OverloadMultiple: 2, OverloadWindow: time.Second, MaxLegs: 4,
	MinRetries: 1, RetryRatio: 0.1, RetryWindow: 5 * time.Second, Tolerance: 50 * ms,
}

// A log is a record that is written down line by line, each at a time in milliseconds.
type log []Record

func (l *log) add(at int, r Record) { r.At = time.Duration(at) * ms; *l = append(*l, r) }

func (l *log) want(at int, conn uint64, tariff string) {
	l.add(at, Record{Kind: wire.Request, Conn: conn, RequestID: "1", Director: "d", Tariff: tariff, Wait: 2 * time.Second})
}

func (l *log) answer(at int, conn uint64, what, session string) {
	l.add(at, Record{Kind: what, Conn: conn, RequestID: "1", Director: "d", Session: session})
}

func (l *log) setup(at int, node string, leg uint64, session, tariff string) {
	l.add(at, Record{Kind: wire.Setup, Node: node, Conn: 1, Leg: leg, Director: "d", Session: session, Tariff: tariff, Title: "t", Rung: 1})
}

func (l *log) node(at int, what, node string, leg uint64) {
	l.add(at, Record{Kind: what, Node: node, Conn: 1, Leg: leg})
}

// Each rule has a record that breaks it and the nearest one that does not.
func TestBreachesAreSeen(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		write      func(l *log, broken bool)
	}{
		{"no answer", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			if !broken {
				l.answer(2000, 1, wire.Nack, "")
			}
			l.want(3000, 2, "clip")
		}},
		{"answer after the hard stop", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			if broken {
				l.answer(2100, 1, wire.Errored, "")
			} else {
				l.answer(2040, 1, wire.Errored, "")
			}
		}},
		{"two answers", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			if !broken {
				l.want(1, 1, "clip") // asked twice, so answered as before
			}
			l.answer(10, 1, wire.Nack, "")
			l.answer(11, 1, wire.Nack, "")
		}},
		{"two different answers", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			l.want(1, 1, "clip")
			l.answer(10, 1, wire.Nack, "")
			if broken {
				l.answer(11, 1, wire.Errored, "")
			}
		}},
		{"an answer that nobody asked for", RuleAnswer, func(l *log, broken bool) {
			if !broken {
				l.want(0, 1, "clip")
			}
			l.answer(10, 1, wire.Nack, "")
		}},
		{"a connection that its director ended", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			by := ClosedByRecorder
			if broken {
				by = ClosedByPeer
			}
			l.add(10, Record{Kind: ConnClosed, Conn: 1, ClosedBy: by})
			l.want(3000, 2, "clip")
		}},
		{"a close for want of room", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			why := "closed by peer: 1013 retry-ms=1200 no room for the idle"
			if broken {
				why = "closed by peer: 1008 too many messages at once"
			}
			l.add(10, Record{Kind: ConnClosed, Conn: 1, ClosedBy: ClosedByPeer, Reason: why})
			l.want(3000, 2, "clip")
		}},
		{"a director that was killed", RuleAnswer, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			if !broken {
				l.add(10, Record{Kind: DirectorKilled, Director: "d"})
			}
			l.want(3000, 2, "clip")
		}},
		{"two legs out", RuleSetupOnce, func(l *log, broken bool) {
			l.setup(0, "a", 1, "d.1.1", "clip")
			if !broken {
				l.node(50, wire.End, "a", 1)
			}
			l.setup(100, "b", 2, "d.1.1", "clip")
		}},
		{"two legs out, the first timed out", RuleSetupOnce, func(l *log, broken bool) {
			within := 90 * ms
			if broken {
				within = 300 * ms
			}
			l.add(0, Record{Kind: wire.Setup, Node: "a", Conn: 1, Leg: 1, Director: "d", Session: "d.1.1", Tariff: "clip", StartTimeout: within})
			l.setup(100, "b", 2, "d.1.1", "clip")
		}},
		{"paid and sent again", RuleSetupOnce, func(l *log, broken bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			if broken {
				l.node(10, wire.Failed, "a", 1)
			} else {
				l.node(10, wire.Full, "a", 1)
			}
			l.setup(100, "b", 2, "d.1.1", "exam")
		}},
		{"paid and nacked", RuleSetupOnce, func(l *log, broken bool) {
			l.want(0, 1, "exam")
			l.setup(1, "a", 1, "d.1.1", "exam")
			if !broken {
				l.node(10, wire.Full, "a", 1)
			}
			l.answer(20, 1, wire.Nack, "d.1.1")
		}},
		{"full after accepted", RuleSetupOnce, func(l *log, broken bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			if broken {
				l.node(5, wire.Accepted, "a", 1)
			}
			l.node(10, wire.Full, "a", 1)
			l.setup(100, "b", 2, "d.1.1", "exam")
		}},
		{"sent after its answer", RuleSetupOnce, func(l *log, broken bool) {
			l.want(0, 1, "clip")
			if broken {
				l.answer(20, 1, wire.Nack, "d.1.1")
			}
			l.setup(100, "b", 2, "d.1.1", "clip")
		}},
		{"too many legs", RuleSetupOnce, func(l *log, broken bool) {
			for i := range 40 {
				l.want(0, uint64(i+1), "clip") // enough for rule 6
				l.answer(1, uint64(i+1), wire.Nack, "")
			}
			for i := range 5 {
				if i == 4 && !broken {
					return
				}
				l.setup(i*100, "a", uint64(i+1), "d.1.1", "clip")
				l.node(i*100+1, wire.Full, "a", uint64(i+1))
			}
		}},
		{"sent to a draining node", RuleDrain, func(l *log, broken bool) {
			l.add(0, Record{Kind: ListReceived, Director: "d", Node: "a", State: wire.Draining})
			if broken {
				l.setup(301, "a", 1, "d.1.1", "clip")
			} else {
				l.setup(299, "a", 1, "d.1.1", "clip")
			}
		}},
		{"told twice counts from the first time", RuleDrain, func(l *log, broken bool) {
			l.add(0, Record{Kind: ListReceived, Director: "d", Node: "a", State: wire.Draining})
			if !broken {
				l.add(100, Record{Kind: ListReceived, Director: "d", Node: "a", State: wire.Up})
			}
			l.add(200, Record{Kind: ListReceived, Director: "d", Node: "a", State: wire.Draining})
			l.setup(400, "a", 1, "d.1.1", "clip")
		}},
		{"a cold node is pushed", RuleSlowStart, func(l *log, broken bool) {
			l.add(0, Record{Kind: NodeStarted, Node: "a", MaxStreams: 50})
			for i := range 10 { // the budget is 2 x 50 / 10 s x 0.5 = 5, and one for chance
				if i == 6 && !broken {
					return
				}
				l.setup(i*10, "a", uint64(i+1), "d.1."+string(rune('a'+i)), "clip")
			}
		}},
		{"under the floor", RuleTariffLimits, func(l *log, broken bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			if broken {
				l.add(10, Record{Kind: wire.Rung, Node: "a", Conn: 1, Leg: 1, Rung: 0})
			}
		}},
		{"too many seats", RuleTariffLimits, func(l *log, broken bool) {
			l.setup(0, "a", 1, "d.1.1", "exam")
			l.setup(0, "b", 2, "d.1.2", "exam")
			if !broken {
				l.node(50, wire.Ended, "a", 1)
			}
			l.setup(100, "c", 3, "d.1.3", "exam")
		}},
		{"too many further legs", RuleRetryBudget, func(l *log, broken bool) {
			for i := range 10 {
				l.want(i, uint64(i+1), "clip") // 1 + 0.1 x 10, and one for chance
			}
			for i := range 4 {
				if i == 3 && !broken {
					return
				}
				s := "d.1." + string(rune('a'+i))
				l.setup(20, "a", uint64(100+i), s, "clip")
				l.node(21, wire.Full, "a", uint64(100+i))
				l.setup(22, "b", uint64(200+i), s, "clip")
			}
		}},
	} {
		for _, broken := range []bool{true, false} {
			var l log
			c.write(&l, broken)
			Sort(l)
			v := Check(terms, l)
			for rule, f := range v {
				if want := broken && rule == c.rule; (f.Violations > 0) != want {
					t.Errorf("%s, broken %v: %s broken %d times: %v", c.name, broken, rule, f.Violations, f.Examples)
				}
			}
			if v.Passed() == broken {
				t.Errorf("%s, broken %v: kept %v", c.name, broken, v.Passed())
			}
		}
	}
}

// A leg that was called off a moment after it was sent, and the next one to another node: their set-ups cross,
// and the first is no second leg out. Found by a day in virtual time.
func TestSetupsThatCross(t *testing.T) {
	var l log
	l.want(0, 1, "clip")
	l.setup(100, "b", 20, "s", "clip")
	l.setup(101, "a", 19, "s", "clip")
	l.node(102, wire.End, "a", 19)
	l.node(110, wire.Accepted, "b", 20)
	l.answer(111, 1, wire.Playing, "s")
	if v := Check(terms, l); !v.Passed() {
		t.Fatalf("%+v", v[RuleSetupOnce])
	}
}

// A director hears that a node is up again and sends a set-up, which overtakes its word that it has heard. A
// set-up that comes long before that word is a breach all the same. Found by a hunt.
func TestSetupCrossesWordOfBeingUp(t *testing.T) {
	for _, x := range []struct {
		setup int
		kept  bool
	}{{990, true}, {900, false}} {
		var l log
		l.add(100, Record{Kind: ListReceived, Director: "d", Node: "a", State: wire.Draining})
		l.want(800, 1, "clip")
		l.setup(x.setup, "a", 1, "s", "clip")
		l.add(1000, Record{Kind: ListReceived, Director: "d", Node: "a", State: wire.Up})
		l.node(1001, wire.Accepted, "a", 1)
		l.answer(1002, 1, wire.Playing, "s")
		if v := Check(terms, l); v.Passed() != x.kept || v[RuleDrain].Checked != 1 {
			t.Errorf("set-up at %d: %+v", x.setup, v[RuleDrain])
		}
	}
}

func TestTallyCountsEachRequestOnce(t *testing.T) {
	var l log
	l.want(0, 1, "clip")
	l.want(1, 1, "clip")
	l.answer(10, 1, wire.Playing, "s")
	l.want(0, 2, "clip")
	l.answer(10, 2, wire.Nack, "")
	l.want(0, 3, "clip")
	l.answer(10, 3, wire.Errored, "")
	l.want(0, 4, "clip")
	l.add(5, Record{Kind: wire.Cancel, Conn: 4, RequestID: "1"})
	l.want(0, 5, "clip")
	l.add(3000, Record{Kind: ClientTimedOut, Conn: 5, RequestID: "1"})
	l.add(3001, Record{Kind: ConnClosed, Conn: 5, ClosedBy: ClosedByRecorder})
	Sort(l)
	if c := CountOutcomes(l); c != (OutcomeCounts{Received: 5, Played: 1, Nacked: 1, Errored: 1, Abandoned: 1, Unanswered: 1}) {
		t.Fatal(c)
	}
}

func TestRecordIsKept(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.zst")
	var l log
	l.want(1, 1, "exam")
	l.setup(2, "a", 1, "d.1.1", "exam")
	if err := resultarchive.Save(file, terms, l); err != nil {
		t.Fatal(err)
	}
	got, records, err := resultarchive.Load[Limits, Record](file)
	if err != nil || len(records) != 2 || records[1] != l[1] || got.Tariffs["exam"] != terms.Tariffs["exam"] {
		t.Fatal(got, records, err)
	}
	raw, _ := os.ReadFile(file)
	if err := os.WriteFile(file, raw[:len(raw)-5], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := resultarchive.Load[Limits, Record](file); err == nil || !strings.Contains(err.Error(), "day.zst") {
		t.Fatal("a record cut off is taken for whole", err)
	}
}
