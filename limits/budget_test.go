package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tightCapacity is the smallest budget that a platform gives: 256 descriptors.
var tightCapacity = Capacity{MaxConnections: 256, MaxHandshakes: 256, HeartbeatInterval: 24 * time.Hour, IdleTimeout: time.Second, HandshakeTimeout: time.Second,
	MaxRetryAfter: time.Second, DisplaceIdleAfter: time.Second, MaxDescriptors: 256, ReservedDescriptors: 40, PreHandshakeDescriptors: 32}

// Whatever players and nodes ask for, what they hold together stays within the budget, who is busy is never let go, and
// a node is refused only where all who are there are busy.
func TestOneBudgetForPlayersAndNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(1, tightCapacity)
		var now time.Duration
		players, nodes, idleNodes := map[int]bool{}, 0, 0 // true: busy
		step := func(e Event) *Plan {
			plan := l.Step(now, e)
			for _, x := range plan.Evict {
				if busy, there := players[x.Conn]; !there || busy {
					t.Fatalf("%d is let go: there %v, busy %v", x.Conn, there, busy)
				}
				delete(players, x.Conn)
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
			busy, there := players[conn]
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 4 && !there:
				if step(Event{Kind: ConnectRequest, Conn: conn, Nodes: nodes}).Admit {
					players[conn] = false
					if rapid.Bool().Draw(t, "asks at once") {
						players[conn] = true
						step(Event{Kind: Busy, Conn: conn})
					}
					step(Event{Kind: HandshakeDone, Conn: conn})
				}
			case what < 6:
				plan := step(Event{Kind: DialRequest, Nodes: nodes, IdleNodeConn: idleNodes > 0})
				free := tightCapacity.MaxDescriptors - tightCapacity.ReservedDescriptors - tightCapacity.PreHandshakeDescriptors - nodes - len(players)
				allBusy := true
				for _, b := range players {
					allBusy = allBusy && b
				}
				switch {
				case plan.CloseIdleNode:
					nodes, idleNodes = nodes-1, idleNodes-1
					nodes++
				case plan.Admit:
					nodes++
				case free >= dialCost || idleNodes > 0 || !allBusy:
					t.Fatalf("a node is refused: %d free, %d nodes with nothing to do, all busy %v", free, idleNodes, allBusy)
				}
			case what == 6 && nodes > idleNodes:
				idleNodes++
			case what == 7 && there:
				players[conn] = !busy
				if busy {
					step(Event{Kind: Idle, Conn: conn})
				} else {
					step(Event{Kind: Busy, Conn: conn})
				}
			case what == 8 && there:
				delete(players, conn)
				step(Event{Kind: Closed, Conn: conn})
			default:
				step(Event{Kind: TimerFired})
			}
			if held := nodes + len(players) + tightCapacity.ReservedDescriptors + tightCapacity.PreHandshakeDescriptors; held > tightCapacity.MaxDescriptors {
				t.Fatalf("%d of %d descriptors: %d nodes, %d players", held, tightCapacity.MaxDescriptors, nodes, len(players))
			}
			busies := 0
			for _, b := range players {
				if b {
					busies++
				}
			}
			if used, busy, _ := l.Usage(); used != len(players) || busy != busies {
				t.Fatalf("%d used and %d busy are counted, %d and %d are", used, busy, len(players), busies)
			}
		}
	})
}

// A newcomer takes the place of the one that has been idle for longest, not of one that asked a moment ago.
func TestNewcomersDisplaceTheIdle(t *testing.T) {
	l := New(1, tightCapacity)
	now := time.Duration(0)
	full := 0
	for ; l.Step(now, Event{Kind: ConnectRequest, Conn: full}).Admit; full++ {
		l.Step(now, Event{Kind: HandshakeDone, Conn: full})
	}
	if full < 170 || full > tightCapacity.MaxDescriptors-tightCapacity.ReservedDescriptors-tightCapacity.PreHandshakeDescriptors {
		t.Fatalf("room for %d", full)
	}
	for i := range full { // all but the last two have something to do
		if i < full-2 {
			l.Step(now, Event{Kind: Busy, Conn: i})
		}
	}
	if plan := l.Step(now, Event{Kind: ConnectRequest, Conn: full}); plan.Admit || len(plan.Evict) > 0 {
		t.Fatalf("one that came just now made place: %+v", plan)
	}
	now += tightCapacity.DisplaceIdleAfter
	plan := l.Step(now, Event{Kind: ConnectRequest, Conn: full})
	if !plan.Admit || len(plan.Evict) == 0 || plan.Evict[0].Conn != full-2 || plan.Evict[0].Code != 0 {
		t.Fatalf("%+v", plan)
	}
}

// One that is to be let go and has said something stays, as the one that spoke last.
func TestWhoSaysSomethingMeanwhileStays(t *testing.T) {
	l := New(1, tightCapacity)
	for i := range 2 {
		l.Step(0, Event{Kind: ConnectRequest, Conn: i})
		l.Step(0, Event{Kind: HandshakeDone, Conn: i})
	}
	nodes := tightCapacity.MaxDescriptors
	if plan := l.Step(time.Second, Event{Kind: DialRequest, Nodes: nodes}); len(plan.Evict) != 1 || plan.Evict[0].Conn != 0 {
		t.Fatalf("%+v", plan)
	}
	l.Step(time.Second, Event{Kind: EvictionCancelled, Conn: 0})
	l.Step(time.Second, Event{Kind: Busy, Conn: 0})
	plan := l.Step(time.Second, Event{Kind: DialRequest, Nodes: nodes})
	if len(plan.Evict) != 1 || plan.Evict[0].Conn != 1 {
		t.Fatalf("%+v", plan)
	}
	if plan = l.Step(time.Second, Event{Kind: DialRequest, Nodes: nodes}); plan.Admit || len(plan.Evict) != 0 {
		t.Fatalf("the busy one was let go: %+v", plan)
	}
}

func TestWhetherEveryNodeFits(t *testing.T) {
	for nodes, fits := range map[int]bool{0: true, 99: true, 100: false, 200: false} {
		if tightCapacity.FitsNodes(nodes) != fits {
			t.Errorf("%d nodes: %v", nodes, !fits)
		}
	}
	if !(Capacity{}).FitsNodes(1000) {
		t.Error("without a bound on descriptors all fit")
	}
}
