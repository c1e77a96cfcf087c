package policy

import (
	"math"
	"time"
)

// UnknownStart stands for a start that nobody remembers.
const UnknownStart = time.Duration(math.MinInt64)

// Event is something that happened: one of the types below that have an event method.
type Event interface{ event() }

// Request is a viewer who wants a session; one final answer is owed before HardStop.
type Request struct {
	ID        uint64
	Tariff    int
	Title     uint64
	FirstCell int // first cell that holds the title
	Copies    int // cells in a row that hold it
	MaxRung   int // the viewer's best rung
	Deadline  time.Duration
	PlayingOn string // the node, for a session handed over while it plays
}

// Accepted says that a leg's session plays.
type Accepted struct{ ID uint64 }

// LegResult ends a leg.
type LegResult struct {
	ID      uint64
	Node    string
	Outcome Outcome
	Final   bool
	Load    Load
}

// Measurement is news of one session.
type Measurement struct {
	ID    uint64
	Node  string
	Kind  MeasurementKind
	Value float64
}

// ClientGone says that the viewer left.
type ClientGone struct{ ID uint64 }

// TimerFired is a timer come due.
type TimerFired struct{}

// ServerList is news of the list of nodes.
type ServerList struct {
	Kind    ServerListKind
	Entries []NodeEntry
}

func (Request) event()     {}
func (Accepted) event()    {}
func (LegResult) event()   {}
func (Measurement) event() {}
func (ClientGone) event()  {}
func (TimerFired) event()  {}
func (ServerList) event()  {}

// Outcome is how a leg ended.
type Outcome int

// The outcomes. Full, Unconnected and Moot prove that the leg never ran.
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

// MeasurementKind tells what a note's value means.
type MeasurementKind int

// The kinds of note, numbered as their source numbers them.
const (
	DeliveredShare MeasurementKind = 1 + iota
	CurrentRung
	LinkLoad
	UplinkLoad
)

// ServerListKind tells how a Roster's entries are to be read.
type ServerListKind int

// The kinds of roster news.
const (
	ListUpdate ServerListKind = iota
	ListReplaced
	ListRestored
	ListUnavailable
)

// NodeState is what the list says of a node.
type NodeState int

// The states of a node.
const (
	Up NodeState = iota
	Draining
	Removed
)

// NodeEntry is a node as the list names it.
type NodeEntry struct {
	Node        string
	State       NodeState
	MachineKind int // place among the machine kinds
	Zone        string
	StartedAt   time.Duration // LongAgo where it is not told
	Weight      float64
	Cell        int
}

// Load is a node's report; a field that the node does not report is negative.
type Load struct{ Streams, Link, Uplink float64 }

// NoLoad is the report of a node that sent none.
var NoLoad = Load{-1, -1, -1}

// Action is something to be done: one of the types below that have an action method.
type Action interface{ action() }

// Dispatch sends a session's next leg to a node.
type Dispatch struct {
	ID      uint64
	Node    string
	Timeout time.Duration // 0: until the hard stop
}

// SetRung sets a session's rung.
type SetRung struct {
	ID   uint64
	Rung int
}

// Nack is the final answer that tells a viewer that coming again does no harm.
type Nack struct {
	ID      uint64
	Backoff time.Duration
}

// Fail is the final answer that claims nothing.
type Fail struct{ ID uint64 }

// SetTimer asks for a Ring.
type SetTimer struct{ At time.Duration }

// PollServerList asks for the list's changes, where they are not pushed.
type PollServerList struct{}

// Log is a line for those on call.
type Log struct{ Message string }

func (Dispatch) action()       {}
func (SetRung) action()        {}
func (Nack) action()           {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (PollServerList) action() {}
func (Log) action()            {}

// Peers places this director among its kind.
type Peers struct {
	Index, Directors int
	Zone             string
}

// Tariff is what one kind of session was promised.
type Tariff struct {
	GoalTime   time.Duration
	HardStop   time.Duration
	Credit     float64
	AtMostOnce bool // set up once: guarded and single-shot tariffs both
	Scale      float64
	Floor      int
	Top        int
	Seats      int // of one title at one director; 0: no limit
	Live       bool
}

// Ladder is the rungs: their rates in kB a second, their worth, and what a further viewer of a live
// title adds.
type Ladder struct {
	Rates    []float64
	Worth    []float64
	JoinCost float64
}

// Fleet is the nodes' links and racks.
type Fleet struct {
	Cells, Racks     int
	LinkUnit         float64 // link of a node, kB a second, for each unit of weight
	Uplink           float64 // mean uplink of a rack, kB a second
	CrossZoneCost    float64 // price of a session that crosses zones, as a part of its worth
	RefusalThreshold float64 // a node answers full from so much of its link asked; 0: never
}

// Ramp is how a node that has just started must be treated.
type Ramp struct {
	MaxStreams       []float64 // streams at most, by machine kind
	Warmup           time.Duration
	InitialShare     float64
	OverloadMultiple float64
	OverloadWindow   time.Duration
	PollWithin       time.Duration // 0: the list's changes are pushed
}

// RetryPolicy is what limits a session's legs; Span is 0 where further legs are not rationed.
type RetryPolicy struct {
	MaxLegs    int
	MinRetries float64
	RetryRatio float64
	Window     time.Duration
}

// ReportTiming is how late and how often nodes tell of their sessions, and the longest backoff that
// viewers heed.
type ReportTiming struct{ Delay, Interval, MaxBackoff time.Duration }
