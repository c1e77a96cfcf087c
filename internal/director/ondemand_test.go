package director

import (
	"testing"
	"time"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/limits"
)

// newOnDemandHarness is a stage whose nodes are connected to on need, with so many descriptors.
func newOnDemandHarness(t testingT, nodes, descriptors int) *harness {
	s := newHarnessWith(t, nodes, func(l *Loop) {
		l.options.Detached, l.options.NoHello, l.options.Linger = true, true, 0
		l.reconnectPolicy = connector.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8, HeartbeatInterval: time.Second, OnDemand: true, IdleTimeout: 20 * time.Second}
		l.connector = connector.New(1, l.reconnectPolicy)
		l.limits = limits.New(1, limits.Capacity{MaxConnections: 100, MaxHandshakes: 100, HeartbeatInterval: time.Hour, IdleTimeout: time.Second,
			HandshakeTimeout: time.Second, MaxRetryAfter: time.Second, DisplaceIdleAfter: time.Second, MaxDescriptors: descriptors})
	})
	if len(s.links) != 0 {
		t.Fatal("a node is connected to that nobody needs")
	}
	return s
}

// connects are the connections to nodes asked for since the last forget.
func (s *harness) connects() (all []Connect) {
	for _, o := range s.outputs {
		if c, ok := o.(Connect); ok {
			all = append(all, c)
		}
	}
	return all
}

func (s *harness) closedLinks() (links []uint64) {
	for _, o := range s.outputs {
		if h, ok := o.(CloseLink); ok {
			links = append(links, h.Link)
		}
	}
	return links
}

func TestSetupWaitsForOnDemandConnection(t *testing.T) {
	s := newOnDemandHarness(t, 1, 0)
	s.requestDetached(1, "a", "exam")
	if d := s.connects(); len(d) != 1 || len(s.setups()) != 0 {
		t.Fatalf("%d dials, %d set-ups", len(d), len(s.setups()))
	}
	link := s.links[nodeName(0)]
	s.step(LinkConnected{nodeName(0), link})
	if g := s.onlySetup(); g.Link != link {
		t.Fatalf("sent on %d", g.Link)
	}
	s.step(detachedReply(link, "a", wire.Accepted))
	s.onlyAnswer(wire.Playing)
	s.clearOutputs()
	s.requestDetached(1, "b", "clip") // the connection stands
	s.onlySetup()
	if len(s.connects()) != 0 {
		t.Fatal("connected to again")
	}
}

// The client leaves while its request waits for a connection: nothing is sent once that is made.
func TestCancelWhileSetupWaitsForConnection(t *testing.T) {
	for name0, leave := range map[string]Input{
		"closes":  ClientLost{Conn: 1},
		"cancels": ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}},
	} {
		s := newOnDemandHarness(t, 1, 0)
		s.requestDetached(1, "a", "exam")
		s.step(leave)
		s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
		if n := len(s.setups()); n != 0 {
			t.Fatalf("%s: %d set-ups", name0, n)
		}
		s.requireNoState()
	}
}

// One try that runs out of time may be lost on its way: the set-up goes elsewhere, and nothing is held against the node.
// A second one in a row, or a refusal, is.
func TestSingleConnectTimeoutDoesNotBlameNode(t *testing.T) {
	s := newOnDemandHarness(t, 2, 0)
	s.requestDetached(1, "a", "exam")
	first := s.connects()[0]
	s.clearOutputs()
	s.step(LinkFailed{Node: first.Node, Link: first.Link})
	second := s.connects()
	if len(second) != 1 || second[0].Node == first.Node {
		t.Fatalf("%+v", second)
	}
	s.step(LinkConnected{second[0].Node, second[0].Link})
	s.step(detachedReply(second[0].Link, "a", wire.Accepted))
	s.onlyAnswer(wire.Playing)
	if s.loop.nodes[first.Node].suspect {
		t.Fatal("held against the node")
	}
	s.advance(200 * ms)
	s.loop.stepConnector(connector.Event{Node: s.loop.nodes[first.Node].index, Kind: connector.Needed})
	s.step(LinkFailed{Node: first.Node, Link: s.loop.nodes[first.Node].link})
	if !s.loop.nodes[first.Node].suspect {
		t.Fatal("not held against the node")
	}
}

// A connection that nothing was done on for Keep is hung up on; the node's own close of it can't cross a set-up then.
func TestIdleNodeConnectionIsClosed(t *testing.T) {
	s := newOnDemandHarness(t, 1, 0)
	s.requestDetached(1, "a", "clip")
	link := s.links[nodeName(0)]
	s.step(LinkConnected{nodeName(0), link})
	s.step(detachedReply(link, "a", wire.Accepted))
	s.step(detachedReply(link, "a", wire.Ended))
	s.clearOutputs()
	s.advance(s.loop.reconnectPolicy.IdleTimeout - 1)
	if len(s.closedLinks()) != 0 {
		t.Fatal("too soon")
	}
	s.advance(1)
	if h := s.closedLinks(); len(h) != 1 || h[0] != link || len(s.connects()) != 0 {
		t.Fatalf("hung up on %v, %d dials", h, len(s.connects()))
	}
	s.requestDetached(1, "b", "clip")
	if len(s.connects()) != 1 {
		t.Fatal("not connected to again")
	}
}

// A node that closes an idle connection is not connected to again for nothing; one where something plays is, at once.
func TestLostConnectionIsReopenedOnDemand(t *testing.T) {
	s := newOnDemandHarness(t, 1, 0)
	s.requestDetached(1, "z", "clip")
	link := s.links[nodeName(0)]
	s.step(LinkConnected{nodeName(0), link})
	s.step(detachedReply(link, "z", wire.Accepted))
	s.step(detachedReply(link, "z", wire.Ended)) // the connection has had nothing to do since
	s.requestDetached(1, "a", "clip")
	s.step(detachedReply(link, "a", wire.Accepted))
	s.clearOutputs()
	s.advance(s.loop.reconnectPolicy.IdleTimeout + time.Second)
	if l := s.links[nodeName(0)]; l != link { // quiet for so long it was checked by another, not hung up on
		s.step(LinkConnected{nodeName(0), l})
		link = l
	}
	if s.loop.playing != 1 || !s.loop.nodes[nodeName(0)].connected {
		t.Fatal("hung up on with a session playing")
	}
	s.clearOutputs()
	s.step(LinkLost{Link: link})
	if len(s.connects()) != 1 || s.loop.playing != 1 {
		t.Fatal("not connected to again")
	}
	link = s.links[nodeName(0)]
	s.step(LinkConnected{nodeName(0), link})
	s.step(detachedReply(link, "a", wire.Ended))
	s.clearOutputs()
	s.step(LinkLost{Link: link})
	s.advance(5 * time.Second)
	if len(s.connects()) != 0 {
		t.Fatal("connected to again for nothing")
	}
	s.requireNoState()
}

// Without a descriptor left, a connection to a node with nothing to do goes first, then an idle player, and where there
// is neither the set-up goes nowhere for now and nothing is held against the node.
func TestDescriptorPressureEvictsForNodeLink(t *testing.T) {
	s := newOnDemandHarness(t, 3, 6)
	var made []Connect
	for _, id := range []string{"a", "b"} { // one after the other, so that each finds room
		s.clearOutputs()
		s.requestDetached(1, id, "exam")
		d := s.connects()
		if len(d) == 0 {
			t.Fatalf("%s: no dial", id)
		}
		made = append(made, d...)
		s.step(LinkConnected{d[0].Node, d[0].Link})
		s.step(detachedReply(d[0].Link, id, wire.Accepted))
		if id == "a" {
			s.step(detachedReply(d[0].Link, id, wire.Ended))
			// What is nobody's: other connections of the process.
			s.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 100, MaxHandshakes: 100, HeartbeatInterval: time.Hour,
				IdleTimeout: time.Hour, HandshakeTimeout: time.Hour, MaxRetryAfter: time.Second, MaxDescriptors: 2})
		}
	}
	if h := s.closedLinks(); len(h) != 1 || h[0] != made[0].Link {
		t.Fatalf("hung up on %v, %+v was made", h, made)
	}
}

// A board that starts over sends the whole list again: what plays, waits, is doubted or was sent lately goes on as if
// nothing had been said, and what the list drops is not kept.
func TestRepeatedFullListChangesNothing(t *testing.T) {
	s := newOnDemandHarness(t, 3, 0)
	whole := func(nodes ...int) DiscoveryReceived {
		m := wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 9, Titles: []wire.TitlePlacement{{Title: "t", FirstCell: 0, Copies: 8}}}
		for _, i := range nodes {
			m.Nodes = append(m.Nodes, upEntry(i))
		}
		return DiscoveryReceived{m}
	}
	s.requestDetached(1, "a", "clip")
	d := s.connects()[0]
	s.step(LinkConnected{d.Node, d.Link})
	s.step(detachedReply(d.Link, "a", wire.Accepted)) // plays
	s.requestDetached(1, "b", "exam")                 // waits for a connection, or is out
	s.clearOutputs()
	s.step(whole(0, 1, 2))
	if len(s.closedLinks()) != 0 || len(s.connects()) != 0 || len(s.clientMessages(wire.SessionEnded, wire.Errored, wire.Nack)) != 0 || s.loop.playing != 1 || s.loop.owed != 1 {
		t.Fatalf("%+v", s.outputs)
	}
	var rest []int
	for i := range 3 {
		if nodeName(i) != d.Node {
			rest = append(rest, i)
		}
	}
	s.step(whole(rest...)) // the node is not named any more: what plays goes on while its connection stands
	if s.loop.playing != 1 || s.loop.nodes[d.Node].acceptsSessions {
		t.Fatal("what the list drops is kept, or what plays was cut")
	}
	s.step(LinkLost{Link: d.Link})
	if s.loop.playing != 0 || s.loop.nodes[d.Node] != nil {
		t.Fatal("nothing will be heard of it any more")
	}
}
