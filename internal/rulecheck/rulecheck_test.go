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
