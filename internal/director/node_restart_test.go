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
	s := newHarness(t, 1)
	s.step(LinkReceived{Link: s.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 1, UptimeMS: 5000}})
	e := upEntry(0)
	e.Incarnation, e.Address = 7, "b:n0"
	s.clearOutputs()
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	s.advance(time.Second)
	for _, o := range s.outputs {
		if c, ok := o.(Connect); ok && c.Address == "b:n0" {
			return
		}
	}
	t.Fatal("the new address is not tried", s.outputs)
}

// News of the start before the last one is no reason to hang up, nor is a start never heard of at the same address.
func TestListWithoutAgesIsStale(t *testing.T) {
	for _, start := range []uint64{1, 9} {
		s := newHarness(t, 1)
		s.step(LinkReceived{Link: s.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 2, UptimeMS: 500}})
		e := upEntry(0)
		e.Incarnation = start
		s.clearOutputs()
		s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
		for _, o := range s.outputs {
			if _, ok := o.(CloseLink); ok {
				t.Fatal("hung up on a node that is there, for start", start)
			}
		}
	}
}

// An age too large for a span wrapped round into the future, and the node counted as cold for 290 years.
func TestOversizedAgesAreIgnored(t *testing.T) {
	const absurd = 9_000_000_000_000_000_000
	s := newHarness(t, 1)
	e := upEntry(0)
	e.UptimeMS = absurd
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	s.step(LinkReceived{Link: s.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 1, UptimeMS: absurd}})
	if born := s.loop.nodes["n0"].startedAt; born != policy.UnknownStart {
		t.Fatal("started at", born)
	}
}

// A node that was replaced under its name while a paid set-up was out: nothing that its successor says of that leg
// proves that it never ran, and a set-up that waits for the successor is decided anew.
func TestRestartedNodeReplyIsNoProof(t *testing.T) {
	s := newHarness(t, 1)
	s.request("1", "exam")
	g := s.onlySetup()
	s.step(LinkLost{Link: g.Link})
	s.onlyAnswer(wire.Errored)
	s.advance(200 * ms)
	s.step(LinkConnected{"n0", s.links["n0"]})
	s.step(LinkReceived{Link: s.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 2, UptimeMS: 5}})
	s.step(LinkReceived{Link: s.links["n0"], Message: wire.NodeMessage{Type: wire.Full, Leg: g.Setup}})
	s.step(LinkReceived{Link: s.links["n0"], Message: wire.NodeMessage{Type: wire.Accepted, Leg: g.Setup}})
	s.advance(5 * time.Second)
	s.onlyAnswer(wire.Errored)
	s.onlySetup()
	if p := s.loop.counts.NeverRanByReason(); p["full"] != 0 {
		t.Fatal("a proof out of a successor's word", p)
	}
	s.requireNoState()
}
