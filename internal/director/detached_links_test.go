package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
)

// A node that refuses connections has ended its sessions.
func TestRefusedNodeConnectionEndsSessions(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.step(LinkLost{Link: setup.Link})
	h.step(LinkFailed{Node: nodeName(0), Link: h.links[nodeName(0)], Refused: true})
	if ended := h.clientMessages(wire.SessionEnded); len(ended) != 1 {
		t.Fatalf("%+v", ended)
	}
	h.requireNoState()
}

// One failed connect attempt does not prove that the node is gone, since packets may be lost. Several in a row end its
// sessions.
func TestRepeatedConnectFailuresEndSessions(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.step(LinkLost{Link: setup.Link})
	for i := range 3 {
		if len(h.clientMessages(wire.SessionEnded)) != 0 {
			t.Fatalf("ended after %d connect attempts", i)
		}
		h.advance(2 * time.Second)
		h.step(LinkFailed{Node: nodeName(0), Link: h.links[nodeName(0)]})
	}
	if len(h.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("the session is never ended")
	}
	h.requireNoState()
}

// A machine disappears while its connections stay open and silent. A set-up without an answer in time makes the link
// suspect: it is probed by a second connection, and closed when that fails.
func TestUnansweredSetupProbesLink(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.requestDetached(1, "b", "clip")
	h.advance(500 * ms) // past the leg's deadline
	if h.links[nodeName(0)] == setup.Link {
		t.Fatal("the link was not probed")
	}
	h.clearOutputs()
	h.requestDetached(1, "c", "clip")
	if len(h.setups()) != 0 {
		t.Fatal("a set-up was sent on a suspect link")
	}
	h.step(LinkFailed{Node: nodeName(0), Link: h.links[nodeName(0)]})
	closed := false
	for _, o := range h.outputs {
		if c, ok := o.(CloseLink); ok && c.Link == setup.Link {
			closed = true
		}
	}
	if !closed {
		t.Fatal("the suspect link was not closed")
	}
}

// A probe that connects replaces the suspect link. The old link stays until the set-ups sent on it have their answers,
// which count on that link only.
func TestProbeLinkReplacesSuspectLink(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.requestDetached(1, "b", "exam") // paid: it waits for its answer
	h.requestDetached(1, "c", "clip")
	h.advance(500 * ms)
	probe := h.links[nodeName(0)]
	h.step(LinkConnected{nodeName(0), probe})
	h.clearOutputs()
	h.step(detachedReply(probe, "b", wire.Accepted)) // not on the link that its set-up was sent on
	if len(h.answers()) != 0 {
		t.Fatal("an answer on another link counted")
	}
	h.step(detachedReply(setup.Link, "b", wire.Accepted))
	h.onlyAnswer(wire.Playing)
	closed := false
	for _, o := range h.outputs {
		if c, ok := o.(CloseLink); ok && c.Link == setup.Link {
			closed = true
		}
	}
	if !closed {
		t.Fatal("the old link is kept though no set-up waits on it")
	}
	h.step(detachedReply(probe, "a", wire.Ended))
	if len(h.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("an ending on the new link had no effect")
	}
}

// A node that the server list shows as restarted has lost its sessions.
func TestNodeRestartEndsSessions(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.now += time.Second
	e := upEntry(0)
	e.Incarnation, e.UptimeMS = 99, 100
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{e}}})
	if len(h.clientMessages(wire.SessionEnded)) != 1 || h.links[nodeName(0)] == setup.Link {
		t.Fatal("the session was not ended, or the old link is kept")
	}
	h.requireNoState()
}

// The server list removes a node while there is no connection to it. Its sessions counted as playing for ever and their
// clients were never notified (199 on one long day).
func TestUnlistedUnconnectedNodeEndsSessions(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.step(LinkLost{Link: setup.Link})
	removed := upEntry(0)
	removed.State = wire.Removed
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{removed}}})
	if len(h.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("the session was not ended")
	}
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]}) // another process, at the node's old address
	h.requireNoState()
	if len(h.loop.nodes) != 0 || len(h.loop.links) != 0 {
		t.Fatal("state of the removed node is left")
	}
}

// A session is cancelled while its node has no connection. The end message is sent on the next one.
func TestNodeMessagesWaitForConnection(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.step(LinkLost{Link: setup.Link})
	h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
	if len(h.endedLegs()) != 0 {
		t.Fatal("end message sent without a connection")
	}
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	if len(h.endedLegs()) != 1 {
		t.Fatal("end message not sent on the new connection")
	}
	h.requireNoState()
}
