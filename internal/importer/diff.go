package importer

import (
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"

	"fordusher/internal/conf"
)

// A Change is what is different from an earlier import.
type Change struct {
	Node   string `json:"node,omitempty"`
	What   string `json:"what"` // added, gone, a key of the node, or a key of the file
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

// A PreviousConfig is a director's file that was imported before and filled in since.
type PreviousConfig struct{ tree *tree }

// ReadPreviousConfig reads it; what is wrong with it comes back as conf.Problems.
func ReadPreviousConfig(file string, text []byte) (*PreviousConfig, error) {
	r, o := conf.Parse(file, text)
	if err := r.Err(); err != nil {
		return nil, err
	}
	o.Object("nodes", true)
	if err := r.Err(); err != nil {
		return nil, err
	}
	v, err := hujson.Parse(text)
	if err != nil {
		return nil, err // conf.Parse has read it already
	}
	return &PreviousConfig{fromJSON(v)}, nil
}

// MergePrevious fills the blanks of an import with what the earlier file has, and tells what changed. What HAProxy
// or the overlay say now stands over what the earlier file says; all else of it is kept.
func (r *Result) MergePrevious(e *PreviousConfig) (changes []Change) {
	was, is := e.tree.find("nodes"), r.tree.find("nodes")
	for _, name := range is.keys {
		now, before := is.children[name], was.find(name)
		if before == nil {
			changes = append(changes, Change{Node: name, What: "added", After: leafText(now.find("address"))})
			continue
		}
		now.fillFrom(before)
		for _, k := range now.keys {
			if a, b := leafText(before.find(k)), leafText(now.find(k)); a != b {
				changes = append(changes, Change{Node: name, What: k, Before: a, After: b})
			}
		}
	}
	for _, name := range was.keys {
		if is.find(name) == nil {
			changes = append(changes, Change{Node: name, What: "gone", Before: leafText(was.find(name, "address"))})
		}
	}
	nodes := r.tree.children["nodes"]
	delete(e.tree.children, "nodes") // those that are gone do not come back
	kept := e.tree.keys[:0]
	for _, k := range e.tree.keys {
		if k != "nodes" {
			kept = append(kept, k)
		}
	}
	e.tree.keys = kept
	collectChanges(e.tree, r.tree, "", &changes)
	r.tree.fillFrom(e.tree)
	r.tree.children["nodes"] = nodes
	for i := range r.Nodes { // what was filled in holds for the plan too
		n := r.Nodes[i]
		t := nodes.find(n.Node)
		if c, err := strconv.Atoi(leafText(t.find("cell"))); err == nil {
			n.Cell, n.HasCell = c, true
		}
	}
	e.tree.set(was, "nodes")
	return changes
}

// collectChanges collects the leaves that both have and that differ.
func collectChanges(was, is *tree, path string, changes *[]Change) {
	for _, k := range is.keys {
		a, b := was.find(k), is.children[k]
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

func leafText(t *tree) string {
	if t == nil {
		return "nothing"
	}
	if s, err := strconv.Unquote(t.leaf); err == nil {
		return s
	}
	return t.leaf
}
