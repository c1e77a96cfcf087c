package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/policy"
)

// A node's hello reports its age, and then a server list without ages gives the node a new address. This list was taken
// for stale: the new address was dropped, and after the loss of the old connection the loop tried the old address for
// ever.
func TestListWithoutAgesChangesAddress(t *testing.T) {
	h := newHarness(t, 1)
	h.step(LinkReceived{Link: h.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 1, UptimeMS: 5000}})
	e := upEntry(0)
	e.Incarnation, e.Address = 7, "b:n0"
	h.clearOutputs()
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	h.advance(time.Second)
	for _, o := range h.outputs {
		if c, ok := o.(Connect); ok && c.Address == "b:n0" {
			return
		}
	}
	t.Fatal("the loop does not connect to the new address", h.outputs)
}

// A list without ages that names the previous incarnation, or an unknown one at the same address, is stale: it does not
// close the node's link.
func TestListWithoutAgesIsStale(t *testing.T) {
	for _, incarnation := range []uint64{1, 9} {
		h := newHarness(t, 1)
		h.step(LinkReceived{Link: h.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 2, UptimeMS: 500}})
		e := upEntry(0)
		e.Incarnation = incarnation
		h.clearOutputs()
		h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
		for _, o := range h.outputs {
			if _, ok := o.(CloseLink); ok {
				t.Fatal("closed the link of a running node, for a list with incarnation", incarnation)
			}
		}
	}
}

// An age too large for a time.Duration overflowed into a start time in the future, and the node was in slow start for
// 290 years.
func TestOversizedAgesAreIgnored(t *testing.T) {
	const oversizedMS = 9_000_000_000_000_000_000
	h := newHarness(t, 1)
	e := upEntry(0)
	e.UptimeMS = oversizedMS
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	h.step(LinkReceived{Link: h.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 1, UptimeMS: oversizedMS}})
	if startedAt := h.loop.nodes["n0"].startedAt; startedAt != policy.UnknownStart {
		t.Fatal("start time", startedAt)
	}
}

// A node is replaced under its name while a paid set-up sent to it has no answer yet. No reply of the new process about
// that leg proves that the leg never ran.
func TestRestartedNodeReplyIsNoProof(t *testing.T) {
	h := newHarness(t, 1)
	h.request("1", "exam")
	setup := h.onlySetup()
	h.step(LinkLost{Link: setup.Link})
	h.onlyAnswer(wire.Errored)
	h.advance(200 * ms)
	h.step(LinkConnected{"n0", h.links["n0"]})
	h.step(LinkReceived{Link: h.links["n0"], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 2, UptimeMS: 5}})
	h.step(LinkReceived{Link: h.links["n0"], Message: wire.NodeMessage{Type: wire.Full, Leg: setup.Setup}})
	h.step(LinkReceived{Link: h.links["n0"], Message: wire.NodeMessage{Type: wire.Accepted, Leg: setup.Setup}})
	h.advance(5 * time.Second)
	h.onlyAnswer(wire.Errored)
	h.onlySetup()
	if p := h.loop.counts.NeverRanByReason(); p["full"] != 0 {
		t.Fatal("the reply of the new process counts as a proof that the leg never ran", p)
	}
	h.requireNoState()
}
