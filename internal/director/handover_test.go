package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
)

// Each case is a hand-over that meets another event. Guards against a session that stands for ever, or that is ended
// though it plays.
func TestHandOverMeetsOtherEvents(t *testing.T) {
	drained := func(h *harness, state string) {
		e := upEntry(0)
		e.State = state
		h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{e}}})
	}
	end := func(h *harness) { h.step(detachedReply(h.links[nodeName(0)], "a", wire.Ended)) }
	reply := func(kind, reason string) func(h *harness) {
		return func(h *harness) {
			h.handOver(1, "a")
			m := detachedReply(h.links[nodeName(0)], "a", kind)
			m.Message.Reason = reason
			h.step(m)
		}
	}
	for name, x := range map[string]struct {
		play  func(h *harness)
		plays bool
		ends  int // that are sent
	}{
		"twice on one connection":         {func(h *harness) { h.handOver(1, "a"); h.handOver(1, "a") }, true, 0},
		"twice on two connections":        {func(h *harness) { h.handOver(1, "a"); h.handOver(2, "a") }, true, 0},
		"twice, ended":                    {func(h *harness) { h.handOver(1, "a"); h.handOver(2, "a"); end(h) }, false, 1},
		"to a draining node":              {func(h *harness) { drained(h, wire.Draining); h.handOver(1, "a") }, true, 0},
		"to a node that drains then":      {func(h *harness) { h.handOver(1, "a"); drained(h, wire.Draining) }, true, 0},
		"to a node that is gone":          {func(h *harness) { drained(h, wire.Removed); h.handOver(1, "a") }, false, 1},
		"to a node that goes then":        {func(h *harness) { h.handOver(1, "a"); drained(h, wire.Removed) }, true, 0},
		"to a node that goes then, ended": {func(h *harness) { h.handOver(1, "a"); drained(h, wire.Removed); end(h) }, false, 1},
		"a second answer":                 {reply(wire.Accepted, ""), true, 0},
		"it never left (454)":             {reply(wire.Unsent, ""), true, 0},
		"full (453)":                      {reply(wire.Full, ""), false, 1},
		"an error (500)":                  {reply(wire.Failed, ""), false, 1},
		"a reset (504)":                   {reply(wire.Failed, wire.Lost), false, 1},
		"a measurement":                   {reply(wire.Measurement, ""), true, 0},
		"a measurement before": {func(h *harness) {
			h.step(detachedReply(h.links[nodeName(0)], "a", wire.Measurement))
			h.handOver(1, "a")
		}, true, 0},
		"its client's connection ends": {func(h *harness) { h.handOver(1, "a"); h.step(ClientLost{Conn: 1}) }, true, 0},
		"its connection ends, then it": {func(h *harness) { h.handOver(1, "a"); h.step(ClientLost{Conn: 1}); end(h); h.advance(anyClientDelay) }, false, 1},
		"its client ends it":           {func(h *harness) { h.handOver(1, "a"); h.cancel(1, "a") }, false, 0},
		"another connection ends it":   {func(h *harness) { h.handOver(1, "a"); h.cancel(2, "a") }, false, 1},
		"its node's connection ends":   {func(h *harness) { h.handOver(1, "a"); h.step(LinkLost{Link: h.links[nodeName(0)]}) }, true, 0},
		"its node refuses connections": {func(h *harness) { h.loseNode(); h.handOver(1, "a"); h.refuseNode() }, false, 1},
		"its node refused before": {func(h *harness) {
			h.loseNode()
			h.refuseNode()
			h.handOver(1, "a")
			h.advance(time.Second)
			h.refuseNode()
		}, false, 1},
		"on a connection without capacity": {func(h *harness) { h.rejectClient(3); h.handOver(3, "a"); h.advance(time.Second) }, true, 0},
		"that ends, without capacity":      {func(h *harness) { h.rejectClient(3); h.handOver(3, "a"); end(h); h.advance(time.Second) }, false, 1},
		"during a shutdown":                {func(h *harness) { h.stop(); h.handOver(1, "a"); h.advance(3 * time.Second) }, false, 1},
		"late in a shutdown":               {func(h *harness) { h.stop(); h.advance(550 * ms); h.handOver(1, "a"); h.advance(3 * time.Second) }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDetachedHarness(t, 1)
			h.connectClient(2)
			h.clearOutputs()
			x.play(h)
			if n := len(h.clientMessages(wire.SessionEnded)); n != x.ends {
				t.Errorf("%d ends were sent, want %d", n, x.ends)
			}
			if plays := h.loop.playing == 1; plays != x.plays {
				t.Errorf("the session plays: %v, want %v", plays, x.plays)
			}
			if !x.plays {
				h.requireNoState()
			}
		})
	}
}

func (h *harness) cancel(conn uint64, id string) {
	h.step(ClientReceived{Conn: conn, Message: wire.SessionMessage{Type: wire.Cancel, ID: id}})
}

// loseNode ends the connection to the only node; another connect attempt begins.
func (h *harness) loseNode() { h.step(LinkLost{Link: h.links[nodeName(0)]}) }

// refuseNode lets the connect attempt to the only node be refused.
func (h *harness) refuseNode() {
	h.step(LinkFailed{Node: nodeName(0), Link: h.links[nodeName(0)], Refused: true})
}

// rejectClient connects a client for which there is no capacity.
func (h *harness) rejectClient(conn uint64) {
	h.loop.limits = limits.New(1, limits.Capacity{MaxConnections: 1, MaxHandshakes: 1, HeartbeatInterval: time.Hour,
		IdleTimeout: time.Hour, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second})
	h.loop.limits.Step(h.now, limits.Event{Kind: limits.ConnectRequest, Conn: 0})
	h.step(ClientConnecting{Conn: conn})
}

// stop begins a shutdown that closes the client connections after 500 ms, for 200 ms.
func (h *harness) stop() {
	h.loop.shutdownPolicy.MinDuration, h.loop.shutdownPolicy.CloseTimeout = 500*ms, 200*ms
	h.step(Stop{})
}
