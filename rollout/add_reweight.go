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

// takeWave splits off the nodes that can be added or change at the same time, at most maxNodes of them.
func (p *plan) takeWave(nodes []Node, maxNodes int) (together, later []Node) {
	w := p.nodeSet.newWave(maxNodes)
	for _, n := range nodes {
		if w.conflict(n.Cell) != nil {
			later = append(later, n)
			continue
		}
		w.add(n.Cell)
		together = append(together, n)
	}
	return together, later
}

// addNodes adds nodes in waves; each wave starts once the previous one is warm.
func (p *plan) addNodes(nodes []Node) {
	for len(nodes) > 0 {
		together, later := p.takeWave(nodes, p.maxWarming())
		var changes []Change
		for _, n := range together {
			changes = append(changes, Change{Add, n})
		}
		p.addStep(changes, p.constraints.Warmup+p.constraints.PropagationDelay)
		nodes = later
	}
}

// reweightNodes changes weights and reopens nodes in place, in waves that are PropagationDelay apart.
func (p *plan) reweightNodes(nodes []Node) {
	for len(nodes) > 0 {
		together, later := p.takeWave(nodes, len(nodes))
		var changes []Change
		for _, n := range together {
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
