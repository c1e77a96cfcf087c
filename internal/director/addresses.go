package director

import "fordusher/internal/wire"

// An addressTable records which node is the owner of each address. It is the only place that decides this: the owner is
// the node that discovery was the last to place there. A node that has lost its address to another one has been
// replaced, whether or not discovery ever reports its removal, and is off the list until discovery reports another
// start or address of it.
type addressTable struct {
	entries map[string]wire.NodeEntry // by node: what discovery last reported; removed nodes are not in it
	owners  map[string]string         // by address; kept for a removed node until release
}

func newAddressTable() addressTable {
	return addressTable{entries: map[string]wire.NodeEntry{}, owners: map[string]string{}}
}

// A replacement is the change of an address from one node to another.
type replacement struct{ previous, next string }

// isPlacement reports whether an entry places its node at its address anew: the node is new on the list, has another
// address, or has started again. An entry that only changes the node's state or weight places it nowhere.
func (t *addressTable) isPlacement(e wire.NodeEntry) bool {
	known, listed := t.entries[e.Node]
	return !listed || e.Address != known.Address || e.Incarnation != 0 && e.Incarnation != known.Incarnation
}

// apply records a message of discovery. It returns the entries of the message and of the nodes that the message
// replaces, those of all replaced nodes with state Removed, and the replacements.
//
// Of two nodes that one message places at the same address, the one that started later is the owner. If both starts are
// unknown, it is the later entry of the message.
func (t *addressTable) apply(m wire.DiscoveryMessage) (entries []wire.NodeEntry, replacements []replacement) {
	t.removeMissing(m)
	previousOwners := map[string]string{}
	placedAge := map[string]int64{} // by address: the age of the node that this message placed there
	for _, e := range m.Nodes {
		if e.State == wire.Removed {
			delete(t.entries, e.Node)
			continue
		}
		if e.Address == "" {
			e.Address = t.entries[e.Node].Address
		}
		placed := t.isPlacement(e)
		t.entries[e.Node] = e
		if age, rival := placedAge[e.Address]; !placed || e.Address == "" || rival && startedLater(age, e.UptimeMS) {
			continue
		}
		if _, changed := previousOwners[e.Address]; !changed {
			previousOwners[e.Address] = t.owners[e.Address]
		}
		t.owners[e.Address], placedAge[e.Address] = e.Node, e.UptimeMS
	}
	inMessage := make(map[string]bool, len(m.Nodes))
	for _, e := range m.Nodes {
		inMessage[e.Node] = true
		if t.isReplaced(e.Node) {
			e.State = wire.Removed
		}
		entries = append(entries, e)
	}
	for address, previous := range sorted(previousOwners) {
		next := t.owners[address]
		if previous == "" || previous == next {
			continue
		}
		replacements = append(replacements, replacement{previous, next})
		if t.isReplaced(previous) && !inMessage[previous] {
			e := t.entries[previous]
			e.State = wire.Removed
			entries = append(entries, e)
		}
	}
	return entries, replacements
}

// startedLater reports whether the first of two ages, in milliseconds, belongs to the later start. An unknown age (0) is
// that of the earlier start.
func startedLater(age, other int64) bool { return age > 0 && (other == 0 || age < other) }

// removeMissing removes the nodes that a whole list does not name.
func (t *addressTable) removeMissing(m wire.DiscoveryMessage) {
	if m.Type != wire.Snapshot {
		return
	}
	present := make(map[string]bool, len(m.Nodes))
	for _, e := range m.Nodes {
		present[e.Node] = true
	}
	for node := range t.entries {
		if !present[node] {
			delete(t.entries, node)
		}
	}
}

// isListed reports whether discovery lists a node, and no other node has taken its address.
func (t *addressTable) isListed(node string) bool {
	_, listed := t.entries[node]
	return listed && !t.isReplaced(node)
}

// isReplaced reports whether discovery lists a node at an address that another node has taken.
func (t *addressTable) isReplaced(node string) bool {
	e, listed := t.entries[node]
	return listed && e.Address != "" && t.owners[e.Address] != node
}

// release records that a node has left an address: it has been removed, or it has moved.
func (t *addressTable) release(node, address string) {
	if t.owners[address] == node {
		delete(t.owners, address)
	}
}
