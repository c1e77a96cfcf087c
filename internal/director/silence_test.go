package director

import (
	"testing"
	"time"

	"fordusher/internal/wire"
)

// A node's machine vanishes: its connection stays open and silent, and new ones never come up. Guards against sessions
// whose ends are told late, because the silence is looked at in steps, or never, because the server list no longer names
// the node and the connection does not end.
func TestSilentNodeEndsItsSessionsInTime(t *testing.T) {
	for name, unlisted := range map[string]bool{"listed": false, "removed from the list": true} {
		h := newDetachedHarness(t, 1)
		policy := h.loop.reconnectPolicy
		h.handOver(1, "a")
		if unlisted {
			removed := upEntry(0)
			removed.State = wire.Removed
			h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{removed}}})
		}
		vanishedAt := h.now
		const stepSlack = 100 * ms // the test's steps are 10 ms, and several waits follow one another
		limit := policy.SilenceLimit() + policy.TimeToDead(h.loop.options.ConnectTimeout) + stepSlack
		h.clearOutputs()
		var dials []timedDial
		handled := 0 // of h.outputs
		for len(h.clientMessages(wire.SessionEnded)) == 0 {
			if h.now-vanishedAt > limit {
				t.Fatalf("%s: no end was sent within %v", name, limit)
			}
			h.now += 10 * ms
			h.step(Tick{})
			for ; handled < len(h.outputs); handled++ {
				switch o := h.outputs[handled].(type) {
				case ProbeLink:
					h.step(LinkAlive{Link: o.Link, IdleFor: h.now - vanishedAt})
				case Connect:
					dials = append(dials, timedDial{o.Link, h.now + o.Timeout})
				}
			}
			for len(dials) > 0 && dials[0].failsAt <= h.now {
				h.step(LinkFailed{Node: nodeName(0), Link: dials[0].link})
				dials = dials[1:]
			}
		}
		h.requireNoState()
	}
}

type timedDial struct {
	link    uint64
	failsAt time.Duration
}
