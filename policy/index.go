package policy

import "slices"

// An index finds nodes by where they are, so that what an event costs does not grow with nodes that it does not concern.
// Places in the table of nodes are in rising order.
type index struct {
	cells   [][]int // by cell
	racks   [][]int // by rack, as many as have had a node
	leaving []int   // those that were taken off the list; some may be on it again, or forgotten
	found   []int   // the last answer of holders
	members []*node // the last answer of members
}

func newIndex(cells int) index { return index{cells: make([][]int, max(1, cells))} }

func (x *index) cell(n *node) *[]int { return &x.cells[n.cell%len(x.cells)] }

// add takes in a node that is in no cell and no rack yet.
func (x *index) add(place int, n *node) {
	insert(x.cell(n), place)
	for len(x.racks) <= n.rack {
		x.racks = append(x.racks, nil)
	}
	insert(&x.racks[n.rack], place)
}

// remove takes out a node that was added with the cell and the rack that it still has.
func (x *index) remove(place int, n *node) {
	take(x.cell(n), place)
	take(&x.racks[n.rack], place)
}

func insert(places *[]int, place int) {
	at, there := slices.BinarySearch(*places, place)
	if !there {
		*places = slices.Insert(*places, at, place)
	}
}

func take(places *[]int, place int) {
	if at, there := slices.BinarySearch(*places, place); there {
		*places = slices.Delete(*places, at, at+1)
	}
}

// holders are the nodes of so many cells from a first one on. The answer is valid until the next call.
func (x *index) holders(first, copies int) []int {
	x.found = x.found[:0]
	for k := range min(copies, len(x.cells)) {
		x.found = append(x.found, x.cells[(first+k)%len(x.cells)]...)
	}
	slices.Sort(x.found)
	return x.found
}

// inRack are the nodes of a rack. The answer is valid until the next call.
func (x *index) inRack(rack int, nodes []node) []*node {
	x.members = x.members[:0]
	if rack >= len(x.racks) {
		return nil
	}
	for _, place := range x.racks[rack] {
		x.members = append(x.members, &nodes[place])
	}
	return x.members
}

// unlisted notes that a node was taken off the list.
func (x *index) unlisted(place int, n *node) {
	if !n.leaving {
		n.leaving = true
		x.leaving = append(x.leaving, place)
	}
}
