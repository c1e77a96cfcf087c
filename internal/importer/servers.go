package importer

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"unicode/utf8"

	"fordusher/internal/haproxy"
	"fordusher/internal/wire"
)

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
