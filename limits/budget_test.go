package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tightCapacity has the smallest budget of descriptors that a platform gives: 256.
var tightCapacity = Capacity{MaxConnections: 256, MaxHandshakes: 256, HeartbeatInterval: 24 * time.Hour,
	IdleTimeout: time.Second, HandshakeTimeout: time.Second, MaxRetryAfter: time.Second,
	DisplaceIdleAfter: time.Second, MaxDescriptors: 256, ReservedDescriptors: 40, PreHandshakeDescriptors: 32}

// budgetHarness plays the caller of Limits with clients and nodes. It keeps its own record of the descriptors in use.
type budgetHarness struct {
	*rapid.T
	l         *Limits
	now       time.Duration
	clients   map[int]bool // true: busy
	nodes     int          // connections to nodes
	idleNodes int          // of nodes, those that are idle
}

// step passes an event to Limits, checks that no busy client is evicted, and closes the evicted connections.
func (h *budgetHarness) step(e Event) Plan {
	plan := h.l.Step(h.now, e)
	for _, x := range plan.Evict {
		if busy, open := h.clients[x.Conn]; !open || busy {
			h.Fatalf("connection %d is evicted: open %v, busy %v", x.Conn, open, busy)
		}
		delete(h.clients, x.Conn)
	}
	got := *plan
	for _, x := range append([]Eviction(nil), plan.Evict...) {
		h.l.Step(h.now, Event{Kind: Closed, Conn: x.Conn})
	}
	return got
}

// connect lets a client connect, which may send a request before its handshake is reported as done.
func (h *budgetHarness) connect(conn int) {
	if !h.step(Event{Kind: ConnectRequest, Conn: conn, NodeDescriptors: h.nodes}).Admit {
		return
	}
	h.clients[conn] = false
	if rapid.Bool().Draw(h.T, "requests before HandshakeDone") {
		h.clients[conn] = true
		h.step(Event{Kind: Busy, Conn: conn})
	}
	h.step(Event{Kind: HandshakeDone, Conn: conn})
}

// dial requests a connection to a node, which may be refused only if every client is busy.
func (h *budgetHarness) dial() {
	plan := h.step(Event{Kind: DialRequest, NodeDescriptors: h.nodes, IdleNodeConn: h.idleNodes > 0})
	free := tightCapacity.MaxDescriptors - tightCapacity.ReservedDescriptors - tightCapacity.PreHandshakeDescriptors - h.nodes - len(h.clients)
	allBusy := h.busyClients() == len(h.clients)
	switch {
	case plan.CloseIdleNode: // the new connection takes the place of the idle one
		h.idleNodes--
	case plan.Admit:
		h.nodes++
	case free >= dialCost || h.idleNodes > 0 || !allBusy:
		h.Fatalf("a dial to a node is refused: %d descriptors free, %d idle nodes, all clients busy %v", free, h.idleNodes, allBusy)
	}
}

func (h *budgetHarness) busyClients() (busy int) {
	for _, b := range h.clients {
		if b {
			busy++
		}
	}
	return busy
}

// act draws what happens next.
func (h *budgetHarness) act() {
	conn := rapid.IntRange(0, 255).Draw(h.T, "conn")
	busy, open := h.clients[conn]
	switch action := rapid.IntRange(0, 9).Draw(h.T, "action"); {
	case action < 4 && !open:
		h.connect(conn)
	case action < 6:
		h.dial()
	case action == 6 && h.nodes > h.idleNodes:
		h.idleNodes++
	case action == 7 && open:
		h.clients[conn] = !busy
		if busy {
			h.step(Event{Kind: Idle, Conn: conn})
		} else {
			h.step(Event{Kind: Busy, Conn: conn})
		}
	case action == 8 && open:
		delete(h.clients, conn)
		h.step(Event{Kind: Closed, Conn: conn})
	default:
		h.step(Event{Kind: TimerFired})
	}
}

// For any sequence of requests by clients and nodes, their connections together stay within the budget of descriptors,
// a busy client is never evicted, and a dial to a node is refused only if every connected client is busy.
func TestClientsAndNodesShareDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &budgetHarness{T: t, l: New(1, tightCapacity), clients: map[int]bool{}}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			h.act()
			if held := h.nodes + len(h.clients) + tightCapacity.ReservedDescriptors +
				tightCapacity.PreHandshakeDescriptors; held > tightCapacity.MaxDescriptors {
				t.Fatalf("%d of %d descriptors in use: %d nodes, %d clients", held, tightCapacity.MaxDescriptors, h.nodes, len(h.clients))
			}
			if used, busy, _ := h.l.Usage(); used != len(h.clients) || busy != h.busyClients() {
				t.Fatalf("Usage is %d used and %d busy, want %d and %d", used, busy, len(h.clients), h.busyClients())
			}
		}
	})
}

// A new client displaces the connection that has been idle for longest, but none that became idle a moment ago.
func TestNewClientDisplacesLongestIdle(t *testing.T) {
	l := New(1, tightCapacity)
	now := time.Duration(0)
	full := 0
	for ; l.Step(now, Event{Kind: ConnectRequest, Conn: full}).Admit; full++ {
		l.Step(now, Event{Kind: HandshakeDone, Conn: full})
	}
	if full < 170 || full > tightCapacity.MaxDescriptors-tightCapacity.ReservedDescriptors-tightCapacity.PreHandshakeDescriptors {
		t.Fatalf("%d connections are admitted", full)
	}
	for i := range full { // all but the last two become busy
		if i < full-2 {
			l.Step(now, Event{Kind: Busy, Conn: i})
		}
	}
	if plan := l.Step(now, Event{Kind: ConnectRequest, Conn: full}); plan.Admit || len(plan.Evict) > 0 {
		t.Fatalf("a connection that became idle just now is displaced: %+v", plan)
	}
	now += tightCapacity.DisplaceIdleAfter
	plan := l.Step(now, Event{Kind: ConnectRequest, Conn: full})
	if !plan.Admit || len(plan.Evict) == 0 || plan.Evict[0].Conn != full-2 || plan.Evict[0].Code != 0 {
		t.Fatalf("%+v", plan)
	}
}

// A connection whose eviction is cancelled, since data arrived on it meanwhile, stays open. Once it is busy, the next
// eviction takes another connection, and it is not evicted even if it is the last one.
func TestCancelledEvictionKeepsConnection(t *testing.T) {
	l := New(1, tightCapacity)
	for i := range 2 {
		l.Step(0, Event{Kind: ConnectRequest, Conn: i})
		l.Step(0, Event{Kind: HandshakeDone, Conn: i})
	}
	nodes := tightCapacity.MaxDescriptors
	if plan := l.Step(time.Second, Event{Kind: DialRequest, NodeDescriptors: nodes}); len(plan.Evict) != 1 || plan.Evict[0].Conn != 0 {
		t.Fatalf("%+v", plan)
	}
	l.Step(time.Second, Event{Kind: EvictionCancelled, Conn: 0})
	l.Step(time.Second, Event{Kind: Busy, Conn: 0})
	plan := l.Step(time.Second, Event{Kind: DialRequest, NodeDescriptors: nodes})
	if len(plan.Evict) != 1 || plan.Evict[0].Conn != 1 {
		t.Fatalf("%+v", plan)
	}
	if plan = l.Step(time.Second, Event{Kind: DialRequest, NodeDescriptors: nodes}); plan.Admit || len(plan.Evict) != 0 {
		t.Fatalf("a busy connection is evicted: %+v", plan)
	}
}

func TestFitsNodes(t *testing.T) {
	for nodes, fits := range map[int]bool{0: true, 99: true, 100: false, 200: false} {
		if tightCapacity.FitsNodes(nodes) != fits {
			t.Errorf("%d nodes: FitsNodes is %v", nodes, !fits)
		}
	}
	if !(Capacity{}).FitsNodes(1000) {
		t.Error("without MaxDescriptors every number of nodes has to fit")
	}
}
