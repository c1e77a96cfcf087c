package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// The cost of an event must not grow with the nodes that it does not concern. These tests count work, not time.

const (
	costCopies   = 4 // nodes that hold each title
	costRackSize = 7
	costStart    = 20 * time.Second // after the warm-up of a new director
)

// newFleet returns a director that has the list of so many nodes.
func newFleet(nodes int) (*Director, ServerList) {
	tariffs := []Tariff{{GoalTime: time.Second, HardStop: 2 * time.Second, Credit: 1, Scale: 1, Top: 3}}
	d := New(1, Peers{Directors: 300}, tariffs, Ladder{Rates: []float64{100, 200, 400, 800}, JoinCost: 1},
		Topology{Cells: nodes, Racks: nodes / costRackSize, LinkUnit: 1e5, Uplink: 5e5}, Ramp{MaxStreams: []float64{1e6}, Warmup: 10 * time.Second,
			InitialShare: 0.4, OverloadMultiple: 4, OverloadWindow: time.Second},
		RetryPolicy{MaxLegs: 4}, ReportTiming{Delay: time.Second, Interval: 4 * time.Second})
	list := ServerList{Kind: ListReplaced}
	for i := range nodes {
		list.Entries = append(list.Entries, NodeEntry{Node: fmt.Sprint(i), StartedAt: UnknownStart, Weight: 1, Cell: i})
	}
	d.Step(0, list)
	return d, list
}

// costRequest is a request for a title that the first nodes hold.
func costRequest(id uint64, now time.Duration) Request {
	return Request{ID: id, Copies: costCopies, MaxRung: 3, Deadline: now + 2*time.Second}
}

// update is a list change of the nodes from first to last.
func update(list ServerList, first, last int) ServerList {
	return ServerList{Kind: ListUpdate, Entries: list.Entries[first : last+1]}
}

// With 3,200 nodes, the events of sessions on four of them, and of a change of those, concern no node outside their
// racks. The others are made unusable: an event that chose one, looked it up by its place or estimated its load would
// panic or change it.
func TestEventsLeaveOtherNodesAlone(t *testing.T) {
	d, list := newFleet(3200)
	racks, concerned := len(d.load.racks), 0
	for i := range d.nodes {
		if d.nodes[i].rack >= costCopies {
			d.nodes[i].rack, d.nodes[i].cell, d.nodes[i].fairRate = racks+i, -1, math.Inf(-1)
			continue
		}
		concerned++
	}
	if concerned > costCopies*(costRackSize+2) {
		t.Fatalf("%d nodes are in the first %d racks", concerned, costCopies)
	}
	before := append([]node(nil), d.nodes...)
	now := costStart
	for id := uint64(1); id <= 40; id++ {
		now += 50 * time.Millisecond
		d.Step(now, costRequest(id, now))
		d.Step(now, Accepted{ID: id})
		i, _ := d.sessionIndexes.find(id)
		name := d.nodes[d.sessions[i].node].name
		d.Step(now, Measurement{ID: id, Node: name, Kind: LinkLoad, Value: 0.5})
		d.Step(now, Measurement{ID: id, Node: name, Kind: DeliveredShare, Value: 0.9})
		d.Step(now, TimerFired{})
		d.Step(now, update(list, int(id)%costCopies, int(id)%costCopies))
		if id > 10 {
			d.Step(now, LegResult{ID: id - 10, Final: true, Load: NoLoad})
		}
	}
	for i := range d.nodes {
		if d.nodes[i].rack >= racks && !reflect.DeepEqual(d.nodes[i], before[i]) {
			t.Fatalf("node %d, which no event concerns, has changed", i)
		}
	}
}

// A list change computes no fair rate until an event concerns the rack, and then only that rack's.
func TestListChangeComputesOnlyRacksInUse(t *testing.T) {
	for _, changed := range []int{1, 100} {
		d, list := newFleet(3200)
		settleAll(d)
		for i := range d.nodes {
			d.nodes[i].fairRate = -1
		}
		computed := func() (n int) {
			for i := range d.nodes {
				if d.nodes[i].fairRate != -1 {
					n++
				}
			}
			return n
		}
		d.Step(costStart, update(list, 0, changed-1))
		if n := computed(); n > 0 {
			t.Errorf("a change of %d nodes computes %d fair rates", changed, n)
		}
		d.Step(costStart, costRequest(1, costStart))
		if n := computed(); n == 0 || n > costRackSize+1 {
			t.Errorf("a request after a change of %d nodes computes %d fair rates; a rack has %d or %d nodes", changed, n, costRackSize,
				costRackSize+1)
		}
	}
}

// Events allocate no more with 3,200 known nodes than with 200.
func TestAllocationsDoNotGrowWithNodes(t *testing.T) {
	measure := func(nodes int) map[string]float64 {
		d, list := newFleet(nodes)
		id, now := uint64(0), costStart
		session := func() {
			id++
			d.Step(now, costRequest(id, now))
			d.Step(now, Accepted{ID: id})
			d.Step(now, LegResult{ID: id, Final: true, Load: NoLoad})
		}
		session()
		allocations := map[string]float64{"session": testing.AllocsPerRun(500, session)}
		for _, changed := range []int{1, 100} {
			change := update(list, 0, changed-1)
			allocations[fmt.Sprint("list change of ", changed)] = testing.AllocsPerRun(50, func() { d.Step(now, change) })
		}
		allocations["idle second"] = testing.AllocsPerRun(50, func() {
			for range time.Second / tickInterval {
				now += tickInterval
				d.Step(now, TimerFired{})
			}
		})
		return allocations
	}
	small, large := measure(200), measure(3200)
	for event, n := range large {
		if n > small[event] {
			t.Errorf("%s: %.0f allocations with 3,200 nodes, %.0f with 200", event, n, small[event])
		}
	}
}

func settleAll(d *Director) {
	for r := range d.load.racks {
		d.settleFairRates(r)
	}
}

const few = 3 * costRackSize

// Computing the fair rates of a rack late gives the same actions and fair rates as computing all at each list change.
func TestLateFairRatesEqualEarlyOnes(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		late, list := newFleet(few)
		early, _ := newFleet(few)
		now := costStart
		settleAll(early)
		for id := uint64(1); id <= 2000; id++ {
			now += time.Duration(random.IntN(60)) * time.Millisecond
			event := randomEvent(random, late, list, id, now)
			a, b := append([]Action(nil), late.Step(now, event)...), early.Step(now, event)
			settleAll(early)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("seed %d, %T: %v with late fair rates, %v with early ones", seed, event, a, b)
			}
			for i := range late.nodes {
				settled := late.load.racks[late.nodes[i].rack].listChange == late.listChange.number
				if x, y := late.nodes[i].fairRate, early.nodes[i].fairRate; settled && x != y {
					t.Fatalf("seed %d, %T, node %d: fair rate %v late, %v early", seed, event, i, x, y)
				}
			}
		}
	}
}

// A node that is dropped some time after the list has removed it still counts in the fair rates of its rack until the
// next list change, late or early.
func TestLateFairRatesIncludeNodeDroppedLater(t *testing.T) {
	late, list := newFleet(few)
	early, _ := newFleet(few)
	request, removed := costRequest(1, costStart), list.Entries[0]
	request.Copies, removed.State = 1, Removed
	for _, d := range []*Director{late, early} {
		d.Step(costStart, request)
		d.Step(costStart, Accepted{ID: 1})
		d.Step(costStart, LegResult{ID: 1, Final: true, Load: NoLoad})
		d.Step(costStart, ServerList{Kind: ListUpdate, Entries: []NodeEntry{removed}})
		if d == early {
			settleAll(d)
		}
		if _, kept := d.nodeIndexes.find(removed.Node); !kept {
			t.Fatal("the node is dropped at once, although its set-up still counts")
		}
		d.Step(costStart+time.Minute, TimerFired{})
		if _, kept := d.nodeIndexes.find(removed.Node); kept {
			t.Fatal("the node is never dropped")
		}
		settleAll(d)
	}
	for i := range late.nodes {
		if x, y := late.nodes[i].fairRate, early.nodes[i].fairRate; x != y {
			t.Errorf("node %d: fair rate %v late, %v early", i, x, y)
		}
	}
}

// randomEvent draws an event that is possible in the state of a director.
func randomEvent(random *rand.Rand, d *Director, list ServerList, id uint64, now time.Duration) Event {
	old := id - min(id-1, uint64(random.IntN(30)))
	name := ""
	if i, ok := d.sessionIndexes.find(old); ok && d.sessions[i].node >= 0 {
		name = d.nodes[d.sessions[i].node].name
	}
	switch x := random.IntN(20); {
	case x < 7:
		request := costRequest(id, now)
		request.FirstCell = random.IntN(few)
		if random.IntN(5) == 0 {
			request.PlayingOn = fmt.Sprint(random.IntN(few))
		}
		return request
	case x < 10:
		return Accepted{ID: old}
	case x < 12:
		return LegResult{ID: old, Outcome: Outcome(random.IntN(8)), Load: Load{Streams: float64(random.IntN(9)), Link: random.Float64(), Uplink: -1}}
	case x < 15:
		return Measurement{ID: old, Node: name, Kind: MeasurementKind(1 + random.IntN(4)), Value: 1.3 * random.Float64()}
	case x < 17:
		return TimerFired{}
	case x < 18:
		return ClientGone{ID: old}
	}
	if random.IntN(8) == 0 {
		first := random.IntN(few)
		return ServerList{Kind: ListReplaced, Entries: list.Entries[first:min(few, first+few-3)]}
	}
	e := list.Entries[random.IntN(few)]
	e.State, e.Weight = NodeState(random.IntN(3)), 0.5+random.Float64()
	if random.IntN(2) == 0 {
		e.StartedAt = now
	}
	return ServerList{Kind: ListUpdate, Entries: []NodeEntry{e}}
}
