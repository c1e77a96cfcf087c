package rollout

import (
	"fmt"
	"time"
)

// Check simulates a plan with its own record of the nodes, independently of Plan. It returns the first violation, or
// nil if the plan keeps the constraints and ends with the target nodes.
func Check(current, target []Node, titles []Title, constraints Constraints, steps []Step) error {
	type state struct {
		Node
		warmAt        time.Duration // warming up until then, if it is up
		drainedAt     time.Duration // when its drain started; negative: not drained by this plan
		transitionEnd time.Duration // in transition until then; 0: not in transition
	}
	nodes := map[string]*state{}
	for _, n := range current {
		nodes[n.Name] = &state{Node: n, drainedAt: -1}
	}
	removalKnownAt := map[string]time.Duration{} // removed nodes, and when every director has received the removal
	holds := func(t Title, cell int) bool {
		return (cell-t.FirstCell%constraints.Cells+constraints.Cells)%constraints.Cells < t.Copies
	}
	holdersUp := func(t Title, at time.Duration) (n int) {
		for _, s := range nodes {
			if s.Up && s.warmAt <= at && holds(t, s.Cell) {
				n++
			}
		}
		return n
	}
	hadHolder := make([]bool, len(titles))
	for i, t := range titles {
		hadHolder[i] = holdersUp(t, 0) > 0
	}
	drainsStarted := false
	last := time.Duration(-1)
	for k, s := range steps {
		if s.At < last || k > 0 && s.At < last+constraints.PropagationDelay {
			return fmt.Errorf("step %d at %v comes before every director has received the step at %v", k, s.At, last)
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
					return fmt.Errorf("%s is added and exists already", c.Node.Name)
				}
				for _, other := range nodes {
					if other.Identity == c.Node.Identity && c.Node.Identity != "" {
						return fmt.Errorf("%s is added with the identity of %s", c.Node.Name, other.Name)
					}
				}
				if knownAt, removed := removalKnownAt[c.Node.Name]; removed && s.At < knownAt {
					return fmt.Errorf("%s is added again before every director has received its removal", c.Node.Name)
				}
				if _, removed := removalKnownAt[c.Node.Name]; drainsStarted && !removed {
					return fmt.Errorf("%s is added after drains have started", c.Node.Name)
				}
				x := &state{Node: c.Node, drainedAt: -1, transitionEnd: s.At + constraints.Warmup}
				if c.Node.Up {
					x.warmAt = s.At + constraints.Warmup
				}
				nodes[c.Node.Name] = x
			case Reopen, Reweight:
				if n == nil || c.Node.Cell != n.Cell || c.Node.Identity != n.Identity || c.Kind == Reweight && c.Node.Up != n.Up {
					return fmt.Errorf("%s %s: the node does not exist, or another property of it changes", c.Kind, c.Node.Name)
				}
				n.Node = c.Node
			case Drain:
				if n == nil || !n.Up && n.drainedAt >= 0 {
					return fmt.Errorf("%s is drained and does not exist, or is draining", c.Node.Name)
				}
				drainsStarted = true
				n.Up, n.drainedAt, n.transitionEnd = false, s.At, s.At+constraints.DrainTime
			case Remove:
				if n == nil || n.Up {
					return fmt.Errorf("%s is removed and is up, or does not exist", c.Node.Name)
				}
				if n.drainedAt >= 0 && s.At < n.drainedAt+constraints.DrainTime {
					return fmt.Errorf("%s is removed %v after its drain", c.Node.Name, s.At-n.drainedAt)
				}
				delete(nodes, c.Node.Name)
				removalKnownAt[c.Node.Name] = s.At + constraints.PropagationDelay
			}
		}
		warming := 0
		racks := map[int]int{}
		inTransition := make([]int, len(titles))
		for _, n := range nodes {
			if n.Up && n.warmAt > s.At {
				warming++
			}
			if n.transitionEnd > s.At {
				racks[n.Cell%constraints.Racks]++
				for i, t := range titles {
					if holds(t, n.Cell) {
						inTransition[i]++
					}
				}
			}
		}
		maxWarming := constraints.MaxWarming
		if maxWarming == 0 {
			maxWarming = max(1, up/20)
		}
		if warming > maxWarming {
			return fmt.Errorf("step %d: %d nodes are warming up, %d may be", k, warming, maxWarming)
		}
		for r, n := range racks {
			if n > constraints.MaxPerRack {
				return fmt.Errorf("step %d: %d nodes of rack %d are in transition", k, n, r)
			}
		}
		for i, t := range titles {
			if inTransition[i] > constraints.MaxPerTitle {
				return fmt.Errorf("step %d: %d holders of title %s are in transition", k, inTransition[i], t.Name)
			}
			hasHolder := holdersUp(t, s.At) > 0
			if hadHolder[i] && !hasHolder {
				return fmt.Errorf("step %d: title %s has no holder that is up", k, t.Name)
			}
			hadHolder[i] = hadHolder[i] || hasHolder
		}
	}
	if len(nodes) != len(target) {
		return fmt.Errorf("%d nodes at the end, the target has %d", len(nodes), len(target))
	}
	for _, n := range target {
		if s := nodes[n.Name]; s == nil || s.Cell != n.Cell || s.Identity != n.Identity || s.Up != n.Up || s.Up && s.Weight != n.Weight {
			return fmt.Errorf("%s differs from the target at the end", n.Name)
		}
	}
	return nil
}
