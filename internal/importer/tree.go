package importer

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// A tree is a JSON value that keeps the order of its keys; a leaf's text is JSON, null where it is a blank
// that somebody has to fill in.
type tree struct {
	keys     []string
	children map[string]*tree // nil: a leaf
	leaf     string
	comment  string
}

const nullLeaf = "null"

func newObject() *tree { return &tree{children: map[string]*tree{}} }

func newLeaf(x any) *tree {
	text, err := json.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("a value that is no JSON: %v", err)) // all values are text and finite numbers
	}
	return &tree{leaf: string(text)}
}

func newBlank(comment string) *tree { return &tree{leaf: nullLeaf, comment: comment} }

func (t *tree) isBlank() bool { return t.children == nil && t.leaf == nullLeaf }

// set puts a value at a path.
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

// find returns what a path leads to, nil where it leads nowhere.
func (t *tree) find(path ...string) *tree {
	for _, p := range path {
		if t == nil || t.children == nil {
			return nil
		}
		t = t.children[p]
	}
	return t
}

// fillFrom takes from another tree what this one has no value for.
func (t *tree) fillFrom(from *tree) {
	for _, k := range from.keys {
		have, other := t.children[k], from.children[k]
		switch {
		case have == nil:
			t.keys = append(t.keys, k)
			t.children[k] = other
		case have.children != nil && other.children != nil:
			have.fillFrom(other)
		case have.isBlank() && !other.isBlank():
			t.children[k] = other
		}
	}
}

// fromJSON takes JSON with comments apart; the comments are lost.
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

// render renders a tree; objects of leaves only stand on one line.
func (t *tree) render(b *strings.Builder, indent string) {
	if t.children == nil {
		b.WriteString(t.leaf)
		return
	}
	flat := len(t.keys) > 0 && indent != ""
	for _, k := range t.keys {
		if c := t.children[k]; c.children != nil || c.comment != "" {
			flat = false
		}
	}
	if flat {
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

// blankPaths are the paths of all that is to be filled in.
func (t *tree) blankPaths(path string) (all []string) {
	if t.isBlank() {
		return []string{path}
	}
	for _, k := range t.keys {
		all = append(all, t.children[k].blankPaths(strings.TrimPrefix(path+"."+k, "."))...)
	}
	return all
}
