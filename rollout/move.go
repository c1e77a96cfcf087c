package rollout

// moveNodes drains and removes nodes, and adds them again in their new place. Each wave consists of nodes without which
// every title still has a holder that is up. The order can matter, so if moving the first nodes that fit leads to a
// dead end, every order is tried.
func (p *plan) moveNodes(nodes []Node) *BlockedError {
	order := nodes
	blocked := p.moveInWaves(order, true)
	if blocked == nil {
		p.moveInWaves(order, false)
		return nil
	}
	order, ok, complete := p.findOrder(nodes)
	if !ok {
		blocked.Exhaustive = complete
		return blocked
	}
	// The nodes move one at a time, in the order that was found: waves of several nodes may not be possible.
	for _, n := range order {
		p.moveWave([]Node{n})
	}
	return nil
}

// moveInWaves moves nodes in waves. With dryRun it does so on a copy and leaves the plan unchanged.
func (p *plan) moveInWaves(nodes []Node, dryRun bool) *BlockedError {
	if dryRun {
		copied := *p
		copied.nodeSet = newNodeSet(nil, p.nodeSet.titles, p.constraints)
		for _, n := range p.nodeSet.nodes {
			copied.nodeSet.put(n)
		}
		copied.steps = nil
		return copied.moveInWaves(nodes, false)
	}
	for len(nodes) > 0 {
		var moving, later []Node
		var blocked *BlockedError
		w := p.nodeSet.newWave(p.maxWarming())
		dropped := []Node{}
		for _, n := range nodes {
			old := p.nodeSet.nodes[n.Name]
			title := p.nodeSet.titleLosingLastHolder(old)
			conflict := w.conflict(old.Cell, n.Cell)
			if title != "" || conflict != nil || p.identityInUse(n) {
				if blocked == nil {
					blocked = p.blockedError(n, title, conflict)
				}
				later = append(later, n)
				continue
			}
			w.add(old.Cell, n.Cell)
			p.nodeSet.drop(n.Name) // so that the next node is checked against the nodes that remain
			dropped = append(dropped, old)
			moving = append(moving, n)
		}
		for _, old := range dropped {
			p.nodeSet.put(old)
		}
		if len(moving) == 0 {
			return blocked
		}
		p.moveWave(moving)
		nodes = later
	}
	return nil
}

// identityInUse reports whether another node still has the identity that a node is to have.
func (p *plan) identityInUse(n Node) bool {
	for _, other := range p.nodeSet.nodes {
		if other.Name != n.Name && other.Identity == n.Identity && n.Identity != "" {
			return true
		}
	}
	return false
}

// moveWave drains nodes, removes them and adds them in their new place.
func (p *plan) moveWave(nodes []Node) {
	var drains, removals, adds []Change
	for _, n := range nodes {
		old := p.nodeSet.nodes[n.Name]
		old.Up = false
		drains, removals, adds = append(drains, Change{Drain, old}), append(removals, Change{Remove, old}), append(adds, Change{Add, n})
	}
	p.addStep(drains, p.constraints.DrainTime+p.constraints.PropagationDelay)
	p.addStep(removals, p.constraints.PropagationDelay)
	p.addStep(adds, p.constraints.Warmup+p.constraints.PropagationDelay)
}

// maxOrderSearch is the largest number of nodes for which an order is searched: the search visits up to 2 to the power
// of this number of sets of moved nodes.
const maxOrderSearch = 18

// findOrder tries every order of moving the nodes one at a time. Which moves are possible depends on the set of nodes
// that have moved and not on their order, so each set is visited once. complete is false if there are too many nodes to
// search.
func (p *plan) findOrder(nodes []Node) (found []Node, ok, complete bool) {
	if len(nodes) > maxOrderSearch {
		return nil, false, false
	}
	visited := make([]bool, 1<<len(nodes))
	var search func(moved int) bool
	search = func(moved int) bool {
		if moved == 1<<len(nodes)-1 {
			return true
		}
		if visited[moved] {
			return false
		}
		visited[moved] = true
		for i, n := range nodes {
			if moved&(1<<i) != 0 {
				continue
			}
			old := p.nodeSet.nodes[n.Name]
			if p.nodeSet.titleLosingLastHolder(old) != "" || p.identityInUse(n) {
				continue
			}
			p.nodeSet.put(n)
			found = append(found, n)
			if search(moved | 1<<i) {
				p.nodeSet.put(old) // only the search is undone: the steps of the plan apply the moves later
				return true
			}
			found = found[:len(found)-1]
			p.nodeSet.put(old)
		}
		return false
	}
	ok = search(0)
	return found, ok, true
}
