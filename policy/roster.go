package policy

import (
	"time"
)

// Nodes and the list.

// sameBirth is how much later a birth may be told again and be the same one.
const sameBirth = 100 * time.Millisecond

func (d *Director) roster(e Roster) {
	if e.Kind == Replace || e.Kind == Restored { // the whole list: who is not named is gone
		for i := range d.nodes {
			d.nodes[i].listed = Removed
			d.index.left(i, &d.nodes[i])
		}
	}
	for _, x := range e.Entries {
		i, known := d.names.find(x.Node)
		if !known {
			if x.State == Removed {
				continue
			}
			var grown bool
			if i, grown = d.names.enter(x.Node); grown {
				d.nodes = append(d.nodes, node{})
			}
			d.nodes[i] = node{name: x.Node, born: LongAgo, reported: -1, doubted: -1, shortAt: -rescoreEvery,
				learnt: LongAgo / 2, use: meter{of: LongAgo / 2}}
		}
		n := &d.nodes[i]
		if x.Born > n.born+sameBirth && known { // what was seen and heard of it before has ended
			n.health, n.doubted, n.warmAt = health{}, -1, 0
			n.use, n.reported, n.shortAt = meter{of: LongAgo / 2}, -1, -rescoreEvery
		}
		if known {
			d.index.remove(i, n)
		}
		n.listed, n.zone, n.cell, n.kind, n.born = x.State, x.Zone, x.Cell, x.Kind, x.Born
		d.gauge.racks[n.rack].own -= n.own
		n.rack = x.Cell % len(d.gauge.racks)
		d.gauge.racks[n.rack].own += n.own
		d.index.add(i, n)
		if n.listed == Removed {
			d.index.left(i, n)
		}
		n.size = d.gauge.fleet.LinkUnit * x.Weight
		if n.size <= 0 {
			n.size = max(1, d.gauge.fleet.LinkUnit)
		}
	}
	for _, i := range d.index.leaving {
		d.dropNode(i)
	}
	for r := range d.gauge.racks {
		d.fairRates(r)
	}
}
