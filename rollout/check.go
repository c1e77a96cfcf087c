package rollout

import (
	"fmt"
	"time"
)

// Check goes through a plan with books of its own and returns the first thing that it breaks, nil where it
// keeps the terms and ends where it is to.
func Check(have, want []Node, titles []Title, terms Constraints, steps []Step) error {
	type state struct {
		Node
		coldTo  time.Duration // up, and cold until then
		drained time.Duration // draining since; under 0: since long
		busyTo  time.Duration // on its way until then; 0: it is not
	}
	nodes := map[string]*state{}
	for _, n := range have {
		nodes[n.Name] = &state{Node: n, drained: -1}
	}
	leaving := map[string]time.Duration{} // removed, told to all at
	lies := func(t Title, cell int) bool { return (cell-t.FirstCell%terms.Cells+terms.Cells)%terms.Cells < t.Copies }
	held := func(t Title, at time.Duration) (n int) {
		for _, s := range nodes {
			if s.Up && s.coldTo <= at && lies(t, s.Cell) {
				n++
			}
		}
		return n
	}
	had := make([]bool, len(titles))
	for i, t := range titles {
		had[i] = held(t, 0) > 0
	}
	drains := false
	last := time.Duration(-1)
	for k, s := range steps {
		if s.At < last || k > 0 && s.At < last+terms.PropagationDelay {
			return fmt.Errorf("step %d at %v comes before the one at %v is known", k, s.At, last)
		}
		last = s.At
		up := 0
		for _, n := range nodes {
			if n.Up {
				up++
			}
		}
		for _, c := range s.Changes {
			n := nodes[c.Node.Name]
			switch c.Kind {
			case Add:
				if n != nil {
					return fmt.Errorf("%s is added and is there", c.Node.Name)
				}
				for _, other := range nodes {
					if other.Identity == c.Node.Identity && c.Node.Identity != "" {
						return fmt.Errorf("%s is added where %s is", c.Node.Name, other.Name)
					}
				}
				if to, was := leaving[c.Node.Name]; was && s.At < to {
					return fmt.Errorf("%s is back before all have heard that it left", c.Node.Name)
				}
				if _, was := leaving[c.Node.Name]; drains && !was {
					return fmt.Errorf("%s is added after drains have begun", c.Node.Name)
				}
				x := &state{Node: c.Node, drained: -1, busyTo: s.At + terms.Warmup}
				if c.Node.Up {
					x.coldTo = s.At + terms.Warmup
				}
				nodes[c.Node.Name] = x
			case Reopen, Reweight:
				if n == nil || c.Node.Cell != n.Cell || c.Node.Identity != n.Identity || c.Kind == Reweight && c.Node.Up != n.Up {
					return fmt.Errorf("%s %s: is not what is there", c.Kind, c.Node.Name)
				}
				n.Node = c.Node
			case Drain:
				if n == nil || !n.Up && n.drained >= 0 {
					return fmt.Errorf("%s is drained and is not there, or drains", c.Node.Name)
				}
				drains = true
				n.Up, n.drained, n.busyTo = false, s.At, s.At+terms.DrainTime
			case Remove:
				if n == nil || n.Up {
					return fmt.Errorf("%s is removed and is up, or not there", c.Node.Name)
				}
				if n.drained >= 0 && s.At < n.drained+terms.DrainTime {
					return fmt.Errorf("%s is removed %v after its drain", c.Node.Name, s.At-n.drained)
				}
				delete(nodes, c.Node.Name)
				leaving[c.Node.Name] = s.At + terms.PropagationDelay
			}
		}
		cold := 0
		racks := map[int]int{}
		busy := make([]int, len(titles))
		for _, n := range nodes {
			if n.Up && n.coldTo > s.At {
				cold++
			}
			if n.busyTo > s.At {
				racks[n.Cell%terms.Racks]++
				for i, t := range titles {
					if lies(t, n.Cell) {
						busy[i]++
					}
				}
			}
		}
		most := terms.MaxWarming
		if most == 0 {
			most = max(1, up/20)
		}
		if cold > most {
			return fmt.Errorf("step %d: %d nodes are cold, %d may be", k, cold, most)
		}
		for r, n := range racks {
			if n > terms.MaxPerRack {
				return fmt.Errorf("step %d: %d nodes of rack %d are on their way", k, n, r)
			}
		}
		for i, t := range titles {
			if busy[i] > terms.MaxPerTitle {
				return fmt.Errorf("step %d: %d holders of title %s are on their way", k, busy[i], t.Name)
			}
			now := held(t, s.At) > 0
			if had[i] && !now {
				return fmt.Errorf("step %d: title %s has no holder that is up", k, t.Name)
			}
			had[i] = had[i] || now
		}
	}
	if len(nodes) != len(want) {
		return fmt.Errorf("%d nodes at the end, %d are wanted", len(nodes), len(want))
	}
	for _, n := range want {
		if s := nodes[n.Name]; s == nil || s.Cell != n.Cell || s.Identity != n.Identity || s.Up != n.Up || s.Up && s.Weight != n.Weight {
			return fmt.Errorf("%s is not as wanted at the end", n.Name)
		}
	}
	return nil
}
