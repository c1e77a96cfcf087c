package director

import (
	"strings"
	"testing"
	"time"

	"fordusher/internal/wire"
)

// coldReturn is a node whose process ends without a word and which returns with another process, known by its start. The
// methods are what the director may see of it, in any order.
type coldReturn struct {
	*harness
	startOfNew time.Duration
	newSession bool // a session was set up on a connection to the new process
}

const coldStart = 77 // the incarnation of the new process

func (c *coldReturn) node() *node { return c.loop.nodes[nodeName(0)] }

// tell reports a state of the node in an update, or in a whole list.
func (c *coldReturn) tell(state string, incarnation uint64, kind string) {
	e := upEntry(0)
	e.State, e.Incarnation = state, incarnation
	if incarnation == coldStart {
		e.UptimeMS = (c.now - c.startOfNew).Milliseconds()
	}
	c.step(DiscoveryReceived{wire.DiscoveryMessage{Type: kind, Serial: 2, Nodes: []wire.NodeEntry{e},
		Titles: []wire.TitlePlacement{{Title: "t", Copies: 8}}}})
}

var coldReturnEvents = map[string]func(c *coldReturn){
	"told":       func(c *coldReturn) { c.tell(wire.Up, coldStart, wire.Update) },
	"told whole": func(c *coldReturn) { c.tell(wire.Up, coldStart, wire.Snapshot) },
	"draining":   func(c *coldReturn) { c.tell(wire.Draining, coldStart, wire.Update) },
	"gone":       func(c *coldReturn) { c.tell(wire.Removed, 0, wire.Update) },
	"lost":       func(c *coldReturn) { c.step(LinkLost{Link: c.links[nodeName(0)], Reason: "reset"}) },
	"suspected": func(c *coldReturn) {
		if n := c.node(); n != nil && n.connected {
			c.loop.now = c.now
			c.loop.outputs = nil
			c.loop.probeSuspectLink(n, n.link)
			for _, o := range c.loop.outputs {
				if o, ok := o.(Connect); ok {
					c.links[o.Node] = o.Link
				}
			}
		}
	},
	"connected": func(c *coldReturn) {
		c.advance(200 * ms)
		if n := c.node(); n != nil && n.connecting {
			c.step(LinkConnected{nodeName(0), c.links[nodeName(0)]})
		}
	},
	"set up": func(c *coldReturn) {
		c.clearOutputs()
		c.requestDetached(1, "new", "clip")
		for i := 0; i < 20 && len(c.setups()) == 0; i++ { // it may have to wait for a node in slow start
			c.advance(50 * ms)
		}
		for _, setup := range c.setups() {
			if setup.Message.Session == "new" {
				c.step(detachedReply(setup.Link, "new", wire.Accepted))
				c.newSession = true
			}
		}
	},
}

// A node returns cold. Whatever the director sees of it and in whichever order, the session of the old process is released
// once, as soon as the new start is told or earlier, and a session of the new process goes on. Guards against sessions that
// stand for ever on a node that has never been known to start, or was told to have gone meanwhile, and against sessions of the
// new process that are ended for the old one.
func TestColdReturnEndsJustTheSessionsOfTheOldProcess(t *testing.T) {
	for _, order := range []string{
		"told", "told whole", "draining", "gone, told", "gone, told whole",
		"lost, told", "lost, connected, told", "lost, connected, set up, told", "lost, connected, set up, told whole",
		"told, connected, set up", "told, connected, lost, connected, set up", "told, connected, set up, told whole",
		"suspected, connected, told, set up", "suspected, connected, set up, told", "suspected, told, connected, set up",
		"suspected, connected, set up, draining", "suspected, connected, set up, gone, told",
		"gone, lost, told, connected, set up", "lost, connected, gone, told, connected, set up",
		"lost, gone, told, connected, set up", "told, gone, told, connected, set up",
	} {
		for _, known := range []uint64{0, 1} {
			for _, handedOver := range []bool{false, true} {
				name := order
				if known == 0 {
					name += "; earlier start unknown"
				}
				if handedOver {
					name += "; handed over"
				}
				t.Run(name, func(t *testing.T) { testColdReturn(t, strings.Split(order, ", "), known, handedOver) })
			}
		}
	}
}

func testColdReturn(t *testing.T, order []string, known uint64, handedOver bool) {
	c := &coldReturn{harness: newDetachedHarness(t, 1)}
	c.node().setIncarnation(known)
	if handedOver {
		c.handOver(1, "old")
	} else {
		c.playDetached("old", "clip")
	}
	c.clearOutputs()
	c.advance(time.Second)
	c.startOfNew = c.now
	var ended []wire.SessionMessage
	for _, event := range order {
		c.advance(50 * ms)
		ended = append(ended, c.clientMessages(wire.SessionEnded)...)
		c.clearOutputs()
		coldReturnEvents[event](c)
	}
	ended = append(ended, c.clientMessages(wire.SessionEnded)...)
	if len(ended) != 1 || ended[0].ID != "old" || ended[0].Reason != reasonNodeLost {
		t.Fatalf("ended sessions %+v, want the old one once", ended)
	}
	if want := strings.Contains(strings.Join(order, ", "), "set up"); want != c.newSession || want && c.loop.sessionsByKey["new"] == nil {
		t.Fatalf("a session of the new process was set up: %v, wanted: %v, plays: %v", c.newSession, want, c.loop.sessionsByKey["new"] != nil)
	}
}

// A set-up waits on a silent connection when the new start is told. Guards against a paid set-up that is taken for one that
// never ran, and against a wait for a process that has ended.
func TestColdReturnEndsSetupsOfTheOldProcess(t *testing.T) {
	c := &coldReturn{harness: newDetachedHarness(t, 1)}
	c.node().setIncarnation(0)
	c.requestDetached(1, "a", "exam")
	c.onlySetup()
	c.advance(500 * ms)
	c.startOfNew = c.now
	c.advance(50 * ms)
	coldReturnEvents["told"](c)
	c.onlyAnswer(wire.Errored)
	if proofs := c.loop.counts.NeverRanByReason(); proofs["unsent"]+proofs["withdrawn"]+proofs["unconnected"] != 0 {
		t.Fatal("the set-up counts as one that never ran", proofs)
	}
}
