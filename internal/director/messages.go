package director

import (
	"net/netip"
	"time"

	"fordusher/internal/wire"
)

// Input is something that happened: one of the types below that have an input method.
type Input interface{ input() }

// The inputs. Conn numbers a player's connection, Link one connection to a node; the caller picks both
// numbers and never uses one twice.
type (
	// ClientConnecting says that a player wants to connect; AcceptClient or RejectClient answers it.
	ClientConnecting struct {
		Conn    uint64
		Address netip.Addr
	}
	// ClientAccepted says that a player who was welcome has connected.
	ClientAccepted struct{ Conn uint64 }
	// MemoryUsage is what the program uses now, in bytes.
	MemoryUsage struct{ Bytes int64 }
	// ClientReceived is a message from a player that has waited for the loop for so long. A request may bring
	// more than the message holds.
	ClientReceived struct {
		Conn    uint64
		Message wire.SessionMessage
		Waited  time.Duration
		Details *RequestDetails
	}
	// ClientStillActive says that a player whom an idle CloseClient was meant for has said something meanwhile.
	ClientStillActive struct{ Conn uint64 }
	// ClientLost says that a player's connection has ended, and why, for logs.
	ClientLost struct {
		Conn   uint64
		Reason string
	}
	// ClientInputEnded says that nothing more can be read from a player's connection, and why: what came before it
	// can still be answered.
	ClientInputEnded struct {
		Conn   uint64
		Reason string
	}
	// LinkConnected says that a Connect succeeded.
	LinkConnected struct {
		Node string
		Link uint64
	}
	// LinkFailed says that a Connect failed; nothing was sent on it. Refused: the machine answers, and
	// nothing runs there. Crowded: it could not be tried for trouble of this machine (descriptors, memory, ports, its own network).
	LinkFailed struct {
		Node              string
		Link              uint64
		Refused           bool
		ResourceExhausted bool
	}
	// LinkReceived is a message from a node, with what describes the session where it is accepted.
	LinkReceived struct {
		Link        uint64
		Message     wire.NodeMessage
		Description []byte
	}
	// LinkAlive says how long ago anything last came from a node.
	LinkAlive struct {
		Link    uint64
		IdleFor time.Duration
	}
	// ClientAlive says how long ago anything last came from a player.
	ClientAlive struct {
		Conn    uint64
		IdleFor time.Duration
	}
	// LinkLost says that a connection to a node has ended. Unsent are the legs whose set-up was never
	// handed to the kernel, not one byte of it.
	LinkLost struct {
		Link   uint64
		Unsent []uint64
		Reason string // for logs
	}
	// Withdrawn says that a leg's set-up was taken back before one byte of it was handed to the kernel.
	Withdrawn struct{ Leg uint64 }
	// DiscoveryConnected says that the list's source is connected.
	DiscoveryConnected struct{}
	// DiscoveryReceived is a message from the list.
	DiscoveryReceived struct{ Message wire.DiscoveryMessage }
	// DiscoveryLost says that the list's source is gone; the last list stays in force.
	DiscoveryLost struct{}
	// Tick says that the time asked for by Next has come.
	Tick struct{}
	// Stop orders the director to end as package shutdown decides.
	Stop struct{}
)

func (ClientConnecting) input()   {}
func (ClientAccepted) input()     {}
func (MemoryUsage) input()        {}
func (ClientReceived) input()     {}
func (ClientLost) input()         {}
func (ClientStillActive) input()  {}
func (ClientInputEnded) input()   {}
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

// RequestDetails is what a request brings along where no catalogue says it.
type RequestDetails struct {
	Base, Copies  int    // where its title lies
	Description   []byte // of the session, for the node: passed on as it is
	PlayingOn     string // the node, where the session plays already; no answer is owed then
	InvalidReason string // why the request can't be used; empty: it can
}

// Output is something to be done: one of the types below that have an output method.
type Output interface{ output() }

// The outputs.
type (
	// SendClient sends a message to a player. A rung that was told may be dropped, or replaced by a later
	// one of the same Merge that finds it still waiting; an answer never.
	SendClient struct {
		Conn        uint64
		Message     wire.SessionMessage
		CoalesceKey uint64
		Description []byte // of an answer that it plays, as the node gave it
	}
	// AcceptClient lets a player in who has knocked.
	AcceptClient struct{ Conn uint64 }
	// RejectClient does not, and says when to come back.
	RejectClient struct {
		Conn       uint64
		RetryAfter time.Duration
		Reason     string
	}
	// CloseClient ends a player's connection, with the code of RFC 6455 and a reason; code 0 cuts it. Idle: only
	// because nothing is to be done for it; ClientStays answers where something it said is still on its way here.
	CloseClient struct {
		Conn   uint64
		Code   int
		Reason string
		Idle   bool
	}
	// Connect asks for a connection to a node; LinkConnected or LinkFailed answers it within the time.
	Connect struct {
		Node, Address string
		Link          uint64
		Timeout       time.Duration
	}
	// SendNode sends a message to a node. Setup is the leg where the message sets one up, else 0.
	SendNode struct {
		Link        uint64
		Setup       uint64
		Message     wire.NodeMessage
		Description []byte // of a set-up, as the player gave it
	}
	// Withdraw asks for a leg's set-up back, if not one byte of it was handed to the kernel yet;
	// Withdrawn answers if it worked, nothing if not.
	Withdraw struct{ Link, Leg uint64 }
	// ProbeLink pings a node; LinkAlive answers at once with how long it has been quiet.
	ProbeLink struct{ Link uint64 }
	// ProbeClient pings a player; ClientAlive answers at once with how long it has been quiet.
	ProbeClient struct{ Conn uint64 }
	// CloseLink ends the connection to a node.
	CloseLink struct{ Link uint64 }
	// SendDiscovery sends a message to the list's source.
	SendDiscovery struct{ Message wire.DiscoveryMessage }
	// Log is a line for those on call.
	Log struct{ Text string }
	// StopAccepting ends the listener: who connects from now on is refused by the system.
	StopAccepting struct{}
	// ShutdownComplete says that a director ordered to stop has nothing left to do.
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
