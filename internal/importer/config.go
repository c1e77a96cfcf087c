package importer

import "slices"

// buildConfig returns the director's configuration: blanks for the required settings, overridden by the settings that
// were carried over and then by those of the overlay, and the nodes.
func (imp *importState) buildConfig() *tree {
	t := newObject()
	t.set(newBlank("this director's name, unique among all"), "director", "name")
	t.set(newBlank("its index, from 0"), "director", "me")
	t.set(newBlank("how many directors there are"), "director", "directors")
	t.set(newBlank("address for clients, host:port"), "listen")
	t.set(newBlank("{\"NAME\": {\"goal_time\": \"800ms\", \"hard_stop\": \"3s\"}}: HAProxy has no such setting"), "tariffs")
	t.set(newBlank("{\"rates\": [...]}: the rungs of your titles"), "ladder")
	t.set(newBlank("number of cells"), "fleet", "cells")
	t.set(newBlank("number of racks; a cell's rack is cell modulo racks"), "fleet", "racks")
	t.set(newBlank("link rate of a node for each unit of weight"), "fleet", "link_unit")
	t.set(newBlank("mean uplink rate of a rack"), "fleet", "uplink")
	for _, k := range imp.kinds {
		if n := imp.maxSessions[k]; n > 0 {
			t.set(newLeaf(n), "fleet", "machines", k)
		} else {
			t.set(newBlank("maximum number of sessions on a machine of this kind"), "fleet", "machines", k)
		}
	}
	t.set(newBlank("time until a node that has just started reaches its full capacity"), "ramp", "warmup")
	t.set(newBlank("share of its capacity that it has at its start"), "ramp", "cold_from")
	t.set(newBlank("multiple of its own rate of new sessions that overloads it"), "ramp", "multiple")
	t.set(newBlank("time within which that rate overloads it"), "ramp", "tip_after")
	t.set(newBlank("{\"TITLE\": {\"base\": 0, \"copies\": 3}}: the cells that hold it"), "titles")
	for _, k := range imp.settings.keys {
		merge(t, imp.settings.children[k], k)
	}
	if imp.overlay != nil {
		for _, k := range imp.overlay.settings.keys {
			merge(t, imp.overlay.settings.children[k], k)
		}
	}
	nodes := newObject()
	for _, n := range imp.nodes {
		entry := newObject()
		entry.set(newLeaf(n.Address), "address")
		entry.set(newLeaf(n.State), "state")
		entry.set(newLeaf(n.MachineKind), "kind")
		entry.set(newLeaf(n.Weight), "weight")
		if n.Zone != "" {
			entry.set(newLeaf(n.Zone), "zone")
		}
		if n.HasCell {
			entry.set(newLeaf(n.Cell), "cell")
		} else {
			entry.set(&tree{leaf: nullLeaf}, "cell")
		}
		nodes.set(entry, n.Node)
	}
	t.set(nodes, "nodes")
	return t
}

// merge sets the value at a path of a tree. Objects are merged key by key; a leaf overrides the previous value.
func merge(t, v *tree, path ...string) {
	if v.children == nil {
		t.set(v, path...)
		return
	}
	if existing := t.find(path...); existing == nil || existing.children == nil {
		t.set(newObject(), path...)
	}
	for _, k := range v.keys {
		merge(t, v.children[k], append(slices.Clone(path), k)...)
	}
}
