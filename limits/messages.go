package limits

import (
	"net/netip"
	"time"
)

// EventKind is the kind of an Event.
type EventKind int

// The events.
const (
	ConnectRequest    EventKind = iota // a client wants to connect; answered by Plan.Admit
	HandshakeDone                      // the client's handshake is complete
	Received                           // data arrived from the client and is not processed yet, so this step does not evict it
	Busy                               // the client has a session or an owed answer
	Idle                               // the client has neither any more
	Closed                             // the connection has ended
	MemorySample                       // Memory is what the program uses now
	Draining                           // the director shuts down: no client is admitted any more
	DialRequest                        // the director wants to connect to a node; answered by Plan.Admit and Plan.CloseIdleNode
	EvictionCancelled                  // data arrived on a connection before its eviction, so it stays open
	TimerFired                         // the time returned by NextTimer has come
)

var eventKindNames = [...]string{ConnectRequest: "connect request", HandshakeDone: "handshake done", Received: "received",
	Busy: "busy", Idle: "idle", Closed: "closed", MemorySample: "memory sample", Draining: "draining",
	DialRequest: "dial request", EvictionCancelled: "eviction cancelled", TimerFired: "timer fired"}

func (k EventKind) String() string { return eventKindNames[k] }

// Event is something that happened. The caller identifies a connection by a small index, which may be used again after
// Closed.
type Event struct {
	Kind            EventKind
	Conn            int
	Address         netip.Addr
	Age             time.Duration // Received: time since the data arrived
	Memory          int64
	NodeDescriptors int  // ConnectRequest, DialRequest, MemorySample: descriptors held by connections to nodes
	IdleNodeConn    bool // DialRequest: there is an idle connection to another node
}

// The reasons for which a client is not admitted (Plan.Reason).
const (
	RejectedByShutdown   = "director closes"
	RejectedByCapacity   = "no room"
	RejectedByHandshakes = "too many handshakes"
	RejectedByAddress    = "too many connections from this address"
	RejectedByQuota      = "no room yet" // full mode has ended, and new clients are admitted gradually
)

// The reasons for which a connection is evicted (Eviction.Reason).
const (
	EvictedForNewClient = "idle for longest"
	EvictedForNode      = "its place is needed"
	EvictedInHandshake  = "handshake took too long"
	EvictedAsDead       = "no sign of life"
	EvictedForCapacity  = "no room for the idle"
)

// Close codes of RFC 6455 with which connections are evicted.
const (
	closeAbort           = 0 // no close frame
	closePolicyViolation = 1008
	closeTryAgainLater   = 1013
)

// Eviction is a connection to close.
type Eviction struct {
	Conn       int
	Code       int           // close code of RFC 6455; 0: abort without a close frame
	Reason     string        // why, one of the reasons above; sent to the client in a close frame
	RetryAfter time.Duration // delay before the client reconnects; 0: none
}

// Plan is what the caller has to do after an event. It is valid until the next Step.
type Plan struct {
	Admit bool // answer to ConnectRequest and DialRequest
	// CloseIdleNode asks to close an idle connection to a node: that frees the capacity for the dial.
	CloseIdleNode bool
	RetryAfter    time.Duration // if a client is not admitted: delay before it retries
	Reason        string        // if a client is not admitted: why, one of the reasons above
	Ping          []int         // connections to send a heartbeat to
	Evict         []Eviction
	Log           string // log line for a change of mode; "": none
	More          bool   // more timers are due now; call Step with TimerFired again after other work
}
