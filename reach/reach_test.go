package reach

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/seeded"
)

var pace = Pace{First: 100 * time.Millisecond, Most: time.Second, AtOnce: 3, Ping: time.Second}

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
			if len(trying) > pace.AtOnce {
				t.Fatalf("%d tries at once", len(trying))
			}
			ring = p.Ring
			for i, since := range idleSince {
				if len(trying) < pace.AtOnce && now > since+pace.Most+time.Second {
					t.Fatalf("node %d forgotten since %v", i, since)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			for ring > 0 && ring <= now {
				step(Event{What: Ring})
			}
			i := rapid.IntRange(0, 7).Draw(t, "node")
			switch what := What(rapid.IntRange(0, 4).Draw(t, "what")); {
			case what == Listed:
				if !listed[i] && !trying[i] && !up[i] {
					idleSince[i] = now
				}
				listed[i] = true
				step(Event{Node: i, What: Listed})
			case what == Unlisted && listed[i]:
				delete(listed, i)
				delete(idleSince, i)
				if up[i] {
					delete(up, i) // the caller hangs up
				}
				step(Event{Node: i, What: Unlisted})
			case what == Made && trying[i]:
				delete(trying, i)
				if listed[i] {
					up[i] = true
				}
				step(Event{Node: i, What: Made})
			case what == Failed && trying[i]:
				delete(trying, i)
				if listed[i] {
					idleSince[i] = now
				}
				step(Event{Node: i, What: Failed})
			case what == Lost && up[i]:
				delete(up, i)
				idleSince[i] = now
				step(Event{Node: i, What: Lost})
			}
		}
	})
}

// A node that stays away is tried ever less often, and at once when the list tells of a new start.
func TestPausesDoubleUntilANewStart(t *testing.T) {
	r := New(1, pace)
	now := time.Duration(0)
	p := r.Step(now, Event{Node: 0, What: Listed})
	last := time.Duration(0)
	for i := range 6 {
		if len(p.Dial) != 1 {
			t.Fatal(i, p)
		}
		p = r.Step(now, Event{Node: 0, What: Failed})
		span := min(pace.Most, pace.First<<i)
		if wait := p.Ring - now; wait < span/2 || wait > span || i > 0 && wait < last/4 {
			t.Fatal(i, wait)
		}
		last = p.Ring - now
		now = p.Ring
		p = r.Step(now, Event{What: Ring})
	}
	r.Step(now, Event{Node: 0, What: Failed})
	if p = r.Step(now, Event{Node: 0, What: Listed}); len(p.Dial) != 1 {
		t.Fatal("a new start waits for an old pause", p)
	}
}

// A node that has been quiet for three signs of life is given up; one that is not connected has nothing to give up.
func TestQuietNodeIsGivenUp(t *testing.T) {
	r := New(1, pace)
	r.Step(0, Event{Node: 0, What: Listed})
	if r.Step(0, Event{Node: 0, What: Heard, Ago: time.Hour}).GiveUp {
		t.Fatal("given up before it was connected")
	}
	r.Step(0, Event{Node: 0, What: Made})
	for _, x := range []struct {
		ago  time.Duration
		want bool
	}{{0, false}, {3 * pace.Ping, false}, {3*pace.Ping + 1, true}} {
		if got := r.Step(0, Event{Node: 0, What: Heard, Ago: x.ago}).GiveUp; got != x.want {
			t.Errorf("quiet for %v: given up %v", x.ago, got)
		}
	}
}

// Made on need: whatever happens, no node is tried that nobody needs, and one that is needed and not connected is tried
// again within the longest pause once there is room.
func TestTriesOnNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		onNeed := pace
		onNeed.OnNeed = true
		r := New(1, onNeed)
		listed, needed, trying, up := map[int]bool{}, map[int]bool{}, map[int]bool{}, map[int]bool{}
		since := map[int]time.Duration{} // needed, and neither tried nor connected
		var now, ring time.Duration
		step := func(e Event) Plan {
			p := r.Step(now, e)
			for _, i := range p.Dial {
				if trying[i] || !listed[i] || !needed[i] && e.What != Doubted {
					t.Fatalf("node %d is tried: trying %v, listed %v, needed %v", i, trying[i], listed[i], needed[i])
				}
				trying[i] = true
				delete(since, i)
			}
			if len(trying) != r.Tries() || len(trying) > onNeed.AtOnce+1 {
				t.Fatalf("%d tries, %d are counted", len(trying), r.Tries())
			}
			ring = p.Ring
			for i, at := range since {
				if len(trying) < onNeed.AtOnce && now > at+onNeed.Most+time.Second {
					t.Fatalf("node %d is needed since %v", i, at)
				}
			}
			return p
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			for ring > 0 && ring <= now {
				step(Event{What: Ring})
			}
			i := rapid.IntRange(0, 7).Draw(t, "node")
			switch what := rapid.SampledFrom([]What{Listed, Needed, Unneeded, Made, Failed, Refused, Lost, Crowded}).Draw(t, "what"); what {
			case Listed:
				listed[i] = true
				step(Event{Node: i, What: Listed})
			case Needed, Unneeded:
				if !listed[i] {
					continue
				}
				needed[i] = what == Needed
				delete(since, i)
				if needed[i] && !trying[i] && !up[i] {
					since[i] = now
				}
				step(Event{Node: i, What: what})
			case Made, Failed, Refused, Crowded:
				if !trying[i] {
					continue
				}
				delete(trying, i)
				up[i] = what == Made
				if needed[i] && !up[i] {
					since[i] = now
				}
				p := step(Event{Node: i, What: what})
				if p.Suspect && (what == Made || what == Crowded) || len(p.Dead) > 0 && what == Crowded {
					t.Fatalf("%+v", p)
				}
			case Lost:
				if !up[i] {
					continue
				}
				delete(up, i)
				if needed[i] {
					since[i] = now
				}
				step(Event{Node: i, What: Lost})
			}
		}
	})
}
