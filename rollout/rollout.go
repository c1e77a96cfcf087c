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

import (
	"fmt"
	"slices"
	"time"
)

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

// BlockedError reports why no plan exists, or why none was found.
type BlockedError struct {
	Node       string // node that cannot be changed
	Title      string // title that would have no holder
	Constraint string // text of the constraint
	Exhaustive bool   // every order was tried, so no plan exists
}

func (b *BlockedError) Error() string {
	s := b.Constraint
	if b.Title != "" {
		s = "title " + b.Title + ": " + s
	}
	if b.Node != "" {
		s = "node " + b.Node + ": " + s
	}
	if b.Exhaustive {
		return s + " (every order was tried)"
	}
	return s
}

// nodeSet is the state of the nodes at some point of a plan.
type nodeSet struct {
	constraints Constraints
	nodes       map[string]Node
	cells       map[int][]string // always empty: nothing reads or fills it
	titles      []Title
	byCell      map[int][]int // indices of the titles that a cell holds
	up          []int         // number of holders that are up, by title
}

func newNodeSet(nodes []Node, titles []Title, constraints Constraints) *nodeSet {
	s := &nodeSet{constraints: constraints, nodes: map[string]Node{}, cells: map[int][]string{}, titles: titles,
		byCell: map[int][]int{}, up: make([]int, len(titles))}
	for i, t := range titles {
		for k := range min(t.Copies, constraints.Cells) {
			c := (t.FirstCell + k) % constraints.Cells
			s.byCell[c] = append(s.byCell[c], i)
		}
	}
	for _, n := range nodes {
		s.put(n)
	}
	return s
}

// put adds a node or replaces its previous state.
func (s *nodeSet) put(n Node) {
	s.drop(n.Name)
	s.nodes[n.Name] = n
	if n.Up {
		for _, t := range s.byCell[n.Cell] {
			s.up[t]++
		}
	}
}

// drop removes a node.
func (s *nodeSet) drop(name string) {
	if n, ok := s.nodes[name]; ok && n.Up {
		for _, t := range s.byCell[n.Cell] {
			s.up[t]--
		}
	}
	delete(s.nodes, name)
}

// titleLosingLastHolder returns a title of which the node is the only holder that is up, "" if there is none.
func (s *nodeSet) titleLosingLastHolder(n Node) string {
	if !n.Up {
		return ""
	}
	for _, t := range s.byCell[n.Cell] {
		if s.up[t] == 1 {
			return s.titles[t].Name
		}
	}
	return ""
}

// wave is a set of nodes that change at the same time. It counts how many of them each rack and each title has.
type wave struct {
	nodeSet  *nodeSet
	racks    map[int]int // by rack
	titles   map[int]int // by index of the title
	maxNodes int
	size     int // nodes in the wave
}

// newWave returns an empty wave of at most maxNodes nodes.
func (s *nodeSet) newWave(maxNodes int) *wave {
	return &wave{nodeSet: s, racks: map[int]int{}, titles: map[int]int{}, maxNodes: maxNodes}
}

// conflict returns the constraint that a further node in these cells would violate, "" if there is none.
func (w *wave) conflict(cells ...int) string {
	if w.size >= w.maxNodes {
		return "no more nodes may be warming up at this time"
	}
	for _, c := range cells {
		if w.racks[c%w.nodeSet.constraints.Racks] >= w.nodeSet.constraints.MaxPerRack {
			return fmt.Sprintf("rack %d already has the allowed number of nodes in transition", c%w.nodeSet.constraints.Racks)
		}
		for _, t := range w.nodeSet.byCell[c] {
			if w.titles[t] >= w.nodeSet.constraints.MaxPerTitle {
				return "title " + w.nodeSet.titles[t].Name + " already has the allowed number of holders in transition"
			}
		}
	}
	return ""
}

// add counts a node in the wave. A rack or title that several of its cells share counts once.
func (w *wave) add(cells ...int) {
	w.size++
	slices.Sort(cells)
	racks, titles := map[int]bool{}, map[int]bool{}
	for _, c := range slices.Compact(cells) {
		racks[c%w.nodeSet.constraints.Racks] = true
		for _, t := range w.nodeSet.byCell[c] {
			titles[t] = true
		}
	}
	for r := range racks {
		w.racks[r]++
	}
	for t := range titles {
		w.titles[t]++
	}
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

// checkFeasible reports what makes every plan impossible, whatever its order.
func checkFeasible(current, target []Node, titles []Title, constraints Constraints) *BlockedError {
	if constraints.Cells <= 0 || constraints.Racks <= 0 || constraints.MaxPerRack <= 0 || constraints.MaxPerTitle <= 0 {
		return &BlockedError{Constraint: "cells, racks, nodes of a rack and holders of a title at one time must be at least one"}
	}
	targetByIdentity := map[string]string{}
	for _, n := range target {
		if other, duplicate := targetByIdentity[n.Identity]; duplicate && n.Identity != "" {
			return &BlockedError{Node: n.Name, Constraint: "its address, kind and zone are those of node " + other + " in the target"}
		}
		targetByIdentity[n.Identity] = n.Name
	}
	currentByIdentity := map[string]string{}
	for _, n := range current {
		currentByIdentity[n.Identity] = n.Name
	}
	currentNames := map[string]bool{}
	for _, n := range current {
		currentNames[n.Name] = true
	}
	for _, n := range target {
		if other, inUse := currentByIdentity[n.Identity]; inUse && n.Identity != "" && !currentNames[n.Name] {
			return &BlockedError{Node: n.Name,
				Constraint: "node " + other + " has the same address, kind and zone under another name: keep its name, or drain it first"}
		}
	}
	before, after := newNodeSet(current, titles, constraints), newNodeSet(target, titles, constraints)
	for i, t := range titles {
		if after.up[i] == 0 && before.up[i] > 0 {
			return &BlockedError{Title: t.Name, Constraint: "no holder of it is up in the target"}
		}
	}
	return nil
}

// maxWarming returns how many nodes may be warming up at one time.
func (p *plan) maxWarming() int {
	if p.constraints.MaxWarming > 0 {
		return p.constraints.MaxWarming
	}
	up := 0
	for _, n := range p.nodeSet.nodes {
		if n.Up {
			up++
		}
	}
	return max(1, up/20)
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

// addNodes adds nodes in waves; each wave starts once the previous one is warm.
func (p *plan) addNodes(nodes []Node) {
	for len(nodes) > 0 {
		w := p.nodeSet.newWave(p.maxWarming())
		var changes []Change
		var later []Node
		for _, n := range nodes {
			if w.conflict(n.Cell) != "" {
				later = append(later, n)
				continue
			}
			w.add(n.Cell)
			changes = append(changes, Change{Add, n})
		}
		p.addStep(changes, p.constraints.Warmup+p.constraints.PropagationDelay)
		nodes = later
	}
}

// reweightNodes changes weights and reopens nodes in place, in waves that are PropagationDelay apart.
func (p *plan) reweightNodes(nodes []Node) {
	for len(nodes) > 0 {
		w := p.nodeSet.newWave(len(nodes))
		var changes []Change
		var later []Node
		for _, n := range nodes {
			if w.conflict(n.Cell) != "" {
				later = append(later, n)
				continue
			}
			w.add(n.Cell)
			kind := Reweight
			if n.Up && !p.nodeSet.nodes[n.Name].Up {
				kind = Reopen
			}
			changes = append(changes, Change{kind, n})
		}
		p.addStep(changes, p.constraints.PropagationDelay)
		nodes = later
	}
}

// moveNodes drains and removes nodes, and adds them again in their new place. Each wave consists of nodes without which
// every title still has a holder that is up. The order can matter, so if moving the first nodes that fit leads to a
// dead end, every order is tried.
func (p *plan) moveNodes(nodes []Node) *BlockedError {
	order := nodes
	blocked := p.moveInWaves(order, true)
	if blocked == nil {
		p.moveInWaves(order, false)
		return nil
	}
	order, ok, complete := p.findOrder(nodes)
	if !ok {
		blocked.Exhaustive = complete
		return blocked
	}
	// The nodes move one at a time, in the order that was found: waves of several nodes may not be possible.
	for _, n := range order {
		p.moveWave([]Node{n})
	}
	return nil
}

// moveInWaves moves nodes in waves. With dryRun it does so on a copy and leaves the plan unchanged.
func (p *plan) moveInWaves(nodes []Node, dryRun bool) *BlockedError {
	if dryRun {
		copied := *p
		copied.nodeSet = newNodeSet(nil, p.nodeSet.titles, p.constraints)
		for _, n := range p.nodeSet.nodes {
			copied.nodeSet.put(n)
		}
		copied.steps = nil
		return copied.moveInWaves(nodes, false)
	}
	for len(nodes) > 0 {
		var moving, later []Node
		var blocked *BlockedError
		w := p.nodeSet.newWave(p.maxWarming())
		dropped := []Node{}
		for _, n := range nodes {
			old := p.nodeSet.nodes[n.Name]
			title := p.nodeSet.titleLosingLastHolder(old)
			conflict := w.conflict(old.Cell, n.Cell)
			if title != "" || conflict != "" || p.identityInUse(n) {
				if blocked == nil {
					blocked = p.blockedError(n, title, conflict)
				}
				later = append(later, n)
				continue
			}
			w.add(old.Cell, n.Cell)
			p.nodeSet.drop(n.Name) // so that the next node is checked against the nodes that remain
			dropped = append(dropped, old)
			moving = append(moving, n)
		}
		for _, old := range dropped {
			p.nodeSet.put(old)
		}
		if len(moving) == 0 {
			return blocked
		}
		p.moveWave(moving)
		nodes = later
	}
	return nil
}

// identityInUse reports whether another node still has the identity that a node is to have.
func (p *plan) identityInUse(n Node) bool {
	for _, other := range p.nodeSet.nodes {
		if other.Name != n.Name && other.Identity == n.Identity && n.Identity != "" {
			return true
		}
	}
	return false
}

// blockedError describes why a node cannot change: a title without a holder, a conflict, or else an identity in use.
func (p *plan) blockedError(n Node, title, conflict string) *BlockedError {
	switch {
	case title != "":
		return &BlockedError{Node: n.Name, Title: title, Constraint: "no holder of it would be up while the node is away"}
	case conflict != "":
		return &BlockedError{Node: n.Name, Constraint: conflict}
	}
	return &BlockedError{Node: n.Name, Constraint: "another node still has its target address, kind and zone"}
}

// moveWave drains nodes, removes them and adds them in their new place.
func (p *plan) moveWave(nodes []Node) {
	var drains, removals, adds []Change
	for _, n := range nodes {
		old := p.nodeSet.nodes[n.Name]
		old.Up = false
		drains, removals, adds = append(drains, Change{Drain, old}), append(removals, Change{Remove, old}), append(adds, Change{Add, n})
	}
	p.addStep(drains, p.constraints.DrainTime+p.constraints.PropagationDelay)
	p.addStep(removals, p.constraints.PropagationDelay)
	p.addStep(adds, p.constraints.Warmup+p.constraints.PropagationDelay)
}

// maxOrderSearch is the largest number of nodes for which an order is searched: the search visits up to 2 to the power
// of this number of sets of moved nodes.
const maxOrderSearch = 18

// findOrder tries every order of moving the nodes one at a time. Which moves are possible depends on the set of nodes
// that have moved and not on their order, so each set is visited once. complete is false if there are too many nodes to
// search.
func (p *plan) findOrder(nodes []Node) (found []Node, ok, complete bool) {
	if len(nodes) > maxOrderSearch {
		return nil, false, false
	}
	visited := make([]bool, 1<<len(nodes))
	var search func(moved int) bool
	search = func(moved int) bool {
		if moved == 1<<len(nodes)-1 {
			return true
		}
		if visited[moved] {
			return false
		}
		visited[moved] = true
		for i, n := range nodes {
			if moved&(1<<i) != 0 {
				continue
			}
			old := p.nodeSet.nodes[n.Name]
			if p.nodeSet.titleLosingLastHolder(old) != "" || p.identityInUse(n) {
				continue
			}
			p.nodeSet.put(n)
			found = append(found, n)
			if search(moved | 1<<i) {
				p.nodeSet.put(old) // only the search is undone: the steps of the plan apply the moves later
				return true
			}
			found = found[:len(found)-1]
			p.nodeSet.put(old)
		}
		return false
	}
	ok = search(0)
	return found, ok, true
}

// drainNodes drains nodes. Those in stay remain in the list as draining; those in removed are removed once their
// sessions have had their time to end.
func (p *plan) drainNodes(stay, removed []Node) *BlockedError {
	isRemoved := map[string]bool{}
	for _, n := range removed {
		isRemoved[n.Name] = true
	}
	nodes := slices.Concat(stay, removed)
	for len(nodes) > 0 {
		w := p.nodeSet.newWave(len(nodes))
		var drains, removals []Change
		var later []Node
		var blocked *BlockedError
		for _, n := range nodes {
			old := p.nodeSet.nodes[n.Name]
			title, conflict := p.nodeSet.titleLosingLastHolder(old), w.conflict(old.Cell)
			if title != "" || conflict != "" {
				if blocked == nil {
					blocked = p.blockedError(n, title, conflict)
				}
				later = append(later, n)
				continue
			}
			w.add(old.Cell)
			n.Up, n.Weight = false, old.Weight
			if old.Up {
				drains = append(drains, Change{Drain, n})
				p.nodeSet.put(n)
			}
			if isRemoved[n.Name] {
				removals = append(removals, Change{Remove, n})
			}
		}
		if len(later) == len(nodes) {
			return blocked
		}
		if len(drains) > 0 {
			p.addStep(drains, p.constraints.DrainTime+p.constraints.PropagationDelay)
		}
		if len(removals) > 0 {
			p.addStep(removals, p.constraints.PropagationDelay)
		}
		nodes = later
	}
	return nil
}
