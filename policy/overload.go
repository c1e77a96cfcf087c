package policy

// The early scoring of sessions at a node whose link or uplink is reported to be overloaded. Most sessions are placed
// at a node that their director has heard nothing of, and the first report comes with the set-up itself. Until its
// next regular scoring such a session would take from all others a rate that its director knows is not there.

// noteOverload records that a report has just come that concerns a node's load, if by it the node's link or its rack's
// uplink is overloaded.
func (d *Director) noteOverload(n *node) {
	if max(d.load.linkUse(n), d.load.uplinkUse(n.rack)) > keepThreshold {
		n.overloadedAt = d.now
	}
}

// scoringIsDue reports whether a playing session is to be scored ahead of its next regular scoring, because an overload
// has been reported since the last one. How many of the sessions that a report concerns step down, and how often a
// session may, is decided as at any other scoring.
func (d *Director) scoringIsDue(s *session) bool {
	return s.node >= 0 && s.scoredAt <= d.nodes[s.node].overloadedAt
}
