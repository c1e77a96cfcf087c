package connector

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

var testPolicy = ReconnectPolicy{InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxConcurrent: 3,
	HeartbeatInterval: time.Second}

// For any sequence of events, a node never has two dials in progress, no more than MaxConcurrent dials are in progress,
// an unlisted node is not dialed, and a listed node that is not connected is dialed again within MaxBackoff plus a
// second of slack, as soon as the bound on concurrent dials allows it.
func TestDialsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(rapid.Uint64().Draw(t, "seed"), testPolicy)
		listed, dialing, connected := map[int]bool{}, map[int]bool{}, map[int]bool{}
		idleSince := map[int]time.Duration{}
		var now, nextTimer time.Duration
		step := func(e Event) {
			p := c.Step(now, e)
			for _, i := range p.Dial {
				if dialing[i] || connected[i] {
					t.Fatalf("node %d is dialed while it is connected or being dialed", i)
				}
				if !listed[i] {
					t.Fatalf("node %d is dialed though it is not listed", i)
				}
				dialing[i] = true
				delete(idleSince, i)
			}
			if len(dialing) > testPolicy.MaxConcurrent {
				t.Fatalf("%d dials in progress at one time", len(dialing))
			}
			nextTimer = p.NextTimer
			for i, since := range idleSince {
				if len(dialing) < testPolicy.MaxConcurrent && now > since+testPolicy.MaxBackoff+time.Second {
					t.Fatalf("node %d has been listed and idle since %v and is not dialed", i, since)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			for nextTimer > 0 && nextTimer <= now {
				step(Event{Kind: TimerFired})
			}
			i := rapid.IntRange(0, 7).Draw(t, "node")
			switch kind := EventKind(rapid.IntRange(0, 4).Draw(t, "kind")); {
			case kind == Listed:
				if !listed[i] && !dialing[i] && !connected[i] {
					idleSince[i] = now
				}
				listed[i] = true
				step(Event{Node: i, Kind: Listed})
			case kind == Unlisted && listed[i]:
				delete(listed, i)
				delete(idleSince, i)
				if connected[i] {
					delete(connected, i) // the caller closes the connection
				}
				step(Event{Node: i, Kind: Unlisted})
			case kind == Connected && dialing[i]:
				delete(dialing, i)
				if listed[i] {
					connected[i] = true
				}
				step(Event{Node: i, Kind: Connected})
			case kind == ConnectFailed && dialing[i]:
				delete(dialing, i)
				if listed[i] {
					idleSince[i] = now
				}
				step(Event{Node: i, Kind: ConnectFailed})
			case kind == ConnectionLost && connected[i]:
				delete(connected, i)
				idleSince[i] = now
				step(Event{Node: i, Kind: ConnectionLost})
			}
		}
	})
}

// A node that cannot be reached is dialed with a backoff that doubles, and at once when the server list reports a new
// start of the node.
func TestBackoffDoublesUntilListedAgain(t *testing.T) {
	c := New(1, testPolicy)
	now := time.Duration(0)
	p := c.Step(now, Event{Node: 0, Kind: Listed})
	last := time.Duration(0)
	for i := range 6 {
		if len(p.Dial) != 1 {
			t.Fatal(i, p)
		}
		p = c.Step(now, Event{Node: 0, Kind: ConnectFailed})
		span := min(testPolicy.MaxBackoff, testPolicy.InitialBackoff<<i)
		if wait := p.NextTimer - now; wait < span/2 || wait > span || i > 0 && wait < last/4 {
			t.Fatal(i, wait)
		}
		last = p.NextTimer - now
		now = p.NextTimer
		p = c.Step(now, Event{Kind: TimerFired})
	}
	c.Step(now, Event{Node: 0, Kind: ConnectFailed})
	if p = c.Step(now, Event{Node: 0, Kind: Listed}); len(p.Dial) != 1 {
		t.Fatal("a newly started node waits for the backoff of its earlier start", p)
	}
}

// The connection to a node that has been silent for more than three heartbeat intervals is closed; for a node that is
// not connected there is nothing to close.
func TestSilentNodeIsClosed(t *testing.T) {
	c := New(1, testPolicy)
	c.Step(0, Event{Node: 0, Kind: Listed})
	if c.Step(0, Event{Node: 0, Kind: Received, Age: time.Hour}).Close {
		t.Fatal("close requested before the node was connected")
	}
	c.Step(0, Event{Node: 0, Kind: Connected})
	for _, x := range []struct {
		age  time.Duration
		want bool
	}{{0, false}, {3 * testPolicy.HeartbeatInterval, false}, {3*testPolicy.HeartbeatInterval + 1, true}} {
		if got := c.Step(0, Event{Node: 0, Kind: Received, Age: x.age}).Close; got != x.want {
			t.Errorf("silent for %v: close is %v", x.age, got)
		}
	}
}

// With OnDemand, for any sequence of events, a node that is not needed is not dialed, and a node that is needed and not
// connected is dialed again within MaxBackoff plus a second of slack, as soon as the bound on concurrent dials allows
// it.
func TestDialsOnDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		onDemand := testPolicy
		onDemand.OnDemand = true
		c := New(1, onDemand)
		listed, needed, dialing, connected := map[int]bool{}, map[int]bool{}, map[int]bool{}, map[int]bool{}
		since := map[int]time.Duration{} // needed, and neither dialed nor connected
		var now, nextTimer time.Duration
		step := func(e Event) Plan {
			p := c.Step(now, e)
			for _, i := range p.Dial {
				if dialing[i] || !listed[i] || !needed[i] && e.Kind != Suspected {
					t.Fatalf("node %d is dialed: dialing %v, listed %v, needed %v", i, dialing[i], listed[i], needed[i])
				}
				dialing[i] = true
				delete(since, i)
			}
			if len(dialing) != c.Dialing() || len(dialing) > onDemand.MaxConcurrent+1 {
				t.Fatalf("%d dials in progress, the Connector counts %d", len(dialing), c.Dialing())
			}
			nextTimer = p.NextTimer
			for i, neededAt := range since {
				if len(dialing) < onDemand.MaxConcurrent && now > neededAt+onDemand.MaxBackoff+time.Second {
					t.Fatalf("node %d has been needed since %v and is not dialed", i, neededAt)
				}
			}
			return p
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			for nextTimer > 0 && nextTimer <= now {
				step(Event{Kind: TimerFired})
			}
			i := rapid.IntRange(0, 7).Draw(t, "node")
			switch kind := rapid.SampledFrom([]EventKind{Listed, Needed, Unneeded, Connected, ConnectFailed, Refused,
				ConnectionLost, NoCapacity}).Draw(t, "kind"); kind {
			case Listed:
				listed[i] = true
				step(Event{Node: i, Kind: Listed})
			case Needed, Unneeded:
				if !listed[i] {
					continue
				}
				needed[i] = kind == Needed
				delete(since, i)
				if needed[i] && !dialing[i] && !connected[i] {
					since[i] = now
				}
				step(Event{Node: i, Kind: kind})
			case Connected, ConnectFailed, Refused, NoCapacity:
				if !dialing[i] {
					continue
				}
				delete(dialing, i)
				connected[i] = kind == Connected
				if needed[i] && !connected[i] {
					since[i] = now
				}
				p := step(Event{Node: i, Kind: kind})
				if p.Suspect && (kind == Connected || kind == NoCapacity) || len(p.Dead) > 0 && kind == NoCapacity {
					t.Fatalf("%+v", p)
				}
			case ConnectionLost:
				if !connected[i] {
					continue
				}
				delete(connected, i)
				if needed[i] {
					since[i] = now
				}
				step(Event{Node: i, Kind: ConnectionLost})
			}
		}
	})
}

// A node accepts each connection and closes it at once. Guards against dials without a pause between them. A connection
// that lasts or is used ends the backoff, and a single one that ends at once does not begin it.
func TestConnectionsThatEndAtOnceBackOff(t *testing.T) {
	c := New(1, testPolicy)
	dials := 0
	var now time.Duration
	step := func(kind EventKind) (next time.Duration) {
		p := c.Step(now, Event{Kind: kind, Unused: true})
		dials += len(p.Dial)
		return p.NextTimer
	}
	step(Listed)
	for dials < 100 && now < 3*time.Second {
		step(Connected)
		if next := step(ConnectionLost); next > 0 {
			now = next
			step(TimerFired)
		}
	}
	if dials > 10 {
		t.Fatalf("%d dials in %v", dials, now)
	}
	step(Connected)
	now += shortLifetime + 1
	for range 2 {
		dials = 0
		step(ConnectionLost)
		if dials != 1 {
			t.Fatalf("%d dials after the loss, want one at once", dials)
		}
		step(Connected)
	}
	for range 5 {
		p := c.Step(now, Event{Kind: ConnectionLost})
		if len(p.Dial) != 1 {
			t.Fatal("a connection that was used is not followed at once")
		}
		step(Connected)
	}
}
