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
	keys    []string
	kids    map[string]*tree // nil: a leaf
	leaf    string
	comment string
}

const blank = "null"

func object() *tree { return &tree{kids: map[string]*tree{}} }

func value(x any) *tree {
	text, err := json.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("a value that is no JSON: %v", err)) // all values are text and finite numbers
	}
	return &tree{leaf: string(text)}
}

func missing(comment string) *tree { return &tree{leaf: blank, comment: comment} }

func (t *tree) blank() bool { return t.kids == nil && t.leaf == blank }

// set puts a value at a path.
func (t *tree) set(v *tree, path ...string) {
	for _, p := range path[:len(path)-1] {
		next := t.kids[p]
		if next == nil || next.kids == nil {
			if next == nil {
				t.keys = append(t.keys, p)
			}
			next = object()
			t.kids[p] = next
		}
		t = next
	}
	last := path[len(path)-1]
	if t.kids[last] == nil {
		t.keys = append(t.keys, last)
	}
	t.kids[last] = v
}

// at returns what a path leads to, nil where it leads nowhere.
func (t *tree) at(path ...string) *tree {
	for _, p := range path {
		if t == nil || t.kids == nil {
			return nil
		}
		t = t.kids[p]
	}
	return t
}

// fill takes from another tree what this one has no value for.
func (t *tree) fill(from *tree) {
	for _, k := range from.keys {
		have, other := t.kids[k], from.kids[k]
		switch {
		case have == nil:
			t.keys = append(t.keys, k)
			t.kids[k] = other
		case have.kids != nil && other.kids != nil:
			have.fill(other)
		case have.blank() && !other.blank():
			t.kids[k] = other
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
	t := object()
	for _, m := range o.Members {
		t.set(fromJSON(m.Value), m.Name.Value.(hujson.Literal).String())
	}
	return t
}

// write renders a tree; objects of leaves only stand on one line.
func (t *tree) write(b *strings.Builder, indent string) {
	if t.kids == nil {
		b.WriteString(t.leaf)
		return
	}
	flat := len(t.keys) > 0 && indent != ""
	for _, k := range t.keys {
		if c := t.kids[k]; c.kids != nil || c.comment != "" {
			flat = false
		}
	}
	if flat {
		b.WriteByte('{')
		for i, k := range t.keys {
			if i > 0 {
				b.WriteString(", ")
			}
			b.WriteString(value(k).leaf + ": " + t.kids[k].leaf)
		}
		b.WriteByte('}')
		return
	}
	b.WriteString("{\n")
	for _, k := range t.keys {
		c := t.kids[k]
		if c.comment != "" {
			fmt.Fprintf(b, "%s  // %s\n", indent, c.comment)
		}
		b.WriteString(indent + "  " + value(k).leaf + ": ")
		c.write(b, indent+"  ")
		b.WriteString(",\n")
	}
	b.WriteString(indent + "}")
}

// blanks are the paths of all that is to be filled in.
func (t *tree) blanks(path string) (all []string) {
	if t.blank() {
		return []string{path}
	}
	for _, k := range t.keys {
		all = append(all, t.kids[k].blanks(strings.TrimPrefix(path+"."+k, "."))...)
	}
	return all
}
