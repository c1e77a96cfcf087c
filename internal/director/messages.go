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
	// PlayerKnocked says that a player wants to connect; Welcome or TurnAway answers it.
	PlayerKnocked struct {
		Conn    uint64
		Address netip.Addr
	}
	// PlayerOpened says that a player who was welcome has connected.
	PlayerOpened struct{ Conn uint64 }
	// Memory is what the program uses now, in bytes.
	Memory struct{ Bytes int64 }
	// PlayerSaid is a message from a player that has waited for the loop for so long. A request may bring
	// more than the message holds.
	PlayerSaid struct {
		Conn    uint64
		Message wire.Session
		Waited  time.Duration
		Brought *Brought
	}
	// PlayerStays says that a player whom an idle ClosePlayer was meant for has said something meanwhile.
	PlayerStays struct{ Conn uint64 }
	// PlayerClosed says that a player's connection has ended, and why, for logs.
	PlayerClosed struct {
		Conn   uint64
		Reason string
	}
	// ClientInputEnded says that nothing more can be read from a player's connection, and why: what came before it
	// can still be answered.
	ClientInputEnded struct {
		Conn   uint64
		Reason string
	}
	// LinkMade says that a Connect succeeded.
	LinkMade struct {
		Node string
		Link uint64
	}
	// LinkFailed says that a Connect failed; nothing was sent on it. Refused: the machine answers, and
	// nothing runs there. Crowded: it could not be tried for trouble of this machine (descriptors, memory, ports, its own network).
	LinkFailed struct {
		Node    string
		Link    uint64
		Refused bool
		Crowded bool
	}
	// LinkSaid is a message from a node, with what describes the session where it is accepted.
	LinkSaid struct {
		Link        uint64
		Message     wire.Node
		Description []byte
	}
	// LinkAlive says how long ago anything last came from a node.
	LinkAlive struct {
		Link  uint64
		Quiet time.Duration
	}
	// PlayerAlive says how long ago anything last came from a player.
	PlayerAlive struct {
		Conn  uint64
		Quiet time.Duration
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
	// ListOpened says that the list's source is connected.
	ListOpened struct{}
	// ListSaid is a message from the list.
	ListSaid struct{ Message wire.List }
	// ListLost says that the list's source is gone; the last list stays in force.
	ListLost struct{}
	// Tick says that the time asked for by Next has come.
	Tick struct{}
	// Stop orders the director to end as package closing decides.
	Stop struct{}
)

func (PlayerKnocked) input()    {}
func (PlayerOpened) input()     {}
func (Memory) input()           {}
func (PlayerSaid) input()       {}
func (PlayerClosed) input()     {}
func (PlayerStays) input()      {}
func (ClientInputEnded) input() {}
func (LinkMade) input()         {}
func (LinkFailed) input()       {}
func (LinkSaid) input()         {}
func (LinkAlive) input()        {}
func (PlayerAlive) input()      {}
func (LinkLost) input()         {}
func (Withdrawn) input()        {}
func (ListOpened) input()       {}
func (ListSaid) input()         {}
func (ListLost) input()         {}
func (Tick) input()             {}
func (Stop) input()             {}

// Brought is what a request brings along where no catalogue says it.
type Brought struct {
	Base, Copies int    // where its title lies
	Description  []byte // of the session, for the node: passed on as it is
	Playing      string // the node, where the session plays already; no answer is owed then
	Wrong        string // why the request can't be used; empty: it can
}

// Output is something to be done: one of the types below that have an output method.
type Output interface{ output() }

// The outputs.
type (
	// TellPlayer sends a message to a player. A rung that was told may be dropped, or replaced by a later
	// one of the same Merge that finds it still waiting; an answer never.
	TellPlayer struct {
		Conn        uint64
		Message     wire.Session
		Merge       uint64
		Description []byte // of an answer that it plays, as the node gave it
	}
	// Welcome lets a player in who has knocked.
	Welcome struct{ Conn uint64 }
	// TurnAway does not, and says when to come back.
	TurnAway struct {
		Conn  uint64
		Retry time.Duration
		Why   string
	}
	// ClosePlayer ends a player's connection, with the code of RFC 6455 and a reason; code 0 cuts it. Idle: only
	// because nothing is to be done for it; PlayerStays answers where something it said is still on its way here.
	ClosePlayer struct {
		Conn uint64
		Code int
		Why  string
		Idle bool
	}
	// Connect asks for a connection to a node; LinkMade or LinkFailed answers it within the time.
	Connect struct {
		Node, Address string
		Link          uint64
		Within        time.Duration
	}
	// TellNode sends a message to a node. Setup is the leg where the message sets one up, else 0.
	TellNode struct {
		Link        uint64
		Setup       uint64
		Message     wire.Node
		Description []byte // of a set-up, as the player gave it
	}
	// Withdraw asks for a leg's set-up back, if not one byte of it was handed to the kernel yet;
	// Withdrawn answers if it worked, nothing if not.
	Withdraw struct{ Link, Leg uint64 }
	// AskAlive pings a node; LinkAlive answers at once with how long it has been quiet.
	AskAlive struct{ Link uint64 }
	// AskPlayerAlive pings a player; PlayerAlive answers at once with how long it has been quiet.
	AskPlayerAlive struct{ Conn uint64 }
	// HangUp ends the connection to a node.
	HangUp struct{ Link uint64 }
	// TellList sends a message to the list's source.
	TellList struct{ Message wire.List }
	// Log is a line for those on call.
	Log struct{ Words string }
	// StopAccepting ends the listener: who connects from now on is refused by the system.
	StopAccepting struct{}
	// Ended says that a director ordered to stop has nothing left to do.
	Ended struct{}
)

func (Welcome) output()        {}
func (TurnAway) output()       {}
func (TellPlayer) output()     {}
func (ClosePlayer) output()    {}
func (Connect) output()        {}
func (TellNode) output()       {}
func (Withdraw) output()       {}
func (AskAlive) output()       {}
func (AskPlayerAlive) output() {}
func (HangUp) output()         {}
func (TellList) output()       {}
func (Log) output()            {}
func (StopAccepting) output()  {}
func (Ended) output()          {}
