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

// A Node is a node that was imported from a HAProxy server.
type Node struct {
	wire.NodeEntry
	HasCell bool // the overlay or the previous configuration sets the cell
	server  *haproxy.Server
}

// Result is the result of an import.
type Result struct {
	Source      *haproxy.Config
	Nodes       []*Node
	Suggestions []string
	Warnings    []string
	tree        *tree
}

// An importState is the state of an import in progress.
type importState struct {
	files       *haproxy.Config
	overlay     *Overlay
	proxies     []*haproxy.Proxy
	enabled     []*haproxy.Proxy // the proxies that are not disabled
	withServers []*haproxy.Proxy // the enabled proxies whose servers serve clients
	withClients []*haproxy.Proxy // the enabled proxies to which clients connect: all but backends
	nodes       []*Node
	maxSessions map[string]int // the sessions that a machine of each kind can run; 0: unknown
	kinds       []string       // the kinds of machines, in the order in which they first occur
	result      *Result
	settings    *tree // the settings that were carried over, without the nodes

	handled         []handledServer // the servers whose options still have to be reported
	slowstartReason string          // why slowstart is not carried over; empty: it is
}

// A handledServer is a server that became one or more nodes, or that is disabled.
type handledServer struct {
	server   *haproxy.Server
	reported string // the option that is already reported; empty: none
}

// Import carries over the settings that have the same meaning for a director, and records an outcome for every line.
func Import(files *haproxy.Config, overlay *Overlay) (*Result, error) {
	proxies, err := files.Proxies()
	if err != nil {
		return nil, err
	}
	imp := &importState{files: files, overlay: overlay, proxies: proxies, maxSessions: map[string]int{}, settings: newObject(),
		result: &Result{Source: files}}
	for _, l := range files.Lines {
		if len(l.UnsetVariables) > 0 && !l.HasOutcome() {
			l.MarkSkipped("", "variables without a value: "+strings.Join(l.UnsetVariables, ", "),
				"pass --env NAME=VALUE, or write a default: ${NAME-default}")
		}
	}
	for _, p := range proxies {
		if p.Disabled {
			imp.ignoreDisabled(p)
			continue
		}
		imp.enabled = append(imp.enabled, p)
		if p.Kind != "backend" {
			imp.withClients = append(imp.withClients, p)
		}
		if p.ServesClients() && len(p.Servers) > 0 {
			imp.withServers = append(imp.withServers, p)
		}
	}
	imp.importServers()
	imp.importSharedSettings()
	imp.importListeners()
	imp.reportRemaining()
	imp.addSuggestions()
	imp.result.Nodes = imp.nodes
	imp.result.tree = imp.buildConfig()
	return imp.result, nil
}

// ignoreDisabled marks the lines of a disabled proxy as ignored.
func (imp *importState) ignoreDisabled(p *haproxy.Proxy) {
	for _, l := range append([]*haproxy.Line{p.Head}, p.Lines...) {
		if !l.HasOutcome() {
			l.MarkIgnored("the proxy is disabled, so HAProxy does not use it")
		}
	}
}

// importServers creates the nodes from the servers.
func (imp *importState) importServers() {
	nameCounts := map[string]int{}
	for _, p := range imp.withServers {
		for _, s := range p.Servers {
			if !s.Template {
				nameCounts[s.Name]++
			}
		}
	}
	byAddress := map[string]*Node{}
	byName := map[string]bool{}
	for _, p := range imp.withServers {
		draining, total := 0, 0
		const maxListedNodes = 8 // a line with more nodes is reported by the first and the last of them
		for _, s := range p.Servers {
			if s.Line.HasOutcome() {
				continue
			}
			entries, ok := imp.nodesOf(p, s, nameCounts)
			if !ok {
				continue
			}
			for _, n := range entries {
				total++
				if n.State == wire.Draining {
					draining++
				}
				if byName[n.Node] {
					s.Line.MarkSkipped("server "+n.Node, "another node already has this name", "rename one of the two")
					continue
				}
				if first := byAddress[n.Address]; first != nil {
					imp.reportDuplicate(s, n, first)
					continue
				}
				byName[n.Node] = true
				if len(entries) <= maxListedNodes {
					n.server.Line.MarkCarried("server", "nodes."+n.Node)
				}
				byAddress[n.Address] = n
				imp.nodes = append(imp.nodes, n)
			}
			if n := len(entries); n > maxListedNodes {
				s.Line.MarkCarried(fmt.Sprintf("%d servers", n), "nodes."+entries[0].Node+" to "+entries[n-1].Node)
			}
		}
		if total > 0 && draining == total {
			imp.result.Warnings = append(imp.result.Warnings,
				fmt.Sprintf("%s: all servers of %s have weight 0: a title that only they hold has no node that takes sessions",
					p.Head.Position, p.Name))
		}
	}
	for _, p := range imp.proxies {
		if p.Disabled || slices.Contains(imp.withServers, p) {
			continue
		}
		for _, s := range p.Servers {
			if !s.Line.HasOutcome() {
				s.Line.MarkSkipped("", "the servers of a proxy in mode log or spop take no sessions", "")
			}
		}
	}
}

// reportDuplicate records the outcome of a server whose address another node already has.
func (imp *importState) reportDuplicate(s *haproxy.Server, n, first *Node) {
	if n.State == first.State && n.Weight == first.Weight && n.MachineKind == first.MachineKind {
		s.Line.MarkCarried("server "+n.Node, "nodes."+first.Node+" (the same address)")
		return
	}
	s.Line.MarkSkipped("server "+n.Node,
		fmt.Sprintf("node %s (%s) has the same address, but another weight, state or capacity: one node can't have both",
			first.Node, first.server.Line.Position),
		"make the two lines agree, or configure the node by hand")
}

// nodesOf creates the nodes of a server line: one for a server, one for each number of a template. ok is false if
// the line creates none; the reason is recorded on the line.
func (imp *importState) nodesOf(p *haproxy.Proxy, s *haproxy.Server, nameCounts map[string]int) (nodes []*Node, ok bool) {
	l := s.Line
	if o, set := s.Options["backup"]; set {
		row := lookupKeyword("server", "backup")
		l.MarkSkipped(o.Name, row.Reason, row.Advice)
		return nil, false
	}
	if _, set := s.Options["disabled"]; set {
		l.MarkCarried("disabled", "nodes (left out)")
		imp.handled = append(imp.handled, handledServer{s, "disabled"})
		return nil, false
	}
	weight, _, given, err := s.Int("weight", 0, 256)
	if err != nil {
		l.MarkSkipped("weight", "HAProxy rejects it: "+err.Error(), "")
		return nil, false
	}
	state := wire.Up
	switch {
	case !given:
		weight = 1
	case weight == 0:
		state, weight = wire.Draining, 1
	}
	maxSessions, _, given, err := s.Int("maxconn", 0, 1<<30)
	if err != nil {
		l.MarkSkipped("maxconn", "HAProxy rejects it: "+err.Error(), "")
		return nil, false
	}
	kind := "unlimited"
	if given && maxSessions > 0 {
		kind = "places-" + strconv.Itoa(maxSessions)
	}
	addNode := func(name string, placement serverPlacement) bool { // appends a node to nodes
		address := s.Address
		if !utf8.ValidString(name + s.AddressText + placement.address) {
			// Invalid UTF-8 can't be written to the result: JSON encoding would make different names equal.
			l.MarkSkipped("server", "its name or address is not valid UTF-8", "rename it")
			return false
		}
		if placement.address != "" {
			host, port, err := net.SplitHostPort(placement.address)
			n, portErr := strconv.Atoi(port)
			if err != nil || portErr != nil {
				l.MarkSkipped("server "+name, fmt.Sprintf("the address in --with, %q, is not host:port", placement.address), "")
				return false
			}
			address = haproxy.Address{Host: host, FirstPort: n, LastPort: n}
		}
		switch {
		case address.Kind != "":
			l.MarkSkipped("server "+name, fmt.Sprintf("%s: %s", s.AddressText, address.Kind), "give the address that clients can reach with --with")
			return false
		case address.FirstPort != address.LastPort:
			l.MarkSkipped("server "+name, s.AddressText+": a server can't have a range of ports", "")
			return false
		case address.Host == "" || address.Host == "*" || address.Host == "0.0.0.0" || address.Host == "::":
			l.MarkSkipped("server "+name, s.AddressText+": HAProxy uses the address to which the client connected",
				"give the address that clients can reach with --with")
			return false
		}
		n := &Node{server: s, NodeEntry: wire.NodeEntry{Node: name,
			Address: net.JoinHostPort(address.Host, strconv.Itoa(address.FirstPort)), State: state, MachineKind: kind,
			Weight: float64(weight), Zone: placement.zone}}
		if placement.kind != "" {
			n.MachineKind = placement.kind
		}
		if placement.cell >= 0 {
			n.Cell, n.HasCell = placement.cell, true
		}
		if _, known := imp.maxSessions[n.MachineKind]; !known {
			imp.maxSessions[n.MachineKind] = 0
			imp.kinds = append(imp.kinds, n.MachineKind)
		}
		if n.MachineKind == kind {
			imp.maxSessions[kind] = maxSessions
		}
		nodes = append(nodes, n)
		return true
	}
	name := s.Name
	if nameCounts[s.Name] > 1 && !s.Template {
		name = p.Name + "." + s.Name
	}
	if !s.Template {
		if !addNode(name, imp.overlay.placementOf(p.Name, s.Name)) {
			return nil, false
		}
	} else {
		created := 0
		for i := s.FirstNumber; i <= s.LastNumber; i++ {
			number := s.Name + strconv.Itoa(i)
			placement := imp.overlay.placementOf(p.Name, number)
			if placement.address == "" {
				continue
			}
			if addNode(number, placement) {
				created++
			}
		}
		if missing := s.LastNumber - s.FirstNumber + 1 - created; missing > 0 {
			row := lookupKeyword("proxy", "server-template")
			l.MarkSkipped(fmt.Sprintf("%d of %d", missing, s.LastNumber-s.FirstNumber+1), row.Reason, row.Advice)
		}
		if created == 0 {
			return nil, false
		}
	}
	imp.handled = append(imp.handled, handledServer{s, ""})
	return nodes, true
}

// reportOptions records the outcome of each option on the lines of the handled servers.
func (imp *importState) reportOptions() {
	for _, handled := range imp.handled {
		for _, o := range handled.server.OwnOptions {
			if o.Name != handled.reported {
				imp.reportOption(handled.server.Line, o)
			}
		}
	}
}

// reportOption records the outcome of one option of a server.
func (imp *importState) reportOption(l *haproxy.Line, o haproxy.Option) {
	row := lookupKeyword("server", o.Name)
	switch {
	case row.ConfigKey == "":
		l.MarkSkipped(o.String(), row.Reason, row.Advice)
	case o.Name == "weight" && o.Arg() == "0":
		l.MarkCarried(o.String(), "nodes.NAME.state (draining: existing sessions continue, the node takes no new ones)")
	case o.Name == "slowstart" && imp.slowstartReason != "":
		l.MarkSkipped(o.String(), imp.slowstartReason, row.Advice)
	default:
		l.MarkCarried(o.String(), row.ConfigKey)
	}
}

// importSharedSettings carries over the settings that a director has only once. Each is carried over only if all
// proxies or servers concerned have the same value.
func (imp *importState) importSharedSettings() {
	if d, ok := imp.sharedDuration(imp.withServers, "timeout connect", "manners.connect"); ok {
		imp.settings.set(newLeaf(d.String()), "manners", "connect")
	}
	if d, ok := imp.sharedDuration(imp.withClients, "timeout http-request", "limits.players.handshake"); ok {
		imp.settings.set(newLeaf(d.String()), "limits", "players", "handshake")
	}
	imp.importRetries()
	imp.importSlowstart()
	imp.reportOptions()
}

// sharedDuration returns the duration that all the proxies have for a keyword, and false if they have none or
// different ones. It records the outcome on every line that sets the keyword.
func (imp *importState) sharedDuration(proxies []*haproxy.Proxy, keyword, key string) (time.Duration, bool) {
	row := lookupKeyword("proxy", keyword)
	var lines []*haproxy.Line
	var first time.Duration
	reason := ""
	for i, p := range proxies {
		setting := p.Settings[keyword]
		if setting == nil || setting.Negated {
			if reason == "" {
				reason = p.Kind + " " + p.Name + " has none"
			}
			continue
		}
		if !slices.Contains(lines, setting.Line) {
			lines = append(lines, setting.Line)
		}
		d, err := setting.Duration()
		switch {
		case err != nil:
			reason = err.Error()
		case d == 0:
			reason = "0 stands for no limit, but the director always has one"
		case i > 0 && first != 0 && d != first:
			reason = fmt.Sprintf("the proxies have different values, %v and %v, but the director has a single one", first, d)
		case first == 0:
			first = d
		}
	}
	for _, l := range lines {
		if l.HasOutcome() {
			continue
		}
		if reason != "" {
			l.MarkSkipped("", reason, row.Advice)
		} else {
			l.MarkCarried("", key)
		}
	}
	return first, reason == "" && first > 0
}

// importRetries carries over the number of retries after a failed connection. A request whose connection was never
// established did not run anywhere, so rule 2 (paid set-ups) allows a retry. After the other failures that retry-on
// names, the request may have run.
func (imp *importState) importRetries() {
	var lines []*haproxy.Line
	retries, reason := -1, ""
	for _, p := range imp.withServers {
		n := 3
		if setting := p.Settings["retries"]; setting != nil {
			if !slices.Contains(lines, setting.Line) {
				lines = append(lines, setting.Line)
			}
			var err error
			if n, err = setting.Int(0, 1000); err != nil {
				reason = err.Error()
			}
		}
		if setting := p.Settings["option redispatch"]; setting == nil || setting.Negated {
			if reason == "" && n > 0 {
				reason = fmt.Sprintf("%s %s retries on the same server (no option redispatch), which the director never does", p.Kind, p.Name)
			}
		} else if !slices.Contains(lines, setting.Line) {
			lines = append(lines, setting.Line)
		}
		if setting := p.Settings["retry-on"]; setting != nil {
			if unsafe := slices.DeleteFunc(slices.Clone(setting.Args), func(a string) bool { return a == "none" || a == "conn-failure" }); len(unsafe) > 0 {
				if !setting.Line.HasOutcome() {
					setting.Line.MarkSkipped(strings.Join(unsafe, " "), reasonAtMostOnce,
						"clients of tariffs that are not paid get further legs anyway (legs.most)")
				}
			} else if !slices.Contains(lines, setting.Line) {
				lines = append(lines, setting.Line)
			}
			if slices.Contains(setting.Args, "none") {
				n = 0
			}
		}
		switch {
		case retries < 0:
			retries = n
		case n != retries && reason == "":
			reason = fmt.Sprintf("the proxies have different numbers of retries, %d and %d, but the director has a single one", retries, n)
		}
	}
	if reason == "" && retries > 15 {
		reason = fmt.Sprintf("%d retries are too many: a session has at most 16 legs", retries)
	}
	for _, l := range lines {
		if l.HasOutcome() {
			continue
		}
		if reason != "" {
			l.MarkSkipped("", reason, lookupKeyword("proxy", "retries").Advice)
		} else {
			l.MarkCarried("", "legs.most")
		}
	}
	if reason == "" && len(lines) > 0 {
		imp.settings.set(newLeaf(retries+1), "legs", "most")
	}
}

// importSlowstart carries over the slow-start time if all nodes have the same.
func (imp *importState) importSlowstart() {
	var first time.Duration
	reason := ""
	for i, n := range imp.nodes {
		d, _, ok, err := n.server.Duration("slowstart")
		switch {
		case err != nil:
			reason = err.Error()
		case !ok && i > 0 && first > 0, ok && i > 0 && first == 0 && d > 0:
			reason = "not all nodes have slowstart"
		case i == 0:
			first = d
		case d != first:
			reason = fmt.Sprintf("the nodes have different values, %v and %v, but the director has a single one", first, d)
		}
	}
	if imp.slowstartReason = reason; reason == "" && first == 0 {
		imp.slowstartReason = "0 stands for no slow start, so ramp.warmup has no value to carry over"
	}
	if reason == "" && first > 0 {
		imp.settings.set(newLeaf(first.String()), "ramp", "warmup")
	}
}

// importListeners carries over the address for clients and the limit of their connections.
func (imp *importState) importListeners() {
	var binds []*haproxy.Line
	for _, p := range imp.withClients {
		for _, l := range p.Lines {
			if haproxy.Keyword(l) == "bind" && !l.HasOutcome() {
				binds = append(binds, l)
			}
		}
	}
	row := lookupKeyword("proxy", "bind")
	for _, l := range binds {
		address, reason := parseBind(l)
		if reason == "" && len(binds) > 1 {
			reason = fmt.Sprintf("there are %d addresses, but a director has one", len(binds))
		}
		if reason != "" {
			l.MarkSkipped("", reason, row.Advice)
			continue
		}
		l.MarkCarried("", row.ConfigKey)
		imp.settings.set(newLeaf(address), "listen")
	}
	maxConnections := 0
	for _, s := range imp.files.Sections {
		for _, l := range s.Lines {
			if s.Kind != "global" || l.WordAt(0) != "maxconn" || l.HasOutcome() {
				continue
			}
			n, err := strconv.Atoi(l.WordAt(1))
			if err != nil || n <= 0 {
				l.MarkSkipped("", "maxconn needs a number of connections above 0", "")
				continue
			}
			maxConnections = n
			l.MarkCarried("", "limits.connections")
		}
	}
	row = lookupKeyword("proxy", "maxconn")
	for _, p := range imp.withClients {
		setting := p.Settings["maxconn"]
		if setting == nil || setting.Line.HasOutcome() {
			continue
		}
		n, err := setting.Int(1, 1<<30)
		switch {
		case err != nil:
			setting.Line.MarkSkipped("", err.Error(), row.Advice)
		case len(imp.withClients) > 1:
			setting.Line.MarkSkipped("", fmt.Sprintf("the limit of one of %d frontends, but the director has one limit for all clients",
				len(imp.withClients)), row.Advice)
		case maxConnections > 0 && n > maxConnections:
			setting.Line.MarkIgnored("the process allows fewer: the global maxconn is lower")
		default:
			maxConnections = n
			setting.Line.MarkCarried("", row.ConfigKey)
		}
	}
	if maxConnections > 0 {
		imp.settings.set(newLeaf(min(maxConnections, 10_000_000)), "limits", "connections")
	}
}

// parseBind returns the address of a bind line, or the reason why the line can't be carried over.
func parseBind(l *haproxy.Line) (address, reason string) {
	if len(l.Words) < 2 {
		return "", "HAProxy rejects a bind without an address"
	}
	if strings.ContainsRune(l.WordAt(1), ',') {
		return "", "the line has several addresses, but a director has one"
	}
	a, err := haproxy.ParseAddress(l.WordAt(1))
	switch {
	case err != nil:
		return "", err.Error()
	case a.Kind != "":
		return "", l.WordAt(1) + ": " + a.Kind
	case a.FirstPort != a.LastPort:
		return "", "the line has a range of ports, but a director has one"
	}
	for i := 2; i < len(l.Words); i++ {
		switch word := l.WordAt(i); word {
		case "name", "maxconn", "backlog", "id", "nice", "process", "thread", "shards", "user", "group", "mode", "level":
			i++ // skip the argument; clients notice no difference from the option
		case "transparent", "defer-accept", "tfo", "v4v6", "v6only":
		default:
			return "", fmt.Sprintf("%q: the listener of the director would differ from this one for clients (encryption, another protocol)", word)
		}
	}
	if a.Host == "*" {
		a.Host = ""
	}
	return net.JoinHostPort(a.Host, strconv.Itoa(a.FirstPort)), ""
}

// reportRemaining records an outcome for every line that does not have one yet.
func (imp *importState) reportRemaining() {
	inForce := map[*haproxy.Line]bool{}
	for _, p := range imp.enabled {
		for _, setting := range p.Settings {
			inForce[setting.Line] = true
		}
	}
	for _, s := range imp.files.Sections {
		head := s.Head
		scope := "section"
		switch s.Kind {
		case "global":
			scope = "global"
		case "defaults", "frontend", "backend", "listen":
			scope = "proxy"
		}
		if scope == "section" {
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
			row := lookupKeyword(scope, name)
			switch {
			case name == "default-server":
				imp.reportDefaultServer(l)
			case name == "disabled" || name == "enabled":
				l.MarkIgnored("the proxy is enabled in the end")
			case row.ConfigKey != "" && !inForce[l]:
				l.MarkIgnored("no enabled proxy uses this setting")
			case row.ConfigKey != "":
				l.MarkSkipped("", "the setting does not have its usual meaning here: "+row.Reason, row.Advice)
			default:
				l.MarkSkipped("", row.Reason, row.Advice)
			}
		}
	}
	for _, l := range imp.files.Lines { // a line without an outcome is a defect of the importer; report it as unknown
		if !l.HasOutcome() {
			l.MarkSkipped("", unknownKeyword.Reason, unknownKeyword.Advice)
		}
	}
}

// reportDefaultServer records the outcome of a default-server line. Its options are reported like those of a server
// if any server uses one of them.
func (imp *importState) reportDefaultServer(l *haproxy.Line) {
	for _, p := range imp.withServers {
		for _, s := range p.Servers {
			for _, o := range s.Options {
				if o.Line != l {
					continue
				}
				for _, option := range haproxy.DefaultServerOptions(l) {
					imp.reportOption(l, option)
				}
				return
			}
		}
	}
	l.MarkIgnored("no enabled server uses any of its options")
}

// addSuggestions suggests which parts of the configuration may become titles or tariffs. No suggestion is applied.
func (imp *importState) addSuggestions() {
	add := func(format string, args ...any) {
		imp.result.Suggestions = append(imp.result.Suggestions, fmt.Sprintf(format, args...))
	}
	if len(imp.withServers) > 1 {
		for _, p := range imp.withServers {
			add("%s: %s %s has %d servers: if its clients use titles of their own, give the servers consecutive cells and set base and copies of the titles to these cells",
				p.Head.Position, p.Kind, p.Name, len(p.Servers))
		}
	}
	for _, p := range imp.enabled {
		for _, l := range p.Lines {
			switch haproxy.Keyword(l) {
			case "use_backend":
				add("%s: %q sends some clients to %s: they may need a tariff or a group of titles of their own", l.Position, l.JoinFrom(2), l.WordAt(1))
			case "cookie":
				add("%s: a cookie keeps clients on a server: a client of the director resumes its session by the session's key", l.Position)
			}
		}
	}
}

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
