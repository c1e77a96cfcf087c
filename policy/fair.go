package policy

import (
	"cmp"
	"slices"
	"time"
)

// A listChange is the state at the last message of discovery that the fair rates depend on, besides the nodes' own.
// That message changes the fair rates of all racks. They are computed rack by rack, once an event concerns one of the
// rack's nodes, so that the cost of a list change does not grow with the racks that no session uses.
type listChange struct {
	number         uint64 // of the message
	at             time.Duration
	meanStreamRate float64
	linkBaseline   baseline
}

// beginListChange makes the fair rates of all racks outdated.
func (d *Director) beginListChange() {
	d.listChange = listChange{d.listChange.number + 1, d.now, d.load.meanStreamRate(), d.load.linkBaseline}
}

// settleFairRates computes the fair rates of a rack as they were at the last list change, unless they have been computed
// since. It is called before a fair rate is read and before anything changes that it depends on.
func (d *Director) settleFairRates(r int) {
	load, change := &d.load, &d.listChange
	if load.racks[r].listChange == change.number {
		return
	}
	now, linkBaseline := load.now, load.linkBaseline
	load.now, load.linkBaseline = change.at, change.linkBaseline
	d.computeFairRates(r, change.meanStreamRate)
	load.now, load.linkBaseline = now, linkBaseline
}

// updateFairRates computes the fair rates of a rack from the current state.
func (d *Director) updateFairRates(r int) { d.computeFairRates(r, d.load.meanStreamRate()) }

// computeFairRates computes the fair rate of every node of a rack: the rate that each stream of the node gets by a
// fair division of the rack's uplink, limited by the node's link.
func (d *Director) computeFairRates(r int, meanStreamRate float64) {
	load := &d.load
	load.racks[r].listChange = d.listChange.number
	members, total := d.index.inRack(r, d.nodes), 0.0
	for _, n := range members {
		n.streams = load.streamCount(n, meanStreamRate)
		total += n.streams
	}
	assignFairRates(load.topology.Uplink/max(1, total), members)
}

// assignFairRates is the paper's algorithm 2. parent is the uplink's rate for each stream; a node's cap is its link's
// rate for each stream. Nodes whose cap is at most parent keep their cap and leave the rest to a pool. The other
// nodes share the pool, in ascending order of their caps.
func assignFairRates(parent float64, nodes []*node) {
	pool, entitled := 0.0, 0.0
	for _, n := range nodes {
		n.fairRate = n.linkCapacity / max(1, n.streams)
		if n.fairRate <= parent {
			pool += (parent - n.fairRate) * n.streams
		} else {
			entitled += n.streams
		}
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(a.fairRate, b.fairRate) })
	for _, n := range nodes {
		if cap := n.fairRate; cap > parent {
			if entitled > 0 {
				n.fairRate = min(cap, parent+pool/entitled)
			} // a node without streams whose cap exceeds parent keeps its cap
			pool -= (n.fairRate - parent) * n.streams
			entitled -= n.streams
		}
	}
}
