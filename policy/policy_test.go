package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

// The first case is the paper's worked example.
func TestFairRate(t *testing.T) {
	for _, c := range []struct{ links, streams, want []float64 }{
		{[]float64{10, 20, 35}, []float64{10, 10, 10}, []float64{1, 2, 3}},
		{[]float64{10}, []float64{0}, []float64{10}},                   // no streams: the cap is the link
		{[]float64{30, 30}, []float64{10, 10}, []float64{2, 2}},        // nothing pooled
		{[]float64{10, 30}, []float64{10, 5}, []float64{1, 4}},         // all that is left goes to one
		{[]float64{5, 5, 9}, []float64{10, 0, 0}, []float64{.5, 5, 9}}, // entitled without streams
	} {
		var nodes, sorted []*node
		for i := range c.links {
			nodes = append(nodes, &node{linkCapacity: c.links[i], streams: c.streams[i]})
		}
		sorted = append(sorted, nodes...)
		assignFairRates(2, sorted)
		for i, n := range nodes {
			if math.Abs(n.fairRate-c.want[i]) > 1e-9 {
				t.Fatalf("links %v streams %v: rate %d is %v", c.links, c.streams, i, n.fairRate)
			}
		}
	}
}

func TestPayoffIsBoundedAndPrefersHigherRung(t *testing.T) {
	for _, c := range []struct {
		floor, fitting  int
		reference, mean float64
		want            int
	}{
		{0, 3, 2, 2, 2}, {0, 1, 3, 3, 1}, {1, 1, 0, 0, 1}, {0, 3, 1.2, 1.2, 1}, {0, 3, 1.31, 1.31, 2},
		{0, 2, 0.5, 1.5, 1}, // the middle of reference, fitting rung and mean
	} {
		if got := payoff(c.floor, c.fitting, c.reference, c.mean); got != c.want {
			t.Fatalf("%+v: rung %d", c, got)
		}
	}
}

// newTestDirector is a director of one rack of three nodes, all with a link of 1000 kB a second.
func newTestDirector(paid bool, directors int) (*Director, []NodeEntry) {
	d := New(1, Peers{Directors: directors}, []Tariff{{GoalTime: time.Second, HardStop: 4 * time.Second,
		Credit: 1, AtMostOnce: paid, Scale: 1, Top: 2}}, Ladder{Rates: []float64{50, 100, 200}, JoinCost: 1},
		Fleet{Cells: 3, Racks: 1, LinkUnit: 1000, Uplink: 2000},
		Ramp{MaxStreams: []float64{20}, Warmup: 10 * time.Second, InitialShare: .5, OverloadMultiple: 4, OverloadWindow: time.Second},
		RetryPolicy{MaxLegs: 4}, ReportTiming{Delay: time.Second})
	var list []NodeEntry
	for i, name := range []string{"a", "b", "c"} {
		list = append(list, NodeEntry{Node: name, StartedAt: UnknownStart, Weight: 1, Cell: i})
	}
	d.Step(0, ServerList{Kind: ListRestored, Entries: list})
	return d, list
}

func firstAction[A Action](acts []Action) (found A, ok bool) {
	for _, a := range acts {
		if x, is := a.(A); is {
			return x, true
		}
	}
	return found, false
}

// A director that echoed nothing emptied a link that all directors had heard to be full.
func TestDirectorsShareStepDown(t *testing.T) {
	d, _ := newTestDirector(false, 2)
	for id := uint64(1); id <= 3; id++ {
		d.Step(0, Request{ID: id, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
		d.Step(0, Measurement{ID: id, Node: "a", Kind: CurrentRung, Value: 2})
	}
	d.Step(5*time.Second, Measurement{ID: 1, Node: "a", Kind: LinkLoad, Value: 1.2})
	downs := 0
	for at := 5 * time.Second; at < 8*time.Second; at += tickInterval {
		for _, a := range d.Step(at, TimerFired{}) {
			if r, ok := a.(SetRung); ok && r.Rung < 2 {
				downs++
			}
		}
	}
	if downs != 1 { // half of the excess of 200 kB a second is its own: one session, one rung
		t.Fatalf("%d sessions stepped down", downs)
	}
}

// A director that held nearly all of a link left as much room as one among hundreds.
func TestRaiseLimitGrowsWithOwnShare(t *testing.T) {
	rung := func(own uint64) int {
		d, _ := newTestDirector(false, 2)
		for id := uint64(1); id <= own; id++ {
			d.Step(0, Request{ID: id, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
			d.Step(0, Measurement{ID: id, Node: "a", Kind: CurrentRung, Value: 2})
		}
		d.Step(2*time.Second, Measurement{ID: 1, Node: "a", Kind: LinkLoad, Value: 0.8}) // four sessions' worth
		return d.fittingRung(&session{Request: Request{MaxRung: 2}, node: 0}, &d.nodes[0], 2)
	}
	if all, some := rung(4), rung(1); all <= some {
		t.Fatalf("who holds all raises up to rung %d, who holds a quarter up to %d", all, some)
	}
	if mine := raiseLimit(1, 2, 1) - raiseLimit(1, 2, 0); mine < 0.05 || raiseLimit(1, 2, 1) > 1.1 {
		t.Fatalf("holding all raises the bar by %v", mine)
	}
}

// Sessions handed over at a rung stayed there while a set-up beside them, by the same figures, got a higher one.
func TestAdoptedSessionStepsUpLikeASetup(t *testing.T) {
	for handed, want := range map[bool]int{true: 2, false: 1} {
		d, _ := newTestDirector(false, 1)
		d.Step(0, Request{ID: 1, Copies: 1, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
		d.Step(0, Measurement{ID: 1, Node: "a", Kind: CurrentRung, Value: 1})
		d.Step(0, Measurement{ID: 1, Node: "a", Kind: LinkLoad, Value: 0.3})
		i, _ := d.sessionIndexes.find(1)
		s := &d.sessions[i]
		s.adopted = handed
		d.nodes[s.node].fairRate = 140 // a reference of 1.4: nearer to 1, the mean
		d.now, d.load.now = rescoreEvery, rescoreEvery
		d.rescore(s)
		if s.rung != want {
			t.Fatalf("handed over %v: rung %d, wanted %d", handed, s.rung, want)
		}
	}
}

// Sessions handed over waited for two seconds, and for two more where no figure had come by then.
func TestAdoptedSessionIsScoredAtFirstLoadReport(t *testing.T) {
	d, _ := newTestDirector(false, 1)
	d.Step(0, Request{ID: 1, Copies: 1, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
	at := tickInterval
	for ; at < rescoreEvery+rescoreEvery/2; at += tickInterval {
		if _, ok := firstAction[SetRung](d.Step(at, TimerFired{})); ok {
			t.Fatal("stepped without a figure")
		}
	}
	d.Step(at, Measurement{ID: 1, Node: "a", Kind: LinkLoad, Value: 0.1})
	if _, ok := firstAction[SetRung](d.Step(at+tickInterval, TimerFired{})); !ok {
		t.Fatal("not scored at the next look")
	}
}

// What was short was taken from all tariffs alike, whatever they earned.
func TestBiasByCredit(t *testing.T) {
	r := rungs{tariffs: []Tariff{{Credit: 1}, {Credit: 3}, {Credit: 1}}}
	if low, high := r.bias(0), r.bias(1); low >= 0 || high <= 0 || low != r.bias(2) || low != -high {
		t.Fatalf("credit 1 leans %v, credit 3 %v", low, high)
	}
	if r.tariffs = r.tariffs[:1]; r.bias(0) != 0 {
		t.Fatal("one tariff alone leans")
	}
}

// A session that nothing was heard for was stepped down on a guess.
func TestNoStepWithoutLoadReport(t *testing.T) {
	d, _ := newTestDirector(false, 3)
	for id := uint64(1); id <= 4; id++ {
		d.Step(0, Request{ID: id, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
		d.Step(0, Measurement{ID: id, Node: "a", Kind: CurrentRung, Value: 2})
	}
	if _, ok := firstAction[SetRung](d.Step(3*time.Second, TimerFired{})); ok {
		t.Fatal("stepped without a figure")
	}
}

func TestAtMostOnceLegThatMayHaveRunFails(t *testing.T) {
	for outcome, freed := range map[Outcome]bool{
		Errored: false, TimedOut: false, Reset: false, Cancelled: false, Full: true, ConnectFailed: true,
	} {
		d, _ := newTestDirector(true, 1)
		out, _ := firstAction[Dispatch](d.Step(0, Request{ID: 9, Copies: 3, Deadline: 4 * time.Second}))
		acts := d.Step(time.Millisecond, LegResult{ID: 9, Node: out.Node, Outcome: outcome, Load: NoLoad})
		_, again := firstAction[Dispatch](acts)
		_, failed := firstAction[Fail](acts)
		if again != freed || failed == freed {
			t.Fatalf("outcome %d: again %v, failed %v", outcome, again, failed)
		}
	}
}

// A node whose set-ups fail quickly looks idle; it must not attract more.
func TestErrorSetsNodeAside(t *testing.T) {
	d, _ := newTestDirector(false, 1)
	out, _ := firstAction[Dispatch](d.Step(0, Request{ID: 1, Copies: 3, Deadline: 4 * time.Second}))
	d.Step(0, LegResult{ID: 1, Node: out.Node, Outcome: Errored, Load: NoLoad})
	d.Step(0, Accepted{ID: 1}) // elsewhere: it was the node
	for id := uint64(2); id < 8; id++ {
		next, ok := firstAction[Dispatch](d.Step(0, Request{ID: id, Copies: 3, Deadline: 4 * time.Second}))
		if ok && next.Node == out.Node {
			t.Fatal("sent to a node set aside")
		}
	}
}

// A client whose requests no node could serve set all nodes aside, one after the other, for paid sessions above all.
func TestErrorOnTwoNodesIsRecordedForNeither(t *testing.T) {
	d, _ := newTestDirector(false, 1)
	for id := uint64(1); id <= 3; id++ {
		out, ok := firstAction[Dispatch](d.Step(0, Request{ID: id, Copies: 3, Deadline: 4 * time.Second}))
		for ; ok; out, ok = firstAction[Dispatch](d.Step(0, LegResult{ID: id, Node: out.Node, Outcome: Errored, Load: NoLoad})) {
		}
	}
	for i := range d.nodes {
		if d.nodes[i].health.legLimit > 0 {
			t.Fatalf("node %s is set aside", d.nodes[i].name)
		}
	}
}

// Where no other node has a word on it, one error may be the request's; two in a row are the node's.
func TestTwoUnconfirmedErrorsSetNodeAside(t *testing.T) {
	for _, paid := range []bool{true, false} {
		d, _ := newTestDirector(paid, 1)
		err := func(id uint64) {
			out, _ := firstAction[Dispatch](d.Step(0, Request{ID: id, Copies: 1, Deadline: 4 * time.Second}))
			d.Step(0, LegResult{ID: id, Node: out.Node, Outcome: Errored, Load: NoLoad})
			for at := time.Duration(0); at < 1200*time.Millisecond; at += tickInterval { // a free one is held until it is given up
				d.Step(at, TimerFired{})
			}
		}
		err(1)
		if d.nodes[0].health.legLimit > 0 {
			t.Fatalf("paid %v: set aside for one", paid)
		}
		d.now = 0
		err(2)
		if d.nodes[0].health.legLimit == 0 {
			t.Fatalf("paid %v: two are not held against it", paid)
		}
	}
}

// adoptWithLinkLoad gives a director a session on node a at the top rung and a link figure of a at a time.
func adoptWithLinkLoad(d *Director, id uint64, at time.Duration, figure float64) {
	d.Step(0, Request{ID: id, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
	d.Step(0, Measurement{ID: id, Node: "a", Kind: CurrentRung, Value: 2})
	d.Step(at, Measurement{ID: id, Node: "a", Kind: LinkLoad, Value: figure})
}

// Among hundreds of directors one session read as a flooded link and none as an empty one.
func TestOneOwnSessionIsNotAFullLink(t *testing.T) {
	d, _ := newTestDirector(false, 300)
	d.Step(0, Request{ID: 1, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "a"})
	d.Step(0, Measurement{ID: 1, Node: "a", Kind: CurrentRung, Value: 2})
	if own, none := d.load.linkUse(&d.nodes[0]), d.load.linkUse(&d.nodes[1]); own <= none || own > 1.5 || none < 0.3 {
		t.Fatalf("one session reads as %.2f, none as %.2f", own, none)
	}
}

// A figure that nothing kept true steered for ever, and so did the mean of all once notes ceased.
func TestLoadReportsExpire(t *testing.T) {
	d, _ := newTestDirector(false, 300)
	adoptWithLinkLoad(d, 1, time.Second, 1.4)
	d.Step(0, Request{ID: 4, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "b"})
	for range 50 { // two nodes of the rack agree
		d.Step(time.Second, Measurement{ID: 1, Node: "a", Kind: UplinkLoad, Value: 1.1})
		d.Step(time.Second, Measurement{ID: 4, Node: "b", Kind: UplinkLoad, Value: 1.1})
	}
	if out, ok := firstAction[Dispatch](d.Step(2*time.Second, Request{ID: 2, Copies: 3, Deadline: time.Hour})); ok {
		t.Fatalf("sent to %s over a full uplink", out.Node)
	}
	d.Step(3*time.Second, LegResult{ID: 1, Node: "a", Outcome: Served, Final: true, Load: NoLoad})
	d.Step(3*time.Second, LegResult{ID: 4, Node: "b", Outcome: Served, Final: true, Load: NoLoad})
	if _, ok := firstAction[Dispatch](d.Step(time.Minute, Request{ID: 3, Copies: 3, Deadline: time.Hour})); !ok {
		t.Fatal("a minute of silence, and the uplink is still held to be full")
	}
}

// All who heard the same figure stepped at once, or counted on all others and never climbed.
func TestOnlySomeDirectorsStep(t *testing.T) {
	for figure, up := range map[float64]bool{1.2: false, 0.6: true} {
		steps := 0
		for me := range uint64(200) {
			d, _ := newTestDirector(false, 200)
			d.random = newPCG(me)
			adoptWithLinkLoad(d, 1, 5*time.Second, figure)
			if up { // from the lowest rung, with figures to raise it on
				d.bookRung(&d.sessions[0], 0)
				d.sessions[0].meanRung = 0
				d.Step(5*time.Second, Measurement{ID: 1, Node: "a", Kind: LinkLoad, Value: figure})
			}
			if _, ok := firstAction[SetRung](d.Step(7*time.Second, TimerFired{})); ok {
				steps++
			}
		}
		if steps < 20 || steps > 180 {
			t.Fatalf("at %.1f of a link %d of 200 step", figure, steps)
		}
	}
}

// Sessions were set up on links full with sessions at their floor; each cost the others more than it earned.
func TestNoSetupOnFullLink(t *testing.T) {
	d, _ := newTestDirector(false, 3)
	adoptWithLinkLoad(d, 1, time.Second, 1.1)
	at := slices.IndexFunc(d.nodes, func(n node) bool { return n.name == "a" })
	if out, ok := firstAction[Dispatch](d.Step(time.Second, Request{ID: 2, FirstCell: at, Copies: 1, Deadline: time.Hour})); ok {
		t.Fatalf("sent to %s", out.Node)
	}
	if _, ok := firstAction[Nack](d.Step(2*time.Second, TimerFired{})); !ok {
		t.Fatal("not answered at its goal time")
	}
}

// A node that hung delivered nothing, and its whole rack was held to be short.
func TestDeliveredShareRaisesLinkLoadOnly(t *testing.T) {
	d, _ := newTestDirector(false, 3)
	adoptWithLinkLoad(d, 1, time.Second, 0.6)
	for kind, value := range map[MeasurementKind]float64{UplinkLoad: 0.7, DeliveredShare: 0.05} {
		d.Step(time.Second, Measurement{ID: 1, Node: "a", Kind: kind, Value: value})
	}
	d.Step(2*time.Second, Measurement{ID: 1, Node: "a", Kind: DeliveredShare, Value: 0.05})
	if link, uplink := d.load.linkUse(&d.nodes[0]), d.load.uplinkUse(0); link < 1 || uplink > 0.8 {
		t.Fatalf("link %.2f, uplink %.2f", link, uplink)
	}
	d.Step(3*time.Second, Measurement{ID: 1, Node: "a", Kind: DeliveredShare, Value: 1})
	if link := d.load.linkUse(&d.nodes[0]); link > raiseThreshold {
		t.Fatalf("short delivery is over, link still at %.2f", link)
	}
}

// With more directors than a fall budget has set-ups, one that had just started, or had seen a leg
// fail, was allowed nothing: it nacked its viewers for a warm-up, and a node once doubted stayed out.
func TestSuspectNodeStillGetsSetups(t *testing.T) {
	d, _ := newTestDirector(false, 300)
	send := func(id uint64, at time.Duration) bool {
		_, ok := firstAction[Dispatch](d.Step(at, Request{ID: id, Copies: 1, Deadline: at + time.Hour}))
		return ok
	}
	if !send(1, time.Second) || send(2, time.Second) {
		t.Fatal("a director that has just started sends each node one set-up in the tipping time")
	}
	d.Step(12*time.Second, LegResult{ID: 1, Node: d.nodes[0].name, Outcome: Reset, Final: true, Load: NoLoad})
	d.nodes[0].health, d.nodes[0].sentTimes = health{}, nil
	if !send(3, 20*time.Second) || send(4, 22*time.Second) || !send(5, 26*time.Second) {
		t.Fatal("one set-up in five seconds (a warm-up over the multiple of the least warmth) was due")
	}
}

// Lost answers set all holders aside, and paid sessions had nowhere to go.
func TestAtMostOnceLegTriedWhenAllHoldersAreSetAside(t *testing.T) {
	d, _ := newTestDirector(true, 300)
	d.slowStart.adopted = true
	for i := range d.nodes {
		d.nodes[i].health = health{1, time.Hour, time.Hour}
	}
	if _, ok := firstAction[Dispatch](d.Step(0, Request{ID: 1, Copies: 3, Deadline: time.Hour})); !ok {
		t.Fatal("all three are set aside, and none is tried")
	}
	d.nodes[1].health = health{}
	for id := uint64(2); id < 5; id++ {
		out, _ := firstAction[Dispatch](d.Step(0, Request{ID: id, Copies: 3, Deadline: time.Hour}))
		if out.Node != "" && out.Node != d.nodes[1].name {
			t.Fatalf("one of three is well, and %s is tried", out.Node)
		}
	}
}

// A rung off the ladder, and news of a node or session never heard of, did harm.
func TestInvalidMeasurementsAreHarmless(t *testing.T) {
	d, _ := newTestDirector(false, 3)
	adoptWithLinkLoad(d, 1, time.Second, 0.5)
	for _, e := range []Event{Measurement{ID: 1, Node: "a", Kind: CurrentRung, Value: 99}, Measurement{ID: 1, Node: "a", Kind: CurrentRung, Value: -3},
		Measurement{ID: 1, Node: "x", Kind: LinkLoad, Value: 1}, Measurement{ID: 7, Node: "a", Kind: DeliveredShare}, Accepted{7}, ClientGone{7}} {
		d.Step(time.Second, e)
	}
	if s := d.sessions[0]; s.rung != 0 || d.nodes[s.node].ownLoad != d.rungs.rate(&s, 0) {
		t.Fatalf("rung %d, %v booked", s.rung, d.nodes[s.node].ownLoad)
	}
}

func TestRulesHold(t *testing.T) { rapid.Check(t, func(t *rapid.T) { newSimulation(t).run() }) }

func TestIndexMapReusesIndexes(t *testing.T) {
	d := newIndexMap[uint64]()
	rapid.Check(t, func(t *rapid.T) {
		inside := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 20, rapid.ID).Draw(t, "ids")
		var seen []int
		for _, id := range inside {
			i, _ := d.assign(id)
			if slices.Contains(seen, i) {
				t.Fatal("an index given twice")
			}
			seen = append(seen, i)
		}
		for _, id := range inside {
			d.release(id)
		}
		if d.size > 20 || len(d.indices) > 0 {
			t.Fatal("the door keeps what has left")
		}
	})
}

// The list put a node into another rack under the same name, and what its sessions carry stayed booked at the old one.
func TestBookedLoadFollowsMovedNode(t *testing.T) {
	d, list := newTestDirector(false, 3)
	d.load.racks = make([]rack, 3)
	adoptWithLinkLoad(d, 1, time.Second, 0.5)
	list[0].Cell = 2
	d.Step(2*time.Second, ServerList{Kind: ListUpdate, Entries: list[:1]})
	if own := d.load.racks[2].ownLoad; own != 200 {
		t.Fatalf("%v kB/s booked at the new rack", own)
	}
	d.Step(3*time.Second, LegResult{ID: 1, Node: "a", Outcome: Served, Final: true, Load: NoLoad})
	for i, r := range d.load.racks {
		if r.ownLoad != 0 {
			t.Fatalf("%v kB/s left at rack %d", r.ownLoad, i)
		}
	}
}

// A title whose first cell the list counted past the last one was set up on nodes that do not hold it.
func TestFirstCellWrapsAround(t *testing.T) {
	d, _ := newTestDirector(false, 1) // three cells, a node in each
	out, ok := firstAction[Dispatch](d.Step(0, Request{ID: 1, FirstCell: 3*7 + 1, Copies: 1, Deadline: time.Hour}))
	if !ok || out.Node != "b" {
		t.Fatalf("sent to %q", out.Node)
	}
}

// A successor under the same name was held to be as full as its predecessor was.
func TestRestartedNodeHasNoLoadReports(t *testing.T) {
	d, list := newTestDirector(false, 3)
	adoptWithLinkLoad(d, 1, time.Second, 1.4)
	d.Step(time.Second, LegResult{ID: 1, Node: "a", Outcome: Reset, Final: true, Load: Load{19, -1, -1}})
	list[0].StartedAt = 1500 * time.Millisecond
	d.Step(2*time.Second, ServerList{Kind: ListUpdate, Entries: list[:1]})
	if n := &d.nodes[0]; n.linkLoad.known || n.reportedStreams >= 0 || d.load.linkUse(n) > defaultLoad {
		t.Fatalf("link %.2f, streams %v", d.load.linkUse(n), n.reportedStreams)
	}
}

// it fail: it sent its whole part of the fall budget twice.
func TestFlappingListDoesNotResetSlowStart(t *testing.T) {
	d, list := newTestDirector(false, 1)
	d.slowStart.adopted = true
	list[0].StartedAt = time.Second
	sent := 0
	for id := uint64(1); id <= 40; id++ {
		now := 2*time.Second + time.Duration(id)*time.Millisecond
		for _, word := range [][]NodeEntry{list[1:], list} {
			d.Step(now, ServerList{Kind: ListReplaced, Entries: word})
		}
		if _, ok := firstAction[Dispatch](d.Step(now, Request{ID: id, Copies: 1, Deadline: now + time.Hour})); ok {
			sent++
			d.Step(now, LegResult{ID: id, Node: "a", Outcome: Full, Final: true, Load: NoLoad})
			d.nodes[0].linkLoad = resourceLoad{}
		}
	}
	if sent > 4 { // 4 x 20 places x 0.5 over 10 s, for the tipping time of one
		t.Fatalf("%d set-ups within 40 ms", sent)
	}
}

// A node that was dropped from the list is forgotten once nothing of it can matter any more.
func TestUnlistedNodesAreDropped(t *testing.T) {
	d, list := newTestDirector(false, 1)
	adoptWithLinkLoad(d, 1, time.Second, 1)
	d.Step(time.Second, LegResult{ID: 1, Node: "a", Outcome: Reset, Final: true, Load: NoLoad})
	d.Step(2*time.Second, ServerList{Kind: ListReplaced, Entries: list[1:]})
	d.Step(30*time.Second, TimerFired{})
	if _, there := d.nodeIndexes.find("a"); there {
		t.Fatal("still known 28 s after it left the list")
	}
}

// be that one full.
func TestAtMostOnceLegsReturnToNode(t *testing.T) {
	d, _ := newTestDirector(true, 1)
	d.slowStart.adopted = true
	d.Step(0, Request{ID: 1, Copies: 1, Deadline: 4 * time.Second})
	d.Step(0, LegResult{ID: 1, Node: "a", Outcome: Errored, Load: NoLoad})
	sent := 0
	for id := uint64(2); id < 40; id++ {
		now := time.Hour + time.Duration(id)*time.Second
		if out, ok := firstAction[Dispatch](d.Step(now, Request{ID: id, Copies: 3, Deadline: now + time.Second})); ok {
			if out.Node == "a" {
				sent++
			}
			d.Step(now, Accepted{id})
			d.Step(now, LegResult{ID: id, Node: out.Node, Outcome: Served, Final: true, Load: NoLoad})
		}
	}
	if sent == 0 {
		t.Fatal("an hour after one error the node is never tried")
	}
}

// One node that told impossible figures filled, in the eyes of its directors, every link and every rack there was.
func TestImpossibleReportsAffectOnlyTheirNode(t *testing.T) {
	d, _ := newTestDirector(false, 100)
	adoptWithLinkLoad(d, 1, time.Second, 0.5)
	before, fair := d.load.linkUse(&d.nodes[1]), d.nodes[1].fairRate
	for i := range time.Duration(20) {
		d.Step(time.Second+i, Measurement{ID: 1, Node: "a", Kind: LinkLoad, Value: 1e6})
		d.Step(time.Second+i, Measurement{ID: 1, Node: "a", Kind: UplinkLoad, Value: 1e6})
	}
	d.Step(2*time.Second, LegResult{ID: 1, Node: "a", Outcome: Served, Final: true, Load: Load{1e6, 1e6, 1e6}})
	d.Step(2*time.Second, ServerList{Kind: ListUpdate})
	if after := d.load.linkUse(&d.nodes[1]); after > fullThreshold || d.nodes[1].fairRate < fair/4 {
		t.Fatalf("another node's link went from %.2f to %.2f, its fair rate from %.0f to %.0f", before, after, fair, d.nodes[1].fairRate)
	}
}

// A rack's uplink is told by its nodes, and a director often hears one of them alone. One that told of a full uplink
// falsely kept set-ups off the whole rack for as long as it said so.
func TestOneNodeCannotBlockItsRack(t *testing.T) {
	d, _ := newTestDirector(false, 3)
	adoptWithLinkLoad(d, 1, time.Second, 0.5)
	for i := range time.Duration(20) {
		d.Step(time.Second+i, Measurement{ID: 1, Node: "a", Kind: UplinkLoad, Value: 1.5})
	}
	for base := 1; base < 3; base++ { // the others of its rack
		if _, ok := firstAction[Dispatch](d.Step(2*time.Second, Request{ID: uint64(10 + base), FirstCell: base, Copies: 1, Deadline: time.Hour})); !ok {
			t.Errorf("node %d takes nothing by the word of node 0", base)
		}
	}
}

// Two nodes that tell of a full uplink close the rack for the third.
func TestTwoNodesBlockTheirRack(t *testing.T) {
	d, _ := newTestDirector(false, 3)
	adoptWithLinkLoad(d, 1, time.Second, 0.5)
	d.Step(0, Request{ID: 2, Copies: 3, MaxRung: 2, Deadline: time.Hour, PlayingOn: "b"})
	d.Step(time.Second, Measurement{ID: 1, Node: "a", Kind: UplinkLoad, Value: 1.5})
	d.Step(time.Second, Measurement{ID: 2, Node: "b", Kind: UplinkLoad, Value: 1.5})
	if out, ok := firstAction[Dispatch](d.Step(2*time.Second, Request{ID: 3, Copies: 3, Deadline: time.Hour})); ok {
		t.Fatalf("sent to %s over an uplink that two nodes call full", out.Node)
	}
}

// A list tells ages in milliseconds, so the same birth reads a little later each time: a node that had just failed was
// taken for its successor and trusted again.
func TestStartTimeJitterIsNoRestart(t *testing.T) {
	d, list := newTestDirector(false, 1)
	d.slowStart.adopted = true
	list[0].StartedAt = 0
	d.Step(0, ServerList{Kind: ListUpdate, Entries: list[:1]})
	d.Step(time.Second, Request{ID: 1, Copies: 1, Deadline: time.Hour})
	d.Step(time.Second, LegResult{ID: 1, Node: "a", Outcome: Reset, Final: true, Load: NoLoad})
	for _, later := range []time.Duration{time.Millisecond, 200 * time.Millisecond} {
		list[0].StartedAt = later
		d.Step(2*time.Second, ServerList{Kind: ListUpdate, Entries: list[:1]})
		if aside, same := d.nodes[0].health.legLimit > 0, later < startTimeTolerance; aside != same {
			t.Fatalf("born %v later: set aside %v", later, aside)
		}
	}
}
