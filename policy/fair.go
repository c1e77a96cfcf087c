package policy

import (
	"cmp"
	"slices"
)

// updateFairRates computes the fair rate of every node of a rack: the rate that each stream of the node gets by a
// fair division of the rack's uplink, limited by the node's link. The mean stream rate is that of this director's own
// sessions, among which the middle rung's rate counts as one further session.
func (d *Director) updateFairRates(r int) {
	load := &d.load
	load.meanStreamRate = (load.middleRate + load.ownLoad) / float64(1+load.legs)
	members, total := d.index.inRack(r, d.nodes), 0.0
	for _, n := range members {
		n.streams = load.streamCount(n)
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
