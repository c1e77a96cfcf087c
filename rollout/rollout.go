// Package rollout plans how a fleet gets from the nodes that it has to those that it is to have, in steps
// that are safe to tell to directors while viewers watch. It does no I/O and has no clock: Plan takes both
// fleets and returns the steps, or what stands in the way; Check goes through a plan by itself and finds
// what it breaks.
//
// The order is: nodes that are added or opened again, in waves as large as may be cold at one time; changes
// of weight; nodes that change their place (drained, removed, and added there), since what is to be drained for
// good still helps then; nodes that are drained, each removed once its sessions have had their time.
package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Node is a node as the list has it.
type Node struct {
	Name     string
	Cell     int
	Up       bool    // false: draining
	Weight   float64 // may change in place
	Identity string  // whatever else it is (address, kind, zone): a node in which this changes is another one
}

// Title lies on the nodes of so many cells in a row.
type Title struct {
	Name              string
	FirstCell, Copies int
}

// Constraints are what a plan has to keep.
type Constraints struct {
	Cells, Racks     int           // a cell's rack is cell modulo racks
	MaxPerRack       int           // nodes of one rack on their way at one time: added and not warm, or drained and not removed
	MaxPerTitle      int           // the same of one title's holders
	MaxWarming       int           // nodes that may be cold at one time; 0: a twentieth of those that are up, one at least
	Warmup           time.Duration // after which a node that was added is warm
	DrainTime        time.Duration // sessions have so long to end once their node drains
	PropagationDelay time.Duration // after which every director has heard of a change
}

// ChangeKind a change does.
type ChangeKind string

// The changes.
const (
	Add      ChangeKind = "add"
	Reopen   ChangeKind = "open" // a draining node takes sessions again
	Reweight ChangeKind = "weigh"
	Drain    ChangeKind = "drain"
	Remove   ChangeKind = "remove"
)

// Change is one line of the list.
type Change struct {
	Kind ChangeKind
	Node Node // as it is afterwards; for Remove as it was
}

// Step is what is told at one time, counted from the start.
type Step struct {
	At      time.Duration
	Changes []Change
}

// A BlockedError plan does not exist, or none was found.
type BlockedError struct {
	Node       string // that can't be changed
	Title      string // that would have no holder
	Constraint string
	Exhaustive bool // every order was tried: none exists
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

// fleet is the nodes as they are at some point of a plan.
type fleet struct {
	terms  Constraints
	nodes  map[string]Node
	cells  map[int][]string // nodes of each cell
	titles []Title
	byCell map[int][]int // titles that lie on a cell
	up     []int         // holders that are up, by title
}

func newFleet(nodes []Node, titles []Title, terms Constraints) *fleet {
	f := &fleet{terms: terms, nodes: map[string]Node{}, cells: map[int][]string{}, titles: titles, byCell: map[int][]int{}, up: make([]int, len(titles))}
	for i, t := range titles {
		for k := range min(t.Copies, terms.Cells) {
			c := (t.FirstCell + k) % terms.Cells
			f.byCell[c] = append(f.byCell[c], i)
		}
	}
	for _, n := range nodes {
		f.put(n)
	}
	return f
}

// put adds a node, or changes it.
func (f *fleet) put(n Node) {
	f.drop(n.Name)
	f.nodes[n.Name] = n
	if n.Up {
		for _, t := range f.byCell[n.Cell] {
			f.up[t]++
		}
	}
}

func (f *fleet) drop(name string) {
	if n, ok := f.nodes[name]; ok && n.Up {
		for _, t := range f.byCell[n.Cell] {
			f.up[t]--
		}
	}
	delete(f.nodes, name)
}

// lonely is a title that would lose its last holder with a node, "" where there is none.
func (f *fleet) lonely(n Node) string {
	if !n.Up {
		return ""
	}
	for _, t := range f.byCell[n.Cell] {
		if f.up[t] == 1 {
			return f.titles[t].Name
		}
	}
	return ""
}

// A wave is what changes together.
type wave struct {
	f       *fleet
	racks   map[int]int
	touched map[int]int // titles
	most    int         // nodes in all
	n       int
}

func (f *fleet) wave(most int) *wave {
	return &wave{f: f, racks: map[int]int{}, touched: map[int]int{}, most: most}
}

// fits tells whether a wave may have a further node in these cells, and what is against it.
func (w *wave) fits(cells ...int) string {
	if w.n >= w.most {
		return "as many nodes as may be cold are so already"
	}
	for _, c := range cells {
		if w.racks[c%w.f.terms.Racks] >= w.f.terms.MaxPerRack {
			return fmt.Sprintf("rack %d has as many nodes on their way as it may", c%w.f.terms.Racks)
		}
		for _, t := range w.f.byCell[c] {
			if w.touched[t] >= w.f.terms.MaxPerTitle {
				return "title " + w.f.titles[t].Name + " has as many holders on their way as it may"
			}
		}
	}
	return ""
}

// take counts a node into a wave; a cell that is named twice counts once.
func (w *wave) take(cells ...int) {
	w.n++
	slices.Sort(cells)
	racks, titles := map[int]bool{}, map[int]bool{}
	for _, c := range slices.Compact(cells) {
		racks[c%w.f.terms.Racks] = true
		for _, t := range w.f.byCell[c] {
			titles[t] = true
		}
	}
	for r := range racks {
		w.racks[r]++
	}
	for t := range titles {
		w.touched[t]++
	}
}

// A plan is being made.
type plan struct {
	f     *fleet
	terms Constraints
	now   time.Duration
	steps []Step
}

// Plan finds the steps from one fleet to another.
func Plan(have, want []Node, titles []Title, terms Constraints) ([]Step, *BlockedError) {
	if b := possible(have, want, titles, terms); b != nil {
		return nil, b
	}
	p := &plan{f: newFleet(have, titles, terms), terms: terms}
	before, after := map[string]Node{}, map[string]Node{}
	for _, n := range have {
		before[n.Name] = n
	}
	for _, n := range want {
		after[n.Name] = n
	}
	var add, weigh, move, drain []Node
	for _, n := range want {
		old, there := before[n.Name]
		switch {
		case !there:
			add = append(add, n)
		case old.Identity != n.Identity || old.Cell != n.Cell:
			move = append(move, n)
		case old.Up && !n.Up:
			drain = append(drain, n)
		case old.Weight != n.Weight || old.Up != n.Up:
			weigh = append(weigh, n)
		}
	}
	var gone []Node
	for _, n := range have {
		if _, stays := after[n.Name]; !stays {
			gone = append(gone, n)
		}
	}
	p.add(add)
	p.weigh(weigh)
	if b := p.move(move); b != nil {
		return nil, b
	}
	if b := p.drain(drain, gone); b != nil {
		return nil, b
	}
	return p.steps, nil
}

// possible looks at what no order could mend.
func possible(have, want []Node, titles []Title, terms Constraints) *BlockedError {
	if terms.Cells <= 0 || terms.Racks <= 0 || terms.MaxPerRack <= 0 || terms.MaxPerTitle <= 0 {
		return &BlockedError{Constraint: "cells, racks, nodes of a rack and holders of a title at one time have to be one at least"}
	}
	sites := map[string]string{}
	for _, n := range want {
		if other, twice := sites[n.Identity]; twice && n.Identity != "" {
			return &BlockedError{Node: n.Name, Constraint: "it is to be where node " + other + " is to be"}
		}
		sites[n.Identity] = n.Name
	}
	now := map[string]string{}
	for _, n := range have {
		now[n.Identity] = n.Name
	}
	names := map[string]bool{}
	for _, n := range have {
		names[n.Name] = true
	}
	for _, n := range want {
		if other, held := now[n.Identity]; held && n.Identity != "" && !names[n.Name] {
			return &BlockedError{Node: n.Name, Constraint: "node " + other + " is there under another name: keep its name, or drain it first"}
		}
	}
	was, is := newFleet(have, titles, terms), newFleet(want, titles, terms)
	for i, t := range titles {
		if is.up[i] == 0 && was.up[i] > 0 {
			return &BlockedError{Title: t.Name, Constraint: "no holder of it is up in what is wanted"}
		}
	}
	return nil
}

// cold is how many nodes may be cold at one time.
func (p *plan) cold() int {
	if p.terms.MaxWarming > 0 {
		return p.terms.MaxWarming
	}
	up := 0
	for _, n := range p.f.nodes {
		if n.Up {
			up++
		}
	}
	return max(1, up/20)
}

// step tells changes now and lets time pass.
func (p *plan) step(changes []Change, then time.Duration) {
	for _, c := range changes {
		if c.Kind == Remove {
			p.f.drop(c.Node.Name)
		} else {
			p.f.put(c.Node)
		}
	}
	p.steps = append(p.steps, Step{p.now, changes})
	p.now += then
}

// add brings nodes in, each wave once the one before is warm.
func (p *plan) add(nodes []Node) {
	for len(nodes) > 0 {
		w := p.f.wave(p.cold())
		var changes []Change
		var later []Node
		for _, n := range nodes {
			if w.fits(n.Cell) != "" {
				later = append(later, n)
				continue
			}
			w.take(n.Cell)
			changes = append(changes, Change{Add, n})
		}
		p.step(changes, p.terms.Warmup+p.terms.PropagationDelay)
		nodes = later
	}
}

// weigh changes weights and opens nodes again, where they stand: a wave for each notice.
func (p *plan) weigh(nodes []Node) {
	for len(nodes) > 0 {
		w := p.f.wave(len(nodes))
		var changes []Change
		var later []Node
		for _, n := range nodes {
			if w.fits(n.Cell) != "" {
				later = append(later, n)
				continue
			}
			w.take(n.Cell)
			what := Reweight
			if n.Up && !p.f.nodes[n.Name].Up {
				what = Reopen
			}
			changes = append(changes, Change{what, n})
		}
		p.step(changes, p.terms.PropagationDelay)
		nodes = later
	}
}

// move takes nodes away and brings them back where they are to be. Each wave is of nodes that no title needs
// meanwhile; which go first can matter, so where the first that fit lead nowhere, all orders are tried.
func (p *plan) move(nodes []Node) *BlockedError {
	order := nodes
	stuck := p.moves(order, true)
	if stuck == nil {
		p.moves(order, false)
		return nil
	}
	order, ok, complete := p.order(nodes)
	if !ok {
		stuck.Exhaustive = complete
		return stuck
	}
	// One at a time, in the order that was found: a wave of several might not exist.
	for _, n := range order {
		p.moveWave([]Node{n})
	}
	return nil
}

// moves goes through waves; trying it leaves the fleet as it was.
func (p *plan) moves(nodes []Node, try bool) *BlockedError {
	if try {
		kept := *p
		kept.f = newFleet(nil, p.f.titles, p.terms)
		for _, n := range p.f.nodes {
			kept.f.put(n)
		}
		kept.steps = nil
		return kept.moves(nodes, false)
	}
	for len(nodes) > 0 {
		var together, later []Node
		var stuck *BlockedError
		w := p.f.wave(p.cold())
		trial := []Node{}
		for _, n := range nodes {
			old := p.f.nodes[n.Name]
			title := p.f.lonely(old)
			why := w.fits(old.Cell, n.Cell)
			if title != "" || why != "" || p.taken(n) {
				if stuck == nil {
					stuck = p.against(n, title, why)
				}
				later = append(later, n)
				continue
			}
			w.take(old.Cell, n.Cell)
			p.f.drop(n.Name) // so that the next one sees what is left
			trial = append(trial, old)
			together = append(together, n)
		}
		for _, old := range trial {
			p.f.put(old)
		}
		if len(together) == 0 {
			return stuck
		}
		p.moveWave(together)
		nodes = later
	}
	return nil
}

// taken tells whether another node is still where one is to be.
func (p *plan) taken(n Node) bool {
	for _, other := range p.f.nodes {
		if other.Name != n.Name && other.Identity == n.Identity && n.Identity != "" {
			return true
		}
	}
	return false
}

func (p *plan) against(n Node, title, why string) *BlockedError {
	switch {
	case title != "":
		return &BlockedError{Node: n.Name, Title: title, Constraint: "it would have no holder that is up while the node is away"}
	case why != "":
		return &BlockedError{Node: n.Name, Constraint: why}
	}
	return &BlockedError{Node: n.Name, Constraint: "another node is still where it is to be"}
}

// moveWave drains nodes, removes them and adds them where they are to be.
func (p *plan) moveWave(nodes []Node) {
	var down, out, in []Change
	for _, n := range nodes {
		old := p.f.nodes[n.Name]
		old.Up = false
		down, out, in = append(down, Change{Drain, old}), append(out, Change{Remove, old}), append(in, Change{Add, n})
	}
	p.step(down, p.terms.DrainTime+p.terms.PropagationDelay)
	p.step(out, p.terms.PropagationDelay)
	p.step(in, p.terms.Warmup+p.terms.PropagationDelay)
}

// searchMost bounds the search for an order: what has been moved is one of 2 to the power of so many sets.
const searchMost = 18

// order tries every order of moves, one at a time. Which moves are still possible depends on which were
// done and not on their order, so each set is looked at once.
func (p *plan) order(nodes []Node) (found []Node, ok, complete bool) {
	if len(nodes) > searchMost {
		return nil, false, false
	}
	seen := make([]bool, 1<<len(nodes))
	var try func(done int) bool
	try = func(done int) bool {
		if done == 1<<len(nodes)-1 {
			return true
		}
		if seen[done] {
			return false
		}
		seen[done] = true
		for i, n := range nodes {
			if done&(1<<i) != 0 {
				continue
			}
			old := p.f.nodes[n.Name]
			if p.f.lonely(old) != "" || p.taken(n) {
				continue
			}
			p.f.put(n)
			found = append(found, n)
			if try(done | 1<<i) {
				p.f.put(old) // the steps will do it
				return true
			}
			found = found[:len(found)-1]
			p.f.put(old)
		}
		return false
	}
	ok = try(0)
	return found, ok, true
}

// drain drains nodes, some to stay so, some to be removed once their sessions have had their time.
func (p *plan) drain(stay, gone []Node) *BlockedError {
	removed := map[string]bool{}
	for _, n := range gone {
		removed[n.Name] = true
	}
	nodes := slices.Concat(stay, gone)
	for len(nodes) > 0 {
		w := p.f.wave(len(nodes))
		var down, out []Change
		var later []Node
		var stuck *BlockedError
		for _, n := range nodes {
			old := p.f.nodes[n.Name]
			title, why := p.f.lonely(old), w.fits(old.Cell)
			if title != "" || why != "" {
				if stuck == nil {
					stuck = p.against(n, title, why)
				}
				later = append(later, n)
				continue
			}
			w.take(old.Cell)
			n.Up, n.Weight = false, old.Weight
			if old.Up {
				down = append(down, Change{Drain, n})
				p.f.put(n)
			}
			if removed[n.Name] {
				out = append(out, Change{Remove, n})
			}
		}
		if len(later) == len(nodes) {
			return stuck
		}
		if len(down) > 0 {
			p.step(down, p.terms.DrainTime+p.terms.PropagationDelay)
		}
		if len(out) > 0 {
			p.step(out, p.terms.PropagationDelay)
		}
		nodes = later
	}
	return nil
}
