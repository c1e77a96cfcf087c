package rollout

// BlockedError reports why no plan exists, or why none was found.
type BlockedError struct {
	Node       string // node that cannot be changed
	Title      string // title that would have no holder
	Constraint string // text of the constraint
	Exhaustive bool   // every order was tried, so no plan exists
}

func (b *BlockedError) Error() string {
	s := b.Constraint
	if b.Title != "" {
		s = "title " + b.Title + ": " + s
	}
	if b.Node != "" {
		s = "node " + b.Node + ": " + s
	}
	if b.Exhaustive {
		return s + " (every order was tried)"
	}
	return s
}

// blockedError describes why a node cannot change: a title without a holder, a conflict, or else an identity in use.
func (p *plan) blockedError(n Node, title, conflict string) *BlockedError {
	switch {
	case title != "":
		return &BlockedError{Node: n.Name, Title: title, Constraint: "no holder of it would be up while the node is away"}
	case conflict != "":
		return &BlockedError{Node: n.Name, Constraint: conflict}
	}
	return &BlockedError{Node: n.Name, Constraint: "another node still has its target address, kind and zone"}
}
