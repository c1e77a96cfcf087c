package limits

import "fmt"

// uncountedDescriptors is the number of descriptors left for what Capacity does not count: files, the metrics page and
// connections that are being closed. Handshakes in progress may take one in handshakeShareDivisor of all descriptors.
const (
	uncountedDescriptors  = 100
	handshakeShareDivisor = 8
)

// FitDescriptors lowers the capacity to what the process's descriptors allow besides the connections to so many nodes:
// for each node one established connection and one being established. Running out of descriptors in accept does not
// stop the listener, but then no client can be given a retry delay. If FitDescriptors lowers the capacity, it also
// returns a log line for the operator.
func (c Capacity) FitDescriptors(descriptors, nodes int) (Capacity, string) {
	requested := c
	c.MaxHandshakes = min(c.MaxHandshakes, max(1, descriptors/handshakeShareDivisor))
	c.MaxConnections = max(1, min(c.MaxConnections, descriptors-c.MaxHandshakes-2*nodes-uncountedDescriptors))
	if c == requested {
		return c, ""
	}
	return c, fmt.Sprintf(
		"connections: %d descriptors and %d nodes leave capacity for %d clients (%d configured) and %d handshakes (%d configured)",
		descriptors, nodes, c.MaxConnections, requested.MaxConnections, c.MaxHandshakes, requested.MaxHandshakes)
}

// clientShareDivisor sets the part of the descriptors that stays for clients, however many nodes there are: one third.
const clientShareDivisor = 3

// FitsNodes reports whether the descriptors suffice for one connection to each of so many nodes, besides the clients'
// part.
func (c Capacity) FitsNodes(nodes int) bool {
	return c.MaxDescriptors == 0 ||
		c.MaxDescriptors >= c.ReservedDescriptors+c.PreHandshakeDescriptors+c.MaxDescriptors/clientShareDivisor+nodes
}

// dialCost is the number of descriptors that a connection to a node takes while it is being established.
const dialCost = 2

// maxClients returns how many client connections fit besides those to nodes.
func (l *Limits) maxClients() int {
	if l.capacity.MaxDescriptors == 0 {
		return max(1, l.capacity.MaxConnections)
	}
	return max(1, min(l.capacity.MaxConnections,
		l.capacity.MaxDescriptors-l.capacity.ReservedDescriptors-l.capacity.PreHandshakeDescriptors-l.nodeDescriptors-dialCost))
}

// dialRequest finds descriptors for one more connection to a node.
func (l *Limits) dialRequest(idleNodeConn bool) {
	free := l.capacity.MaxDescriptors - l.capacity.ReservedDescriptors - l.capacity.PreHandshakeDescriptors - l.nodeDescriptors - l.used
	switch l.plan.Admit = true; {
	case l.capacity.MaxDescriptors == 0 || free >= dialCost:
	case idleNodeConn:
		l.plan.CloseIdleNode = true
	case l.idleHead != none:
		l.evict(l.idleHead, closeAbort, EvictedForNode, 0)
	default:
		l.plan.Admit = false
	}
}
