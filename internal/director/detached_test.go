package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// newDetachedHarness is a harness with Options.Detached: a playing session belongs to no connection.
func newDetachedHarness(t testingT, nodes int) *harness {
	h := newHarness(t, nodes)
	h.loop.options.Detached, h.loop.options.NoHello, h.loop.options.Linger = true, true, 0
	return h
}

// requestDetached sends a request whose id is the name of its session.
func (h *harness) requestDetached(conn uint64, id, tariff string) {
	h.t.Helper()
	h.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Request, ID: id, Key: id, Tariff: tariff,
		Title: "t", WaitMS: 5000},
		Details: &RequestDetails{FirstCell: 0, Copies: 8, Description: []byte("as it came")}})
}

// detachedReply is a node's message about a session, received on that link.
func detachedReply(link uint64, session, kind string) LinkReceived {
	return LinkReceived{Link: link, Message: wire.NodeMessage{Type: kind, Session: session}, Description: []byte("as the node has it")}
}

// playDetached requests a session on client connection 1 and lets the only node accept it.
func (h *harness) playDetached(id, tariff string) SendNode {
	h.t.Helper()
	h.clearOutputs()
	h.requestDetached(1, id, tariff)
	setup := h.onlySetup()
	h.step(detachedReply(setup.Link, id, wire.Accepted))
	h.onlyAnswer(wire.Playing)
	h.clearOutputs()
	return setup
}

func TestDescriptionsAreForwardedUnchanged(t *testing.T) {
	h := newDetachedHarness(t, 1)
	h.requestDetached(1, "a", "clip")
	setup := h.onlySetup()
	if string(setup.Description) != "as it came" || setup.Message.Session != "a" {
		t.Fatalf("%+v", setup)
	}
	h.step(detachedReply(setup.Link, "a", wire.Accepted))
	for _, o := range h.lastOutputs {
		if m, ok := o.(SendClient); ok && string(m.Description) != "as the node has it" {
			t.Fatalf("%+v", m)
		}
	}
	h.onlyAnswer(wire.Playing)
}

func TestDetachedSessionOutlivesConnections(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.connectClient(2)
	h.step(ClientLost{Conn: 1})
	h.step(LinkLost{Link: setup.Link})
	if len(h.clientMessages(wire.SessionEnded)) != 0 || h.loop.playing != 1 {
		t.Fatal("the session ended with a connection")
	}
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	h.step(detachedReply(h.links[nodeName(0)], "a", wire.Ended))
	h.advance(anyClientDelay) // no session of the only client connection has played
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].ID != "a" || ended[0].Reason != ReasonEnded {
		t.Fatalf("%+v", ended)
	}
	h.requireNoState()
}

// A session ends while no client is connected. The ending is sent on the next client connection, after anyClientDelay
// if no session of that connection has played, and is dropped after undeliveredRetention.
func TestUndeliveredEndingWaitsForConnection(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.step(ClientLost{Conn: 1})
	h.step(detachedReply(setup.Link, "a", wire.Ended))
	if len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("sent without a client connection")
	}
	h.connectClient(2)
	if len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("sent at once on an unproven connection")
	}
	h.advance(anyClientDelay - 1)
	if len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("sent on an unproven connection before anyClientDelay")
	}
	h.advance(1)
	if len(h.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("ending not sent after anyClientDelay")
	}
	setup = h.playDetachedOn(2, "b")
	h.step(ClientLost{Conn: 2})
	h.step(detachedReply(setup.Link, "b", wire.Ended))
	h.now += undeliveredRetention
	h.connectClient(3)
	if len(h.clientMessages(wire.SessionEnded)) != 0 || len(h.loop.undelivered) != 0 {
		t.Fatal("ending kept longer than undeliveredRetention")
	}
}

// Many clients only hold a connection and might not pass an ending on. It is sent on a connection of which a session
// has played.
func TestEndingPrefersProvenConnection(t *testing.T) {
	h := newDetachedHarness(t, 1)
	for conn := uint64(2); conn < 20; conn++ {
		h.connectClient(conn)
	}
	setup := h.playDetached("a", "clip")
	h.playDetachedOn(15, "b")
	h.playDetachedOn(16, "c")
	h.step(ClientLost{Conn: 1})
	h.step(ClientLost{Conn: 16})
	h.step(detachedReply(setup.Link, "a", wire.Ended))
	if conns := h.endingConns(); len(conns) != 1 || conns[0] != 15 {
		t.Fatalf("ending sent on %v", conns)
	}
	// No proven connection is left; b's ending waits until a session of another connection plays, and so does a's, whose
	// connection has ended right after it.
	h.step(ClientLost{Conn: 15})
	h.step(detachedReply(setup.Link, "b", wire.Ended))
	h.requestDetached(17, "d", "clip")
	d := h.onlySetup()
	h.clearOutputs()
	h.step(detachedReply(d.Link, "d", wire.Accepted))
	if ids := h.endingsOn(17); len(ids) != 2 || ids[0] != "a" || ids[1] != "b" || len(h.endingConns()) != 2 {
		t.Fatalf("endings of %v sent on connection 17, in all on %v", ids, h.endingConns())
	}
}

// endingConns returns the client connections on which the last step sent an ending.
func (h *harness) endingConns() (conns []uint64) {
	for _, o := range h.lastOutputs {
		if m, ok := o.(SendClient); ok && m.Message.Type == wire.SessionEnded {
			conns = append(conns, m.Conn)
		}
	}
	return conns
}

// When capacity runs short, the connection that a playing session was requested on is not evicted: its client awaits
// the ending there.
func TestConnectionWithPlayingSessionIsNotEvicted(t *testing.T) {
	h := newDetachedHarness(t, 1)
	h.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 10, MaxHandshakes: 10, HeartbeatInterval: time.Hour,
		IdleTimeout: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	h.step(ClientLost{Conn: 1})
	h.connectClient(1)
	setup := h.playDetached("a", "clip")
	h.advance(5 * time.Second)
	evicted := map[uint64]bool{}
	h.clearOutputs()
	for conn := uint64(2); conn < 12; conn++ {
		h.connectClient(conn)
		h.advance(2 * time.Second)
	}
	for _, o := range h.outputs {
		if m, ok := o.(CloseClient); ok {
			evicted[m.Conn] = true
		}
	}
	if evicted[1] || !evicted[2] {
		t.Fatalf("evicted: %v", evicted)
	}
	h.clearOutputs()
	h.step(detachedReply(setup.Link, "a", wire.Ended))
	if conns := h.endingConns(); len(conns) != 1 || conns[0] != 1 {
		t.Fatalf("ending sent on %v", conns)
	}
	if _, busy, _ := h.loop.ConnectionUsage(); busy != 0 {
		t.Fatalf("%d connections are busy", busy)
	}
}

// playDetachedOn requests a session with the tariff clip on a client connection and lets its node accept it.
func (h *harness) playDetachedOn(conn uint64, id string) SendNode {
	h.t.Helper()
	h.clearOutputs()
	h.requestDetached(conn, id, "clip")
	setup := h.onlySetup()
	h.step(detachedReply(setup.Link, id, wire.Accepted))
	h.clearOutputs()
	return setup
}

// A request or cancellation with the id of another connection's session must not affect that session. The same client's
// duplicate is ignored.
func TestDuplicateSessionIDIsRefused(t *testing.T) {
	h := newDetachedHarness(t, 1)
	h.connectClient(2)
	h.clearOutputs()
	h.requestDetached(1, "a", "clip")
	setup := h.onlySetup()
	h.requestDetached(1, "a", "exam")
	h.requestDetached(2, "a", "clip")
	h.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if len(h.setups()) != 1 || len(h.endedLegs()) != 0 {
		t.Fatal("the first request was affected")
	}
	if answers := h.answers(); len(answers) != 1 || answers[0].Type != wire.Errored {
		t.Fatalf("%+v", answers)
	}
	h.clearOutputs()
	h.step(detachedReply(setup.Link, "a", wire.Accepted))
	h.step(detachedReply(setup.Link, "a", wire.Accepted))
	h.onlyAnswer(wire.Playing)
}

// A client reports a session that already plays on a node. It is adopted without an answer; one on an unknown node is
// ended.
func TestPlayingSessionsAreAdopted(t *testing.T) {
	h := newDetachedHarness(t, 1)
	adopt := func(id, node string) {
		h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Request, ID: id, Key: id, Tariff: "exam", Title: "t"},
			Details: &RequestDetails{Copies: 8, PlayingOn: node}})
	}
	adopt("a", nodeName(0))
	adopt("a", nodeName(0)) // reported again
	if h.loop.playing != 1 || len(h.answers()) != 0 {
		t.Fatal("not adopted once, or answered")
	}
	adopt("b", "nobody")
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].ID != "b" {
		t.Fatalf("%+v", ended)
	}
	h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if len(h.endedLegs()) != 1 {
		t.Fatal("no end message for the session was sent to the node")
	}
	h.requireNoState()
}

// A cancellation may come on a connection that was rejected or has closed. It ends a playing session all the same, but
// not a request that another connection awaits.
func TestCancelOnUnknownConnectionEndsSession(t *testing.T) {
	h := newDetachedHarness(t, 1)
	h.playDetached("a", "clip")
	h.requestDetached(1, "b", "clip")
	cancel := ClientReceived{Conn: 77, Message: wire.SessionMessage{Type: wire.Cancel, ID: "b"}}
	h.step(cancel)
	if h.loop.owed != 1 {
		t.Fatal("a cancellation on another connection ended a waiting request")
	}
	cancel.Message.ID = "a"
	h.step(cancel)
	if h.loop.playing != 0 {
		t.Fatal("the session was not ended")
	}
}

// The requests on a rejected connection are nacked before it is closed. Of requests whose connection is closed without
// an answer, those beyond a few in a thousand are lost.
func TestRejectedConnectionGetsRefusal(t *testing.T) {
	h := newDetachedHarness(t, 1)
	h.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 1, MaxHandshakes: 1, HeartbeatInterval: time.Hour,
		IdleTimeout: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	h.step(ClientLost{Conn: 1})
	h.connectClient(1)
	h.playDetached("a", "clip") // the capacity is one connection
	h.step(ClientConnecting{Conn: 2})
	h.requestDetached(2, "b", "clip")
	h.requestDetached(2, "c", "exam")
	if nacks := h.clientMessages(wire.Nack); len(nacks) != 2 || nacks[0].ID != "b" || nacks[1].ID != "c" || len(h.setups()) != 0 {
		t.Fatalf("%+v, %d set-ups", nacks, len(h.setups()))
	}
	h.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}}) // a cancellation is processed all the same
	if h.loop.playing != 0 {
		t.Fatal("the session was not ended")
	}
	h.advance(rejectionWindow)
	closed := 0
	for _, o := range h.outputs {
		if m, ok := o.(CloseClient); ok && m.Conn == 2 {
			closed++
		}
	}
	h.step(ClientLost{Conn: 2})
	if closed != 1 || len(h.loop.rejectedConns) != 0 || len(h.loop.conns) != 1 {
		t.Fatalf("closed %d times, %d rejected, %d connections", closed, len(h.loop.rejectedConns), len(h.loop.conns))
	}
}

// A request is on its way to the loop when its idle connection is evicted for want of descriptors. It is served.
func TestMessageDuringIdleCloseIsServed(t *testing.T) {
	h := newOnDemandHarness(t, 1, 3)
	h.advance(time.Second) // the capacity is used up by one connection
	var closed []uint64
	for _, o := range h.outputs {
		if m, ok := o.(CloseClient); ok && m.Idle {
			closed = append(closed, m.Conn)
		}
	}
	if len(closed) == 0 || closed[0] != 1 {
		t.Fatalf("closed as idle: %v", closed)
	}
	h.clearOutputs()
	h.step(ClientStillActive{1})
	h.requestDetached(1, "b", "clip")
	if len(h.connects()) != 1 {
		t.Fatal("the request was not taken")
	}
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	h.onlySetup()
}

// A client is notified once of the end of its session, on the connection that the session was requested on, whether the
// node or another client ended it. A client that cancels on that connection itself is not notified.
func TestClientIsNotifiedOfEveryEnd(t *testing.T) {
	for name, end := range map[string]func(h *harness, setup SendNode){
		"node: finished": func(h *harness, setup SendNode) { h.step(detachedReply(setup.Link, "a", wire.Ended)) },
		"node: cancelled by its client": func(h *harness, setup SendNode) {
			m := detachedReply(setup.Link, "a", wire.Ended)
			m.Message.Reason = wire.Cancelled
			h.step(m)
		},
		"node: lost": func(h *harness, setup SendNode) {
			m := detachedReply(setup.Link, "a", wire.Ended)
			m.Message.Reason = wire.Lost
			h.step(m)
		},
		"client on another connection": func(h *harness, setup SendNode) {
			h.connectClient(2)
			h.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
		},
		"client on a closed connection": func(h *harness, setup SendNode) {
			h.step(ClientReceived{Conn: 7, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDetachedHarness(t, 1)
			end(h, h.playDetached("a", "clip"))
			if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 || ended[0].ID != "a" {
				t.Fatalf("endings %+v", ended)
			}
			h.requireNoState()
		})
	}
	h := newDetachedHarness(t, 1)
	h.playDetached("a", "clip")
	h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 0 {
		t.Fatalf("the client that cancelled was sent %+v", ended)
	}
	h.requireNoState()
}
