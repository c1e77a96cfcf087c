package rollout

import "time"

// Check simulates a plan with its own record of the nodes, independently of Plan. It returns the first violation, a
// *ViolationError, or nil if the plan keeps the constraints and ends with the target nodes.
func Check(current, target []Node, titles []Title, constraints Constraints, steps []Step) error {
	s := newSimulation(current, titles, constraints)
	for number, step := range steps {
		if err := s.checkTime(number, step.At); err != nil {
			return err
		}
		up := s.countUp()
		for _, c := range step.Changes {
			if err := s.apply(step.At, c); err != nil {
				return err
			}
		}
		if err := s.checkTransitions(number, step.At, up); err != nil {
			return err
		}
	}
	return s.checkTarget(target)
}

// A simulatedNode is a node at some point of a simulated plan.
type simulatedNode struct {
	Node
	warmAt        time.Duration // warming up until then, if it is up
	drainedAt     time.Duration // when its drain started; negative: not drained by this plan
	transitionEnd time.Duration // in transition until then; 0: not in transition
}

// A simulation is the state of a simulated plan.
type simulation struct {
	constraints    Constraints
	titles         []Title
	nodes          map[string]*simulatedNode
	removalKnownAt map[string]time.Duration // removed nodes, and when every director has received the removal
	hadHolder      []bool                   // by title: it has had a holder that is up and warm
	drainsStarted  bool
	lastStep       time.Duration // time of the step before; negative: none
}

func newSimulation(current []Node, titles []Title, constraints Constraints) *simulation {
	s := &simulation{constraints: constraints, titles: titles, nodes: map[string]*simulatedNode{},
		removalKnownAt: map[string]time.Duration{}, hadHolder: make([]bool, len(titles)), lastStep: -1}
	for _, n := range current {
		s.nodes[n.Name] = &simulatedNode{Node: n, drainedAt: -1}
	}
	for i, t := range titles {
		s.hadHolder[i] = s.hasHolder(t, 0)
	}
	return s
}

// holds reports whether the node of a cell holds a title.
func (s *simulation) holds(t Title, cell int) bool {
	cells := s.constraints.Cells
	return (cell-t.FirstCell%cells+cells)%cells < t.Copies
}

// hasHolder reports whether a node that is up and warm holds a title.
func (s *simulation) hasHolder(t Title, at time.Duration) bool {
	for _, n := range s.nodes {
		if n.Up && n.warmAt <= at && s.holds(t, n.Cell) {
			return true
		}
	}
	return false
}

// countUp counts the nodes that are up.
func (s *simulation) countUp() (up int) {
	for _, n := range s.nodes {
		if n.Up {
			up++
		}
	}
	return up
}

// checkTime checks that every director has received the step before.
func (s *simulation) checkTime(number int, at time.Duration) error {
	if at < s.lastStep || number > 0 && at < s.lastStep+s.constraints.PropagationDelay {
		return violation(StepTooEarly, "step %d at %v comes before every director has received the step at %v", number, at, s.lastStep)
	}
	s.lastStep = at
	return nil
}

// apply applies a change to its node, or reports why the node does not allow it.
func (s *simulation) apply(at time.Duration, c Change) error {
	n := s.nodes[c.Node.Name]
	switch c.Kind {
	case Add:
		return s.add(at, c.Node)
	case Reopen, Reweight:
		if n == nil || c.Node.Cell != n.Cell || c.Node.Identity != n.Identity || c.Kind == Reweight && c.Node.Up != n.Up {
			return violation(InvalidChange, "%s %s: the node does not exist, or another property of it changes", c.Kind, c.Node.Name)
		}
		n.Node = c.Node
	case Drain:
		if n == nil || !n.Up && n.drainedAt >= 0 {
			return violation(InvalidChange, "%s is drained and does not exist, or is draining", c.Node.Name)
		}
		s.drainsStarted = true
		n.Up, n.drainedAt, n.transitionEnd = false, at, at+s.constraints.DrainTime
	case Remove:
		if n == nil || n.Up {
			return violation(InvalidChange, "%s is removed and is up, or does not exist", c.Node.Name)
		}
		if n.drainedAt >= 0 && at < n.drainedAt+s.constraints.DrainTime {
			return violation(RemovedTooSoon, "%s is removed %v after its drain", c.Node.Name, at-n.drainedAt)
		}
		delete(s.nodes, c.Node.Name)
		s.removalKnownAt[c.Node.Name] = at + s.constraints.PropagationDelay
	}
	return nil
}

// add adds a node, which has to be new or removed for long enough, and may not have the identity of another.
func (s *simulation) add(at time.Duration, added Node) error {
	if s.nodes[added.Name] != nil {
		return violation(InvalidChange, "%s is added and exists already", added.Name)
	}
	for _, other := range s.nodes {
		if other.Identity == added.Identity && added.Identity != "" {
			return violation(IdentityTaken, "%s is added with the identity of %s", added.Name, other.Name)
		}
	}
	knownAt, removed := s.removalKnownAt[added.Name]
	if removed && at < knownAt {
		return violation(AddedTooSoon, "%s is added again before every director has received its removal", added.Name)
	}
	if s.drainsStarted && !removed {
		return violation(AddedAfterDrains, "%s is added after drains have started", added.Name)
	}
	n := &simulatedNode{Node: added, drainedAt: -1, transitionEnd: at + s.constraints.Warmup}
	if added.Up {
		n.warmAt = at + s.constraints.Warmup
	}
	s.nodes[added.Name] = n
	return nil
}

// checkTransitions checks the bounds on nodes that are warming up or in transition after a step, and that no title has
// lost its last holder. up is the number of nodes that were up before the step.
func (s *simulation) checkTransitions(number int, at time.Duration, up int) error {
	warming := 0
	racks := map[int]int{}
	inTransition := make([]int, len(s.titles))
	for _, n := range s.nodes {
		if n.Up && n.warmAt > at {
			warming++
		}
		if n.transitionEnd <= at {
			continue
		}
		racks[n.Cell%s.constraints.Racks]++
		for i, t := range s.titles {
			if s.holds(t, n.Cell) {
				inTransition[i]++
			}
		}
	}
	if most := s.maxWarming(up); warming > most {
		return violation(TooManyWarming, "step %d: %d nodes are warming up, %d may be", number, warming, most)
	}
	for r, n := range racks {
		if n > s.constraints.MaxPerRack {
			return violation(TooManyInRack, "step %d: %d nodes of rack %d are in transition", number, n, r)
		}
	}
	for i, t := range s.titles {
		if inTransition[i] > s.constraints.MaxPerTitle {
			return violation(TooManyOfTitle, "step %d: %d holders of title %s are in transition", number, inTransition[i], t.Name)
		}
		hasHolder := s.hasHolder(t, at)
		if s.hadHolder[i] && !hasHolder {
			return violation(TitleWithoutHolder, "step %d: title %s has no holder that is up", number, t.Name)
		}
		s.hadHolder[i] = s.hadHolder[i] || hasHolder
	}
	return nil
}

// maxWarming returns how many nodes may be warming up at one time, of so many that are up. It is written again beside
// the planner's, so that a mistake there is found here.
func (s *simulation) maxWarming(up int) int {
	if s.constraints.MaxWarming == 0 {
		return max(1, up/20)
	}
	return s.constraints.MaxWarming
}

// checkTarget checks that the nodes are those of the target.
func (s *simulation) checkTarget(target []Node) error {
	if len(s.nodes) != len(target) {
		return violation(TargetMissed, "%d nodes at the end, the target has %d", len(s.nodes), len(target))
	}
	for _, n := range target {
		if x := s.nodes[n.Name]; x == nil || x.Cell != n.Cell || x.Identity != n.Identity || x.Up != n.Up || x.Up && x.Weight != n.Weight {
			return violation(TargetMissed, "%s differs from the target at the end", n.Name)
		}
	}
	return nil
}
