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

// For any sequence of requests by clients and nodes, their connections together stay within the budget of descriptors,
// a busy client is never evicted, and a dial to a node is refused only if every connected client is busy.
func TestClientsAndNodesShareDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(1, tightCapacity)
		var now time.Duration
		clients, nodes, idleNodes := map[int]bool{}, 0, 0 // true: busy
		step := func(e Event) *Plan {
			plan := l.Step(now, e)
			for _, x := range plan.Evict {
				if busy, open := clients[x.Conn]; !open || busy {
					t.Fatalf("connection %d is evicted: open %v, busy %v", x.Conn, open, busy)
				}
				delete(clients, x.Conn)
			}
			got := *plan
			for _, x := range append([]Eviction(nil), plan.Evict...) {
				l.Step(now, Event{Kind: Closed, Conn: x.Conn})
			}
			return &got
		}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			conn := rapid.IntRange(0, 255).Draw(t, "conn")
			busy, open := clients[conn]
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 4 && !open:
				if step(Event{Kind: ConnectRequest, Conn: conn, NodeDescriptors: nodes}).Admit {
					clients[conn] = false
					if rapid.Bool().Draw(t, "requests before HandshakeDone") {
						clients[conn] = true
						step(Event{Kind: Busy, Conn: conn})
					}
					step(Event{Kind: HandshakeDone, Conn: conn})
				}
			case action < 6:
				plan := step(Event{Kind: DialRequest, NodeDescriptors: nodes, IdleNodeConn: idleNodes > 0})
				free := tightCapacity.MaxDescriptors - tightCapacity.ReservedDescriptors - tightCapacity.PreHandshakeDescriptors - nodes - len(clients)
				allBusy := true
				for _, b := range clients {
					allBusy = allBusy && b
				}
				switch {
				case plan.CloseIdleNode:
					nodes, idleNodes = nodes-1, idleNodes-1
					nodes++
				case plan.Admit:
					nodes++
				case free >= dialCost || idleNodes > 0 || !allBusy:
					t.Fatalf("a dial to a node is refused: %d descriptors free, %d idle nodes, all clients busy %v", free, idleNodes, allBusy)
				}
			case action == 6 && nodes > idleNodes:
				idleNodes++
			case action == 7 && open:
				clients[conn] = !busy
				if busy {
					step(Event{Kind: Idle, Conn: conn})
				} else {
					step(Event{Kind: Busy, Conn: conn})
				}
			case action == 8 && open:
				delete(clients, conn)
				step(Event{Kind: Closed, Conn: conn})
			default:
				step(Event{Kind: TimerFired})
			}
			if held := nodes + len(clients) + tightCapacity.ReservedDescriptors +
				tightCapacity.PreHandshakeDescriptors; held > tightCapacity.MaxDescriptors {
				t.Fatalf("%d of %d descriptors in use: %d nodes, %d clients", held, tightCapacity.MaxDescriptors, nodes, len(clients))
			}
			busyClients := 0
			for _, b := range clients {
				if b {
					busyClients++
				}
			}
			if used, busy, _ := l.Usage(); used != len(clients) || busy != busyClients {
				t.Fatalf("Usage is %d used and %d busy, want %d and %d", used, busy, len(clients), busyClients)
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
