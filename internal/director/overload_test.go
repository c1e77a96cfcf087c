package director

import (
	"fmt"
	"testing"
	"time"

	"fordusher/internal/wire"
)

// The process stalls for more than two seconds. The overdue requests are answered in the order of their deadlines.
func TestOverdueAnswersAfterStallAreInDeadlineOrder(t *testing.T) {
	h := newHarness(t, 3)
	for i, wait := range []int64{1900, 1000, 1500} {
		h.request(nodeName(i), "exam", func(m *wire.SessionMessage) { m.WaitMS = wait; m.Title = "t"; m.Tariff = "clip" })
	}
	h.now += 2500 * ms
	h.step(Tick{})
	order := ""
	for _, a := range h.answers() {
		order += a.ID
	}
	if order != "n1n2n0" {
		t.Fatal(order)
	}
}

// A request crosses the close of its idle connection. It is not taken, because no answer could reach the client; the
// close itself is the answer.
func TestRequestCrossesEviction(t *testing.T) {
	h := newHarness(t, 3)
	for i := range 960 { // near the capacity, so idle connections are evicted
		h.connectClient(uint64(100 + i))
	}
	h.advance(2 * time.Second)
	var evicted []uint64
	for _, o := range h.outputs {
		if c, ok := o.(CloseClient); ok && c.Code == 1013 {
			evicted = append(evicted, c.Conn)
		}
	}
	if len(evicted) == 0 || evicted[0] != 1 { // the first connection has been idle longest
		t.Fatal(len(evicted))
	}
	h.clearOutputs()
	h.request("1", "exam")
	if len(h.setups()) != 0 || len(h.answers()) != 0 {
		t.Fatal("the request was taken though its connection is being closed")
	}
	h.step(ClientLost{Conn: 1})
	h.requireNoState()
}

// The loop is overloaded. Requests that have waited long in the queue are nacked at once with a retry delay, before any
// work is done for them. A request that resumes an existing session is still served.
func TestQueueDelaySheddingUnderOverload(t *testing.T) {
	h := newHarness(t, 2)
	h.request("first", "clip")
	h.step(legReply(h.onlySetup(), wire.Accepted))
	h.clearOutputs()
	requestDelayed := func(id string) {
		h.step(ClientReceived{Conn: 1, Waited: 300 * ms, Message: wire.SessionMessage{Type: wire.Request, ID: id,
			Tariff: "clip", Title: "t", Key: "key-" + id, WaitMS: 5000}})
	}
	for i := range 300 {
		h.now += ms
		requestDelayed(fmt.Sprint("w", i))
		if n := len(h.loop.sessions); n > 4 { // the most that a connection may have
			t.Fatal(n)
		}
		for _, session := range h.loop.sessions {
			if session.request != "first" {
				h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Cancel, ID: session.request}})
			}
		}
	}
	nacks := h.clientMessages(wire.Nack)
	if len(nacks) < 90 || nacks[0].Reason != "busy" || nacks[0].BackoffMS < 1000 || h.loop.counts.RequestsShed != uint64(len(nacks)) {
		t.Fatal(len(nacks), h.loop.counts.RequestsShed)
	}
	h.clearOutputs()
	h.connectClient(2)
	h.step(ClientReceived{Conn: 2, Waited: 300 * ms, Message: wire.SessionMessage{Type: wire.Request, ID: "again",
		Tariff: "clip", Title: "t", Key: "key-first", WaitMS: 5000}})
	if len(h.clientMessages(wire.Playing)) != 1 || h.loop.counts.Adopted != 1 {
		t.Fatal(h.outputs)
	}
}

// A request whose deadline passes in the queue is answered in the step that receives it, without a leg.
func TestDeadlinePassesInQueue(t *testing.T) {
	h := newHarness(t, 2)
	h.step(ClientReceived{Conn: 1, Waited: 2 * time.Second, Message: wire.SessionMessage{Type: wire.Request, ID: "1",
		Tariff: "exam", Title: "t", Key: "k", WaitMS: 2000}})
	if n := h.clientMessages(wire.Nack); len(n) != 1 || len(h.setups()) != 0 {
		t.Fatal(h.outputs)
	}
	h.requireNoState()
}
