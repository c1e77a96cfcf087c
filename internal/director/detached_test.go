package director

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// newDetachedHarness is a stage where what plays belongs to no connection.
func newDetachedHarness(t testingT, nodes int) *harness {
	s := newHarness(t, nodes)
	s.loop.options.Detached, s.loop.options.NoHello, s.loop.options.Linger = true, true, 0
	return s
}

// requestDetached is a request under its session's own name.
func (s *harness) requestDetached(conn uint64, id, tariff string) {
	s.t.Helper()
	s.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Request, ID: id, Key: id, Tariff: tariff, Title: "t", WaitMS: 5000},
		Details: &RequestDetails{Base: 0, Copies: 8, Description: []byte("as it came")}})
}

// detachedReply is what a node says of a session on a connection.
func detachedReply(link uint64, session, kind string) LinkReceived {
	return LinkReceived{Link: link, Message: wire.NodeMessage{Type: kind, Session: session}, Description: []byte("as the node has it")}
}

// playDetached sets a session up on the only node.
func (s *harness) playDetached(id, tariff string) SendNode {
	s.t.Helper()
	s.clearOutputs()
	s.requestDetached(1, id, tariff)
	g := s.onlySetup()
	s.step(detachedReply(g.Link, id, wire.Accepted))
	s.onlyAnswer(wire.Playing)
	s.clearOutputs()
	return g
}

func TestDescriptionsAreForwardedUnchanged(t *testing.T) {
	s := newDetachedHarness(t, 1)
	s.requestDetached(1, "a", "clip")
	g := s.onlySetup()
	if string(g.Description) != "as it came" || g.Message.Session != "a" {
		t.Fatalf("%+v", g)
	}
	s.step(detachedReply(g.Link, "a", wire.Accepted))
	for _, o := range s.lastOutputs {
		if m, ok := o.(SendClient); ok && string(m.Description) != "as the node has it" {
			t.Fatalf("%+v", m)
		}
	}
	s.onlyAnswer(wire.Playing)
}

func TestDetachedSessionOutlivesConnections(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.connectClient(2)
	s.step(ClientLost{Conn: 1})
	s.step(LinkLost{Link: g.Link})
	if len(s.clientMessages(wire.SessionEnded)) != 0 || s.loop.playing != 1 {
		t.Fatal("it ended with a connection")
	}
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
	s.step(detachedReply(s.links[nodeName(0)], "a", wire.Ended))
	s.advance(anyClientDelay) // nothing has played on the only connection there is
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].ID != "a" || over[0].Reason != ReasonEnded {
		t.Fatalf("%+v", over)
	}
	s.requireNoState()
}

// It guards the ending of a session that no viewer's connection is there for.
func TestUndeliveredEndingWaitsForConnection(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.step(ClientLost{Conn: 1})
	s.step(detachedReply(g.Link, "a", wire.Ended))
	if len(s.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("told to nobody")
	}
	s.connectClient(2)
	if len(s.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("told at once to one who may only hold a connection")
	}
	s.advance(anyClientDelay - 1)
	if len(s.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("told too soon to one who may only hold a connection")
	}
	s.advance(1)
	if len(s.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("not told")
	}
	g = s.playDetachedOn(2, "b")
	s.step(ClientLost{Conn: 2})
	s.step(detachedReply(g.Link, "b", wire.Ended))
	s.now += undeliveredRetention
	s.connectClient(3)
	if len(s.clientMessages(wire.SessionEnded)) != 0 || len(s.loop.undelivered) != 0 {
		t.Fatal("kept for too long")
	}
}

// It guards endings among hundreds who hold a connection and nothing else: one on which something has played is told.
func TestEndingPrefersProvenConnection(t *testing.T) {
	s := newDetachedHarness(t, 1)
	for conn := uint64(2); conn < 20; conn++ {
		s.connectClient(conn)
	}
	g := s.playDetached("a", "clip")
	s.playDetachedOn(15, "b")
	s.playDetachedOn(16, "c")
	s.step(ClientLost{Conn: 1})
	s.step(ClientLost{Conn: 16})
	s.step(detachedReply(g.Link, "a", wire.Ended))
	if at := s.endingConns(); len(at) != 1 || at[0] != 15 {
		t.Fatalf("told on %v", at)
	}
	// Nobody is left on whose connection anything has played, until there is one.
	s.step(ClientLost{Conn: 15})
	s.step(detachedReply(g.Link, "b", wire.Ended))
	s.requestDetached(17, "d", "clip")
	d := s.onlySetup()
	s.clearOutputs()
	s.step(detachedReply(d.Link, "d", wire.Accepted))
	if at := s.endingConns(); len(at) != 1 || at[0] != 17 {
		t.Fatalf("told on %v", at)
	}
}

// endingConns is the connections on which an ending was told.
func (s *harness) endingConns() (conns []uint64) {
	for _, o := range s.lastOutputs {
		if m, ok := o.(SendClient); ok && m.Message.Type == wire.SessionEnded {
			conns = append(conns, m.Conn)
		}
	}
	return conns
}

// It guards the connection that a session came on, on which its ending is awaited, when room gets short.
func TestConnectionWithPlayingSessionIsNotEvicted(t *testing.T) {
	s := newDetachedHarness(t, 1)
	s.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 10, MaxHandshakes: 10, HeartbeatInterval: time.Hour, IdleTimeout: time.Second,
		HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	s.step(ClientLost{Conn: 1})
	s.connectClient(1)
	g := s.playDetached("a", "clip")
	s.advance(5 * time.Second)
	let := map[uint64]bool{}
	s.clearOutputs()
	for conn := uint64(2); conn < 12; conn++ {
		s.connectClient(conn)
		s.advance(2 * time.Second)
	}
	for _, o := range s.outputs {
		if m, ok := o.(CloseClient); ok {
			let[m.Conn] = true
		}
	}
	if let[1] || !let[2] {
		t.Fatalf("let go: %v", let)
	}
	s.clearOutputs()
	s.step(detachedReply(g.Link, "a", wire.Ended))
	if at := s.endingConns(); len(at) != 1 || at[0] != 1 {
		t.Fatalf("told on %v", at)
	}
	if _, busy, _ := s.loop.ConnectionUsage(); busy != 0 {
		t.Fatalf("%d are busy", busy)
	}
}

func (s *harness) playDetachedOn(conn uint64, id string) SendNode {
	s.t.Helper()
	s.clearOutputs()
	s.requestDetached(conn, id, "clip")
	g := s.onlySetup()
	s.step(detachedReply(g.Link, id, wire.Accepted))
	s.clearOutputs()
	return g
}

func TestRefusedNodeConnectionEndsSessions(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.step(LinkLost{Link: g.Link})
	s.step(LinkFailed{Node: nodeName(0), Link: s.links[nodeName(0)], Refused: true})
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 {
		t.Fatalf("%+v", over)
	}
	s.requireNoState()
}

// One try that fails proves nothing: it may be lost on the way.
func TestRepeatedConnectFailuresEndSessions(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.step(LinkLost{Link: g.Link})
	for i := range 3 {
		if len(s.clientMessages(wire.SessionEnded)) != 0 {
			t.Fatalf("ended after %d tries", i)
		}
		s.advance(2 * time.Second)
		s.step(LinkFailed{Node: nodeName(0), Link: s.links[nodeName(0)]})
	}
	if len(s.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("it is held to play for ever")
	}
	s.requireNoState()
}

// It guards sessions on a machine that vanishes: its connections stay open and say nothing.
func TestUnansweredSetupProbesLink(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.requestDetached(1, "b", "clip")
	s.advance(500 * ms) // past the time of a leg
	if s.links[nodeName(0)] == g.Link {
		t.Fatal("it was not checked")
	}
	s.clearOutputs()
	s.requestDetached(1, "c", "clip")
	if len(s.setups()) != 0 {
		t.Fatal("a set-up was sent on a connection in doubt")
	}
	s.step(LinkFailed{Node: nodeName(0), Link: s.links[nodeName(0)]})
	hung := false
	for _, o := range s.outputs {
		if h, ok := o.(CloseLink); ok && h.Link == g.Link {
			hung = true
		}
	}
	if !hung {
		t.Fatal("the connection in doubt was kept")
	}
}

func TestProbeLinkReplacesSuspectLink(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.requestDetached(1, "b", "exam") // paid: it waits
	s.requestDetached(1, "c", "clip")
	s.advance(500 * ms)
	check := s.links[nodeName(0)]
	s.step(LinkConnected{nodeName(0), check})
	s.clearOutputs()
	s.step(detachedReply(check, "b", wire.Accepted)) // not on the connection that it was sent on
	if len(s.answers()) != 0 {
		t.Fatal("an answer on another connection was taken")
	}
	s.step(detachedReply(g.Link, "b", wire.Accepted))
	s.onlyAnswer(wire.Playing)
	hung := false
	for _, o := range s.outputs {
		if h, ok := o.(CloseLink); ok && h.Link == g.Link {
			hung = true
		}
	}
	if !hung {
		t.Fatal("the old connection is kept though nothing waits on it")
	}
	s.step(detachedReply(check, "a", wire.Ended))
	if len(s.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("an ending on the new connection was not taken")
	}
}

func TestDuplicateSessionIDIsRefused(t *testing.T) {
	s := newDetachedHarness(t, 1)
	s.connectClient(2)
	s.clearOutputs()
	s.requestDetached(1, "a", "clip")
	g := s.onlySetup()
	s.requestDetached(1, "a", "exam")
	s.requestDetached(2, "a", "clip")
	s.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if len(s.setups()) != 1 || len(s.endedLegs()) != 0 {
		t.Fatal("the first request noticed")
	}
	if told := s.answers(); len(told) != 1 || told[0].Type != wire.Errored {
		t.Fatalf("%+v", told)
	}
	s.clearOutputs()
	s.step(detachedReply(g.Link, "a", wire.Accepted))
	s.step(detachedReply(g.Link, "a", wire.Accepted))
	s.onlyAnswer(wire.Playing)
}

func TestPlayingSessionsAreAdopted(t *testing.T) {
	s := newDetachedHarness(t, 1)
	hand := func(id, node string) {
		s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Request, ID: id, Key: id, Tariff: "exam", Title: "t"},
			Details: &RequestDetails{Copies: 8, PlayingOn: node}})
	}
	hand("a", nodeName(0))
	hand("a", nodeName(0)) // told again
	if s.loop.playing != 1 || len(s.answers()) != 0 {
		t.Fatal("not held, or answered")
	}
	hand("b", "nobody")
	if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].ID != "b" {
		t.Fatalf("%+v", over)
	}
	s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if len(s.endedLegs()) != 1 {
		t.Fatal("its node was not told")
	}
	s.requireNoState()
}

func TestNodeRestartEndsSessions(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.now += time.Second
	e := upEntry(0)
	e.Incarnation, e.UptimeMS = 99, 100
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{e}}})
	if len(s.clientMessages(wire.SessionEnded)) != 1 || s.links[nodeName(0)] == g.Link {
		t.Fatal("it is held to play, or its connection is kept")
	}
	s.requireNoState()
}

// It guards sessions on a node that the list takes off while there is no connection to it: they were held to play for
// ever, and their viewers never told (199 on one long day).
func TestUnlistedUnconnectedNodeEndsSessions(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.step(LinkLost{Link: g.Link})
	gone := upEntry(0)
	gone.State = wire.Removed
	s.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{gone}}})
	if len(s.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("it is held to play")
	}
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]}) // somebody else, at its address
	s.requireNoState()
	if len(s.loop.nodes) != 0 || len(s.loop.links) != 0 {
		t.Fatal("a node that is gone is kept")
	}
}

// What is to be told to a node without a connection goes by the next one.
func TestNodeMessagesWaitForConnection(t *testing.T) {
	s := newDetachedHarness(t, 1)
	g := s.playDetached("a", "clip")
	s.step(LinkLost{Link: g.Link})
	s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if len(s.endedLegs()) != 0 {
		t.Fatal("told on no connection")
	}
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
	if len(s.endedLegs()) != 1 {
		t.Fatal("never told")
	}
	s.requireNoState()
}

// Whatever happens in whatever order: one answer each, one leg out at a time, a paid set-up never sent again unless
// all before provably never ran, an ending told once and only after an answer, and nothing left on the books.
func TestDetachedRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDetachedHarness(t, 3)
		s.connectClient(2)
		s.clearOutputs()
		type want struct {
			tariff  string
			conn    uint64
			answers int
			over    int
			out     int // legs out
			mayHave bool
			plays   bool
		}
		wants := map[string]*want{}
		var ids []string
		sent := map[string]SendNode{}
		look := func() {
			for _, o := range s.lastOutputs {
				switch o := o.(type) {
				case SendNode:
					w := wants[o.Message.Session]
					switch o.Message.Type {
					case wire.Setup:
						if w.out++; w.out > 1 {
							t.Fatalf("two legs of %s: %+v then %+v, %+v", o.Message.Session, sent[o.Message.Session], o, w)
						}
						if w.mayHave && w.tariff == "exam" {
							t.Fatalf("paid %s sent again", o.Message.Session)
						}
						sent[o.Message.Session] = o
					case wire.End:
						if w.out > 0 {
							w.out, w.mayHave = 0, true
						}
					}
				case SendClient:
					w := wants[o.Message.ID]
					switch o.Message.Type {
					case wire.Playing:
						w.answers++
						w.plays = true
					case wire.Nack:
						if w.mayHave && w.tariff == "exam" {
							t.Fatalf("paid %s nacked though it may have run", o.Message.ID)
						}
						w.answers++
					case wire.Errored:
						w.answers++
					case wire.SessionEnded:
						if w.over++; w.over > 1 || !w.plays {
							t.Fatalf("%s: told over %d times, plays %v", o.Message.ID, w.over, w.plays)
						}
					}
					if w.answers > 1 {
						t.Fatalf("%s: %d answers", o.Message.ID, w.answers)
					}
				}
			}
		}
		do := func(in Input) {
			s.step(in)
			look()
		}
		conns := uint64(2)
		open := map[uint64]bool{1: true, 2: true}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			id := ""
			if len(ids) > 0 {
				id = rapid.SampledFrom(ids).Draw(t, "id")
			}
			g, w := sent[id], wants[id]
			node := nodeName(rapid.IntRange(0, 2).Draw(t, "node"))
			switch k := rapid.IntRange(0, 12).Draw(t, "what"); {
			case k <= 2:
				id = fmt.Sprint("s", len(ids))
				conn := rapid.SampledFrom([]uint64{1, 2, conns}).Draw(t, "conn")
				if !open[conn] {
					continue
				}
				ids = append(ids, id)
				wants[id] = &want{tariff: rapid.SampledFrom([]string{"clip", "exam"}).Draw(t, "tariff"), conn: conn}
				s.requestDetached(conn, id, wants[id].tariff)
				look()
			case k <= 4 && w != nil && g.Link != 0:
				do(detachedReply(g.Link, id, wire.Accepted))
				if w.out > 0 {
					w.mayHave = true
				}
			case k == 5 && w != nil && w.out == 1 && !w.plays:
				w.out = 0
				do(detachedReply(g.Link, id, wire.Full))
			case k == 6 && w != nil && w.out == 1 && !w.plays:
				w.out, w.mayHave = 0, true
				do(detachedReply(g.Link, id, wire.Failed))
			case k == 7 && w != nil && w.plays:
				do(detachedReply(s.links[node], id, wire.Ended))
			case k == 8:
				link := s.links[node]
				for id, g := range sent {
					if w := wants[id]; g.Link == link && w.out == 1 && !w.plays {
						w.out, w.mayHave = 0, true
					}
				}
				if s.loop.links[link] != nil && s.loop.links[link].connected && s.loop.links[link].link == link {
					do(LinkLost{Link: link})
				}
			case k == 9:
				if n := s.loop.links[s.links[node]]; n != nil && n.connecting {
					if rapid.Bool().Draw(t, "made") {
						do(LinkConnected{node, s.links[node]})
					} else {
						link := n.link
						for id, g := range sent {
							if w := wants[id]; g.Link == link && w.out == 1 && !w.plays {
								w.out, w.mayHave = 0, true
							}
						}
						do(LinkFailed{Node: node, Link: s.links[node], Refused: rapid.Bool().Draw(t, "refused")})
					}
				}
			case k == 10:
				conn := rapid.SampledFrom([]uint64{1, 2, conns}).Draw(t, "closed")
				if open[conn] {
					delete(open, conn)
					do(ClientLost{Conn: conn})
					conns++
					open[conns] = true
					do(ClientConnecting{Conn: conns})
					do(ClientAccepted{conns})
				}
			case k == 11 && w != nil && open[w.conn]:
				do(ClientReceived{Conn: w.conn, Message: wire.SessionMessage{Type: wire.Cancel, ID: id}})
			default:
				end := s.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*ms
				for next := s.loop.Next(); next <= end; next = s.loop.Next() {
					s.now = max(s.now, next)
					do(Tick{})
				}
				s.now = end
			}
		}
		for _, id := range ids { // what plays ends, what does not runs out of time
			if !wants[id].plays {
				continue
			}
			do(detachedReply(s.links[nodeName(0)], id, wire.Ended))
			do(detachedReply(s.links[nodeName(1)], id, wire.Ended))
			do(detachedReply(s.links[nodeName(2)], id, wire.Ended))
		}
		for range 100 {
			s.now += 50 * ms
			do(Tick{})
		}
		l := s.loop
		if l.owed != 0 || l.counts.IllegalTransitions != 0 || len(l.sessions) != l.playing || len(l.sessionsByKey) != l.playing || len(l.legs) != l.playing {
			t.Fatalf("left: %d owed, %d odd, %d sessions, %d keys, %d legs, %d play", l.owed, l.counts.IllegalTransitions, len(l.sessions),
				len(l.sessionsByKey), len(l.legs), l.playing)
		}
		for conn, c := range l.conns {
			if len(c.requests) != 0 || c.activeRequests != 0 {
				t.Fatalf("connection %d keeps %d requests, %d live", conn, len(c.requests), c.activeRequests)
			}
		}
	})
}

// It guards the ending of a session on a connection for which there is no room, or that has ended by then.
func TestAnEndingNeedsNoConnection(t *testing.T) {
	s := newDetachedHarness(t, 1)
	s.playDetached("a", "clip")
	s.requestDetached(1, "b", "clip")
	stranger := ClientReceived{Conn: 77, Message: wire.SessionMessage{Type: wire.Cancel, ID: "b"}}
	s.step(stranger)
	if s.loop.owed != 1 {
		t.Fatal("a stranger ended what another one waits for")
	}
	stranger.Message.ID = "a"
	s.step(stranger)
	if s.loop.playing != 0 {
		t.Fatal("it plays on for nobody")
	}
}

// It guards requests of newcomers against a close without an answer: beyond a few in a thousand those are lost.
func TestRejectedConnectionGetsRefusal(t *testing.T) {
	s := newDetachedHarness(t, 1)
	s.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 1, MaxHandshakes: 1, HeartbeatInterval: time.Hour, IdleTimeout: time.Second,
		HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	s.step(ClientLost{Conn: 1})
	s.connectClient(1)
	s.playDetached("a", "clip") // there is room for one
	s.step(ClientConnecting{Conn: 2})
	s.requestDetached(2, "b", "clip")
	s.requestDetached(2, "c", "exam")
	if got := s.clientMessages(wire.Nack); len(got) != 2 || got[0].ID != "b" || got[1].ID != "c" || len(s.setups()) != 0 {
		t.Fatalf("%+v, %d set-ups", got, len(s.setups()))
	}
	s.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}}) // an ending needs no room
	if s.loop.playing != 0 {
		t.Fatal("it plays on")
	}
	s.advance(rejectionWindow)
	closed := 0
	for _, o := range s.outputs {
		if m, ok := o.(CloseClient); ok && m.Conn == 2 {
			closed++
		}
	}
	s.step(ClientLost{Conn: 2})
	if closed != 1 || len(s.loop.rejectedConns) != 0 || len(s.loop.conns) != 1 {
		t.Fatalf("closed %d times, %d turned away, %d connections", closed, len(s.loop.rejectedConns), len(s.loop.conns))
	}
}

// It guards a request that is on its way to the loop when its connection is let go for want of room.
func TestMessageDuringIdleCloseIsServed(t *testing.T) {
	s := newOnDemandHarness(t, 1, 3)
	s.advance(time.Second) // with room for one, it is full
	var let []uint64
	for _, o := range s.outputs {
		if m, ok := o.(CloseClient); ok && m.Idle {
			let = append(let, m.Conn)
		}
	}
	if len(let) == 0 || let[0] != 1 {
		t.Fatalf("let go: %v", let)
	}
	s.clearOutputs()
	s.step(ClientStillActive{1})
	s.requestDetached(1, "b", "clip")
	if len(s.connects()) != 1 {
		t.Fatal("it was not taken")
	}
	s.step(LinkConnected{nodeName(0), s.links[nodeName(0)]})
	s.onlySetup()
}

// Whoever says that a session is over, its client learns of it: on the connection that it came on, and once. Only who
// ends it on that very connection is told nothing.
func TestEveryEndReachesItsClient(t *testing.T) {
	for name, end := range map[string]func(s *harness, g SendNode){
		"its node, ended by itself": func(s *harness, g SendNode) { s.step(detachedReply(g.Link, "a", wire.Ended)) },
		"its node, ended by its client": func(s *harness, g SendNode) {
			m := detachedReply(g.Link, "a", wire.Ended)
			m.Message.Reason = wire.Canceled
			s.step(m)
		},
		"its node, cut": func(s *harness, g SendNode) {
			m := detachedReply(g.Link, "a", wire.Ended)
			m.Message.Reason = wire.Lost
			s.step(m)
		},
		"a client on another connection": func(s *harness, g SendNode) {
			s.connectClient(2)
			s.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
		},
		"a client on a connection that has ended": func(s *harness, g SendNode) {
			s.step(ClientReceived{Conn: 7, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDetachedHarness(t, 1)
			end(s, s.playDetached("a", "clip"))
			if over := s.clientMessages(wire.SessionEnded); len(over) != 1 || over[0].ID != "a" {
				t.Fatalf("told %+v", over)
			}
			s.requireNoState()
		})
	}
	s := newDetachedHarness(t, 1)
	s.playDetached("a", "clip")
	s.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if over := s.clientMessages(wire.SessionEnded); len(over) != 0 {
		t.Fatalf("who has ended it was told %+v", over)
	}
	s.requireNoState()
}
