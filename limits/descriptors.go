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
