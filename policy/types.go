package policy

import (
	"math"
	"time"
)

// UnknownStart is the StartedAt of a node whose start time is not known.
const UnknownStart = time.Duration(math.MinInt64)

// Event is an input of Director.Step: one of the types below that have an event method.
type Event interface{ event() }

// Request is a client's request for a session. A session is one client's playback of one title, from the request on.
// A request gets exactly one final answer, before Deadline.
type Request struct {
	ID        uint64
	Tariff    int
	Title     uint64 // the video that the client asks for
	FirstCell int    // first cell that holds the title
	Copies    int    // number of consecutive cells that hold the title
	MaxRung   int    // highest rung that the client can play
	Deadline  time.Duration
	PlayingOn string // node of a session that is adopted while it plays; empty for a new request
}

// Accepted reports that a node has accepted a session's leg and the session plays.
type Accepted struct{ ID uint64 }

// SessionMoved reports that a playing session is at another node than the one that it was sent to: that node had been
// replaced at its address.
type SessionMoved struct {
	ID   uint64
	Node string
}

// LegResult reports the end of a leg.
type LegResult struct {
	ID      uint64
	Node    string
	Outcome Outcome
	Final   bool // the session ends with this leg
	Load    Load
}

// Measurement is a value measured at one session.
type Measurement struct {
	ID    uint64
	Node  string
	Kind  MeasurementKind
	Value float64
}

// ClientGone reports that the client has cancelled its session or disconnected.
type ClientGone struct{ ID uint64 }

// TimerFired reports that the timer requested by SetTimer is due.
type TimerFired struct{}

// ServerList is a message of discovery about the list of nodes.
type ServerList struct {
	Kind    ServerListKind
	Entries []NodeEntry
}

func (Request) event()      {}
func (Accepted) event()     {}
func (SessionMoved) event() {}
func (LegResult) event()    {}
func (Measurement) event()  {}
func (ClientGone) event()   {}
func (TimerFired) event()   {}
func (ServerList) event()   {}

// Outcome is how a leg ended.
type Outcome int

// The outcomes. Full, ConnectFailed and NeverStarted prove that the leg never ran.
const (
	Served Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NeverStarted
)

// MeasurementKind is the quantity that a Measurement's value gives.
type MeasurementKind int

// The kinds of measurement, with the numbers that they have on the wire.
const (
	DeliveredShare MeasurementKind = 1 + iota // delivered part of the session's rate
	CurrentRung                               // rung that the session plays at
	LinkLoad                                  // demand on the node's link, as a part of its capacity
	UplinkLoad                                // demand on the rack's uplink, as a part of its capacity
)

// ServerListKind is how the entries of a ServerList are to be read.
type ServerListKind int

// The kinds of server list. ListReplaced and ListRestored carry the whole list; ListUpdate carries the
// entries that changed.
const (
	ListUpdate ServerListKind = iota
	ListReplaced
	ListRestored
	ListUnavailable
)

// NodeState is the state of a node in the server list.
type NodeState int

// The states of a node.
const (
	Up NodeState = iota
	Draining
	Removed
)

// NodeEntry is the server list's entry for a node. A node is a streaming server.
type NodeEntry struct {
	Node        string
	State       NodeState
	MachineKind int           // index among the machine kinds
	Zone        string        // a session at a node outside the director's zone costs more, see Topology.CrossZoneCost
	StartedAt   time.Duration // UnknownStart if the list does not give it
	Weight      float64       // link capacity in units of Topology.LinkUnit
	Cell        int           // position of the node; all nodes of a cell hold the titles assigned to the cell
	Replaces    string        // the node whose address it has taken, if any; set-ups sent there since StartedAt have reached this one
}

// Load is a node's load report; a field that the node does not report is negative. Link and Uplink are
// parts of the capacity of the node's link and of its rack's uplink.
type Load struct{ Streams, Link, Uplink float64 }

// NoLoad is the Load of a node that reported none.
var NoLoad = Load{-1, -1, -1}

// Action is an output of Director.Step: one of the types below that have an action method.
type Action interface{ action() }

// Dispatch starts a session's next leg. A leg is one attempt of a session at a node.
type Dispatch struct {
	ID      uint64
	Node    string
	Timeout time.Duration // 0: until the session's deadline
}

// SetRung sets a session's rung.
type SetRung struct {
	ID   uint64
	Rung int
}

// Nack is the final answer to a request that the client may safely repeat.
type Nack struct {
	ID      uint64
	Backoff time.Duration
}

// Fail is the final answer to a failed request that does not state whether a repetition is safe.
type Fail struct{ ID uint64 }

// SetTimer asks for a TimerFired event.
type SetTimer struct{ At time.Duration }

// PollServerList asks discovery for the list's changes, if they are not pushed.
type PollServerList struct{}

// Log is a log line for operators.
type Log struct{ Message string }

func (Dispatch) action()       {}
func (SetRung) action()        {}
func (Nack) action()           {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (PollServerList) action() {}
func (Log) action()            {}

// Peers gives this director's index among all directors, their number, and its own zone.
type Peers struct {
	Index, Directors int
	Zone             string
}

// Tariff is a class of sessions with the terms that hold for them.
type Tariff struct {
	GoalTime   time.Duration // time within which a session should start
	HardStop   time.Duration // time within which a request must be answered
	Credit     float64       // what a session earns, relative to those of other tariffs
	AtMostOnce bool          // at most one leg of a session may run: tariffs with guarded or single_shot semantics
	Scale      float64       // factor on the ladder's rates
	Floor      int           // lowest rung
	Top        int           // highest rung
	Seats      int           // most concurrent sessions of one title at one director; 0: no limit
	Live       bool          // sessions of a title at the same node and rung share a stream
}

// Ladder lists the rungs. A rung is a quality level of a stream, numbered from 0. Rates are in kB a
// second. Worth is what playing at each rung is worth. JoinCost is the part of a rung's rate that a further
// session of a live title adds.
type Ladder struct {
	Rates    []float64
	Worth    []float64
	JoinCost float64
}

// Topology describes the nodes' links and racks. A rack is a group of nodes that share one network link, the
// uplink.
type Topology struct {
	Cells, Racks     int
	LinkUnit         float64 // link capacity of a node for each unit of weight, kB a second
	Uplink           float64 // mean uplink capacity of a rack, kB a second
	CrossZoneCost    float64 // cost of a session at a node outside the director's zone, as a part of its worth
	RefusalThreshold float64 // link use from which a node answers full; 0: never
}

// Ramp describes the slow start of nodes. Within OverloadWindow, a node in slow start takes
// at most OverloadMultiple*MaxStreams*InitialShare*OverloadWindow/Warmup set-ups from all directors together.
// This number is its overload budget.
type Ramp struct {
	MaxStreams       []float64     // most streams of a node, by machine kind
	Warmup           time.Duration // duration of the slow start
	InitialShare     float64       // part of its capacity that a node can use when it starts
	OverloadMultiple float64
	OverloadWindow   time.Duration
	PollWithin       time.Duration // 0: the list's changes are pushed
}

// RetryPolicy limits the legs of sessions. Within Window, all retries (legs after a session's first) together
// may number at most MinRetries plus RetryRatio times the requests; a Window of 0 lifts that limit.
type RetryPolicy struct {
	MaxLegs    int
	MinRetries float64
	RetryRatio float64
	Window     time.Duration
}

// ReportTiming is how old the nodes' measurements are when they arrive, how often they arrive, and the
// longest backoff that clients honour.
type ReportTiming struct{ Delay, Interval, MaxBackoff time.Duration }
