package importer

import (
	"strings"

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
