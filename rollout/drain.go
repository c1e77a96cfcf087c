package rollout

import "slices"

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
			if title != "" || conflict != nil {
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
