package importer

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// A tree is a JSON value that keeps the order of its keys. It is either an object with children or a leaf.
type tree struct {
	keys     []string
	children map[string]*tree // nil for a leaf
	leaf     string           // the JSON text of a leaf
	comment  string           // rendered in a line above the value
}

// nullLeaf is the text of a blank: a value that the operator has to fill in.
const nullLeaf = "null"

func newObject() *tree { return &tree{children: map[string]*tree{}} }

func newLeaf(x any) *tree {
	text, err := json.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("value can't be encoded as JSON: %v", err)) // not expected: all values are strings and finite numbers
	}
	return &tree{leaf: string(text)}
}

func newBlank(comment string) *tree { return &tree{leaf: nullLeaf, comment: comment} }

func (t *tree) isBlank() bool { return t.children == nil && t.leaf == nullLeaf }

// set sets the value at a path and creates the objects on the way.
func (t *tree) set(v *tree, path ...string) {
	for _, p := range path[:len(path)-1] {
		next := t.children[p]
		if next == nil || next.children == nil {
			if next == nil {
				t.keys = append(t.keys, p)
			}
			next = newObject()
			t.children[p] = next
		}
		t = next
	}
	last := path[len(path)-1]
	if t.children[last] == nil {
		t.keys = append(t.keys, last)
	}
	t.children[last] = v
}

// find returns the value at a path, or nil if there is none.
func (t *tree) find(path ...string) *tree {
	for _, p := range path {
		if t == nil || t.children == nil {
			return nil
		}
		t = t.children[p]
	}
	return t
}

// fillFrom copies from another tree the values that this tree does not have or has as blanks.
func (t *tree) fillFrom(source *tree) {
	for _, k := range source.keys {
		own, other := t.children[k], source.children[k]
		switch {
		case own == nil:
			t.keys = append(t.keys, k)
			t.children[k] = other
		case own.children != nil && other.children != nil:
			own.fillFrom(other)
		case own.isBlank() && !other.isBlank():
			t.children[k] = other
		}
	}
}

// fromJSON converts JSON with comments to a tree; the comments are dropped.
func fromJSON(v hujson.Value) *tree {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c := v.Clone()
		c.Minimize()
		return &tree{leaf: string(c.Pack())}
	}
	t := newObject()
	for _, m := range o.Members {
		t.set(fromJSON(m.Value), m.Name.Value.(hujson.Literal).String())
	}
	return t
}

// render writes a tree as JSON with comments. An object is written on one line if it has only leaves without
// comments and is not the outermost one.
func (t *tree) render(b *strings.Builder, indent string) {
	if t.children == nil {
		b.WriteString(t.leaf)
		return
	}
	oneLine := len(t.keys) > 0 && indent != ""
	for _, k := range t.keys {
		if c := t.children[k]; c.children != nil || c.comment != "" {
			oneLine = false
		}
	}
	if oneLine {
		b.WriteByte('{')
		for i, k := range t.keys {
			if i > 0 {
				b.WriteString(", ")
			}
			b.WriteString(newLeaf(k).leaf + ": " + t.children[k].leaf)
		}
		b.WriteByte('}')
		return
	}
	b.WriteString("{\n")
	for _, k := range t.keys {
		c := t.children[k]
		if c.comment != "" {
			fmt.Fprintf(b, "%s  // %s\n", indent, c.comment)
		}
		b.WriteString(indent + "  " + newLeaf(k).leaf + ": ")
		c.render(b, indent+"  ")
		b.WriteString(",\n")
	}
	b.WriteString(indent + "}")
}

// blankPaths returns the paths of all blanks of the tree, each below the given path.
func (t *tree) blankPaths(path string) (all []string) {
	if t.isBlank() {
		return []string{path}
	}
	for _, k := range t.keys {
		all = append(all, t.children[k].blankPaths(strings.TrimPrefix(path+"."+k, "."))...)
	}
	return all
}
