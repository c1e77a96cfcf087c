package rollout

// checkFeasible reports what makes every plan impossible, whatever its order.
func checkFeasible(current, target []Node, titles []Title, constraints Constraints) *BlockedError {
	if constraints.Cells <= 0 || constraints.Racks <= 0 || constraints.MaxPerRack <= 0 || constraints.MaxPerTitle <= 0 {
		return &BlockedError{Reason: BlockedByConstraints,
			Constraint: "cells, racks, nodes of a rack and holders of a title at one time must be at least one"}
	}
	targetByIdentity := map[string]string{}
	for _, n := range target {
		if other, duplicate := targetByIdentity[n.Identity]; duplicate && n.Identity != "" {
			return &BlockedError{Reason: BlockedByTarget, Node: n.Name,
				Constraint: "its address, kind and zone are those of node " + other + " in the target"}
		}
		targetByIdentity[n.Identity] = n.Name
	}
	currentByIdentity := map[string]string{}
	for _, n := range current {
		currentByIdentity[n.Identity] = n.Name
	}
	currentNames := map[string]bool{}
	for _, n := range current {
		currentNames[n.Name] = true
	}
	for _, n := range target {
		if other, inUse := currentByIdentity[n.Identity]; inUse && n.Identity != "" && !currentNames[n.Name] {
			return &BlockedError{Reason: BlockedByRename, Node: n.Name,
				Constraint: "node " + other + " has the same address, kind and zone under another name: keep its name, or drain it first"}
		}
	}
	before, after := newNodeSet(current, titles, constraints), newNodeSet(target, titles, constraints)
	for i, t := range titles {
		if after.up[i] == 0 && before.up[i] > 0 {
			return &BlockedError{Reason: BlockedByTargetTitle, Title: t.Name, Constraint: "no holder of it is up in the target"}
		}
	}
	return nil
}
