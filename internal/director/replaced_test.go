package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/policy"
)

// A node that told its age, and was then put elsewhere by a list that tells none, was taken for news from before:
// the new address was dropped, and once the old connection broke it was sought at the old one for ever.
func TestListWithoutAgesMovesANode(t *testing.T) {
	s := newStage(t, 1)
	s.do(LinkReceived{Link: s.links["n0"], Message: wire.Node{Type: wire.Hello, Start: 1, Age: 5000}})
	e := up(0)
	e.Start, e.Address = 7, "b:n0"
	s.forget()
	s.do(DiscoveryReceived{wire.List{Type: wire.Update, Serial: 2, Nodes: []wire.Entry{e}}})
	s.pass(time.Second)
	for _, o := range s.all {
		if c, ok := o.(Connect); ok && c.Address == "b:n0" {
			return
		}
	}
	t.Fatal("the new address is not tried", s.all)
}

// News of the start before the last one is no reason to hang up, nor is a start never heard of at the same address.
func TestListWithoutAgesIsBehind(t *testing.T) {
	for _, start := range []uint64{1, 9} {
		s := newStage(t, 1)
		s.do(LinkReceived{Link: s.links["n0"], Message: wire.Node{Type: wire.Hello, Start: 2, Age: 500}})
		e := up(0)
		e.Start = start
		s.forget()
		s.do(DiscoveryReceived{wire.List{Type: wire.Update, Serial: 2, Nodes: []wire.Entry{e}}})
		for _, o := range s.all {
			if _, ok := o.(CloseLink); ok {
				t.Fatal("hung up on a node that is there, for start", start)
			}
		}
	}
}

// An age too large for a span wrapped round into the future, and the node counted as cold for 290 years.
func TestAbsurdAgesAreLongAgo(t *testing.T) {
	const absurd = 9_000_000_000_000_000_000
	s := newStage(t, 1)
	e := up(0)
	e.Age = absurd
	s.do(DiscoveryReceived{wire.List{Type: wire.Update, Serial: 2, Nodes: []wire.Entry{e}}})
	s.do(LinkReceived{Link: s.links["n0"], Message: wire.Node{Type: wire.Hello, Start: 1, Age: absurd}})
	if born := s.loop.nodes["n0"].born; born != policy.UnknownStart {
		t.Fatal("started at", born)
	}
}

// A node that was replaced under its name while a paid set-up was out: nothing that its successor says of that leg
// proves that it never ran, and a set-up that waits for the successor is decided anew.
func TestSuccessorsWordProvesNothing(t *testing.T) {
	s := newStage(t, 1)
	s.want("1", "exam")
	g := s.oneLeg()
	s.do(LinkLost{Link: g.Link})
	s.oneAnswer(wire.Errored)
	s.pass(200 * ms)
	s.do(LinkConnected{"n0", s.links["n0"]})
	s.do(LinkReceived{Link: s.links["n0"], Message: wire.Node{Type: wire.Hello, Start: 2, Age: 5}})
	s.do(LinkReceived{Link: s.links["n0"], Message: wire.Node{Type: wire.Full, Leg: g.Setup}})
	s.do(LinkReceived{Link: s.links["n0"], Message: wire.Node{Type: wire.Accepted, Leg: g.Setup}})
	s.pass(5 * time.Second)
	s.oneAnswer(wire.Errored)
	s.oneLeg()
	if p := s.loop.counts.Proofs(); p["full"] != 0 {
		t.Fatal("a proof out of a successor's word", p)
	}
	s.empty()
}
