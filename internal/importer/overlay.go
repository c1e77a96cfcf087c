package importer

import (
	"path"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"fordusher/internal/conf"
)

// An Overlay holds the settings that a HAProxy configuration does not contain: sections of a director's file, which
// are copied unchanged, and the placement of servers by name or pattern.
type Overlay struct {
	settings *tree // the sections to copy
	all      []*serverPlacement
	exact    map[string][]*serverPlacement // the placements whose pattern is a plain name
	globs    []*serverPlacement            // the placements whose pattern has wildcards
}

// A serverPlacement is the part of an overlay that applies to the servers that match one pattern.
type serverPlacement struct {
	order    int    // the position in the overlay; later entries override earlier ones
	pattern  string // a plain one equals NAME or BACKEND/NAME; one with wildcards matches BACKEND/NAME as in path.Match
	offset   int    // in the overlay file, for error messages
	cell     int    // the cell of the servers; below 0: not set
	cellFrom int    // the cell of the first server that matches; the following ones get the next cells; below 0: not set
	zone     string
	kind     string
	address  string
	matched  int // the number of servers that matched so far
}

// ReadOverlay reads an overlay. Mistakes in it are returned as conf.Problems.
func ReadOverlay(file string, text []byte) (*Overlay, error) {
	parser, o := conf.Parse(file, text)
	if err := parser.Err(); err != nil {
		return nil, err
	}
	overlay := &Overlay{exact: map[string][]*serverPlacement{}}
	servers := o.Object("servers", false)
	for _, pattern := range servers.Names() {
		s := servers.Object(pattern, true)
		p := &serverPlacement{order: len(overlay.all), pattern: pattern, offset: servers.OffsetOf(pattern), cell: -1, cellFrom: -1}
		if _, err := path.Match(pattern, "a/b"); err != nil {
			parser.AddProblem(p.offset, "%q is no valid pattern", pattern)
		}
		if s.Has("cell") {
			p.cell = s.Int("cell", 0, 0, 1e6, false)
		}
		if s.Has("cell_from") {
			p.cellFrom = s.Int("cell_from", 0, 0, 1e6, false)
		}
		p.zone, p.kind, p.address = s.Text("zone", "", false), s.Text("kind", "", false), s.Text("address", "", false)
		if p.cell >= 0 && p.cellFrom >= 0 {
			parser.AddProblem(p.offset, "cell and cell_from are both set; remove one of them")
		}
		s.ReportUnknownKeys()
		overlay.all = append(overlay.all, p)
		if strings.ContainsAny(pattern, `*?[\`) {
			overlay.globs = append(overlay.globs, p)
		} else {
			overlay.exact[pattern] = append(overlay.exact[pattern], p)
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
	if err := parser.Err(); err != nil {
		return nil, err
	}
	parsed, err := hujson.Parse(text)
	if err != nil {
		return nil, err // not expected: conf.Parse accepts the same text
	}
	overlay.settings = fromJSON(parsed)
	overlay.settings.keys = slices.DeleteFunc(overlay.settings.keys, func(k string) bool { return k == "servers" })
	delete(overlay.settings.children, "servers")
	return overlay, nil
}

// placementOf returns the placement of a server. For each key, the last matching entry that sets it applies.
func (o *Overlay) placementOf(backend, name string) (p serverPlacement) {
	p = serverPlacement{cell: -1, cellFrom: -1}
	if o == nil {
		return p
	}
	matching := slices.Concat(o.exact[backend+"/"+name], o.exact[name])
	for _, s := range o.globs {
		if ok, _ := path.Match(s.pattern, backend+"/"+name); ok {
			matching = append(matching, s)
		}
	}
	slices.SortFunc(matching, func(a, b *serverPlacement) int { return a.order - b.order })
	for _, s := range matching {
		switch {
		case s.cell >= 0:
			p.cell = s.cell
		case s.cellFrom >= 0:
			p.cell = s.cellFrom + s.matched
		}
		s.matched++
		for _, field := range []struct{ to, from *string }{{&p.zone, &s.zone}, {&p.kind, &s.kind}, {&p.address, &s.address}} {
			if *field.from != "" {
				*field.to = *field.from
			}
		}
	}
	return p
}
