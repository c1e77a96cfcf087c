package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
)

// A node's hello reports a new incarnation before the server list does. The decider is notified of it. Once the list
// names a later incarnation than the link leads to, the link is closed.
func TestNodeRestartIsReportedToPolicy(t *testing.T) {
	h := newHarness(t, 1)
	link := h.links[nodeName(0)]
	h.step(LinkReceived{Link: link, Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 77, UptimeMS: 10}})
	if n := h.loop.nodes[nodeName(0)]; n.incarnation != 77 || n.startedAt != h.now-10*ms {
		t.Fatal(n.incarnation, n.startedAt)
	}
	e := upEntry(0)
	e.Incarnation, e.UptimeMS = 77, 500 // the list, later, with the same incarnation
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	if n := h.loop.nodes[nodeName(0)]; n.startedAt != h.now-10*ms || n.link != link {
		t.Fatal("one start of the node is taken for two")
	}
	e.Incarnation, e.UptimeMS = 78, 5
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{e}}})
	if h.links[nodeName(0)] == link {
		t.Fatal("the link to the earlier incarnation is kept")
	}
}

// A node is removed from the server list and listed again while its session plays. It keeps its connection, and the
// loop connects again if that is lost.
func TestNodeListedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.request("1", "clip")
	h.step(legReply(h.onlySetup(), wire.Accepted))
	link := h.links[nodeName(0)]
	removed := upEntry(0)
	removed.State = wire.Removed
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{removed}}})
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{upEntry(0)}}})
	if len(h.clientMessages(wire.SessionEnded)) != 0 || h.links[nodeName(0)] != link {
		t.Fatal("the session or the connection was lost")
	}
	h.step(LinkLost{Link: link})
	if h.links[nodeName(0)] == link {
		t.Fatal("the loop does not connect again")
	}
	// After the final removal and the end of the last leg, no state of the node is left.
	h.step(LinkFailed{Node: nodeName(0), Link: h.links[nodeName(0)]})
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 4, Titles: []wire.TitlePlacement{{Title: "t", Copies: 8}}}})
	if len(h.loop.nodes) != 0 || len(h.loop.links) != 0 {
		t.Fatal(len(h.loop.nodes), len(h.loop.links))
	}
}

// A node restarts while directors are reconnecting to it. The set-ups that wait at each director must not reach the
// node before its hello has reported the restart: sent by all directors at once, they overload a node in slow start.
func TestSetupsWaitForHello(t *testing.T) {
	h := newHarness(t, 1)
	h.step(LinkLost{Link: h.links[nodeName(0)]})
	h.advance(ms)
	h.request("1", "exam")
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	if len(h.setups()) != 0 {
		t.Fatal("sent before the node's hello")
	}
	h.step(LinkReceived{Link: h.links[nodeName(0)], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 77, UptimeMS: 5}})
	if n := h.loop.counts.NeverRan[3]; n != 1 {
		t.Fatal(n, "legs withdrawn")
	}
	h.advance(3 * time.Second) // the decider chooses again, within the slow-start limit of the node
	if n := len(h.setups()); n > 1 {
		t.Fatal(n, "set-ups of one session")
	}

	// The connection is lost before the hello: the leg provably never ran, whether paid or not.
	h = newHarness(t, 1)
	h.step(LinkLost{Link: h.links[nodeName(0)]})
	h.advance(ms)
	h.request("1", "exam")
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	h.step(LinkLost{Link: h.links[nodeName(0)]})
	if n := h.loop.counts.NeverRan[2]; n != 1 || len(h.setups()) != 0 {
		t.Fatal(n, h.setups())
	}
}

// A node starts twice within a warm-up. The stale server list reports the first start after the node's hello has
// reported the second: the connection and its session stay. A list with a later start ends them.
func TestStaleListDoesNotReplaceHello(t *testing.T) {
	h := newHarness(t, 1)
	h.step(LinkLost{Link: h.links[nodeName(0)]})
	h.advance(ms)
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	h.step(LinkReceived{Link: h.links[nodeName(0)], Message: wire.NodeMessage{Type: wire.Hello, Incarnation: 9, UptimeMS: 50}})
	h.advance(2 * time.Second)
	h.request("1", "clip")
	setup := h.onlySetup()
	h.step(legReply(setup, wire.Accepted))
	h.clearOutputs()
	stale := upEntry(0)
	stale.Incarnation, stale.UptimeMS = 8, 5000
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{stale}}})
	if len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("closed the link to a running node because of a stale list")
	}
	later := upEntry(0)
	later.Incarnation, later.UptimeMS = 10, 20
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{later}}})
	if len(h.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("kept the link to a process that has ended")
	}
}

// The server list names a node's new incarnation without its age, and the hello or a later list reports that age. The
// node has to count as just started: taken for long started, it was overloaded by a single director.
func TestSlowStartFromHelloAge(t *testing.T) {
	for _, byList := range []bool{false, true} {
		h := newHarness(t, 1)
		h.step(LinkLost{Link: h.links[nodeName(0)]})
		restarted := upEntry(0)
		restarted.Incarnation = 9
		h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{restarted}}})
		h.advance(ms)
		h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
		hello := wire.NodeMessage{Type: wire.Hello, Incarnation: 9}
		if byList {
			restarted.UptimeMS = 10
			h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{restarted}}})
		} else {
			hello.UptimeMS = 10
		}
		h.step(LinkReceived{Link: h.links[nodeName(0)], Message: hello})
		if n := h.loop.nodes[nodeName(0)]; n.entry.StartedAt < h.now-50*ms {
			t.Fatalf("age from the list %t: start time %v, now %v", byList, n.entry.StartedAt, h.now)
		}
	}
}
