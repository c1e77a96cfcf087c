package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/reach"
)

// newOnNeed is a stage whose nodes are connected to on need, with so many descriptors.
func newOnNeed(t failer, nodes, descriptors int) *stage {
	s := newStageWith(t, nodes, func(l *Loop) {
		l.manners.Loose, l.manners.Greetless, l.manners.Linger = true, true, 0
		l.pace = reach.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8, HeartbeatInterval: time.Second, OnDemand: true, IdleTimeout: 20 * time.Second}
		l.reach = reach.New(1, l.pace)
		l.limits = limits.New(1, limits.Capacity{MaxConnections: 100, MaxHandshakes: 100, HeartbeatInterval: time.Hour, IdleTimeout: time.Second,
			HandshakeTimeout: time.Second, MaxRetryAfter: time.Second, DisplaceIdleAfter: time.Second, MaxDescriptors: descriptors})
	})
	if len(s.links) != 0 {
		t.Fatal("a node is connected to that nobody needs")
	}
	return s
}

// dials are the connections to nodes asked for since the last forget.
func (s *stage) dials() (all []Connect) {
	for _, o := range s.all {
		if c, ok := o.(Connect); ok {
			all = append(all, c)
		}
	}
	return all
}

func (s *stage) hungUp() (links []uint64) {
	for _, o := range s.all {
		if h, ok := o.(CloseLink); ok {
			links = append(links, h.Link)
		}
	}
	return links
}

func TestASetUpWaitsForTheConnectionThatItNeeds(t *testing.T) {
	s := newOnNeed(t, 1, 0)
	s.asks(1, "a", "exam")
	if d := s.dials(); len(d) != 1 || len(s.setups()) != 0 {
		t.Fatalf("%d dials, %d set-ups", len(d), len(s.setups()))
	}
	link := s.links[name(0)]
	s.do(LinkConnected{name(0), link})
	if g := s.oneLeg(); g.Link != link {
		t.Fatalf("sent on %d", g.Link)
	}
	s.do(says(link, "a", wire.Accepted))
	s.oneAnswer(wire.Plays)
	s.forget()
	s.asks(1, "b", "clip") // the connection stands
	s.oneLeg()
	if len(s.dials()) != 0 {
		t.Fatal("connected to again")
	}
}

// The client leaves while its request waits for a connection: nothing is sent once that is made.
func TestAClientThatLeavesWhileItsSetUpWaitsForAConnection(t *testing.T) {
	for name0, leave := range map[string]Input{
		"closes":  ClientLost{Conn: 1},
		"cancels": ClientReceived{Conn: 1, Message: wire.Session{Type: wire.Leave, ID: "a"}},
	} {
		s := newOnNeed(t, 1, 0)
		s.asks(1, "a", "exam")
		s.do(leave)
		s.do(LinkConnected{name(0), s.links[name(0)]})
		if n := len(s.setups()); n != 0 {
			t.Fatalf("%s: %d set-ups", name0, n)
		}
		s.empty()
	}
}

// One try that runs out of time may be lost on its way: the set-up goes elsewhere, and nothing is held against the node.
// A second one in a row, or a refusal, is.
func TestOneTryThatRunsOutOfTimeSaysLittleOfANode(t *testing.T) {
	s := newOnNeed(t, 2, 0)
	s.asks(1, "a", "exam")
	first := s.dials()[0]
	s.forget()
	s.do(LinkFailed{Node: first.Node, Link: first.Link})
	second := s.dials()
	if len(second) != 1 || second[0].Node == first.Node {
		t.Fatalf("%+v", second)
	}
	s.do(LinkConnected{second[0].Node, second[0].Link})
	s.do(says(second[0].Link, "a", wire.Accepted))
	s.oneAnswer(wire.Plays)
	if s.loop.nodes[first.Node].suspect {
		t.Fatal("held against the node")
	}
	s.pass(200 * ms)
	s.loop.reached(reach.Event{Node: s.loop.nodes[first.Node].place, Kind: reach.Needed})
	s.do(LinkFailed{Node: first.Node, Link: s.loop.nodes[first.Node].link})
	if !s.loop.nodes[first.Node].suspect {
		t.Fatal("not held against the node")
	}
}

// A connection that nothing was done on for Keep is hung up on; the node's own close of it can't cross a set-up then.
func TestAnIdleConnectionIsHungUpOn(t *testing.T) {
	s := newOnNeed(t, 1, 0)
	s.asks(1, "a", "clip")
	link := s.links[name(0)]
	s.do(LinkConnected{name(0), link})
	s.do(says(link, "a", wire.Accepted))
	s.do(says(link, "a", wire.Ended))
	s.forget()
	s.pass(s.loop.pace.IdleTimeout - 1)
	if len(s.hungUp()) != 0 {
		t.Fatal("too soon")
	}
	s.pass(1)
	if h := s.hungUp(); len(h) != 1 || h[0] != link || len(s.dials()) != 0 {
		t.Fatalf("hung up on %v, %d dials", h, len(s.dials()))
	}
	s.asks(1, "b", "clip")
	if len(s.dials()) != 1 {
		t.Fatal("not connected to again")
	}
}

// A node that closes an idle connection is not connected to again for nothing; one where something plays is, at once.
func TestALostConnectionIsMadeAgainOnNeed(t *testing.T) {
	s := newOnNeed(t, 1, 0)
	s.asks(1, "z", "clip")
	link := s.links[name(0)]
	s.do(LinkConnected{name(0), link})
	s.do(says(link, "z", wire.Accepted))
	s.do(says(link, "z", wire.Ended)) // the connection has had nothing to do since
	s.asks(1, "a", "clip")
	s.do(says(link, "a", wire.Accepted))
	s.forget()
	s.pass(s.loop.pace.IdleTimeout + time.Second)
	if l := s.links[name(0)]; l != link { // quiet for so long it was checked by another, not hung up on
		s.do(LinkConnected{name(0), l})
		link = l
	}
	if s.loop.playing != 1 || !s.loop.nodes[name(0)].up {
		t.Fatal("hung up on with a session playing")
	}
	s.forget()
	s.do(LinkLost{Link: link})
	if len(s.dials()) != 1 || s.loop.playing != 1 {
		t.Fatal("not connected to again")
	}
	link = s.links[name(0)]
	s.do(LinkConnected{name(0), link})
	s.do(says(link, "a", wire.Ended))
	s.forget()
	s.do(LinkLost{Link: link})
	s.pass(5 * time.Second)
	if len(s.dials()) != 0 {
		t.Fatal("connected to again for nothing")
	}
	s.empty()
}

// Without a descriptor left, a connection to a node with nothing to do goes first, then an idle player, and where there
// is neither the set-up goes nowhere for now and nothing is held against the node.
func TestWhoMakesPlaceForANode(t *testing.T) {
	s := newOnNeed(t, 3, 6)
	var made []Connect
	for _, id := range []string{"a", "b"} { // one after the other, so that each finds room
		s.forget()
		s.asks(1, id, "exam")
		d := s.dials()
		if len(d) == 0 {
			t.Fatalf("%s: no dial", id)
		}
		made = append(made, d...)
		s.do(LinkConnected{d[0].Node, d[0].Link})
		s.do(says(d[0].Link, id, wire.Accepted))
		if id == "a" {
			s.do(says(d[0].Link, id, wire.Ended))
			// What is nobody's: other connections of the process.
			s.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 100, MaxHandshakes: 100, HeartbeatInterval: time.Hour,
				IdleTimeout: time.Hour, HandshakeTimeout: time.Hour, MaxRetryAfter: time.Second, MaxDescriptors: 2})
		}
	}
	if h := s.hungUp(); len(h) != 1 || h[0] != made[0].Link {
		t.Fatalf("hung up on %v, %+v was made", h, made)
	}
}

// A board that starts over sends the whole list again: what plays, waits, is doubted or was sent lately goes on as if
// nothing had been said, and what the list drops is not kept.
func TestTheWholeListAgainChangesNothing(t *testing.T) {
	s := newOnNeed(t, 3, 0)
	whole := func(nodes ...int) DiscoveryReceived {
		m := wire.List{Type: wire.Whole, Serial: 9, Titles: []wire.Title{{Title: "t", Base: 0, Copies: 8}}}
		for _, i := range nodes {
			m.Nodes = append(m.Nodes, up(i))
		}
		return DiscoveryReceived{m}
	}
	s.asks(1, "a", "clip")
	d := s.dials()[0]
	s.do(LinkConnected{d.Node, d.Link})
	s.do(says(d.Link, "a", wire.Accepted)) // plays
	s.asks(1, "b", "exam")                 // waits for a connection, or is out
	s.forget()
	s.do(whole(0, 1, 2))
	if len(s.hungUp()) != 0 || len(s.dials()) != 0 || len(s.told(wire.Over, wire.Errored, wire.Nack)) != 0 || s.loop.playing != 1 || s.loop.owed != 1 {
		t.Fatalf("%+v", s.all)
	}
	var rest []int
	for i := range 3 {
		if name(i) != d.Node {
			rest = append(rest, i)
		}
	}
	s.do(whole(rest...)) // the node is not named any more: what plays goes on while its connection stands
	if s.loop.playing != 1 || s.loop.nodes[d.Node].open {
		t.Fatal("what the list drops is kept, or what plays was cut")
	}
	s.do(LinkLost{Link: d.Link})
	if s.loop.playing != 0 || s.loop.nodes[d.Node] != nil {
		t.Fatal("nothing will be heard of it any more")
	}
}
