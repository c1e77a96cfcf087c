package director

import (
	"testing"

	"fordusher/internal/wire"
)

// A node dies and another one starts at its address before the director connects again, so the connection that belongs
// to the old one leads to the new one. Guards against sessions of the old node that nothing ends: the new one does not
// know them. Discovery reports the two in either order, or in one event.
func TestNodeReplacedAtItsAddress(t *testing.T) {
	gone, started := upEntry(0), upEntry(1)
	gone.State = wire.Removed
	started.Address = gone.Address
	for name, events := range map[string][][]wire.NodeEntry{
		"gone first":    {{gone}, {started}},
		"started first": {{started}, {gone}},
		"at once":       {{started, gone}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDetachedHarness(t, 1)
			h.handOver(1, "a")
			h.step(LinkLost{Link: h.links[nodeName(0)], Reason: "reset"})
			h.advance(100 * ms)
			h.step(LinkConnected{nodeName(0), h.links[nodeName(0)]}) // by the new node's process
			for i, entries := range events {
				h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: uint64(2 + i), Nodes: entries}})
			}
			h.requireEnded(1, reasonNodeLost)
			if n := h.loop.nodes[nodeName(1)]; n == nil || !n.listed || h.loop.nodes[nodeName(0)] != nil {
				t.Fatal("the nodes are not as discovery has them")
			}
		})
	}
}

// A node sends the end of its session on a connection that was made under the name of the node that it has replaced at
// its address, before or after discovery has reported that. Guards against an end that is not recognized: the node uses
// any open connection of the director.
func TestEndOnConnectionOfReplacedNode(t *testing.T) {
	for name, gone := range map[string]bool{"both listed": false, "the first removed": true} {
		t.Run(name, func(t *testing.T) {
			h := newDetachedHarness(t, 1)
			link := h.links[nodeName(0)]
			started, removed := upEntry(1), upEntry(0)
			started.Address = removed.Address
			removed.State = wire.Removed
			h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{started}}})
			h.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Request, ID: "a", Key: "a", Tariff: "clip", Title: "t"},
				Details: &RequestDetails{Copies: 8, PlayingOn: nodeName(1)}})
			if gone {
				h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 3, Nodes: []wire.NodeEntry{removed}}})
			}
			h.step(detachedReply(link, "a", wire.Ended))
			h.requireEnded(1, ReasonEnded)
		})
	}
}
