package limits

import "fmt"

// What is left of the descriptors for what is not told here (files, the metrics page, connections that are
// being closed), and the part of them that handshakes under way may take.
const (
	reserve        = 100
	handshakeShare = 8
)

// FitDescriptors makes a room as small as the process's descriptors ask for, beside the connections to so many nodes,
// one standing and one being made for each. Running out in accept is survived, but nobody can be told then
// when to come back. It returns a line for those on call where it had to.
func (r Capacity) FitDescriptors(descriptors, nodes int) (Capacity, string) {
	asked := r
	r.MaxHandshakes = min(r.MaxHandshakes, max(1, descriptors/handshakeShare))
	r.MaxConnections = max(1, min(r.MaxConnections, descriptors-r.MaxHandshakes-2*nodes-reserve))
	if r == asked {
		return r, ""
	}
	return r, fmt.Sprintf("connections: %d descriptors and %d nodes leave room for %d players (%d asked for) and %d handshakes (%d)",
		descriptors, nodes, r.MaxConnections, asked.MaxConnections, r.MaxHandshakes, asked.MaxHandshakes)
}
