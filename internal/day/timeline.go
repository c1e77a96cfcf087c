package day

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fordusher/internal/emulated/node"
	"fordusher/internal/wire"
)

// An Action is one thing that is done at a time of a day, counted from its begin. What it does not name it
// leaves alone.
type Action struct {
	At       time.Duration
	Fault    *node.Fault
	List     *ListChange
	Lag      *time.Duration // of the list, from now on
	Kill     []int          // directors
	Start    []int
	Rate     *float64 // of arrivals, times the usual
	Hot      *float64 // share of viewers that want one of two titles
	Say      string
	Director bool // it is about directors: kept apart, since starting one takes its time
}

// A ListChange is what the list is to say of a machine, and how late.
type ListChange struct {
	Machine int
	State   string
	Entry   *wire.NodeEntry // what else changes; nil: nothing
	Born    bool            // it has started just now
	Late    time.Duration
}

// course compiles troubles into actions.
type course struct {
	y     *Layout
	until []time.Duration // a machine is some trouble's until then
	all   []Action
}

// Timeline is what happens in the course of a day: the same for the same layout, so that a day on sockets and
// one in virtual time go through the same incident.
func (y *Layout) Timeline() []Action {
	c := &course{y: y, until: make([]time.Duration, len(y.Nodes))}
	planned := map[string]bool{}
	for _, t := range y.ListUpdates {
		planned[t.Entry.Node] = true
	}
	for i, e := range y.Entries {
		if e.State != wire.Up || planned[e.Node] { // troubles bring machines back up, and these are not to be
			c.until[i] = 1 << 62
		}
	}
	c.plan()
	troubles := slices.Clone(y.Script.Incidents)
	slices.SortStableFunc(troubles, func(a, b Incident) int { return cmp.Compare(a.At, b.At) })
	for _, t := range troubles {
		c.trouble(t)
	}
	slices.SortStableFunc(c.all, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return c.all
}

func (c *course) do(a Action) { c.all = append(c.all, a) }

func (c *course) say(at time.Duration, format string, args ...any) {
	c.do(Action{At: at, Say: fmt.Sprintf(format, args...)})
}

// notice is how late the list learns of a change.
func (c *course) notice() time.Duration {
	s := c.y.Script
	return s.MinListDelay + time.Duration(c.y.chance.Int64N(int64(s.MaxListDelay-s.MinListDelay)+1))
}

func (c *course) fault(at time.Duration, x node.Fault) { c.do(Action{At: at, Fault: &x}) }

func (c *course) list(at time.Duration, m int, state string, late time.Duration) {
	c.do(Action{At: at, List: &ListChange{Machine: m, State: state, Late: late}})
}

func (c *course) name(m int) string { return c.y.Nodes[m].Name }

func (c *course) die(at time.Duration, m int) {
	c.fault(at, node.Fault{Node: c.name(m), Crash: true})
	c.list(at, m, wire.Removed, c.notice())
}

func (c *course) comeBack(at time.Duration, m int) {
	c.fault(at, node.Fault{Node: c.name(m), Start: true})
	c.do(Action{At: at, List: &ListChange{Machine: m, State: wire.Up, Born: true, Late: c.notice()}})
}

// plan is what the layout's plan has for the day, machines that are added starting cold.
func (c *course) plan() {
	at := map[string]int{}
	down := make([]bool, len(c.y.Nodes))
	for i, e := range c.y.Entries {
		at[e.Node] = i
		down[i] = e.State == wire.Removed
	}
	for _, t := range c.y.ListUpdates {
		m := at[t.Entry.Node]
		w := &ListChange{Machine: m, State: t.Entry.State, Entry: &t.Entry}
		if down[m] && t.Entry.State != wire.Removed {
			c.fault(t.At, node.Fault{Node: t.Entry.Node, Start: true})
			w.Born = true
		}
		c.say(t.At, "the list: %s %s", t.Entry.Node, t.Entry.State)
		c.do(Action{At: t.At, List: w})
		if down[m] = t.Entry.State == wire.Removed; down[m] {
			c.fault(t.At, node.Fault{Node: t.Entry.Node, Crash: true})
		}
	}
}

// take gives a trouble its share of the machines, of those that no other trouble has hold of meanwhile.
func (c *course) take(t Incident, until time.Duration) (machines []int) {
	want := max(1, int(t.Share*float64(len(c.y.Nodes))+0.5))
	for _, m := range c.y.chance.Perm(len(c.y.Nodes)) {
		if len(machines) < want && c.until[m] <= t.At {
			c.until[m] = until
			machines = append(machines, m)
		}
	}
	return machines
}

// each does something to each machine of a trouble's share.
func (c *course) each(t Incident, lasts time.Duration, what string, f func(m int)) {
	machines := c.take(t, t.At+lasts)
	c.say(t.At, "%s: %d nodes %s", t.Kind, len(machines), what)
	for _, m := range machines {
		f(m)
	}
}

// faults turns a fault on and off again.
func (c *course) faults(t Incident, what string, on, off node.Fault) {
	c.each(t, t.Duration, what, func(m int) {
		on, off := on, off // every machine has its own
		on.Node, off.Node = c.name(m), c.name(m)
		c.fault(t.At, on)
		c.fault(t.At+t.Duration, off)
	})
}

// trouble is one thing that goes wrong, from its time to its end.
func (c *course) trouble(t Incident) {
	end := t.At + t.Duration
	size := time.Duration(t.Size * float64(time.Second))
	switch t.Kind {
	case "crash":
		c.each(t, t.Duration, "die, back cold", func(m int) {
			c.die(t.At, m)
			c.comeBack(end, m)
		})
	case "vanish":
		c.each(t, t.Duration, "fall silent, back cold", func(m int) {
			c.fault(t.At, node.Fault{Node: c.name(m), Silent: new(true)})
			c.list(t.At, m, wire.Removed, c.y.Script.SilentNodeListDelay)
			c.comeBack(end, m)
		})
	case "hang":
		c.faults(t, "take work and answer nothing", node.Fault{Hang: new(true)}, node.Fault{Hang: new(false)})
	case "fast_errors":
		c.faults(t, "fail set-ups quickly", node.Fault{FailShare: &t.Size}, node.Fault{FailShare: new(0.0)})
	case "answer_lost":
		c.faults(t, "lose answers", node.Fault{LossShare: &t.Size}, node.Fault{LossShare: new(0.0)})
	case "ageing":
		c.each(t, t.Duration+2*time.Second, "grow slower and then die", func(m int) {
			for i := 1; i <= 20; i++ {
				c.fault(t.At+t.Duration*time.Duration(i-1)/20, node.Fault{Node: c.name(m), SlowFactor: new(1 + (t.Size-1)*float64(i)/20)})
			}
			c.die(end, m)
			c.comeBack(end+2*time.Second, m)
		})
	case "deploy":
		c.deploy(t, size)
	case "preempt":
		c.each(t, size+t.Duration, "are taken away, replaced cold", func(m int) {
			c.list(t.At, m, wire.Draining, c.notice())
			c.die(t.At+size, m)
			c.comeBack(t.At+size+t.Duration, m)
		})
	case "discovery_stale":
		c.say(t.At, "the list falls %.1f s behind", t.Size)
		c.do(Action{At: t.At, Lag: &size})
		c.do(Action{At: end, Lag: new(time.Duration(0)), Say: "the list is back"})
	case "balancer_roll":
		c.roll(t, size)
	case "burst":
		c.do(Action{At: t.At, Rate: &t.Size, Say: fmt.Sprintf("a crowd comes: %.1f times the usual", t.Size)})
		c.do(Action{At: end, Rate: new(1.0)})
	case "hot_key":
		c.do(Action{At: t.At, Hot: &t.Size, Say: fmt.Sprintf("%.0f%% of the viewers want two titles", 100*t.Size)})
		c.do(Action{At: end, Hot: new(0.0)})
	case "shared_slow":
		c.say(t.At, "all links give %.1f times less", t.Size)
		c.fault(t.At, node.Fault{BandwidthDivisor: &t.Size})
		c.fault(end, node.Fault{BandwidthDivisor: new(1.0)})
	case "origin_slow":
		racks := max(1, len(c.y.Site.Uplinks)*3/10)
		c.say(t.At, "the uplinks of %d racks give %.1f times less", racks, t.Size)
		for i := range racks {
			c.fault(t.At, node.Fault{Rack: &i, BandwidthDivisor: &t.Size})
			c.fault(end, node.Fault{Rack: &i, BandwidthDivisor: new(1.0)})
		}
	}
}

// deploy replaces a share of the machines, an eighth of the fleet at a time: listed as draining, then ended
// after a second, then back, cold, after size.
func (c *course) deploy(t Incident, size time.Duration) {
	machines := c.take(t, t.At+t.Duration+size+c.y.Script.MaxListDelay+time.Second)
	c.say(t.At, "deploy: %d nodes are replaced in waves", len(machines))
	batch := max(1, len(c.y.Nodes)/8)
	waves := (len(machines) + batch - 1) / batch
	at := t.At
	for w := range waves {
		down := at + c.y.Script.MaxListDelay + time.Second
		for _, m := range machines[w*batch : min(len(machines), (w+1)*batch)] {
			c.list(at, m, wire.Draining, c.notice())
			c.die(down, m)
			c.comeBack(down+size, m)
		}
		at = max(at+t.Duration/time.Duration(waves), down+size)
	}
}

// roll kills directors, a share at a time until all have been, and starts them again after size with nothing of
// what they knew.
func (c *course) roll(t Incident, size time.Duration) {
	n := c.y.Script.Directors
	batch := max(1, int(t.Share*float64(n)))
	at := t.At
	for first := 0; first < n; first += batch {
		var some []int
		for i := first; i < min(n, first+batch); i++ {
			some = append(some, i)
		}
		c.do(Action{At: at, Kill: some, Director: true, Say: fmt.Sprintf("directors %d to %d are killed", some[0], some[len(some)-1])})
		c.do(Action{At: at + size, Start: some, Director: true})
		at = max(at+size, at+t.Duration*time.Duration(batch)/time.Duration(n))
	}
}
