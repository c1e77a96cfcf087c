package node

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fordusher/internal/wire"
)

const ms = time.Millisecond

var testEnvironment = Environment{Uplinks: []float64{3000, 1e9}, Warmup: 10 * time.Second,
	InitialShare: 0.5, OverloadMultiple: 2, OverloadWindow: time.Second,
	ReportDelay: 500 * ms, ReportInterval: 2 * time.Second, LoadRefresh: 100 * ms}

func newTestModel() *Model {
	return NewModel(1, testEnvironment, []Spec{
		{Name: "a", Rack: 0, MaxStreams: 10, LinkRate: 1000, Cores: 2, SetupTime: 10 * ms},
		{Name: "b", Rack: 0, MaxStreams: 10, LinkRate: 4000, Cores: 2, SetupTime: 10 * ms},
		{Name: "c", Rack: 1, MaxStreams: 50, LinkRate: 1e9, Cores: 2, SetupTime: 10 * ms},
	})
}

func setup(leg uint64, rate float64) wire.NodeMessage {
	return wire.NodeMessage{Type: wire.Setup, Leg: leg, Session: "s", RateKB: rate, LengthMS: 60_000}
}

// run steps a model until a time and returns the messages that it sends.
func run(model *Model, until time.Duration) (sent []wire.NodeMessage) {
	for at, ok := model.NextDeadline(); ok && at <= until; at, ok = model.NextDeadline() {
		for _, o := range model.Step(at) {
			sent = append(sent, o.Message)
		}
	}
	return sent
}

func count(sent []wire.NodeMessage, kind string) (n int) {
	for _, m := range sent {
		if m.Type == kind {
			n++
		}
	}
	return n
}

// The expected shares are computed by hand. Node a has a link of 1000 and three sessions with rates of 400, 400 and
// 800, so each gets 1000/1600 of its rate. Node b on the same rack has two sessions of 1200 each, so the demand on the
// uplink of 3000 is 4000 and the uplink delivers 3/4. That is less than the link of b delivers and more than that of
// a.
func TestShortfallIsSharedEvenly(t *testing.T) {
	model := newTestModel()
	model.ConnOpened(0, "a", 1)
	model.ConnOpened(0, "b", 2)
	for i, rate := range []float64{400, 400, 800} {
		model.Receive(0, "a", 1, setup(uint64(i+1), rate))
	}
	if s := model.deliveredShare(model.nodes["a"]); math.Abs(s-0.625) > 1e-9 {
		t.Fatal(s)
	}
	model.Receive(0, "b", 2, setup(1, 1200))
	model.Receive(0, "b", 2, setup(2, 1200))
	if a, b := model.deliveredShare(model.nodes["a"]), model.deliveredShare(model.nodes["b"]); math.Abs(a-0.625) > 1e-9 ||
		math.Abs(b-0.75) > 1e-9 {
		t.Fatal(a, b)
	}
	model.Apply(0, Fault{Rack: new(0), BandwidthDivisor: new(2.0)})
	if b := model.deliveredShare(model.nodes["b"]); math.Abs(b-0.375) > 1e-9 {
		t.Fatal(b)
	}
}

// The delivered share is measured every second during a shortage and once after it, and is sent 500 ms later.
func TestReportsAreDelayedAndEndOnce(t *testing.T) {
	model := newTestModel()
	model.ConnOpened(0, "a", 1)
	model.Receive(0, "a", 1, setup(1, 2000))
	var first time.Duration
	shares := 0
	for at, ok := model.NextDeadline(); ok && at < 4500*ms; at, ok = model.NextDeadline() {
		for _, o := range model.Step(at) {
			if o.Message.MeasurementKind == 1 {
				shares++
				if first == 0 {
					first = at
				}
				if math.Abs(o.Message.MeasurementValue-0.5) > 1e-9 {
					t.Fatal(o.Message.MeasurementValue)
				}
			}
		}
	}
	if first < 1500*ms || shares < 3 || shares > 4 {
		t.Fatal(first, shares)
	}
	model.Receive(4500*ms, "a", 1, wire.NodeMessage{Type: wire.Rung, Leg: 1, RateKB: 100})
	after := 0
	for _, m := range run(model, 12*time.Second) {
		if m.MeasurementKind == 1 && m.MeasurementValue >= 0.98 {
			after++
		}
	}
	if after != 1 {
		t.Fatal("measurements that report the end of the shortage, want 1:", after)
	}
}

// A node with 10 streams answers full to further set-ups, and the 10 are accepted.
func TestMaxStreamsAndFullAnswers(t *testing.T) {
	model := newTestModel()
	model.ConnOpened(0, "a", 1)
	full := 0
	for i := range 12 {
		for _, o := range model.Receive(0, "a", 1, setup(uint64(i+1), 1)) {
			full += count([]wire.NodeMessage{o.Message}, wire.Full)
		}
	}
	if full != 2 || model.Streams("a") != 10 {
		t.Fatal(full, model.Streams("a"))
	}
	if n := count(run(model, time.Second), wire.Accepted); n != 10 {
		t.Fatal(n)
	}
}

// A node in slow start ends when all directors together send more set-ups than it bears. At the allowed rate it does
// not end.
func TestRampingNodeOverloads(t *testing.T) {
	for _, tooMany := range []bool{false, true} {
		model := newTestModel()
		model.Apply(0, Fault{Node: "c", Start: true})
		model.ConnOpened(0, "c", 1)
		model.ConnOpened(0, "c", 2)
		overloaded := false
		every := 200 * ms // 2 x 50 streams / 10 s x 0.5 = 5 a second
		if tooMany {
			every = 50 * ms
		}
		for i := range 20 {
			for _, o := range model.Receive(time.Duration(i)*every, "c", uint64(1+i%2), setup(uint64(i+1), 1)) {
				overloaded = overloaded || o.Overloaded
			}
		}
		if overloaded != tooMany {
			t.Fatalf("too many set-ups %v, overloaded %v", tooMany, overloaded)
		}
	}
}

// Each injected fault has its effect, and only while it lasts: a hung node defers its answers, set-ups fail, answers
// are lost or sent twice, and a crashed node sends nothing until its next start.
func TestFaults(t *testing.T) {
	model := newTestModel()
	model.ConnOpened(0, "a", 1)
	model.Apply(0, Fault{Node: "a", Hang: new(true)})
	model.Receive(0, "a", 1, setup(1, 1))
	if n := len(run(model, 3*time.Second)); n != 0 {
		t.Fatal("number of messages that a hung node has sent:", n)
	}
	deferred := model.Apply(3*time.Second, Fault{Node: "a", Hang: new(false)})
	if len(deferred) == 0 || deferred[0].Message.Type != wire.Accepted {
		t.Fatal("the node continues without sending the deferred answer", deferred)
	}
	model.Apply(3*time.Second, Fault{Node: "a", FailShare: new(1.0)})
	if o := model.Receive(3*time.Second, "a", 1, setup(2, 1)); len(o) != 1 || o[0].Message.Type != wire.Failed {
		t.Fatal(o)
	}
	model.Apply(3*time.Second, Fault{Node: "a", FailShare: new(0.0), LossShare: new(1.0)})
	model.Receive(3*time.Second, "a", 1, setup(3, 1))
	if n := count(run(model, 4*time.Second), wire.Accepted); n != 0 || model.Streams("a") != 2 {
		t.Fatal("a lost answer is sent, or its set-up did not run", n, model.Streams("a"))
	}
	model.Apply(4*time.Second, Fault{Node: "a", LossShare: new(0.0), DuplicateShare: new(1.0)})
	model.Receive(4*time.Second, "a", 1, setup(4, 1))
	if n := count(run(model, 5*time.Second), wire.Accepted); n != 2 {
		t.Fatal(n)
	}
	if o := model.Apply(5*time.Second, Fault{Node: "a", Crash: true}); len(o) != 1 || !o[0].Reset {
		t.Fatal(o)
	}
	if o := model.Receive(5*time.Second, "a", 1, setup(5, 1)); len(o) != 0 {
		t.Fatal("a node sends messages after its crash", o)
	}
	before, _ := model.Start(5*time.Second, "a")
	model.Apply(6*time.Second, Fault{Node: "a", Start: true})
	if start, age := model.Start(7*time.Second, "a"); start == before || age != time.Second {
		t.Fatal(start, age)
	}
}

// A set-up that is done after its start time-out is answered as failed, and its session doesn't start.
func TestOverdueSetupIsNotStarted(t *testing.T) {
	model := newTestModel()
	model.ConnOpened(0, "a", 1)
	model.Apply(0, Fault{Node: "a", SlowFactor: new(20.0)})
	m := setup(1, 1)
	m.StartWithinMS = 50
	model.Receive(0, "a", 1, m)
	sent := run(model, time.Second)
	if count(sent, wire.Accepted) != 0 || count(sent, wire.Failed) != 1 || model.Streams("a") != 0 {
		t.Fatal(sent)
	}
}

// Set-ups that arrive at random times wait for one core as long as the Pollaczek-Khinchine formula gives for their
// service times, which are uniform within a fifth of their mean: the mean wait is rate * E[S^2] / (2 (1 - load)).
func TestSetupQueueMatchesPollaczekKhinchine(t *testing.T) {
	const work = 10 * time.Millisecond
	for _, load := range []float64{0.3, 0.5, 0.7} {
		model := NewModel(1, Environment{Uplinks: []float64{1e12}, Warmup: time.Second, InitialShare: 1, OverloadMultiple: 1,
			OverloadWindow: time.Second, ReportDelay: time.Hour, LoadRefresh: time.Hour},
			[]Spec{{Name: "n", MaxStreams: 1 << 30, LinkRate: 1e12, Cores: 1, SetupTime: work}})
		model.ConnOpened(0, "n", 1)
		r := rand.New(rand.NewPCG(2, 2))
		rate := load / work.Seconds()
		arrivals := map[uint64]time.Duration{}
		var total time.Duration
		served := 0
		at := time.Duration(0)
		record := func(now time.Duration, outputs []Output) {
			for _, o := range outputs {
				if o.Message.Type == wire.Accepted {
					total += now - arrivals[o.Message.Leg]
					served++
					delete(arrivals, o.Message.Leg)
				}
			}
		}
		for leg := uint64(1); leg <= 100_000; leg++ {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			for due, ok := model.NextDeadline(); ok && due <= at; due, ok = model.NextDeadline() {
				record(due, model.Step(due))
			}
			arrivals[leg] = at
			record(at, model.Receive(at, "n", 1, wire.NodeMessage{Type: wire.Setup, Leg: leg, RateKB: 1}))
			if leg > 1000 {
				model.Receive(at, "n", 1, wire.NodeMessage{Type: wire.End, Leg: leg - 1000})
			}
		}
		mean := work.Seconds()
		secondMoment := mean * mean * (1 + 0.2*0.2/3)
		want := mean + rate*secondMoment/(2*(1-load))
		got := total.Seconds() / float64(served)
		if served < 98_000 || got < want*0.95 || got > want*1.05 {
			t.Errorf("load %.2f: %d served, mean %.3f ms, by the formula %.3f ms", load, served, got*1000, want*1000)
		}
	}
}
