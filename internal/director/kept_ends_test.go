package director

import (
	"fmt"
	"testing"
	"time"

	"fordusher/internal/wire"
)

// handOver hands over on a client connection a session that plays on the first node.
func (h *harness) handOver(conn uint64, id string) {
	h.t.Helper()
	h.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Request, ID: id, Key: id, Tariff: "clip", Title: "t"},
		Details: &RequestDetails{Copies: 8, PlayingOn: nodeName(0)}})
}

// requireEnded checks that the client was notified so many times of the end of session a, for the given reason, and that
// no session is left.
func (h *harness) requireEnded(times int, reason string) {
	h.t.Helper()
	ended := h.clientMessages(wire.SessionEnded)
	if len(ended) != times {
		h.t.Fatalf("%d ends were sent, want %d", len(ended), times)
	}
	for _, m := range ended {
		if m.ID != "a" || m.Reason != reason {
			h.t.Fatalf("%+v, want the end of a for the reason %q", m, reason)
		}
	}
	h.requireNoState()
}

// A session's end comes before its hand-over, from its node with each cause. Guards against a session that is adopted
// after its end: its client would wait for ever.
func TestEndBeforeHandOver(t *testing.T) {
	for cause, reason := range map[string]string{"": ReasonEnded, wire.Cancelled: ReasonEndedElsewhere, wire.Lost: reasonNodeLost} {
		h := newDetachedHarness(t, 1)
		end := detachedReply(h.links[nodeName(0)], "a", wire.Ended)
		end.Message.Reason = cause
		h.step(end)
		h.advance(keptEndRetention - 1)
		h.handOver(1, "a")
		h.requireEnded(1, reason)
	}
}

// A session is handed over once more after its end was sent, for example on another connection. Guards against a second
// adoption, which nothing would end.
func TestHandOverAfterEndWasSent(t *testing.T) {
	h := newDetachedHarness(t, 1)
	h.handOver(1, "a")
	h.step(detachedReply(h.links[nodeName(0)], "a", wire.Ended))
	h.connectClient(2)
	h.handOver(2, "a")
	h.requireEnded(2, ReasonEnded)
}

// Another node ends a session of the same name, such as an earlier attempt of it. Guards against the end of a session
// that plays.
func TestEndOnAnotherNodeDoesNotConcernHandOver(t *testing.T) {
	h := newDetachedHarness(t, 2)
	h.step(detachedReply(h.links[nodeName(1)], "a", wire.Ended))
	h.handOver(1, "a")
	if h.loop.playing != 1 || len(h.clientMessages(wire.SessionEnded)) != 0 {
		t.Fatal("the session does not play")
	}
}

// More ends come than are kept, and the oldest is dropped, which is counted. After keptEndRetention none is left.
func TestKeptEndsAreBounded(t *testing.T) {
	h := newDetachedHarness(t, 1)
	for i := range maxKeptEnds + 1 {
		h.step(detachedReply(h.links[nodeName(0)], fmt.Sprint(i), wire.Ended))
	}
	h.handOver(1, "0") // its end was dropped
	h.handOver(1, "1")
	if ends := h.clientMessages(wire.SessionEnded); len(ends) != 1 || ends[0].ID != "1" {
		t.Fatalf("%+v", ends)
	}
	if c := h.loop.counts; c.Dropped[DropKeptEnd] != 1 || c.EndedEarly != 1 {
		t.Fatalf("%d dropped, %d early ends, want 1 and 1", c.Dropped[DropKeptEnd], c.EndedEarly)
	}
	h.now += keptEndRetention
	h.step(detachedReply(h.links[nodeName(0)], "last", wire.Ended))
	if n := h.loop.nodeEnds.len(); n != 1 {
		t.Fatalf("%d ends are kept after %v, want 1", n, keptEndRetention)
	}
}

// A client's cancellation comes before the session is handed over, on the same or on another connection. Guards against
// a session that goes on at its node though its client has left it.
func TestCancelBeforeHandOver(t *testing.T) {
	for _, conn := range []uint64{1, 2} {
		h := newDetachedHarness(t, 1)
		h.connectClient(2)
		h.clearOutputs()
		h.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
		h.handOver(1, "a")
		if len(h.endedLegs()) != 1 {
			t.Fatalf("connection %d: the node got %d end messages, want 1", conn, len(h.endedLegs()))
		}
		h.requireNoState()
	}
}

// A session is handed over, and later cancelled, on a connection that has ended or is being closed. Guards against
// messages about a playing session that are lost with a connection, of which the session is independent.
func TestHandOverAndCancelOnEndingConnection(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"ended":        func(h *harness) { h.step(ClientLost{Conn: 2}) },
		"being closed": func(h *harness) { h.loop.conns[2].closing = true },
	} {
		h := newDetachedHarness(t, 1)
		h.connectClient(2)
		end(h)
		h.clearOutputs()
		h.handOver(2, "a")
		if h.loop.playing != 1 {
			t.Fatalf("connection %s: the session does not play", name)
		}
		h.step(ClientReceived{Conn: 2, Message: wire.SessionMessage{Type: wire.Cancel, ID: "a"}})
		if len(h.endedLegs()) != 1 {
			t.Fatalf("connection %s: the node got %d end messages, want 1", name, len(h.endedLegs()))
		}
		h.requireNoState()
	}
}

// A node sends a session's end on a connection that the director is closing because another has replaced it. Guards
// against an end that nobody reads. The node gets an end message for a set-up that is given up with its connection.
func TestEndOnClosingLink(t *testing.T) {
	h := newDetachedHarness(t, 1)
	setup := h.playDetached("a", "clip")
	h.requestDetached(1, "b", "clip")
	h.advance(500 * ms) // past the leg's deadline; a probe connection is made
	h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
	if closed := h.closedLinks(); len(closed) != 1 || closed[0] != setup.Link {
		t.Fatalf("closed %v, want the replaced link", closed)
	}
	if l := h.loop; l.linkDescriptors() != len(l.links)+1+l.connector.Dialing() {
		t.Fatal("the closing link's descriptor does not count")
	}
	h.clearOutputs()
	h.step(detachedReply(setup.Link, "a", wire.Ended))
	if len(h.clientMessages(wire.SessionEnded)) != 1 {
		t.Fatal("the client was not notified")
	}
	h.advance(closingLinkTimeout)
	if h.loop.closingLinks[setup.Link] != nil {
		t.Fatalf("the link is still read after %v", closingLinkTimeout)
	}
}

// A node does not close its side of a connection that the director is closing, for example because their network is
// partitioned. Guards against ends that the node has sent there and that are lost: the node repeats them on the next
// connection, which has to be made.
func TestClosingLinkThatIsAborted(t *testing.T) {
	for _, aborted := range []bool{false, true} {
		h := newDetachedHarness(t, 1)
		setup := h.playDetached("a", "clip")
		h.requestDetached(1, "b", "clip")
		h.advance(500 * ms) // past the leg's deadline; a probe connection is made
		h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]})
		h.clearOutputs()
		h.now += time.Millisecond
		h.step(LinkLost{Link: setup.Link, Aborted: aborted, Reason: "closed"})
		if made := len(h.connects()) == 1; made != aborted {
			t.Fatalf("aborted: %v, another connection is made: %v", aborted, made)
		}
	}
}
