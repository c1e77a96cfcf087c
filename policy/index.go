package policy

import "slices"

// An index finds nodes by cell and rack, so that the cost of an event does not grow with the number of
// nodes that it does not concern. Nodes are given as their indexes in Director.nodes, in ascending order.
type index struct {
	cells         [][]int // by cell
	racks         [][]int // by rack, up to the highest that has had a node
	unlistedNodes []int   // nodes taken off the list; some may be listed again or dropped since
	holderNodes   []int   // the last result of holders
	rackNodes     []*node // the last result of inRack
}

func newIndex(cells int) index { return index{cells: make([][]int, max(1, cells))} }

func (x *index) cell(n *node) *[]int { return &x.cells[n.cell%len(x.cells)] }

// add adds a node that is in no cell and no rack yet.
func (x *index) add(i int, n *node) {
	insertSorted(x.cell(n), i)
	for len(x.racks) <= n.rack {
		x.racks = append(x.racks, nil)
	}
	insertSorted(&x.racks[n.rack], i)
}

// remove removes a node, whose cell and rack must be the ones that it was added with.
func (x *index) remove(i int, n *node) {
	removeSorted(x.cell(n), i)
	removeSorted(&x.racks[n.rack], i)
}

func insertSorted(indexes *[]int, i int) {
	at, found := slices.BinarySearch(*indexes, i)
	if !found {
		*indexes = slices.Insert(*indexes, at, i)
	}
}

func removeSorted(indexes *[]int, i int) {
	if at, found := slices.BinarySearch(*indexes, i); found {
		*indexes = slices.Delete(*indexes, at, at+1)
	}
}

// holders returns the nodes of the given number of consecutive cells from the first; after the last cell
// it continues with cell 0. The result is valid until the next call.
func (x *index) holders(first, copies int) []int {
	x.holderNodes = x.holderNodes[:0]
	for k := range min(copies, len(x.cells)) {
		x.holderNodes = append(x.holderNodes, x.cells[(first+k)%len(x.cells)]...)
	}
	slices.Sort(x.holderNodes)
	return x.holderNodes
}

// inRack returns the nodes of a rack. The result is valid until the next call.
func (x *index) inRack(rack int, nodes []node) []*node {
	x.rackNodes = x.rackNodes[:0]
	if rack >= len(x.racks) {
		return nil
	}
	for _, i := range x.racks[rack] {
		x.rackNodes = append(x.rackNodes, &nodes[i])
	}
	return x.rackNodes
}

// markUnlisted adds a node to unlistedNodes when the list removes it.
func (x *index) markUnlisted(i int, n *node) {
	if !n.queuedUnlisted {
		n.queuedUnlisted = true
		x.unlistedNodes = append(x.unlistedNodes, i)
	}
}
