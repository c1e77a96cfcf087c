package rollout

// BlockedReason is why no plan exists, or why a node cannot change.
type BlockedReason int

// The reasons.
const (
	BlockedByConstraints  BlockedReason = iota // the constraints allow no change at all
	BlockedByTarget                            // two nodes of the target have the same identity
	BlockedByRename                            // a node of the target has the identity of a current node with another name
	BlockedByTargetTitle                       // no holder of a title is up in the target
	BlockedByTitle                             // a title would have no holder that is up
	BlockedByWarming                           // no more nodes may be warming up
	BlockedByRack                              // no more nodes of the rack may be in transition
	BlockedByTitleHolders                      // no more holders of the title may be in transition
	BlockedByIdentity                          // another node still has the identity that the node is to have
)

var blockedReasonNames = [...]string{
	BlockedByConstraints:  "constraints",
	BlockedByTarget:       "target",
	BlockedByRename:       "rename",
	BlockedByTargetTitle:  "title in the target",
	BlockedByTitle:        "title",
	BlockedByWarming:      "warming",
	BlockedByRack:         "rack",
	BlockedByTitleHolders: "holders of a title",
	BlockedByIdentity:     "identity",
}

func (r BlockedReason) String() string { return blockedReasonNames[r] }

// BlockedError reports why no plan exists, or why none was found.
type BlockedError struct {
	Reason     BlockedReason
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

// conflict is the constraint that a further node in a wave would violate.
type conflict struct {
	reason BlockedReason
	text   string
}

// blockedError describes why a node cannot change: a title without a holder, a conflict, or else an identity in use.
func (p *plan) blockedError(n Node, title string, c *conflict) *BlockedError {
	switch {
	case title != "":
		return &BlockedError{Reason: BlockedByTitle, Node: n.Name, Title: title,
			Constraint: "no holder of it would be up while the node is away"}
	case c != nil:
		return &BlockedError{Reason: c.reason, Node: n.Name, Constraint: c.text}
	}
	return &BlockedError{Reason: BlockedByIdentity, Node: n.Name, Constraint: "another node still has its target address, kind and zone"}
}
