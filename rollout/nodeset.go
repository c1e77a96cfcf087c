package rollout

// nodeSet is the state of the nodes at some point of a plan.
type nodeSet struct {
	constraints Constraints
	nodes       map[string]Node
	titles      []Title
	byCell      map[int][]int // indices of the titles that a cell holds
	up          []int         // number of holders that are up, by title
}

func newNodeSet(nodes []Node, titles []Title, constraints Constraints) *nodeSet {
	s := &nodeSet{constraints: constraints, nodes: map[string]Node{}, titles: titles, byCell: map[int][]int{},
		up: make([]int, len(titles))}
	for i, t := range titles {
		for k := range min(t.Copies, constraints.Cells) {
			c := (t.FirstCell + k) % constraints.Cells
			s.byCell[c] = append(s.byCell[c], i)
		}
	}
	for _, n := range nodes {
		s.put(n)
	}
	return s
}

// put adds a node or replaces its previous state.
func (s *nodeSet) put(n Node) {
	s.drop(n.Name)
	s.nodes[n.Name] = n
	if n.Up {
		for _, t := range s.byCell[n.Cell] {
			s.up[t]++
		}
	}
}

// drop removes a node.
func (s *nodeSet) drop(name string) {
	if n, ok := s.nodes[name]; ok && n.Up {
		for _, t := range s.byCell[n.Cell] {
			s.up[t]--
		}
	}
	delete(s.nodes, name)
}

// titleLosingLastHolder returns a title of which the node is the only holder that is up, "" if there is none.
func (s *nodeSet) titleLosingLastHolder(n Node) string {
	if !n.Up {
		return ""
	}
	for _, t := range s.byCell[n.Cell] {
		if s.up[t] == 1 {
			return s.titles[t].Name
		}
	}
	return ""
}
