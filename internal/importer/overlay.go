package importer

import (
	"path"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"fordusher/internal/conf"
)

// An Overlay is what HAProxy can't know: sections of a director's file, taken as they are, and for servers,
// by their name or a pattern, where they stand.
type Overlay struct {
	settings *tree
	all      []*serverPlacement
	exact    map[string][]*serverPlacement // by name, of those that are no pattern
	globs    []*serverPlacement
}

// A serverPlacement is what an overlay says of servers.
type serverPlacement struct {
	order    int
	pattern  string // of BACKEND/NAME, as path.Match has it
	offset   int
	cell     int // under 0: not said
	cellFrom int // the first of those that match has this one, the next the next; under 0: not said
	zone     string
	kind     string
	address  string
	matched  int
}

// ReadOverlay reads an overlay; what is wrong with it comes back as conf.Problems.
func ReadOverlay(file string, text []byte) (*Overlay, error) {
	r, o := conf.Parse(file, text)
	if err := r.Err(); err != nil {
		return nil, err
	}
	v := &Overlay{exact: map[string][]*serverPlacement{}}
	servers := o.Object("servers", false)
	for _, pattern := range servers.Names() {
		s := servers.Object(pattern, true)
		p := &serverPlacement{order: len(v.all), pattern: pattern, offset: servers.OffsetOf(pattern), cell: -1, cellFrom: -1}
		if _, err := path.Match(pattern, "a/b"); err != nil {
			r.AddProblem(p.offset, "%q is no pattern", pattern)
		}
		if s.Has("cell") {
			p.cell = s.Int("cell", 0, 0, 1e6, false)
		}
		if s.Has("cell_from") {
			p.cellFrom = s.Int("cell_from", 0, 0, 1e6, false)
		}
		p.zone, p.kind, p.address = s.Text("zone", "", false), s.Text("kind", "", false), s.Text("address", "", false)
		if p.cell >= 0 && p.cellFrom >= 0 {
			r.AddProblem(p.offset, "cell and cell_from: one of the two")
		}
		s.ReportUnknownKeys()
		v.all = append(v.all, p)
		if strings.ContainsAny(pattern, `*?[\`) {
			v.globs = append(v.globs, p)
		} else {
			v.exact[pattern] = append(v.exact[pattern], p)
		}
	}
	known := []string{"director", "listen", "metrics", "list", "ladder", "tariffs", "fleet", "ramp", "legs", "tidings", "manners", "reach",
		"closing", "limits", "titles"}
	for _, name := range o.Names() {
		if slices.Contains(known, name) {
			o.MarkKnown(name)
		}
	}
	o.ReportUnknownKeys()
	if err := r.Err(); err != nil {
		return nil, err
	}
	parsed, err := hujson.Parse(text)
	if err != nil {
		return nil, err // conf.Parse has read it already
	}
	v.settings = fromJSON(parsed)
	v.settings.keys = slices.DeleteFunc(v.settings.keys, func(k string) bool { return k == "servers" })
	delete(v.settings.children, "servers")
	return v, nil
}

// placementOf is what an overlay says of a server; the last pattern that matches wins, key by key.
func (v *Overlay) placementOf(backend, name string) (p serverPlacement) {
	p = serverPlacement{cell: -1, cellFrom: -1}
	if v == nil {
		return p
	}
	found := slices.Concat(v.exact[backend+"/"+name], v.exact[name])
	for _, s := range v.globs {
		if ok, _ := path.Match(s.pattern, backend+"/"+name); ok {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *serverPlacement) int { return a.order - b.order })
	for _, s := range found {
		switch {
		case s.cell >= 0:
			p.cell = s.cell
		case s.cellFrom >= 0:
			p.cell = s.cellFrom + s.matched
		}
		s.matched++
		for _, f := range []struct{ to, from *string }{{&p.zone, &s.zone}, {&p.kind, &s.kind}, {&p.address, &s.address}} {
			if *f.from != "" {
				*f.to = *f.from
			}
		}
	}
	return p
}
