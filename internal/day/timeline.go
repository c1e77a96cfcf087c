package day

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fordusher/internal/emulated/node"
	"fordusher/internal/wire"
)

// An Action is a set of changes at a time that counts from the day's beginning. Fields that are not set change nothing.
// Actions are stored as JSON in a day's records, under their field names.
type Action struct {
	At       time.Duration
	Fault    *node.Fault
	List     *ListChange
	Lag      *time.Duration // delay of the server list from then on
	Kill     []int          // directors to kill
	Start    []int          // directors to start
	Rate     *float64       // factor on the normal arrival rate
	Hot      *float64       // share of arriving clients that request one of two titles
	Say      string         // progress line
	Director bool           // the action is on directors; these run separately, since starting a director takes time
}

// A ListChange is a change of a node's entry in the server list.
type ListChange struct {
	Machine int // index of the node
	State   string
	Entry   *wire.NodeEntry // the new entry; nil: only the state changes
	Born    bool            // the node has just started
	Late    time.Duration   // delay until the list shows the change
}

// A timelineBuilder translates a script's incidents and the layout's list updates into actions.
type timelineBuilder struct {
	layout    *Layout
	busyUntil []time.Duration // by node: an incident affects it until then
	actions   []Action
}

// Timeline returns the actions of a day in order of time. The same layout always gives the same timeline, so that a day
// on sockets and one in virtual time have the same incidents.
func (layout *Layout) Timeline() []Action {
	b := &timelineBuilder{layout: layout, busyUntil: make([]time.Duration, len(layout.Nodes))}
	hasUpdate := map[string]bool{}
	for _, update := range layout.ListUpdates {
		hasUpdate[update.Entry.Node] = true
	}
	for i, e := range layout.Entries {
		if e.State != wire.Up || hasUpdate[e.Node] { // incidents restart nodes, which must not happen to these
			b.busyUntil[i] = 1 << 62
		}
	}
	b.addListUpdates()
	incidents := slices.Clone(layout.Script.Incidents)
	slices.SortStableFunc(incidents, func(a, b Incident) int { return cmp.Compare(a.At, b.At) })
	for _, incident := range incidents {
		b.addIncident(incident)
	}
	slices.SortStableFunc(b.actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return b.actions
}

func (b *timelineBuilder) add(a Action) { b.actions = append(b.actions, a) }

func (b *timelineBuilder) announce(at time.Duration, format string, args ...any) {
	b.add(Action{At: at, Say: fmt.Sprintf(format, args...)})
}

// drawListDelay returns a random delay until the list shows a change.
func (b *timelineBuilder) drawListDelay() time.Duration {
	s := b.layout.Script
	return s.MinListDelay + time.Duration(b.layout.random.Int64N(int64(s.MaxListDelay-s.MinListDelay)+1))
}

func (b *timelineBuilder) addFault(at time.Duration, fault node.Fault) {
	b.add(Action{At: at, Fault: &fault})
}

func (b *timelineBuilder) updateList(at time.Duration, i int, state string, delay time.Duration) {
	b.add(Action{At: at, List: &ListChange{Machine: i, State: state, Late: delay}})
}

func (b *timelineBuilder) nodeName(i int) string { return b.layout.Nodes[i].Name }

func (b *timelineBuilder) crash(at time.Duration, i int) {
	b.addFault(at, node.Fault{Node: b.nodeName(i), Crash: true})
	b.updateList(at, i, wire.Removed, b.drawListDelay())
}

func (b *timelineBuilder) restart(at time.Duration, i int) {
	b.addFault(at, node.Fault{Node: b.nodeName(i), Start: true})
	b.add(Action{At: at, List: &ListChange{Machine: i, State: wire.Up, Born: true, Late: b.drawListDelay()}})
}

// addListUpdates adds the layout's list updates. Nodes that they add start, and so begin with their slow start; nodes
// that they remove exit.
func (b *timelineBuilder) addListUpdates() {
	index := map[string]int{}
	down := make([]bool, len(b.layout.Nodes))
	for i, e := range b.layout.Entries {
		index[e.Node] = i
		down[i] = e.State == wire.Removed
	}
	for _, update := range b.layout.ListUpdates {
		i := index[update.Entry.Node]
		change := &ListChange{Machine: i, State: update.Entry.State, Entry: &update.Entry}
		if down[i] && update.Entry.State != wire.Removed {
			b.addFault(update.At, node.Fault{Node: update.Entry.Node, Start: true})
			change.Born = true
		}
		b.announce(update.At, "the list: %s %s", update.Entry.Node, update.Entry.State)
		b.add(Action{At: update.At, List: change})
		if down[i] = update.Entry.State == wire.Removed; down[i] {
			b.addFault(update.At, node.Fault{Node: update.Entry.Node, Crash: true})
		}
	}
}

// claimNodes selects an incident's share of the nodes at random, among those that no other incident affects at its
// start, and reserves them until the given time.
func (b *timelineBuilder) claimNodes(incident Incident, until time.Duration) (nodes []int) {
	count := max(1, int(incident.Share*float64(len(b.layout.Nodes))+0.5))
	for _, i := range b.layout.random.Perm(len(b.layout.Nodes)) {
		if len(nodes) < count && b.busyUntil[i] <= incident.At {
			b.busyUntil[i] = until
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// forEachNode claims an incident's share of the nodes for a time and calls f for each.
func (b *timelineBuilder) forEachNode(incident Incident, duration time.Duration, effect string, f func(i int)) {
	nodes := b.claimNodes(incident, incident.At+duration)
	b.announce(incident.At, "%s: %d nodes %s", incident.Kind, len(nodes), effect)
	for _, i := range nodes {
		f(i)
	}
}

// addTemporaryFault applies a fault to an incident's share of the nodes and reverts it at the incident's end.
func (b *timelineBuilder) addTemporaryFault(incident Incident, effect string, on, off node.Fault) {
	b.forEachNode(incident, incident.Duration, effect, func(i int) {
		on, off := on, off // each node needs its own copy
		on.Node, off.Node = b.nodeName(i), b.nodeName(i)
		b.addFault(incident.At, on)
		b.addFault(incident.At+incident.Duration, off)
	})
}

// addIncident adds the actions of one incident.
func (b *timelineBuilder) addIncident(incident Incident) {
	end := incident.At + incident.Duration
	size := time.Duration(incident.Size * float64(time.Second)) // for the kinds whose size is a number of seconds
	switch incident.Kind {
	case "crash":
		b.forEachNode(incident, incident.Duration, "die, back cold", func(i int) {
			b.crash(incident.At, i)
			b.restart(end, i)
		})
	case "vanish":
		b.forEachNode(incident, incident.Duration, "fall silent, back cold", func(i int) {
			b.addFault(incident.At, node.Fault{Node: b.nodeName(i), Silent: new(true)})
			b.updateList(incident.At, i, wire.Removed, b.layout.Script.SilentNodeListDelay)
			b.restart(end, i)
		})
	case "hang":
		b.addTemporaryFault(incident, "take work and answer nothing", node.Fault{Hang: new(true)}, node.Fault{Hang: new(false)})
	case "fast_errors":
		b.addTemporaryFault(incident, "fail set-ups quickly", node.Fault{FailShare: &incident.Size}, node.Fault{FailShare: new(0.0)})
	case "answer_lost":
		b.addTemporaryFault(incident, "lose answers", node.Fault{LossShare: &incident.Size}, node.Fault{LossShare: new(0.0)})
	case "ageing":
		b.forEachNode(incident, incident.Duration+2*time.Second, "grow slower and then die", func(i int) {
			for step := 1; step <= 20; step++ {
				b.addFault(incident.At+incident.Duration*time.Duration(step-1)/20,
					node.Fault{Node: b.nodeName(i), SlowFactor: new(1 + (incident.Size-1)*float64(step)/20)})
			}
			b.crash(end, i)
			b.restart(end+2*time.Second, i)
		})
	case "deploy":
		b.addDeploy(incident, size)
	case "preempt":
		b.forEachNode(incident, size+incident.Duration, "are taken away, replaced cold", func(i int) {
			b.updateList(incident.At, i, wire.Draining, b.drawListDelay())
			b.crash(incident.At+size, i)
			b.restart(incident.At+size+incident.Duration, i)
		})
	case "discovery_stale":
		b.announce(incident.At, "the list falls %.1f s behind", incident.Size)
		b.add(Action{At: incident.At, Lag: &size})
		b.add(Action{At: end, Lag: new(time.Duration(0)), Say: "the list is back"})
	case "balancer_roll":
		b.addDirectorRestarts(incident, size)
	case "burst":
		b.add(Action{At: incident.At, Rate: &incident.Size, Say: fmt.Sprintf("a crowd comes: %.1f times the usual", incident.Size)})
		b.add(Action{At: end, Rate: new(1.0)})
	case "hot_key":
		b.add(Action{At: incident.At, Hot: &incident.Size, Say: fmt.Sprintf("%.0f%% of the viewers want two titles", 100*incident.Size)})
		b.add(Action{At: end, Hot: new(0.0)})
	case "shared_slow":
		b.announce(incident.At, "all links give %.1f times less", incident.Size)
		b.addFault(incident.At, node.Fault{BandwidthDivisor: &incident.Size})
		b.addFault(end, node.Fault{BandwidthDivisor: new(1.0)})
	case "origin_slow":
		racks := max(1, len(b.layout.Environment.Uplinks)*3/10)
		b.announce(incident.At, "the uplinks of %d racks give %.1f times less", racks, incident.Size)
		for i := range racks {
			b.addFault(incident.At, node.Fault{Rack: &i, BandwidthDivisor: &incident.Size})
			b.addFault(end, node.Fault{Rack: &i, BandwidthDivisor: new(1.0)})
		}
	}
}

// addDeploy replaces a share of the nodes in waves of an eighth of the fleet. The nodes of a wave are listed as
// draining, exit a second after the maximum list delay, and restart after the downtime.
func (b *timelineBuilder) addDeploy(incident Incident, downtime time.Duration) {
	nodes := b.claimNodes(incident, incident.At+incident.Duration+downtime+b.layout.Script.MaxListDelay+time.Second)
	b.announce(incident.At, "deploy: %d nodes are replaced in waves", len(nodes))
	batch := max(1, len(b.layout.Nodes)/8)
	waves := (len(nodes) + batch - 1) / batch
	at := incident.At
	for wave := range waves {
		exitAt := at + b.layout.Script.MaxListDelay + time.Second
		for _, i := range nodes[wave*batch : min(len(nodes), (wave+1)*batch)] {
			b.updateList(at, i, wire.Draining, b.drawListDelay())
			b.crash(exitAt, i)
			b.restart(exitAt+downtime, i)
		}
		at = max(at+incident.Duration/time.Duration(waves), exitAt+downtime)
	}
}

// addDirectorRestarts kills all directors in batches of the incident's share and restarts each batch after the
// downtime, with an empty state.
func (b *timelineBuilder) addDirectorRestarts(incident Incident, downtime time.Duration) {
	count := b.layout.Script.Directors
	batch := max(1, int(incident.Share*float64(count)))
	at := incident.At
	for first := 0; first < count; first += batch {
		var directors []int
		for i := first; i < min(count, first+batch); i++ {
			directors = append(directors, i)
		}
		b.add(Action{At: at, Kill: directors, Director: true,
			Say: fmt.Sprintf("directors %d to %d are killed", directors[0], directors[len(directors)-1])})
		b.add(Action{At: at + downtime, Start: directors, Director: true})
		at = max(at+downtime, at+incident.Duration*time.Duration(batch)/time.Duration(count))
	}
}
