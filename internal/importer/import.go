package importer

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"fordusher/internal/haproxy"
	"fordusher/internal/wire"
)

// A Node is a server that became a node.
type Node struct {
	wire.NodeEntry
	HasCell bool // somebody said in which cell it stands
	server  *haproxy.Server
}

// Result is what an import came to.
type Result struct {
	Files       *haproxy.Config
	Nodes       []*Node
	Suggestions []string
	Warnings    []string
	tree        *tree
}

// A importState is an import under way.
type importState struct {
	files       *haproxy.Config
	overlay     *Overlay
	proxies     []*haproxy.Proxy
	enabled     []*haproxy.Proxy // not disabled
	withServers []*haproxy.Proxy // of these, those with servers
	withClients []*haproxy.Proxy // of these, those with clients
	nodes       []*Node
	maxSessions map[string]int // kinds of machines; 0: not known
	kinds       []string
	result      *Result
	settings    *tree

	handled         []handledServer // whose words are still to be accounted for
	slowstartReason string          // why slowstart is not carried over
}

type handledServer struct {
	server   *haproxy.Server
	reported string // a word that is accounted for
}

// Import carries over what has the same meaning here, and accounts for every line.
func Import(files *haproxy.Config, overlay *Overlay) (*Result, error) {
	proxies, err := files.Proxies()
	if err != nil {
		return nil, err
	}
	w := &importState{files: files, overlay: overlay, proxies: proxies, maxSessions: map[string]int{}, settings: newObject(), result: &Result{Files: files}}
	for _, l := range files.Lines {
		if len(l.UnsetVariables) > 0 && !l.HasOutcome() {
			l.MarkSkipped("", "variables without a value: "+strings.Join(l.UnsetVariables, ", "), "pass --env NAME=VALUE, or give a default: ${NAME-default}")
		}
	}
	for _, p := range proxies {
		if p.Disabled {
			w.ignoreDisabled(p)
			continue
		}
		w.enabled = append(w.enabled, p)
		if p.Kind != "backend" {
			w.withClients = append(w.withClients, p)
		}
		if p.ServesClients() && len(p.Servers) > 0 {
			w.withServers = append(w.withServers, p)
		}
	}
	w.importServers()
	w.importSharedSettings()
	w.importListeners()
	w.reportRemaining()
	w.addSuggestions()
	w.result.Nodes = w.nodes
	w.result.tree = w.buildConfig()
	return w.result, nil
}

// ignoreDisabled accounts for a disabled proxy.
func (w *importState) ignoreDisabled(p *haproxy.Proxy) {
	for _, l := range append([]*haproxy.Line{p.Head}, p.Lines...) {
		if !l.HasOutcome() {
			l.MarkIgnored("the proxy is disabled: HAProxy leaves it out")
		}
	}
}

// importServers makes nodes of servers.
func (w *importState) importServers() {
	names := map[string]int{}
	for _, p := range w.withServers {
		for _, s := range p.Servers {
			if !s.Template {
				names[s.Name]++
			}
		}
	}
	byAddress := map[string]*Node{}
	byName := map[string]bool{}
	for _, p := range w.withServers {
		drained, all := 0, 0
		const manyNodes = 8 // of one line: then they are named by their first and last
		for _, s := range p.Servers {
			if s.Line.HasOutcome() {
				continue
			}
			entries, ok := w.nodesOf(p, s, names)
			if !ok {
				continue
			}
			for _, n := range entries {
				all++
				if n.State == wire.Draining {
					drained++
				}
				if byName[n.Node] {
					s.Line.MarkSkipped("server "+n.Node, "a node of this name is there already", "rename one of the two")
					continue
				}
				if first := byAddress[n.Address]; first != nil {
					w.reportDuplicate(s, n, first)
					continue
				}
				byName[n.Node] = true
				if len(entries) <= manyNodes {
					n.server.Line.MarkCarried("server", "nodes."+n.Node)
				}
				byAddress[n.Address] = n
				w.nodes = append(w.nodes, n)
			}
			if n := len(entries); n > manyNodes {
				s.Line.MarkCarried(fmt.Sprintf("%d servers", n), "nodes."+entries[0].Node+" to "+entries[n-1].Node)
			}
		}
		if all > 0 && drained == all {
			w.result.Warnings = append(w.result.Warnings, fmt.Sprintf("%s: all servers of %s have weight 0: a title that lies on them alone has no holder that takes sessions",
				p.Head.Position, p.Name))
		}
	}
	for _, p := range w.proxies {
		if p.Disabled || slices.Contains(w.withServers, p) {
			continue
		}
		for _, s := range p.Servers {
			if !s.Line.HasOutcome() {
				s.Line.MarkSkipped("", "servers of a proxy in mode log or spop take no sessions", "")
			}
		}
	}
}

// reportDuplicate is a server whose address a node has already.
func (w *importState) reportDuplicate(s *haproxy.Server, n, first *Node) {
	if n.State == first.State && n.Weight == first.Weight && n.MachineKind == first.MachineKind {
		s.Line.MarkCarried("server "+n.Node, "nodes."+first.Node+" (the same address)")
		return
	}
	s.Line.MarkSkipped("server "+n.Node, fmt.Sprintf("its address is that of node %s (%s), which has another weight, state or number of places: one node can't have both", first.Node,
		first.server.Line.Position), "make the two lines agree, or set the node by hand")
}

// nodesOf are the nodes of a server's line, one for each number of a template; ok is false where it makes
// none, which is noted.
func (w *importState) nodesOf(p *haproxy.Proxy, s *haproxy.Server, names map[string]int) (all []*Node, ok bool) {
	l := s.Line
	if o, is := s.Options["backup"]; is {
		row := lookupKeyword("server", "backup")
		l.MarkSkipped(o.Name, row.Reason, row.Advice)
		return nil, false
	}
	if _, is := s.Options["disabled"]; is {
		l.MarkCarried("disabled", "nodes (left out)")
		w.handled = append(w.handled, handledServer{s, "disabled"})
		return nil, false
	}
	weight, _, given, err := s.Int("weight", 0, 256)
	if err != nil {
		l.MarkSkipped("weight", "HAProxy refuses it: "+err.Error(), "")
		return nil, false
	}
	state := wire.Up
	switch {
	case !given:
		weight = 1
	case weight == 0:
		state, weight = wire.Draining, 1
	}
	most, _, given, err := s.Int("maxconn", 0, 1<<30)
	if err != nil {
		l.MarkSkipped("maxconn", "HAProxy refuses it: "+err.Error(), "")
		return nil, false
	}
	kind := "unlimited"
	if given && most > 0 {
		kind = "places-" + strconv.Itoa(most)
	}
	one := func(name string, place serverPlacement) bool {
		at := s.Address
		if !utf8.ValidString(name + s.AddressText + place.address) {
			// What is no text has no place in the result, where different bytes would read the same.
			l.MarkSkipped("server", "its name or address has bytes that are no UTF-8", "rename it")
			return false
		}
		if place.address != "" {
			host, port, err := net.SplitHostPort(place.address)
			n, bad := strconv.Atoi(port)
			if err != nil || bad != nil {
				l.MarkSkipped("server "+name, fmt.Sprintf("the address in --with, %q, is no host:port", place.address), "")
				return false
			}
			at = haproxy.Address{Host: host, FirstPort: n, LastPort: n}
		}
		switch {
		case at.Kind != "":
			l.MarkSkipped("server "+name, fmt.Sprintf("%s: %s", s.AddressText, at.Kind), "give the address that players reach with --with")
			return false
		case at.FirstPort != at.LastPort:
			l.MarkSkipped("server "+name, s.AddressText+": a range of ports is no address of a server", "")
			return false
		case at.Host == "" || at.Host == "*" || at.Host == "0.0.0.0" || at.Host == "::":
			l.MarkSkipped("server "+name, s.AddressText+": the address to which the client came is used", "give the address that players reach with --with")
			return false
		}
		n := &Node{server: s, NodeEntry: wire.NodeEntry{Node: name, Address: net.JoinHostPort(at.Host, strconv.Itoa(at.FirstPort)), State: state, MachineKind: kind,
			Weight: float64(weight), Zone: place.zone}}
		if place.kind != "" {
			n.MachineKind = place.kind
		}
		if place.cell >= 0 {
			n.Cell, n.HasCell = place.cell, true
		}
		if _, known := w.maxSessions[n.MachineKind]; !known {
			w.maxSessions[n.MachineKind] = 0
			w.kinds = append(w.kinds, n.MachineKind)
		}
		if n.MachineKind == kind {
			w.maxSessions[kind] = most
		}
		all = append(all, n)
		return true
	}
	name := s.Name
	if names[s.Name] > 1 && !s.Template {
		name = p.Name + "." + s.Name
	}
	if !s.Template {
		if !one(name, w.overlay.placementOf(p.Name, s.Name)) {
			return nil, false
		}
	} else {
		made := 0
		for i := s.FirstNumber; i <= s.LastNumber; i++ {
			number := s.Name + strconv.Itoa(i)
			place := w.overlay.placementOf(p.Name, number)
			if place.address == "" {
				continue
			}
			if one(number, place) {
				made++
			}
		}
		if blank := s.LastNumber - s.FirstNumber + 1 - made; blank > 0 {
			row := lookupKeyword("proxy", "server-template")
			l.MarkSkipped(fmt.Sprintf("%d of %d", blank, s.LastNumber-s.FirstNumber+1), row.Reason, row.Advice)
		}
		if made == 0 {
			return nil, false
		}
	}
	w.handled = append(w.handled, handledServer{s, ""})
	return all, true
}

// reportOptions accounts for the keywords on the lines of the servers that became nodes, or are left out.
func (w *importState) reportOptions() {
	for _, u := range w.handled {
		for _, o := range u.server.OwnOptions {
			if o.Name != u.reported {
				w.reportOption(u.server.Line, o)
			}
		}
	}
}

func (w *importState) reportOption(l *haproxy.Line, o haproxy.Option) {
	row := lookupKeyword("server", o.Name)
	switch {
	case row.ConfigKey == "":
		l.MarkSkipped(o.String(), row.Reason, row.Advice)
	case o.Name == "weight" && o.Arg() == "0":
		l.MarkCarried(o.String(), "nodes.NAME.state (draining: sessions there go on, no new ones)")
	case o.Name == "slowstart" && w.slowstartReason != "":
		l.MarkSkipped(o.String(), w.slowstartReason, row.Advice)
	default:
		l.MarkCarried(o.String(), row.ConfigKey)
	}
}

// importSharedSettings carries over what the director has one value of, where all that it is about agree.
func (w *importState) importSharedSettings() {
	if d, ok := w.sharedDuration(w.withServers, "timeout connect", "manners.connect"); ok {
		w.settings.set(newLeaf(d.String()), "manners", "connect")
	}
	if d, ok := w.sharedDuration(w.withClients, "timeout http-request", "limits.players.handshake"); ok {
		w.settings.set(newLeaf(d.String()), "limits", "players", "handshake")
	}
	w.importRetries()
	w.importSlowstart()
	w.reportOptions()
}

// sharedDuration looks at a time that proxies have; it says false where they have none or do not agree, which is noted
// on every line that sets it.
func (w *importState) sharedDuration(proxies []*haproxy.Proxy, keyword, key string) (time.Duration, bool) {
	row := lookupKeyword("proxy", keyword)
	var lines []*haproxy.Line
	var first time.Duration
	why := ""
	for i, p := range proxies {
		x := p.Settings[keyword]
		if x == nil || x.Negated {
			if why == "" {
				why = p.Kind + " " + p.Name + " has none"
			}
			continue
		}
		if !slices.Contains(lines, x.Line) {
			lines = append(lines, x.Line)
		}
		d, err := x.Duration()
		switch {
		case err != nil:
			why = err.Error()
		case d == 0:
			why = "0 stands for no limit, which the director does not have"
		case i > 0 && first != 0 && d != first:
			why = fmt.Sprintf("%v here and %v there: the director has one", first, d)
		case first == 0:
			first = d
		}
	}
	for _, l := range lines {
		if l.HasOutcome() {
			continue
		}
		if why != "" {
			l.MarkSkipped("", why, row.Advice)
		} else {
			l.MarkCarried("", key)
		}
	}
	return first, why == "" && first > 0
}

// importRetries carries over how often a connection that fails is tried again. Connections that were never made
// ran nowhere, so the rule on paid set-ups has nothing against it; all else that retry-on names may have run.
func (w *importState) importRetries() {
	var lines []*haproxy.Line
	most, why := -1, ""
	for _, p := range w.withServers {
		n := 3
		if x := p.Settings["retries"]; x != nil {
			if !slices.Contains(lines, x.Line) {
				lines = append(lines, x.Line)
			}
			var err error
			if n, err = x.Int(0, 1000); err != nil {
				why = err.Error()
			}
		}
		if x := p.Settings["option redispatch"]; x == nil || x.Negated {
			if why == "" && n > 0 {
				why = fmt.Sprintf("%s %s tries the same server again (no option redispatch): the director never does", p.Kind, p.Name)
			}
		} else if !slices.Contains(lines, x.Line) {
			lines = append(lines, x.Line)
		}
		if x := p.Settings["retry-on"]; x != nil {
			if bad := slices.DeleteFunc(slices.Clone(x.Args), func(a string) bool { return a == "none" || a == "conn-failure" }); len(bad) > 0 {
				if !x.Line.HasOutcome() {
					x.Line.MarkSkipped(strings.Join(bad, " "), reasonAtMostOnce, "viewers of free tariffs get further legs anyway (legs.most)")
				}
			} else if !slices.Contains(lines, x.Line) {
				lines = append(lines, x.Line)
			}
			if slices.Contains(x.Args, "none") {
				n = 0
			}
		}
		switch {
		case most < 0:
			most = n
		case n != most && why == "":
			why = fmt.Sprintf("%d retries here and %d there: the director has one number", most, n)
		}
	}
	if why == "" && most > 15 {
		why = fmt.Sprintf("%d retries: the director has 16 legs at the most", most)
	}
	for _, l := range lines {
		if l.HasOutcome() {
			continue
		}
		if why != "" {
			l.MarkSkipped("", why, lookupKeyword("proxy", "retries").Advice)
		} else {
			l.MarkCarried("", "legs.most")
		}
	}
	if why == "" && len(lines) > 0 {
		w.settings.set(newLeaf(most+1), "legs", "most")
	}
}

// importSlowstart carries over a warm-up where all nodes agree on it.
func (w *importState) importSlowstart() {
	var first time.Duration
	why := ""
	for i, n := range w.nodes {
		d, _, ok, err := n.server.Duration("slowstart")
		switch {
		case err != nil:
			why = err.Error()
		case !ok && i > 0 && first > 0, ok && i > 0 && first == 0 && d > 0:
			why = "not all nodes have it"
		case i == 0:
			first = d
		case d != first:
			why = fmt.Sprintf("%v here and %v there: the director has one warm-up", first, d)
		}
	}
	if w.slowstartReason = why; why == "" && first == 0 {
		w.slowstartReason = "0 stands for none, which leaves ramp.warmup to you"
	}
	if why == "" && first > 0 {
		w.settings.set(newLeaf(first.String()), "ramp", "warmup")
	}
}

// importListeners carries over where players connect, and how many may.
func (w *importState) importListeners() {
	var binds []*haproxy.Line
	for _, p := range w.withClients {
		for _, l := range p.Lines {
			if haproxy.Keyword(l) == "bind" && !l.HasOutcome() {
				binds = append(binds, l)
			}
		}
	}
	row := lookupKeyword("proxy", "bind")
	for _, l := range binds {
		address, why := parseBind(l)
		if why == "" && len(binds) > 1 {
			why = fmt.Sprintf("there are %d addresses, and a director has one", len(binds))
		}
		if why != "" {
			l.MarkSkipped("", why, row.Advice)
			continue
		}
		l.MarkCarried("", row.ConfigKey)
		w.settings.set(newLeaf(address), "listen")
	}
	most := 0
	for _, s := range w.files.Sections {
		for _, l := range s.Lines {
			if s.Kind != "global" || l.WordAt(0) != "maxconn" || l.HasOutcome() {
				continue
			}
			n, err := strconv.Atoi(l.WordAt(1))
			if err != nil || n <= 0 {
				l.MarkSkipped("", "no number of connections", "")
				continue
			}
			most = n
			l.MarkCarried("", "limits.connections")
		}
	}
	row = lookupKeyword("proxy", "maxconn")
	for _, p := range w.withClients {
		x := p.Settings["maxconn"]
		if x == nil || x.Line.HasOutcome() {
			continue
		}
		n, err := x.Int(1, 1<<30)
		switch {
		case err != nil:
			x.Line.MarkSkipped("", err.Error(), row.Advice)
		case len(w.withClients) > 1:
			x.Line.MarkSkipped("", fmt.Sprintf("a bound of one of %d frontends; the director has one bound", len(w.withClients)), row.Advice)
		case most > 0 && n > most:
			x.Line.MarkIgnored("the process takes fewer")
		default:
			most = n
			x.Line.MarkCarried("", row.ConfigKey)
		}
	}
	if most > 0 {
		w.settings.set(newLeaf(min(most, 10_000_000)), "limits", "connections")
	}
}

// parseBind reads a bind line; why tells what keeps it from being carried over.
func parseBind(l *haproxy.Line) (address, why string) {
	if len(l.Words) < 2 {
		return "", "HAProxy refuses a bind without an address"
	}
	if strings.ContainsRune(l.WordAt(1), ',') {
		return "", "several addresses on one line, and a director has one"
	}
	a, err := haproxy.ParseAddress(l.WordAt(1))
	switch {
	case err != nil:
		return "", err.Error()
	case a.Kind != "":
		return "", l.WordAt(1) + ": " + a.Kind
	case a.FirstPort != a.LastPort:
		return "", "a range of ports, and a director has one"
	}
	for i := 2; i < len(l.Words); i++ {
		switch word := l.WordAt(i); word {
		case "name", "maxconn", "backlog", "id", "nice", "process", "thread", "shards", "user", "group", "mode", "level":
			i++ // how HAProxy treats the listener; who connects sees nothing of it
		case "transparent", "defer-accept", "tfo", "v4v6", "v6only":
		default:
			return "", fmt.Sprintf("%q: players would meet another door than now (encryption, another protocol)", word)
		}
	}
	if a.Host == "*" {
		a.Host = ""
	}
	return net.JoinHostPort(a.Host, strconv.Itoa(a.FirstPort)), ""
}

// reportRemaining accounts for every line that nothing was noted of yet.
func (w *importState) reportRemaining() {
	inForce := map[*haproxy.Line]bool{}
	for _, p := range w.enabled {
		for _, x := range p.Settings {
			inForce[x.Line] = true
		}
	}
	for _, s := range w.files.Sections {
		head := s.Head
		where := "section"
		switch s.Kind {
		case "global":
			where = "global"
		case "defaults", "frontend", "backend", "listen":
			where = "proxy"
		}
		if where == "section" {
			row := lookupKeyword("section", s.Kind)
			head.MarkSkipped("", row.Reason, row.Advice)
			for _, l := range s.Lines {
				if !l.HasOutcome() {
					l.MarkSkipped("", row.Reason, row.Advice)
				}
			}
			continue
		}
		if !head.HasOutcome() {
			head.MarkIgnored("begins a section")
		}
		for _, l := range s.Lines {
			if l.HasOutcome() {
				continue
			}
			name := haproxy.Keyword(l)
			row := lookupKeyword(where, name)
			switch {
			case name == "default-server":
				w.reportDefaultServer(l)
			case name == "disabled" || name == "enabled":
				l.MarkIgnored("the proxy is not disabled by it in the end")
			case row.ConfigKey != "" && !inForce[l]:
				l.MarkIgnored("no proxy that is left has it in force")
			case row.ConfigKey != "":
				l.MarkSkipped("", "not where it has this meaning: "+row.Reason, row.Advice)
			default:
				l.MarkSkipped("", row.Reason, row.Advice)
			}
		}
	}
	for _, l := range w.files.Lines { // what is left is a fault of the importer, and is told as such
		if !l.HasOutcome() {
			l.MarkSkipped("", unknownKeyword.Reason, unknownKeyword.Advice)
		}
	}
}

// reportDefaultServer accounts for a default-server's line: as on a server's own.
func (w *importState) reportDefaultServer(l *haproxy.Line) {
	for _, p := range w.withServers {
		for _, s := range p.Servers {
			for _, o := range s.Options {
				if o.Line != l {
					continue
				}
				for _, all := range haproxy.DefaultServerOptions(l) {
					w.reportOption(l, all)
				}
				return
			}
		}
	}
	l.MarkIgnored("no server that is left has any of it in force")
}

// addSuggestions looks for what may be titles or tariffs; nothing of it is applied.
func (w *importState) addSuggestions() {
	say := func(format string, args ...any) {
		w.result.Suggestions = append(w.result.Suggestions, fmt.Sprintf(format, args...))
	}
	if len(w.withServers) > 1 {
		for _, p := range w.withServers {
			say("%s: %s %s has %d servers: if its viewers want titles of their own, give them cells in a row and the titles base and copies there",
				p.Head.Position, p.Kind, p.Name, len(p.Servers))
		}
	}
	for _, p := range w.enabled {
		for _, l := range p.Lines {
			switch haproxy.Keyword(l) {
			case "use_backend":
				say("%s: %q sends some viewers to %s: a tariff, or a group of titles", l.Position, l.JoinFrom(2), l.WordAt(1))
			case "cookie":
				say("%s: viewers are kept on a server by a cookie: a player that passes its key finds its session again", l.Position)
			}
		}
	}
}

// buildConfig puts the result together.
func (w *importState) buildConfig() *tree {
	t := newObject()
	t.set(newBlank("this director's name, unique among all"), "director", "name")
	t.set(newBlank("its number, from 0"), "director", "me")
	t.set(newBlank("how many directors there are"), "director", "directors")
	t.set(newBlank("address for players, host:port"), "listen")
	t.set(newBlank("{\"NAME\": {\"goal_time\": \"800ms\", \"hard_stop\": \"3s\"}}: HAProxy does not know them"), "tariffs")
	t.set(newBlank("{\"rates\": [...]}: the rungs of your titles"), "ladder")
	t.set(newBlank("cells of the placement"), "fleet", "cells")
	t.set(newBlank("racks; a cell's rack is cell modulo racks"), "fleet", "racks")
	t.set(newBlank("link of a node for each unit of weight"), "fleet", "link_unit")
	t.set(newBlank("mean uplink of a rack"), "fleet", "uplink")
	for _, k := range w.kinds {
		if n := w.maxSessions[k]; n > 0 {
			t.set(newLeaf(n), "fleet", "machines", k)
		} else {
			t.set(newBlank("sessions that it runs at most"), "fleet", "machines", k)
		}
	}
	t.set(newBlank("time until a node that has just started is warm"), "ramp", "warmup")
	t.set(newBlank("its least warmth"), "ramp", "cold_from")
	t.set(newBlank("the multiple of its pace that pushes it over"), "ramp", "multiple")
	t.set(newBlank("within this time"), "ramp", "tip_after")
	t.set(newBlank("{\"TITLE\": {\"base\": 0, \"copies\": 3}}: the cells that hold it"), "titles")
	for _, k := range w.settings.keys { // what HAProxy says is no blank
		merge(t, w.settings.children[k], k)
	}
	if w.overlay != nil {
		for _, k := range w.overlay.settings.keys {
			merge(t, w.overlay.settings.children[k], k)
		}
	}
	nodes := newObject()
	for _, n := range w.nodes {
		e := newObject()
		e.set(newLeaf(n.Address), "address")
		e.set(newLeaf(n.State), "state")
		e.set(newLeaf(n.MachineKind), "kind")
		e.set(newLeaf(n.Weight), "weight")
		if n.Zone != "" {
			e.set(newLeaf(n.Zone), "zone")
		}
		if n.HasCell {
			e.set(newLeaf(n.Cell), "cell")
		} else {
			e.set(&tree{leaf: nullLeaf}, "cell")
		}
		nodes.set(e, n.Node)
	}
	t.set(nodes, "nodes")
	return t
}

// merge puts a value over what is there, key by key.
func merge(t, v *tree, path ...string) {
	if v.children == nil {
		t.set(v, path...)
		return
	}
	if have := t.find(path...); have == nil || have.children == nil {
		t.set(newObject(), path...)
	}
	for _, k := range v.keys {
		merge(t, v.children[k], append(slices.Clone(path), k)...)
	}
}
