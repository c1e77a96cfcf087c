package importer

import (
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"

	"fordusher/internal/conf"
)

// A Change is one difference between a previous configuration and a new import.
type Change struct {
	Node   string `json:"node,omitempty"`
	What   string `json:"what"` // "added" or "gone" for a node as a whole; otherwise the key of the node or of the file that changed
	Before string `json:"was,omitempty"`
	After  string `json:"is,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.What == "added" || c.What == "gone":
		return fmt.Sprintf("node %s %s (%s)", c.Node, c.What, c.Before+c.After)
	case c.Node != "":
		return fmt.Sprintf("node %s: %s was %s, is %s", c.Node, c.What, c.Before, c.After)
	}
	return fmt.Sprintf("%s: was %s, is %s", c.What, c.Before, c.After)
}

// A PreviousConfig is a director's file from an earlier import, with the values that the operator has filled in
// since.
type PreviousConfig struct{ tree *tree }

// ReadPreviousConfig reads the file of an earlier import. Mistakes in it are returned as conf.Problems.
func ReadPreviousConfig(file string, text []byte) (*PreviousConfig, error) {
	parser, o := conf.Parse(file, text)
	if err := parser.Err(); err != nil {
		return nil, err
	}
	o.Object("nodes", true)
	if err := parser.Err(); err != nil {
		return nil, err
	}
	v, err := hujson.Parse(text)
	if err != nil {
		return nil, err // not expected: conf.Parse accepts the same text
	}
	return &PreviousConfig{fromJSON(v)}, nil
}

// MergePrevious fills the missing values of the import from the previous configuration and returns the changes.
// Values of the HAProxy configuration and the overlay override those of the previous configuration; its other
// values are kept.
func (r *Result) MergePrevious(previous *PreviousConfig) (changes []Change) {
	oldNodes, newNodes := previous.tree.find("nodes"), r.tree.find("nodes")
	for _, name := range newNodes.keys {
		after, before := newNodes.children[name], oldNodes.find(name)
		if before == nil {
			changes = append(changes, Change{Node: name, What: "added", After: leafText(after.find("address"))})
			continue
		}
		after.fillFrom(before)
		for _, k := range after.keys {
			if a, b := leafText(before.find(k)), leafText(after.find(k)); a != b {
				changes = append(changes, Change{Node: name, What: k, Before: a, After: b})
			}
		}
	}
	for _, name := range oldNodes.keys {
		if newNodes.find(name) == nil {
			changes = append(changes, Change{Node: name, What: "gone", Before: leafText(oldNodes.find(name, "address"))})
		}
	}
	nodes := r.tree.children["nodes"]
	delete(previous.tree.children, "nodes") // otherwise fillFrom would restore the nodes that are gone
	keys := previous.tree.keys[:0]
	for _, k := range previous.tree.keys {
		if k != "nodes" {
			keys = append(keys, k)
		}
	}
	previous.tree.keys = keys
	collectChanges(previous.tree, r.tree, "", &changes)
	r.tree.fillFrom(previous.tree)
	r.tree.children["nodes"] = nodes
	for i := range r.Nodes { // the nodes get the cells that the previous configuration has filled in
		n := r.Nodes[i]
		t := nodes.find(n.Node)
		if c, err := strconv.Atoi(leafText(t.find("cell"))); err == nil {
			n.Cell, n.HasCell = c, true
		}
	}
	previous.tree.set(oldNodes, "nodes")
	return changes
}

// collectChanges appends the leaves that are in both trees and differ.
func collectChanges(before, after *tree, path string, changes *[]Change) {
	for _, k := range after.keys {
		a, b := before.find(k), after.children[k]
		key := k
		if path != "" {
			key = path + "." + k
		}
		switch {
		case a == nil || b.isBlank() || a.isBlank():
		case a.children != nil && b.children != nil:
			collectChanges(a, b, key, changes)
		case a.children == nil && b.children == nil && a.leaf != b.leaf:
			*changes = append(*changes, Change{What: key, Before: a.leaf, After: b.leaf})
		}
	}
}

// leafText returns the value of a leaf for a report, a string without its quotes.
func leafText(t *tree) string {
	if t == nil {
		return "nothing"
	}
	if s, err := strconv.Unquote(t.leaf); err == nil {
		return s
	}
	return t.leaf
}
