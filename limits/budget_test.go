package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tight is the smallest budget that a platform gives: 256 descriptors.
var tight = Room{Connections: 256, Handshakes: 256, Ping: 24 * time.Hour, Patience: time.Second, Handshake: time.Second,
	Retry: time.Second, Displace: time.Second, Descriptors: 256, Kept: 40, Silent: 32}

// Whatever players and nodes ask for, what they hold together stays within the budget, who is busy is never let go, and
// a node is refused only where all who are there are busy.
func TestOneBudgetForPlayersAndNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(1, tight)
		var now time.Duration
		players, nodes, idleNodes := map[int]bool{}, 0, 0 // true: busy
		step := func(e Event) *Plan {
			plan := l.Step(now, e)
			for _, x := range plan.Let {
				if busy, there := players[x.Conn]; !there || busy {
					t.Fatalf("%d is let go: there %v, busy %v", x.Conn, there, busy)
				}
				delete(players, x.Conn)
			}
			got := *plan
			for _, x := range append([]Let(nil), plan.Let...) {
				l.Step(now, Event{What: Left, Conn: x.Conn})
			}
			return &got
		}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			conn := rapid.IntRange(0, 255).Draw(t, "conn")
			busy, there := players[conn]
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 4 && !there:
				if step(Event{What: Knock, Conn: conn, Nodes: nodes}).Admit {
					players[conn] = false
					if rapid.Bool().Draw(t, "asks at once") {
						players[conn] = true
						step(Event{What: Busy, Conn: conn})
					}
					step(Event{What: Shook, Conn: conn})
				}
			case what < 6:
				plan := step(Event{What: Dial, Nodes: nodes, Spare: idleNodes > 0})
				free := tight.Descriptors - tight.Kept - tight.Silent - nodes - len(players)
				allBusy := true
				for _, b := range players {
					allBusy = allBusy && b
				}
				switch {
				case plan.HangUp:
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
					step(Event{What: Idle, Conn: conn})
				} else {
					step(Event{What: Busy, Conn: conn})
				}
			case what == 8 && there:
				delete(players, conn)
				step(Event{What: Left, Conn: conn})
			default:
				step(Event{What: Ring})
			}
			if held := nodes + len(players) + tight.Kept + tight.Silent; held > tight.Descriptors {
				t.Fatalf("%d of %d descriptors: %d nodes, %d players", held, tight.Descriptors, nodes, len(players))
			}
			busies := 0
			for _, b := range players {
				if b {
					busies++
				}
			}
			if used, busy, _ := l.Use(); used != len(players) || busy != busies {
				t.Fatalf("%d used and %d busy are counted, %d and %d are", used, busy, len(players), busies)
			}
		}
	})
}

// A newcomer takes the place of the one that has been idle for longest, not of one that asked a moment ago.
func TestNewcomersDisplaceTheIdle(t *testing.T) {
	l := New(1, tight)
	now := time.Duration(0)
	full := 0
	for ; l.Step(now, Event{What: Knock, Conn: full}).Admit; full++ {
		l.Step(now, Event{What: Shook, Conn: full})
	}
	if full < 170 || full > tight.Descriptors-tight.Kept-tight.Silent {
		t.Fatalf("room for %d", full)
	}
	for i := range full { // all but the last two have something to do
		if i < full-2 {
			l.Step(now, Event{What: Busy, Conn: i})
		}
	}
	if plan := l.Step(now, Event{What: Knock, Conn: full}); plan.Admit || len(plan.Let) > 0 {
		t.Fatalf("one that came just now made place: %+v", plan)
	}
	now += tight.Displace
	plan := l.Step(now, Event{What: Knock, Conn: full})
	if !plan.Admit || len(plan.Let) == 0 || plan.Let[0].Conn != full-2 || plan.Let[0].Code != 0 {
		t.Fatalf("%+v", plan)
	}
}

// One that is to be let go and has said something stays, as the one that spoke last.
func TestWhoSaysSomethingMeanwhileStays(t *testing.T) {
	l := New(1, tight)
	for i := range 2 {
		l.Step(0, Event{What: Knock, Conn: i})
		l.Step(0, Event{What: Shook, Conn: i})
	}
	nodes := tight.Descriptors
	if plan := l.Step(time.Second, Event{What: Dial, Nodes: nodes}); len(plan.Let) != 1 || plan.Let[0].Conn != 0 {
		t.Fatalf("%+v", plan)
	}
	l.Step(time.Second, Event{What: Stays, Conn: 0})
	l.Step(time.Second, Event{What: Busy, Conn: 0})
	plan := l.Step(time.Second, Event{What: Dial, Nodes: nodes})
	if len(plan.Let) != 1 || plan.Let[0].Conn != 1 {
		t.Fatalf("%+v", plan)
	}
	if plan = l.Step(time.Second, Event{What: Dial, Nodes: nodes}); plan.Admit || len(plan.Let) != 0 {
		t.Fatalf("the busy one was let go: %+v", plan)
	}
}

func TestWhetherEveryNodeFits(t *testing.T) {
	for nodes, fits := range map[int]bool{0: true, 99: true, 100: false, 200: false} {
		if tight.Fits(nodes) != fits {
			t.Errorf("%d nodes: %v", nodes, !fits)
		}
	}
	if !(Room{}).Fits(1000) {
		t.Error("without a bound on descriptors all fit")
	}
}
