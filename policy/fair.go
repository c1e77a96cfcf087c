package policy

import (
	"cmp"
	"slices"
)

// fairRates computes the fair rate of every node of a rack. A stream's usual rate is that of this
// director's own sessions, of which the middle rung's counts as one.
func (d *Director) fairRates(r int) {
	g := &d.load
	g.usual = (g.middle + g.ownLoad) / float64(1+g.legs)
	members, total := d.index.inRack(r, d.nodes), 0.0
	for _, n := range members {
		n.streams = g.streams(n)
		total += n.streams
	}
	fair(g.fleet.Uplink/max(1, total), members)
}

// fair is the paper's algorithm 2: nodes whose cap lies at or under the parent rate keep it and
// pool what they leave; the rest, by rising cap, share the pool.
func fair(parent float64, nodes []*node) {
	pool, entitled := 0.0, 0.0
	for _, n := range nodes {
		n.fair = n.size / max(1, n.streams)
		if n.fair <= parent {
			pool += (parent - n.fair) * n.streams
		} else {
			entitled += n.streams
		}
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(a.fair, b.fair) })
	for _, n := range nodes {
		if cap := n.fair; cap > parent {
			if entitled > 0 {
				n.fair = min(cap, parent+pool/entitled)
			} // an entitled node without streams keeps its cap
			pool -= (n.fair - parent) * n.streams
			entitled -= n.streams
		}
	}
}
