package limits

import "fmt"

// What is left of the descriptors for what is not told here (files, the metrics page, connections that are
// being closed), and the part of them that handshakes under way may take.
const (
	reserve        = 100
	handshakeShare = 8
)

// Fit makes a room as small as the process's descriptors ask for, beside the connections to so many nodes,
// one standing and one being made for each. Running out in accept is survived, but nobody can be told then
// when to come back. It returns a line for those on call where it had to.
func (r Room) Fit(descriptors, nodes int) (Room, string) {
	asked := r
	r.Handshakes = min(r.Handshakes, max(1, descriptors/handshakeShare))
	r.Connections = max(1, min(r.Connections, descriptors-r.Handshakes-2*nodes-reserve))
	if r == asked {
		return r, ""
	}
	return r, fmt.Sprintf("connections: %d descriptors and %d nodes leave room for %d players (%d asked for) and %d handshakes (%d)",
		descriptors, nodes, r.Connections, asked.Connections, r.Handshakes, asked.Handshakes)
}
