package policy

import (
	"time"
)

// Nodes and the list.

// sameBirth is how much later a birth may be told again and be the same one.
const sameBirth = 100 * time.Millisecond

func (d *Director) serverList(e ServerList) {
	if e.Kind == ListReplaced || e.Kind == ListRestored { // the whole list: who is not named is gone
		for i := range d.nodes {
			d.nodes[i].listed = Removed
			d.index.unlisted(i, &d.nodes[i])
		}
	}
	for _, x := range e.Entries {
		i, known := d.names.find(x.Node)
		if !known {
			if x.State == Removed {
				continue
			}
			var grown bool
			if i, grown = d.names.assign(x.Node); grown {
				d.nodes = append(d.nodes, node{})
			}
			d.nodes[i] = node{name: x.Node, startedAt: UnknownStart, reported: -1, suspectedAt: -1, shortAt: -rescoreEvery,
				baselineAt: UnknownStart / 2, use: resourceLoad{observedAt: UnknownStart / 2}}
		}
		n := &d.nodes[i]
		if x.StartedAt > n.startedAt+sameBirth && known { // what was seen and heard of it before has ended
			n.health, n.suspectedAt, n.warmAt = health{}, -1, 0
			n.use, n.reported, n.shortAt = resourceLoad{observedAt: UnknownStart / 2}, -1, -rescoreEvery
		}
		if known {
			d.index.remove(i, n)
		}
		n.listed, n.zone, n.cell, n.kind, n.startedAt = x.State, x.Zone, x.Cell, x.MachineKind, x.StartedAt
		d.load.racks[n.rack].ownLoad -= n.ownLoad
		n.rack = x.Cell % len(d.load.racks)
		d.load.racks[n.rack].ownLoad += n.ownLoad
		d.index.add(i, n)
		if n.listed == Removed {
			d.index.unlisted(i, n)
		}
		n.size = d.load.fleet.LinkUnit * x.Weight
		if n.size <= 0 {
			n.size = max(1, d.load.fleet.LinkUnit)
		}
	}
	for _, i := range d.index.leaving {
		d.dropNode(i)
	}
	for r := range d.load.racks {
		d.fairRates(r)
	}
}
