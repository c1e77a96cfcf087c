package director

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"fordusher/internal/wire"
	"fordusher/policy"
)

// The cost of an event must not grow with the servers that it does not concern. These tests count work, not time.

const (
	fleetRackSize  = 7
	fleetInterval  = 100 * ms // between two sessions
	fleetUsedNodes = 8        // nodes that hold the only title that is requested
)

// A fleet is a loop that knows many nodes, connects to them on demand and uses the first few.
type fleet struct {
	loop  *Loop
	now   time.Duration
	nodes int
	id    int
	link  uint64 // of the latest set-up
}

func newFleet(t testingT, nodes int) *fleet {
	h := newOnDemandHarness(t, 0, 0)
	l := h.loop
	tariffs := make([]policy.Tariff, len(testTariffs))
	for i, tariff := range testTariffs {
		tariffs[i] = tariff.Tariff
	}
	l.decider = policy.New(1, policy.Peers{Directors: 300}, tariffs, l.ladder,
		policy.Topology{Cells: nodes, Racks: max(1, nodes/fleetRackSize), LinkUnit: 10_000, Uplink: 100_000},
		policy.Ramp{MaxStreams: []float64{100}, Warmup: time.Second, InitialShare: 0.5, OverloadMultiple: 4, OverloadWindow: 500 * ms},
		policy.RetryPolicy{MaxLegs: 4}, policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	f := &fleet{loop: l, now: h.now, nodes: nodes}
	f.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Snapshot, Serial: 1, Nodes: f.entries(0, nodes)}})
	f.now += 2 * time.Second // past the warm-up, in which a director that has just started sends less to every node
	f.step(Tick{})
	return f
}

func (f *fleet) step(in Input) []Output { return f.loop.Step(f.now, in) }

// entries are the list entries of some nodes from the first.
func (f *fleet) entries(first, count int) (all []wire.NodeEntry) {
	for i := range count {
		all = append(all, upEntry(first+i))
	}
	return all
}

// setUp requests a session, connects to its node if the loop asks for that, and returns the number of connects.
func (f *fleet) setUp() (connects int) {
	f.id++
	name := sessionID(f.id)
	outputs := f.step(ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Request, ID: name, Key: name, Tariff: "clip",
		Title: "t", WaitMS: 5000}, Details: &RequestDetails{FirstCell: 0, Copies: fleetUsedNodes}})
	f.link = 0
	for len(outputs) > 0 && f.link == 0 {
		var connect Input
		for _, o := range outputs {
			switch o := o.(type) {
			case Connect:
				connects++
				connect = LinkConnected{o.Node, o.Link}
			case SendNode:
				f.link = o.Link
			}
		}
		if connect == nil {
			break
		}
		outputs = f.step(connect)
	}
	return connects
}

// sessionID returns the id of a session. It avoids package fmt, whose pool makes the number of allocations vary.
func sessionID(number int) string { return "s" + strconv.Itoa(number) }

// reply passes the loop a message of the latest session's node about that session, or about an earlier one.
func (f *fleet) reply(link uint64, id int, message wire.NodeMessage) {
	message.Session = sessionID(id)
	f.step(LinkReceived{Link: link, Message: message})
}

func (f *fleet) answer() { f.reply(f.link, f.id, wire.NodeMessage{Type: wire.Accepted}) }

func (f *fleet) note() {
	f.reply(f.link, f.id, wire.NodeMessage{Type: wire.Measurement, MeasurementKind: int(policy.LinkLoad), MeasurementValue: 0.3})
}

func (f *fleet) end() { f.reply(f.link, f.id, wire.NodeMessage{Type: wire.Ended}) }

// session carries out all events of a session.
func (f *fleet) session() {
	f.now += fleetInterval
	f.setUp()
	f.answer()
	f.note()
	f.end()
}

// listChange is a list change that drains some nodes from the first or lists them as up again.
func (f *fleet) listChange(first, count int, state string) DiscoveryReceived {
	entries := f.entries(first, count)
	for i := range entries {
		entries[i].State = state
	}
	return DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: entries}}
}

// idleSecond passes the loop the ticks of a second.
func (f *fleet) idleSecond() {
	for end := f.now + time.Second; ; f.step(Tick{}) {
		if f.now = f.loop.Next(); f.now >= end {
			f.now = end
			return
		}
	}
}

// With 3,200 known nodes, no event looks at a node that it does not concern: those are replaced by nil, which would make
// the loop panic. Only nodes that are used are connected to, and a list change connects to none.
func TestEventsLeaveOtherNodesAlone(t *testing.T) {
	f := newFleet(t, 3200)
	for i := fleetUsedNodes + 1; i < f.nodes; i++ { // the last one that is left is listed but never used
		n := f.loop.nodes[nodeName(i)]
		f.loop.nodes[n.name], f.loop.nodesByIndex[n.index] = nil, nil
	}
	connects := 0
	for range 60 {
		f.now += fleetInterval
		connects += f.setUp()
		if f.link == 0 {
			t.Fatal("no set-up was sent")
		}
		f.answer()
		f.note()
		for _, state := range []string{wire.Draining, wire.Up} {
			for _, o := range f.step(f.listChange(fleetUsedNodes, 1, state)) {
				switch o.(type) {
				case Connect, SendNode, SendClient:
					t.Fatalf("a list change of an unused node gives %T", o)
				}
			}
		}
		f.end()
	}
	f.idleSecond()
	if connects == 0 || connects > fleetUsedNodes {
		t.Errorf("%d connects to %d nodes", connects, fleetUsedNodes)
	}
	if played := f.loop.counts.Played; played != 60 {
		t.Errorf("%d of 60 sessions played", played)
	}
}

// With a connection to each listed node, a dial looks at no other connection: those are replaced by nil, which would make
// the loop panic.
func TestDialLeavesOtherConnectionsAlone(t *testing.T) {
	h := newHarness(t, 8)
	for link := range h.loop.links {
		h.loop.links[link] = nil
	}
	h.step(DiscoveryReceived{wire.DiscoveryMessage{Type: wire.Update, Serial: 2, Nodes: []wire.NodeEntry{upEntry(8)}}})
	h.advance(100 * ms)
	if connects := h.connects(); len(connects) != 1 || connects[0].Node != nodeName(8) {
		t.Errorf("%v", connects)
	}
}

// Events allocate no more with 3,200 known nodes than with 200.
func TestAllocationsDoNotGrowWithNodes(t *testing.T) {
	measure := func(nodes int) map[string]float64 {
		f := newFleet(t, nodes)
		for range 200 {
			f.session()
		}
		allocations := map[string]float64{"session": testing.AllocsPerRun(400, f.session), "idle second": testing.AllocsPerRun(20, f.idleSecond)}
		for _, count := range []int{1, 100} {
			drain, restore := f.listChange(0, count, wire.Draining), f.listChange(0, count, wire.Up)
			allocations[fmt.Sprint("list change of ", count)] = testing.AllocsPerRun(100, func() {
				f.step(drain)
				f.step(restore)
			})
		}
		return allocations
	}
	small, large := measure(200), measure(3200)
	for event, n := range large {
		if n > small[event] {
			t.Errorf("%s: %.0f allocations with 3,200 nodes, %.0f with 200", event, n, small[event])
		}
	}
}
