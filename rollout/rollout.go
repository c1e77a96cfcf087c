// Package rollout plans how the nodes of the server list change to a target set of nodes, in steps that are safe to
// publish to directors while clients are playing. It does no I/O and has no clock: Plan takes the current and the
// target nodes and returns the steps, or what prevents them; Check simulates a plan independently and reports the
// constraint that it violates.
//
// The steps are in this order: nodes that are added, in waves as large as the number of nodes that may be warming up at
// one time; changes of weight and nodes that are reopened; nodes that move to another cell or get another identity
// (drained, removed, and added again), while the nodes that are to be drained for good can still take sessions; nodes
// that are drained, each removed after its sessions have had their time to end.
package rollout

import "time"

// Node is a streaming server as the server list names it.
type Node struct {
	Name     string
	Cell     int
	Up       bool    // false: draining
	Weight   float64 // may change in place
	Identity string  // all other properties (address, kind, zone): a change of these needs a drain and a new start
}

// Title is one title of the settings and its placement: the nodes of Copies consecutive cells, from FirstCell on, hold
// it.
type Title struct {
	Name              string
	FirstCell, Copies int
}

// Constraints are what a plan has to keep. A node is in transition while it is added and not warm, or draining and not
// removed.
type Constraints struct {
	Cells, Racks     int           // a cell's rack is cell modulo Racks
	MaxPerRack       int           // nodes of one rack in transition at one time
	MaxPerTitle      int           // nodes that hold one title and are in transition at one time
	MaxWarming       int           // nodes warming up at one time; 0: a twentieth of those that are up, at least one
	Warmup           time.Duration // time after which an added node is warm
	DrainTime        time.Duration // time that sessions on a draining node have to end
	PropagationDelay time.Duration // time after which every director has received a change
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The changes.
const (
	Add      ChangeKind = "add"
	Reopen   ChangeKind = "open" // a draining node takes sessions again
	Reweight ChangeKind = "weigh"
	Drain    ChangeKind = "drain"
	Remove   ChangeKind = "remove"
)

// Change is the change of one node in the server list.
type Change struct {
	Kind ChangeKind
	Node Node // the node after the change; for Remove, before it
}

// Step is a set of changes that are published at one time, counted from the start of the rollout.
type Step struct {
	At      time.Duration
	Changes []Change
}

// plan is a plan under construction.
type plan struct {
	nodeSet     *nodeSet
	constraints Constraints
	now         time.Duration // time of the next step
	steps       []Step
}

// Plan finds the steps from the current nodes to the target nodes.
func Plan(current, target []Node, titles []Title, constraints Constraints) ([]Step, *BlockedError) {
	if b := checkFeasible(current, target, titles, constraints); b != nil {
		return nil, b
	}
	p := &plan{nodeSet: newNodeSet(current, titles, constraints), constraints: constraints}
	before, after := map[string]Node{}, map[string]Node{}
	for _, n := range current {
		before[n.Name] = n
	}
	for _, n := range target {
		after[n.Name] = n
	}
	var add, reweight, move, drain []Node
	for _, n := range target {
		old, exists := before[n.Name]
		switch {
		case !exists:
			add = append(add, n)
		case old.Identity != n.Identity || old.Cell != n.Cell:
			move = append(move, n)
		case old.Up && !n.Up:
			drain = append(drain, n)
		case old.Weight != n.Weight || old.Up != n.Up:
			reweight = append(reweight, n)
		}
	}
	var removed []Node
	for _, n := range current {
		if _, kept := after[n.Name]; !kept {
			removed = append(removed, n)
		}
	}
	p.addNodes(add)
	p.reweightNodes(reweight)
	if b := p.moveNodes(move); b != nil {
		return nil, b
	}
	if b := p.drainNodes(drain, removed); b != nil {
		return nil, b
	}
	return p.steps, nil
}

// addStep adds a step with the changes at the current time, and advances the time.
func (p *plan) addStep(changes []Change, duration time.Duration) {
	for _, c := range changes {
		if c.Kind == Remove {
			p.nodeSet.drop(c.Node.Name)
		} else {
			p.nodeSet.put(c.Node)
		}
	}
	p.steps = append(p.steps, Step{p.now, changes})
	p.now += duration
}
