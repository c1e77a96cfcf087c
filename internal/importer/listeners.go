package importer

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"fordusher/internal/haproxy"
)

// importListeners carries over the address for clients and the limit of their connections.
func (imp *importState) importListeners() {
	imp.importBinds()
	maxConnections := imp.importFrontendLimit(imp.importGlobalLimit())
	if maxConnections > 0 {
		imp.settings.set(newLeaf(min(maxConnections, 10_000_000)), "limits", "connections")
	}
}

// importBinds carries over the address for clients, if there is one only.
func (imp *importState) importBinds() {
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
}

// importGlobalLimit returns the limit of connections in the global section; 0: none.
func (imp *importState) importGlobalLimit() (maxConnections int) {
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
	return maxConnections
}

// importFrontendLimit lowers the limit of connections (0: none) to that of the frontend, if there is one only.
func (imp *importState) importFrontendLimit(maxConnections int) int {
	row := lookupKeyword("proxy", "maxconn")
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
	return maxConnections
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
