package director

import (
	"testing"
	"time"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/limits"
)

// newOnDemandHarness is a harness for detached sessions whose node connections are opened on demand. It has a limited
// number of descriptors; 0 means no limit.
func newOnDemandHarness(t testingT, nodes, descriptors int) *harness {
	h := newHarnessWith(t, nodes, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.reconnectPolicy = connector.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8,
			HeartbeatInterval: time.Second, OnDemand: true, IdleTimeout: 20 * time.Second}
		l.connector = connector.New(1, l.reconnectPolicy)
		l.limits = limits.New(1, limits.Capacity{MaxConnections: 100, MaxHandshakes: 100, HeartbeatInterval: time.Hour,
			IdleTimeout: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second,
			DisplaceIdleAfter: time.Second, MaxDescriptors: descriptors})
	})
	if len(h.links) != 0 {
		t.Fatal("connected to a node without a session for it")
	}
	return h
}

// connects returns the Connect outputs since the last clearOutputs.
func (h *harness) connects() (all []Connect) {
	for _, o := range h.outputs {
		if c, ok := o.(Connect); ok {
			all = append(all, c)
		}
	}
	return all
}

// closedLinks returns the node connections closed since the last clearOutputs.
func (h *harness) closedLinks() (links []uint64) {
	for _, o := range h.outputs {
		if c, ok := o.(CloseLink); ok {
			links = append(links, c.Link)
		}
	}
	return links
}

// A set-up waits until the connection made for it is open. The next set-up uses the same connection.
func TestSetupWaitsForOnDemandConnection(t *testing.T) {
	h := newOnDemandHarness(t, 1, 0)
	h.requestDetached(1, "a", "exam")
	if connects := h.connects(); len(connects) != 1 || len(h.setups()) != 0 {
		t.Fatalf("%d connects, %d set-ups", len(connects), len(h.setups()))
	}
	link := h.links[nodeName(0)]
	h.step(LinkConnected{nodeName(0), link})
	if setup := h.onlySetup(); setup.Link != link {
		t.Fatalf("set-up sent on link %d", setup.Link)
	}
	h.step(detachedReply(link, "a", wire.Accepted))
	h.onlyAnswer(wire.Playing)
	h.clearOutputs()
	h.requestDetached(1, "b", "clip") // the connection is open
	h.onlySetup()
	if len(h.connects()) != 0 {
		t.Fatal("connected a second time")
	}
}

// The client disconnects or cancels while its request waits for a node connection: no set-up is sent on that
// connection.
func TestCancelWhileSetupWaitsForConnection(t *testing.T) {
	for name, input := range map[string]Input{
		"closes":  ClientLost{Conn: 1},
		"cancels": ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}},
	} {
		h := newOnDemandHarness(t, 1, 0)
		h.requestDetached(1, "a", "exam")
		h.step(input)
		h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
		if n := len(h.setups()); n != 0 {
			t.Fatalf("%s: %d set-ups", name, n)
		}
		h.requireNoState()
	}
}

// One connect attempt that times out may be due to packet loss: the set-up goes to another node, and the node is not
// suspect. A second time-out in a row, or a refused connection, makes it suspect.
func TestSingleConnectTimeoutDoesNotBlameNode(t *testing.T) {
	h := newOnDemandHarness(t, 2, 0)
	h.requestDetached(1, "a", "exam")
	first := h.connects()[0]
	h.clearOutputs()
	h.step(LinkFailed{Node: first.Node, Link: first.Link})
	second := h.connects()
	if len(second) != 1 || second[0].Node == first.Node {
		t.Fatalf("%+v", second)
	}
	h.step(LinkConnected{second[0].Node, second[0].Link})
	h.step(detachedReply(second[0].Link, "a", wire.Accepted))
	h.onlyAnswer(wire.Playing)
	if h.loop.nodes[first.Node].suspect {
		t.Fatal("suspect after one time-out")
	}
	h.advance(200 * ms)
	h.loop.stepConnector(connector.Event{Node: h.loop.nodes[first.Node].index, Kind: connector.Needed})
	h.step(LinkFailed{Node: first.Node, Link: h.loop.nodes[first.Node].link})
	if !h.loop.nodes[first.Node].suspect {
		t.Fatal("not suspect after two time-outs in a row")
	}
}

// The loop closes a node connection that has been idle for IdleTimeout before the node does: a close by the node could
// cross a set-up on its way there.
func TestIdleNodeConnectionIsClosed(t *testing.T) {
	h := newOnDemandHarness(t, 1, 0)
	h.requestDetached(1, "a", "clip")
	link := h.links[nodeName(0)]
	h.step(LinkConnected{nodeName(0), link})
	h.step(detachedReply(link, "a", wire.Accepted))
	h.step(detachedReply(link, "a", wire.Ended))
	h.clearOutputs()
	h.advance(h.loop.reconnectPolicy.IdleTimeout - 1)
	if len(h.closedLinks()) != 0 {
		t.Fatal("closed before the idle time-out")
	}
	h.advance(1)
	if closed := h.closedLinks(); len(closed) != 1 || closed[0] != link || len(h.connects()) != 0 {
		t.Fatalf("closed %v, %d connects", closed, len(h.connects()))
	}
	h.requestDetached(1, "b", "clip")
	if len(h.connects()) != 1 {
		t.Fatal("not connected again")
	}
}

// A node closes its connection. The loop connects again at once if a session plays there, and not if there is none.
func TestLostConnectionIsReopenedOnDemand(t *testing.T) {
	h := newOnDemandHarness(t, 1, 0)
	h.requestDetached(1, "z", "clip")
	link := h.links[nodeName(0)]
	h.step(LinkConnected{nodeName(0), link})
	h.step(detachedReply(link, "z", wire.Accepted))
	h.step(detachedReply(link, "z", wire.Ended)) // the connection is unused from here on
	h.requestDetached(1, "a", "clip")
	h.step(detachedReply(link, "a", wire.Accepted))
	h.clearOutputs()
	h.advance(h.loop.reconnectPolicy.IdleTimeout + time.Second)
	if l := h.links[nodeName(0)]; l != link { // idle for that long, it is probed by a second connection and not closed
		h.step(LinkConnected{nodeName(0), l})
		link = l
	}
	if h.loop.playing != 1 || !h.loop.nodes[nodeName(0)].connected {
		t.Fatal("connection closed while a session plays")
	}
	h.clearOutputs()
	h.step(LinkLost{Link: link})
	if len(h.connects()) != 1 || h.loop.playing != 1 {
		t.Fatal("not connected again")
	}
	link = h.links[nodeName(0)]
	h.step(LinkConnected{nodeName(0), link})
	h.step(detachedReply(link, "a", wire.Ended))
	h.clearOutputs()
	h.step(LinkLost{Link: link})
	h.advance(5 * time.Second)
	if len(h.connects()) != 0 {
		t.Fatal("connected again without a session")
	}
	h.requireNoState()
}

// When no descriptor is left for a new node connection, the loop first closes an unused connection to another node,
// which is the case tested here. Next it would evict an idle client; with neither, the leg counts as never started and
// the node is not suspect.
func TestDescriptorPressureClosesUnusedNodeLink(t *testing.T) {
	h := newOnDemandHarness(t, 3, 6)
	var opened []Connect
	for _, id := range []string{"a", "b"} { // one after the other, so that the first connection is unused at the second request
		h.clearOutputs()
		h.requestDetached(1, id, "exam")
		connects := h.connects()
		if len(connects) == 0 {
			t.Fatalf("%s: no connect", id)
		}
		opened = append(opened, connects...)
		h.step(LinkConnected{connects[0].Node, connects[0].Link})
		h.step(detachedReply(connects[0].Link, id, wire.Accepted))
		if id == "a" {
			h.step(detachedReply(connects[0].Link, id, wire.Ended))
			// The lower limit stands for descriptors that other connections of the process hold.
			h.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 100, MaxHandshakes: 100, HeartbeatInterval: time.Hour,
				IdleTimeout: time.Hour, HandshakeTimeout: time.Hour, MaxRetryAfter: time.Second, MaxDescriptors: 2})
		}
	}
	if closed := h.closedLinks(); len(closed) != 1 || closed[0] != opened[0].Link {
		t.Fatalf("closed %v; connects %+v", closed, opened)
	}
}

// Discovery restarts and sends the full server list again. Sessions that play, wait or were just sent go on
// undisturbed. A node that the list no longer names takes no new sessions, and is dropped once its connection is lost.
func TestRepeatedFullListChangesNothing(t *testing.T) {
	h := newOnDemandHarness(t, 3, 0)
	fullList := func(nodes ...int) DiscoveryReceived {
		m := wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 9, Titles: []wire.TitlePlacement{{Title: "t", FirstCell: 0, Copies: 8}}}
		for _, i := range nodes {
			m.Nodes = append(m.Nodes, upEntry(i))
		}
		return DiscoveryReceived{m}
	}
	h.requestDetached(1, "a", "clip")
	first := h.connects()[0]
	h.step(LinkConnected{first.Node, first.Link})
	h.step(detachedReply(first.Link, "a", wire.Accepted)) // a plays
	h.requestDetached(1, "b", "exam")                     // b waits for a connection, or for its node's answer
	h.clearOutputs()
	h.step(fullList(0, 1, 2))
	if len(h.closedLinks()) != 0 || len(h.connects()) != 0 ||
		len(h.clientMessages(wire.SessionEnded, wire.Errored, wire.Nack)) != 0 || h.loop.playing != 1 || h.loop.owed != 1 {
		t.Fatalf("%+v", h.outputs)
	}
	var rest []int
	for i := range 3 {
		if nodeName(i) != first.Node {
			rest = append(rest, i)
		}
	}
	h.step(fullList(rest...)) // without the node of a, which plays on while its connection is open
	if h.loop.playing != 1 || h.loop.nodes[first.Node].acceptsSessions {
		t.Fatal("the unlisted node still takes sessions, or its session was ended")
	}
	h.step(LinkLost{Link: first.Link})
	if h.loop.playing != 0 || h.loop.nodes[first.Node] != nil {
		t.Fatal("state of the unlisted node is left after its connection was lost")
	}
}
