package rollout

// maxWarming returns how many nodes may be warming up at one time.
func (p *plan) maxWarming() int {
	if p.constraints.MaxWarming > 0 {
		return p.constraints.MaxWarming
	}
	up := 0
	for _, n := range p.nodeSet.nodes {
		if n.Up {
			up++
		}
	}
	return max(1, up/20)
}

// addNodes adds nodes in waves; each wave starts once the previous one is warm.
func (p *plan) addNodes(nodes []Node) {
	for len(nodes) > 0 {
		w := p.nodeSet.newWave(p.maxWarming())
		var changes []Change
		var later []Node
		for _, n := range nodes {
			if w.conflict(n.Cell) != "" {
				later = append(later, n)
				continue
			}
			w.add(n.Cell)
			changes = append(changes, Change{Add, n})
		}
		p.addStep(changes, p.constraints.Warmup+p.constraints.PropagationDelay)
		nodes = later
	}
}

// reweightNodes changes weights and reopens nodes in place, in waves that are PropagationDelay apart.
func (p *plan) reweightNodes(nodes []Node) {
	for len(nodes) > 0 {
		w := p.nodeSet.newWave(len(nodes))
		var changes []Change
		var later []Node
		for _, n := range nodes {
			if w.conflict(n.Cell) != "" {
				later = append(later, n)
				continue
			}
			w.add(n.Cell)
			kind := Reweight
			if n.Up && !p.nodeSet.nodes[n.Name].Up {
				kind = Reopen
			}
			changes = append(changes, Change{kind, n})
		}
		p.addStep(changes, p.constraints.PropagationDelay)
		nodes = later
	}
}
