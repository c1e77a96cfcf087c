package node

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fordusher/internal/wire"
)

const ms = time.Millisecond

var site = Environment{Uplinks: []float64{3000, 1e9}, Warmup: 10 * time.Second, InitialShare: 0.5, OverloadMultiple: 2, OverloadWindow: time.Second,
	ReportDelay: 500 * ms, ReportInterval: 2 * time.Second, LoadRefresh: 100 * ms}

func newFarm() *Model {
	return NewModel(1, site, []Spec{
		{Name: "a", Rack: 0, MaxStreams: 10, LinkRate: 1000, Cores: 2, SetupTime: 10 * ms},
		{Name: "b", Rack: 0, MaxStreams: 10, LinkRate: 4000, Cores: 2, SetupTime: 10 * ms},
		{Name: "c", Rack: 1, MaxStreams: 50, LinkRate: 1e9, Cores: 2, SetupTime: 10 * ms},
	})
}

func setup(leg uint64, rate float64) wire.NodeMessage {
	return wire.NodeMessage{Type: wire.Setup, Leg: leg, Session: "s", RateKB: rate, LengthMS: 60_000}
}

// run steps a farm until a time and returns what it says, by type.
func run(f *Model, until time.Duration) (said []wire.NodeMessage) {
	for at, ok := f.NextDeadline(); ok && at <= until; at, ok = f.NextDeadline() {
		for _, o := range f.Step(at) {
			said = append(said, o.Message)
		}
	}
	return said
}

func count(said []wire.NodeMessage, kind string) (n int) {
	for _, m := range said {
		if m.Type == kind {
			n++
		}
	}
	return n
}

// Worked by hand: on a link of 1000 three sessions ask 400, 400 and 800, so each gets 1000/1600 of its
// rate; with two more of 1200 each on the neighbour the uplink of 3000 is asked 4000 and gives 3/4, which
// is less than the neighbour's own link would, and more than the first one's.
func TestShortfallIsSharedEvenly(t *testing.T) {
	f := newFarm()
	f.ConnOpened(0, "a", 1)
	f.ConnOpened(0, "b", 2)
	for i, rate := range []float64{400, 400, 800} {
		f.Receive(0, "a", 1, setup(uint64(i+1), rate))
	}
	if s := f.share(f.nodes["a"]); math.Abs(s-0.625) > 1e-9 {
		t.Fatal(s)
	}
	f.Receive(0, "b", 2, setup(1, 1200))
	f.Receive(0, "b", 2, setup(2, 1200))
	if a, b := f.share(f.nodes["a"]), f.share(f.nodes["b"]); math.Abs(a-0.625) > 1e-9 || math.Abs(b-0.75) > 1e-9 {
		t.Fatal(a, b)
	}
	f.Apply(0, Fault{Rack: new(0), BandwidthDivisor: new(2.0)})
	if b := f.share(f.nodes["b"]); math.Abs(b-0.375) > 1e-9 {
		t.Fatal(b)
	}
}

func TestNotesComeLateAndOnce(t *testing.T) {
	f := newFarm()
	f.ConnOpened(0, "a", 1)
	f.Receive(0, "a", 1, setup(1, 2000))
	var first time.Duration
	shares := 0
	for at, ok := f.NextDeadline(); ok && at < 4500*ms; at, ok = f.NextDeadline() {
		for _, o := range f.Step(at) {
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
	f.Receive(4500*ms, "a", 1, wire.NodeMessage{Type: wire.Rung, Leg: 1, RateKB: 100})
	after := 0
	for _, m := range run(f, 12*time.Second) {
		if m.MeasurementKind == 1 && m.MeasurementValue >= 0.98 {
			after++
		}
	}
	if after != 1 {
		t.Fatal("the note that ends it came", after)
	}
}

func TestPlacesAndFullAnswers(t *testing.T) {
	f := newFarm()
	f.ConnOpened(0, "a", 1)
	full := 0
	for i := range 12 {
		for _, o := range f.Receive(0, "a", 1, setup(uint64(i+1), 1)) {
			full += count([]wire.NodeMessage{o.Message}, wire.Full)
		}
	}
	if full != 2 || f.Streams("a") != 10 {
		t.Fatal(full, f.Streams("a"))
	}
	if n := count(run(f, time.Second), wire.Accepted); n != 10 {
		t.Fatal(n)
	}
}

// Pushed by all directors together over its budget a cold node falls over; at the pace it does not.
func TestColdNodeFallsOver(t *testing.T) {
	for _, push := range []bool{false, true} {
		f := newFarm()
		f.Apply(0, Fault{Node: "c", Start: true})
		f.ConnOpened(0, "c", 1)
		f.ConnOpened(0, "c", 2)
		fell := false
		every := 200 * ms // 2 x 50 places / 10 s x 0.5 = 5 a second
		if push {
			every = 50 * ms
		}
		for i := range 20 {
			for _, o := range f.Receive(time.Duration(i)*every, "c", uint64(1+i%2), setup(uint64(i+1), 1)) {
				fell = fell || o.Overloaded
			}
		}
		if fell != push {
			t.Fatalf("pushed %v, fell %v", push, fell)
		}
	}
}

func TestFaults(t *testing.T) {
	f := newFarm()
	f.ConnOpened(0, "a", 1)
	f.Apply(0, Fault{Node: "a", Hang: new(true)})
	f.Receive(0, "a", 1, setup(1, 1))
	if n := len(run(f, 3*time.Second)); n != 0 {
		t.Fatal("a node that hangs has said", n)
	}
	late := f.Apply(3*time.Second, Fault{Node: "a", Hang: new(false)})
	if len(late) == 0 || late[0].Message.Type != wire.Accepted {
		t.Fatal("what waited does not go out", late)
	}
	f.Apply(3*time.Second, Fault{Node: "a", FailShare: new(1.0)})
	if o := f.Receive(3*time.Second, "a", 1, setup(2, 1)); len(o) != 1 || o[0].Message.Type != wire.Failed {
		t.Fatal(o)
	}
	f.Apply(3*time.Second, Fault{Node: "a", FailShare: new(0.0), LossShare: new(1.0)})
	f.Receive(3*time.Second, "a", 1, setup(3, 1))
	if n := count(run(f, 4*time.Second), wire.Accepted); n != 0 || f.Streams("a") != 2 {
		t.Fatal("a lost answer came, or its work did not run", n, f.Streams("a"))
	}
	f.Apply(4*time.Second, Fault{Node: "a", LossShare: new(0.0), DuplicateShare: new(1.0)})
	f.Receive(4*time.Second, "a", 1, setup(4, 1))
	if n := count(run(f, 5*time.Second), wire.Accepted); n != 2 {
		t.Fatal(n)
	}
	if o := f.Apply(5*time.Second, Fault{Node: "a", Crash: true}); len(o) != 1 || !o[0].Reset {
		t.Fatal(o)
	}
	if o := f.Receive(5*time.Second, "a", 1, setup(5, 1)); len(o) != 0 {
		t.Fatal("a dead node speaks", o)
	}
	before, _ := f.Start(5*time.Second, "a")
	f.Apply(6*time.Second, Fault{Node: "a", Start: true})
	if start, age := f.Start(7*time.Second, "a"); start == before || age != time.Second {
		t.Fatal(start, age)
	}
}

// A set-up that comes to its turn after its time is not started.
func TestOverdueSetupIsNotStarted(t *testing.T) {
	f := newFarm()
	f.ConnOpened(0, "a", 1)
	f.Apply(0, Fault{Node: "a", SlowFactor: new(20.0)})
	m := setup(1, 1)
	m.StartWithinMS = 50
	f.Receive(0, "a", 1, m)
	said := run(f, time.Second)
	if count(said, wire.Accepted) != 0 || count(said, wire.Failed) != 1 || f.Streams("a") != 0 {
		t.Fatal(said)
	}
}

// Set-ups that come at random moments wait for one core as the Pollaczek-Khinchine formula says for their service
// times, which are uniform within a fifth of their mean: waiting is rate * E[S^2] / (2 (1 - load)).
func TestQueueWaitsAsTheFormulaSays(t *testing.T) {
	const work = 10 * time.Millisecond
	for _, load := range []float64{0.3, 0.5, 0.7} {
		f := NewModel(1, Environment{Uplinks: []float64{1e12}, Warmup: time.Second, InitialShare: 1, OverloadMultiple: 1, OverloadWindow: time.Second, ReportDelay: time.Hour, LoadRefresh: time.Hour},
			[]Spec{{Name: "n", MaxStreams: 1 << 30, LinkRate: 1e12, Cores: 1, SetupTime: work}})
		f.ConnOpened(0, "n", 1)
		r := rand.New(rand.NewPCG(2, 2))
		rate := load / work.Seconds()
		came := map[uint64]time.Duration{}
		var total time.Duration
		served := 0
		at := time.Duration(0)
		take := func(now time.Duration, outs []Output) {
			for _, o := range outs {
				if o.Message.Type == wire.Accepted {
					total += now - came[o.Message.Leg]
					served++
					delete(came, o.Message.Leg)
				}
			}
		}
		for leg := uint64(1); leg <= 100_000; leg++ {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			for due, ok := f.NextDeadline(); ok && due <= at; due, ok = f.NextDeadline() {
				take(due, f.Step(due))
			}
			came[leg] = at
			take(at, f.Receive(at, "n", 1, wire.NodeMessage{Type: wire.Setup, Leg: leg, RateKB: 1}))
			if leg > 1000 {
				f.Receive(at, "n", 1, wire.NodeMessage{Type: wire.End, Leg: leg - 1000})
			}
		}
		s := work.Seconds()
		second := s * s * (1 + 0.2*0.2/3)
		want := s + rate*second/(2*(1-load))
		got := total.Seconds() / float64(served)
		if served < 98_000 || got < want*0.95 || got > want*1.05 {
			t.Errorf("load %.2f: %d served, mean %.3f ms, by the formula %.3f ms", load, served, got*1000, want*1000)
		}
	}
}
