package director

import (
	"net/netip"
	"time"

	"fordusher/internal/wire"
)

// An Input is an event for Step: one of the types below that have an input method.
type Input interface{ input() }

// The inputs. Conn is the id of a client connection, and Link that of a connection to a node, which is called a link.
// The caller chooses the ids of client connections, the loop those of links, and neither uses one twice.
type (
	// ClientConnecting reports that a client wants to connect; AcceptClient or RejectClient answers it.
	ClientConnecting struct {
		Conn    uint64
		Address netip.Addr
	}
	// ClientAccepted reports that an accepted client has completed its handshake.
	ClientAccepted struct{ Conn uint64 }
	// MemoryUsage is the memory that the program uses now, in bytes.
	MemoryUsage struct{ Bytes int64 }
	// ClientReceived is a message from a client. Waited is how long it has waited for the loop. Details holds what a
	// request contains beyond the message.
	ClientReceived struct {
		Conn    uint64
		Message wire.SessionMessage
		Waited  time.Duration
		Details *RequestDetails
	}
	// ClientStillActive reports that a client sent a message before an idle CloseClient could close its connection.
	ClientStillActive struct{ Conn uint64 }
	// ClientLost reports that a client connection has ended, with the reason for logs. ClosedByClient: the client has closed
	// it in order, and so has received what was written some time before.
	ClientLost struct {
		Conn           uint64
		Reason         string
		ClosedByClient bool
	}
	// ClientDeparted reports that a client has ended its side of a connection, of which earlier input still waits. Its
	// requests need no answer any more. ClientLost follows.
	ClientDeparted struct{ Conn uint64 }
	// ClientInputEnded reports that nothing more can be read from a client connection, and why. Earlier messages can
	// still be answered.
	ClientInputEnded struct {
		Conn   uint64
		Reason string
	}
	// ClientInputInvalid reports that a client has sent an invalid message on a connection, and why it is invalid. Further
	// messages can still be received.
	ClientInputInvalid struct {
		Conn   uint64
		Reason string
	}
	// ClientStalled reports that a message on a client connection has been incomplete for too long.
	ClientStalled struct{ Conn uint64 }
	// EndingNotSent reports that a client connection has not taken the notification of a session's end, because it is
	// ending. ClientLost follows.
	EndingNotSent struct {
		Conn    uint64
		Message wire.SessionMessage
	}
	// LinkConnected reports that a Connect succeeded.
	LinkConnected struct {
		Node string
		Link uint64
	}
	// LinkFailed reports that a Connect failed; nothing was sent on it. Refused: the machine answers, but no node runs
	// there. ResourceExhausted: the attempt failed on this machine, for lack of descriptors, memory or ports, or
	// because of its own network.
	LinkFailed struct {
		Node              string
		Link              uint64
		Refused           bool
		ResourceExhausted bool
	}
	// LinkReceived is a message from a node. Description describes the session if the node accepts it.
	LinkReceived struct {
		Link        uint64
		Message     wire.NodeMessage
		Description []byte
	}
	// LinkAlive reports how long ago anything was last received from a node.
	LinkAlive struct {
		Link    uint64
		IdleFor time.Duration
	}
	// ClientAlive reports how long ago anything was last received from a client.
	ClientAlive struct {
		Conn    uint64
		IdleFor time.Duration
	}
	// LinkLost reports that a connection to a node has ended. Unsent are the legs of whose set-up not one byte was
	// passed to the kernel. Aborted: this side has ended it, so what the node has sent may not have been read.
	LinkLost struct {
		Link    uint64
		Unsent  []uint64
		Aborted bool
		Reason  string // for logs
	}
	// Withdrawn reports that a leg's set-up was withdrawn before one byte of it was passed to the kernel.
	Withdrawn struct{ Leg uint64 }
	// DiscoveryConnected reports that the connection to discovery, the source of the server list, is established.
	DiscoveryConnected struct{}
	// DiscoveryReceived is a message from discovery.
	DiscoveryReceived struct{ Message wire.DiscoveryMessage }
	// DiscoveryLost reports that the connection to discovery has ended; the last server list stays valid.
	DiscoveryLost struct{}
	// Tick reports that the time returned by Next has come.
	Tick struct{}
	// Stop tells the director to shut down as package shutdown decides.
	Stop struct{}
)

// StartsSession reports whether the message requests a session that does not play yet.
func (e ClientReceived) StartsSession() bool {
	return e.Message.Type == wire.Request && (e.Details == nil || e.Details.PlayingOn == "")
}

func (ClientConnecting) input()   {}
func (ClientAccepted) input()     {}
func (MemoryUsage) input()        {}
func (ClientReceived) input()     {}
func (ClientLost) input()         {}
func (ClientStillActive) input()  {}
func (ClientDeparted) input()     {}
func (ClientInputEnded) input()   {}
func (ClientInputInvalid) input() {}
func (ClientStalled) input()      {}
func (EndingNotSent) input()      {}
func (LinkConnected) input()      {}
func (LinkFailed) input()         {}
func (LinkReceived) input()       {}
func (LinkAlive) input()          {}
func (ClientAlive) input()        {}
func (LinkLost) input()           {}
func (Withdrawn) input()          {}
func (DiscoveryConnected) input() {}
func (DiscoveryReceived) input()  {}
func (DiscoveryLost) input()      {}
func (Tick) input()               {}
func (Stop) input()               {}

// RequestDetails is what a request itself specifies where there is no catalogue of titles.
type RequestDetails struct {
	FirstCell, Copies int    // first cell of its title, and number of cells in a row that hold it
	Description       []byte // of the session, passed on to the node unchanged
	PlayingOn         string // the node that the session already plays on; no answer is owed then
	InvalidReason     string // why the request is invalid; empty: it is valid
}

// An Output is an instruction for the caller of Step: one of the types below that have an output method.
type Output interface{ output() }

// The outputs.
type (
	// SendClient sends a message to a client. A rung message may be dropped, or replaced by a later one with the same
	// CoalesceKey while it is queued; an answer never.
	SendClient struct {
		Conn        uint64
		Message     wire.SessionMessage
		CoalesceKey uint64
		Description []byte // of a session that plays, as received from the node
	}
	// AcceptClient accepts a connecting client.
	AcceptClient struct{ Conn uint64 }
	// RejectClient rejects a connecting client; RetryAfter is when it may try again.
	RejectClient struct {
		Conn       uint64
		RetryAfter time.Duration
		Reason     string
	}
	// CloseClient closes a client connection with a close code of RFC 6455 and a reason; code 0 aborts it. Idle: it is
	// closed only because it has nothing to do. If a message from it waits for the loop, or to be read, it stays open
	// and ClientStillActive answers.
	CloseClient struct {
		Conn   uint64
		Code   int
		Reason string
		Idle   bool
		// Settled: as Idle, but input that was not received yet counts for nothing.
		Settled bool
	}
	// Connect asks for a connection to a node; LinkConnected or LinkFailed answers it within Timeout.
	Connect struct {
		Node, Address string
		Link          uint64
		Timeout       time.Duration
	}
	// SendNode sends a message to a node. Setup is the leg of a set-up message, else 0.
	SendNode struct {
		Link        uint64
		Setup       uint64
		Message     wire.NodeMessage
		Description []byte // of a set-up, as received from the client
	}
	// Withdraw withdraws a leg's set-up if not one byte of it has been passed to the kernel. Withdrawn answers if this
	// succeeds; there is no answer if it fails.
	Withdraw struct{ Link, Leg uint64 }
	// ProbeLink pings a node; LinkAlive answers at once with its idle time.
	ProbeLink struct{ Link uint64 }
	// ProbeClient pings a client; ClientAlive answers at once with its idle time.
	ProbeClient struct{ Conn uint64 }
	// CloseLink closes a connection to a node. If ReadOn is above 0, only the sending side is closed at once, and what the
	// node sends is read until it closes its own side, or for that long.
	CloseLink struct {
		Link   uint64
		ReadOn time.Duration
	}
	// SendDiscovery sends a message to discovery.
	SendDiscovery struct{ Message wire.DiscoveryMessage }
	// Log is a line for the log.
	Log struct{ Text string }
	// StopAccepting closes the listener: the operating system refuses new connections from then on.
	StopAccepting struct{}
	// ShutdownComplete reports that a director that received Stop has finished.
	ShutdownComplete struct{}
)

func (AcceptClient) output()     {}
func (RejectClient) output()     {}
func (SendClient) output()       {}
func (CloseClient) output()      {}
func (Connect) output()          {}
func (SendNode) output()         {}
func (Withdraw) output()         {}
func (ProbeLink) output()        {}
func (ProbeClient) output()      {}
func (CloseLink) output()        {}
func (SendDiscovery) output()    {}
func (Log) output()              {}
func (StopAccepting) output()    {}
func (ShutdownComplete) output() {}
