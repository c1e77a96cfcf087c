package policy

import (
	"time"
)

// startTimeTolerance is how much later a node's start time may be reported and still mean the same start.
const startTimeTolerance = 100 * time.Millisecond

// serverList applies a message of discovery to the table of nodes.
func (d *Director) serverList(e ServerList) {
	// The whole list removes the nodes that are missing from it.
	if e.Kind == ListReplaced || e.Kind == ListRestored {
		for i := range d.nodes {
			d.nodes[i].listed = Removed
			d.index.markUnlisted(i, &d.nodes[i])
		}
	}
	for _, entry := range e.Entries {
		i, known := d.nodeIndexes.find(entry.Node)
		if !known {
			if entry.State == Removed {
				continue
			}
			var grown bool
			if i, grown = d.nodeIndexes.assign(entry.Node); grown {
				d.nodes = append(d.nodes, node{})
			}
			d.nodes[i] = node{name: entry.Node, startedAt: UnknownStart, reportedStreams: -1, suspectedAt: -1, shortfallAt: -rescoreEvery,
				overloadedAt: -1, baselineAt: UnknownStart / 2, linkLoad: resourceLoad{observedAt: UnknownStart / 2}}
		}
		n := &d.nodes[i]
		// A restart voids the node's earlier health and load.
		if entry.StartedAt > n.startedAt+startTimeTolerance && known {
			n.health, n.suspectedAt, n.slowStartEnd = health{}, -1, 0
			n.linkLoad, n.reportedStreams, n.shortfallAt = resourceLoad{observedAt: UnknownStart / 2}, -1, -rescoreEvery
		}
		if known {
			d.index.remove(i, n)
		}
		n.listed, n.zone, n.cell, n.kind, n.startedAt = entry.State, entry.Zone, entry.Cell, entry.MachineKind, entry.StartedAt
		if previous, found := d.nodeIndexes.find(entry.Replaces); found && previous != i {
			d.slowStart.moveSetups(&d.nodes[previous], n)
		}
		d.load.racks[n.rack].ownLoad -= n.ownLoad
		n.rack = entry.Cell % len(d.load.racks)
		d.load.racks[n.rack].ownLoad += n.ownLoad
		d.index.add(i, n)
		if n.listed == Removed {
			d.index.markUnlisted(i, n)
		}
		n.linkCapacity = d.load.topology.LinkUnit * entry.Weight
		if n.linkCapacity <= 0 {
			n.linkCapacity = max(1, d.load.topology.LinkUnit)
		}
	}
	for _, i := range d.index.unlistedNodes {
		d.dropNode(i)
	}
	d.beginListChange()
}
