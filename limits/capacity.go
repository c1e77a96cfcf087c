package limits

import "time"

// Capacity sets what a director may use for its clients' connections, and how it treats idle ones.
type Capacity struct {
	MaxConnections          int           // client connections, handshakes in progress included
	MaxPerAddress           int           // connections from one address; 0: unlimited
	MaxHandshakes           int           // handshakes in progress at one time
	MaxMemory               int64         // bytes that the program may use; 0: not checked
	HeartbeatInterval       time.Duration // time between heartbeats on a connection
	IdleTimeout             time.Duration // connections idle for longer are evicted first when capacity runs short
	HandshakeTimeout        time.Duration // longest time for a handshake
	MaxRetryAfter           time.Duration // longest retry delay that a client is given
	DisplaceIdleAfter       time.Duration // a connection idle for longer may be displaced by a new client; 0: never
	MaxDescriptors          int           // descriptors that the process may hold; 0: only MaxConnections applies
	ReservedDescriptors     int           // of MaxDescriptors, set aside for what is not counted here
	PreHandshakeDescriptors int           // of MaxDescriptors, set aside for connections that have sent no handshake yet
}
