package connector

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

var pace = ReconnectPolicy{InitialBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxConcurrent: 3, HeartbeatInterval: time.Second}

// Whatever happens: never two tries at one node, never more than AtOnce, no try at an unlisted node, and
// a node that is wanted and not connected is tried again within the longest pause once there is room.
func TestTriesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(rapid.Uint64().Draw(t, "seed"), pace)
		listed, trying, up := map[int]bool{}, map[int]bool{}, map[int]bool{}
		idleSince := map[int]time.Duration{}
		var now, ring time.Duration
		step := func(e Event) {
			p := r.Step(now, e)
			for _, i := range p.Dial {
				if trying[i] || up[i] {
					t.Fatalf("node %d tried while it is connected or tried", i)
				}
				if !listed[i] {
					t.Fatalf("node %d tried though it is not listed", i)
				}
				trying[i] = true
				delete(idleSince, i)
			}
			if len(trying) > pace.MaxConcurrent {
				t.Fatalf("%d tries at once", len(trying))
			}
			ring = p.NextTimer
			for i, since := range idleSince {
				if len(trying) < pace.MaxConcurrent && now > since+pace.MaxBackoff+time.Second {
					t.Fatalf("node %d forgotten since %v", i, since)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			for ring > 0 && ring <= now {
				step(Event{Kind: TimerFired})
			}
			i := rapid.IntRange(0, 7).Draw(t, "node")
			switch what := EventKind(rapid.IntRange(0, 4).Draw(t, "what")); {
			case what == Listed:
				if !listed[i] && !trying[i] && !up[i] {
					idleSince[i] = now
				}
				listed[i] = true
				step(Event{Node: i, Kind: Listed})
			case what == Unlisted && listed[i]:
				delete(listed, i)
				delete(idleSince, i)
				if up[i] {
					delete(up, i) // the caller hangs up
				}
				step(Event{Node: i, Kind: Unlisted})
			case what == Connected && trying[i]:
				delete(trying, i)
				if listed[i] {
					up[i] = true
				}
				step(Event{Node: i, Kind: Connected})
			case what == ConnectFailed && trying[i]:
				delete(trying, i)
				if listed[i] {
					idleSince[i] = now
				}
				step(Event{Node: i, Kind: ConnectFailed})
			case what == ConnectionLost && up[i]:
				delete(up, i)
				idleSince[i] = now
				step(Event{Node: i, Kind: ConnectionLost})
			}
		}
	})
}

// A node that stays away is tried ever less often, and at once when the list tells of a new start.
func TestPausesDoubleUntilANewStart(t *testing.T) {
	r := New(1, pace)
	now := time.Duration(0)
	p := r.Step(now, Event{Node: 0, Kind: Listed})
	last := time.Duration(0)
	for i := range 6 {
		if len(p.Dial) != 1 {
			t.Fatal(i, p)
		}
		p = r.Step(now, Event{Node: 0, Kind: ConnectFailed})
		span := min(pace.MaxBackoff, pace.InitialBackoff<<i)
		if wait := p.NextTimer - now; wait < span/2 || wait > span || i > 0 && wait < last/4 {
			t.Fatal(i, wait)
		}
		last = p.NextTimer - now
		now = p.NextTimer
		p = r.Step(now, Event{Kind: TimerFired})
	}
	r.Step(now, Event{Node: 0, Kind: ConnectFailed})
	if p = r.Step(now, Event{Node: 0, Kind: Listed}); len(p.Dial) != 1 {
		t.Fatal("a new start waits for an old pause", p)
	}
}

// A node that has been quiet for three signs of life is given up; one that is not connected has nothing to give up.
func TestQuietNodeIsGivenUp(t *testing.T) {
	r := New(1, pace)
	r.Step(0, Event{Node: 0, Kind: Listed})
	if r.Step(0, Event{Node: 0, Kind: Received, Age: time.Hour}).Close {
		t.Fatal("given up before it was connected")
	}
	r.Step(0, Event{Node: 0, Kind: Connected})
	for _, x := range []struct {
		ago  time.Duration
		want bool
	}{{0, false}, {3 * pace.HeartbeatInterval, false}, {3*pace.HeartbeatInterval + 1, true}} {
		if got := r.Step(0, Event{Node: 0, Kind: Received, Age: x.ago}).Close; got != x.want {
			t.Errorf("quiet for %v: given up %v", x.ago, got)
		}
	}
}

// Made on need: whatever happens, no node is tried that nobody needs, and one that is needed and not connected is tried
// again within the longest pause once there is room.
func TestTriesOnNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		onNeed := pace
		onNeed.OnDemand = true
		r := New(1, onNeed)
		listed, needed, trying, up := map[int]bool{}, map[int]bool{}, map[int]bool{}, map[int]bool{}
		since := map[int]time.Duration{} // needed, and neither tried nor connected
		var now, ring time.Duration
		step := func(e Event) Plan {
			p := r.Step(now, e)
			for _, i := range p.Dial {
				if trying[i] || !listed[i] || !needed[i] && e.Kind != Suspected {
					t.Fatalf("node %d is tried: trying %v, listed %v, needed %v", i, trying[i], listed[i], needed[i])
				}
				trying[i] = true
				delete(since, i)
			}
			if len(trying) != r.Dialing() || len(trying) > onNeed.MaxConcurrent+1 {
				t.Fatalf("%d tries, %d are counted", len(trying), r.Dialing())
			}
			ring = p.NextTimer
			for i, at := range since {
				if len(trying) < onNeed.MaxConcurrent && now > at+onNeed.MaxBackoff+time.Second {
					t.Fatalf("node %d is needed since %v", i, at)
				}
			}
			return p
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			for ring > 0 && ring <= now {
				step(Event{Kind: TimerFired})
			}
			i := rapid.IntRange(0, 7).Draw(t, "node")
			switch what := rapid.SampledFrom([]EventKind{Listed, Needed, Unneeded, Connected, ConnectFailed, Refused, ConnectionLost, NoCapacity}).Draw(t, "what"); what {
			case Listed:
				listed[i] = true
				step(Event{Node: i, Kind: Listed})
			case Needed, Unneeded:
				if !listed[i] {
					continue
				}
				needed[i] = what == Needed
				delete(since, i)
				if needed[i] && !trying[i] && !up[i] {
					since[i] = now
				}
				step(Event{Node: i, Kind: what})
			case Connected, ConnectFailed, Refused, NoCapacity:
				if !trying[i] {
					continue
				}
				delete(trying, i)
				up[i] = what == Connected
				if needed[i] && !up[i] {
					since[i] = now
				}
				p := step(Event{Node: i, Kind: what})
				if p.Suspect && (what == Connected || what == NoCapacity) || len(p.Dead) > 0 && what == NoCapacity {
					t.Fatalf("%+v", p)
				}
			case ConnectionLost:
				if !up[i] {
					continue
				}
				delete(up, i)
				if needed[i] {
					since[i] = now
				}
				step(Event{Node: i, Kind: ConnectionLost})
			}
		}
	})
}
