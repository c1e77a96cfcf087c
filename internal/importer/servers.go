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
	accepted := acceptedNodes{byAddress: map[string]*Node{}, byName: map[string]bool{}}
	for _, p := range imp.withServers {
		draining, total := 0, 0
		for _, s := range p.Servers {
			if s.Line.HasOutcome() {
				continue
			}
			nodes, ok := imp.nodesOf(p, s, nameCounts)
			if !ok {
				continue
			}
			for _, n := range nodes {
				total++
				if n.State == wire.Draining {
					draining++
				}
			}
			imp.acceptNodes(s, nodes, &accepted)
		}
		if total > 0 && draining == total {
			imp.result.Warnings = append(imp.result.Warnings,
				fmt.Sprintf("%s: all servers of %s have weight 0: a title that only they hold has no node that takes sessions",
					p.Head.Position, p.Name))
		}
	}
	imp.skipServersWithoutClients()
}

// acceptedNodes are the nodes that are part of the configuration, by what has to be unique among them.
type acceptedNodes struct {
	byAddress map[string]*Node
	byName    map[string]bool
}

// maxListedNodes is the largest number of nodes of one line of which each is reported; of more nodes, the first and
// the last are.
const maxListedNodes = 8

// acceptNodes adds the nodes of a server line to the configuration, but for those whose name or address is in use.
func (imp *importState) acceptNodes(s *haproxy.Server, nodes []*Node, accepted *acceptedNodes) {
	for _, n := range nodes {
		if accepted.byName[n.Node] {
			s.Line.MarkSkipped("server "+n.Node, "another node already has this name", "rename one of the two")
			continue
		}
		if first := accepted.byAddress[n.Address]; first != nil {
			imp.reportDuplicate(s, n, first)
			continue
		}
		accepted.byName[n.Node] = true
		if len(nodes) <= maxListedNodes {
			n.server.Line.MarkCarried("server", "nodes."+n.Node)
		}
		accepted.byAddress[n.Address] = n
		imp.nodes = append(imp.nodes, n)
	}
	if n := len(nodes); n > maxListedNodes {
		s.Line.MarkCarried(fmt.Sprintf("%d servers", n), "nodes."+nodes[0].Node+" to "+nodes[n-1].Node)
	}
}

// skipServersWithoutClients records the outcome of the servers of proxies that serve no clients.
func (imp *importState) skipServersWithoutClients() {
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
	if imp.leftOut(s) {
		return nil, false
	}
	settings, ok := readServerSettings(s)
	if !ok {
		return nil, false
	}
	if s.Template {
		nodes = imp.templateNodes(p, s, settings)
	} else {
		name := s.Name
		if nameCounts[s.Name] > 1 {
			name = p.Name + "." + s.Name
		}
		if n := imp.newNode(s, name, imp.overlay.placementOf(p.Name, s.Name), settings); n != nil {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return nil, false
	}
	imp.handled = append(imp.handled, handledServer{s, ""})
	return nodes, true
}

// leftOut reports whether a server is no node because it is a backup or disabled. It records the reason on the line.
func (imp *importState) leftOut(s *haproxy.Server) bool {
	if o, set := s.Options["backup"]; set {
		row := lookupKeyword("server", "backup")
		s.Line.MarkSkipped(o.Name, row.Reason, row.Advice)
		return true
	}
	if _, set := s.Options["disabled"]; set {
		s.Line.MarkCarried("disabled", "nodes (left out)")
		imp.handled = append(imp.handled, handledServer{s, "disabled"})
		return true
	}
	return false
}

// serverSettings are the settings that all nodes of a server line share.
type serverSettings struct {
	state       string
	weight      int
	kind        string
	maxSessions int // 0: unlimited
}

// readServerSettings reads the settings of a server line. ok is false if HAProxy rejects one; the reason is recorded on
// the line.
func readServerSettings(s *haproxy.Server) (settings serverSettings, ok bool) {
	weight, _, given, err := s.Int("weight", 0, 256)
	if err != nil {
		s.Line.MarkSkipped("weight", "HAProxy rejects it: "+err.Error(), "")
		return settings, false
	}
	settings = serverSettings{state: wire.Up, weight: weight, kind: "unlimited"}
	switch {
	case !given:
		settings.weight = 1
	case weight == 0:
		settings.state, settings.weight = wire.Draining, 1
	}
	maxSessions, _, given, err := s.Int("maxconn", 0, 1<<30)
	if err != nil {
		s.Line.MarkSkipped("maxconn", "HAProxy rejects it: "+err.Error(), "")
		return settings, false
	}
	if given && maxSessions > 0 {
		settings.kind = "places-" + strconv.Itoa(maxSessions)
	}
	settings.maxSessions = maxSessions
	return settings, true
}

// templateNodes creates the nodes of a template: one for each number whose address the overlay gives.
func (imp *importState) templateNodes(p *haproxy.Proxy, s *haproxy.Server, settings serverSettings) (nodes []*Node) {
	for i := s.FirstNumber; i <= s.LastNumber; i++ {
		name := s.Name + strconv.Itoa(i)
		placement := imp.overlay.placementOf(p.Name, name)
		if placement.address == "" {
			continue
		}
		if n := imp.newNode(s, name, placement, settings); n != nil {
			nodes = append(nodes, n)
		}
	}
	all := s.LastNumber - s.FirstNumber + 1
	if missing := all - len(nodes); missing > 0 {
		row := lookupKeyword("proxy", "server-template")
		s.Line.MarkSkipped(fmt.Sprintf("%d of %d", missing, all), row.Reason, row.Advice)
	}
	return nodes
}

// newNode creates a node of a server line. It returns nil if the node has no address that clients can reach; the reason
// is recorded on the line.
func (imp *importState) newNode(s *haproxy.Server, name string, placement serverPlacement, settings serverSettings) *Node {
	address, ok := nodeAddress(s, name, placement)
	if !ok {
		return nil
	}
	n := &Node{server: s, NodeEntry: wire.NodeEntry{Node: name, Address: address, State: settings.state,
		MachineKind: settings.kind, Weight: float64(settings.weight), Zone: placement.zone}}
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
	if n.MachineKind == settings.kind {
		imp.maxSessions[settings.kind] = settings.maxSessions
	}
	return n
}

// nodeAddress returns the address of a node, from its placement or else from its server line. ok is false if clients
// can't reach it; the reason is recorded on the line.
func nodeAddress(s *haproxy.Server, name string, placement serverPlacement) (hostPort string, ok bool) {
	l, address := s.Line, s.Address
	if !utf8.ValidString(name + s.AddressText + placement.address) {
		// Invalid UTF-8 can't be written to the result: JSON encoding would make different names equal.
		l.MarkSkipped("server", "its name or address is not valid UTF-8", "rename it")
		return "", false
	}
	if placement.address != "" {
		host, port, err := net.SplitHostPort(placement.address)
		n, portErr := strconv.Atoi(port)
		if err != nil || portErr != nil {
			l.MarkSkipped("server "+name, fmt.Sprintf("the address in --with, %q, is not host:port", placement.address), "")
			return "", false
		}
		address = haproxy.Address{Host: host, FirstPort: n, LastPort: n}
	}
	switch {
	case address.Kind != "":
		l.MarkSkipped("server "+name, fmt.Sprintf("%s: %s", s.AddressText, address.Kind), "give the address that clients can reach with --with")
		return "", false
	case address.FirstPort != address.LastPort:
		l.MarkSkipped("server "+name, s.AddressText+": a server can't have a range of ports", "")
		return "", false
	case address.Host == "" || address.Host == "*" || address.Host == "0.0.0.0" || address.Host == "::":
		l.MarkSkipped("server "+name, s.AddressText+": HAProxy uses the address to which the client connected",
			"give the address that clients can reach with --with")
		return "", false
	}
	return net.JoinHostPort(address.Host, strconv.Itoa(address.FirstPort)), true
}
