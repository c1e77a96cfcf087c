package policy

import (
	"math"
	"time"
)

// LongAgo stands for a start that nobody remembers.
const LongAgo = time.Duration(math.MinInt64)

// Event is something that happened: one of the types below that have an event method.
type Event interface{ event() }

// Demand is a viewer who wants a session; one final answer is owed before HardStop.
type Demand struct {
	ID       uint64
	Tariff   int
	Title    uint64
	Base     int // first cell that holds the title
	Copies   int // cells in a row that hold it
	Top      int // the viewer's best rung
	HardStop time.Duration
	Playing  string // the node, for a session handed over while it plays
}

// Accepted says that a leg's session plays.
type Accepted struct{ ID uint64 }

// Result ends a leg.
type Result struct {
	ID      uint64
	Node    string
	Outcome Outcome
	Final   bool
	Load    Load
}

// Note is news of one session.
type Note struct {
	ID    uint64
	Node  string
	Kind  NoteKind
	Value float64
}

// Gone says that the viewer left.
type Gone struct{ ID uint64 }

// Ring is a timer come due.
type Ring struct{}

// Roster is news of the list of nodes.
type Roster struct {
	Kind    RosterKind
	Entries []Entry
}

func (Demand) event()   {}
func (Accepted) event() {}
func (Result) event()   {}
func (Note) event()     {}
func (Gone) event()     {}
func (Ring) event()     {}
func (Roster) event()   {}

// Outcome is how a leg ended.
type Outcome int

// The outcomes. Full, Unconnected and Moot prove that the leg never ran.
const (
	Served Outcome = iota
	Errored
	Full
	TimedOut
	Unconnected
	Reset
	Cancelled
	Moot
)

// NoteKind tells what a note's value means.
type NoteKind int

// The kinds of note, numbered as their source numbers them.
const (
	ShareNote NoteKind = 1 + iota
	RungNote
	LinkNote
	UplinkNote
)

// RosterKind tells how a Roster's entries are to be read.
type RosterKind int

// The kinds of roster news.
const (
	Update RosterKind = iota
	Replace
	Restored
	Unavailable
)

// NodeState is what the list says of a node.
type NodeState int

// The states of a node.
const (
	Up NodeState = iota
	Draining
	Removed
)

// Entry is a node as the list names it.
type Entry struct {
	Node   string
	State  NodeState
	Kind   int // place among the machine kinds
	Zone   string
	Born   time.Duration // LongAgo where it is not told
	Weight float64
	Cell   int
}

// Load is a node's report; a field that the node does not report is negative.
type Load struct{ Streams, Link, Uplink float64 }

// NoLoad is the report of a node that sent none.
var NoLoad = Load{-1, -1, -1}

// Action is something to be done: one of the types below that have an action method.
type Action interface{ action() }

// Dispatch sends a session's next leg to a node.
type Dispatch struct {
	ID     uint64
	Node   string
	Within time.Duration // 0: until the hard stop
}

// Rate sets a session's rung.
type Rate struct {
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

// Schedule asks for a Ring.
type Schedule struct{ At time.Duration }

// Listen asks for the list's changes, where they are not pushed.
type Listen struct{}

// Log is a line for those on call.
type Log struct{ Words string }

func (Dispatch) action() {}
func (Rate) action()     {}
func (Nack) action()     {}
func (Fail) action()     {}
func (Schedule) action() {}
func (Listen) action()   {}
func (Log) action()      {}

// Peers places this director among its kind.
type Peers struct {
	Me, Directors int
	Zone          string
}

// Tariff is what one kind of session was promised.
type Tariff struct {
	GoalTime time.Duration
	HardStop time.Duration
	Credit   float64
	Paid     bool // set up once: guarded and single-shot tariffs both
	Scale    float64
	Floor    int
	Top      int
	Seats    int // of one title at one director; 0: no limit
	Live     bool
}

// Ladder is the rungs: their rates in kB a second, their worth, and what a further viewer of a live
// title adds.
type Ladder struct {
	Rates    []float64
	Worth    []float64
	JoinAdds float64
}

// Fleet is the nodes' links and racks.
type Fleet struct {
	Cells, Racks int
	LinkUnit     float64 // link of a node, kB a second, for each unit of weight
	Uplink       float64 // mean uplink of a rack, kB a second
	Crossing     float64 // price of a session that crosses zones, as a part of its worth
	RefusesFrom  float64 // a node answers full from so much of its link asked; 0: never
}

// Ramp is how a node that has just started must be treated.
type Ramp struct {
	Places    []float64 // streams at most, by machine kind
	Warmup    time.Duration
	ColdFrom  float64
	Multiple  float64
	TipAfter  time.Duration
	AskWithin time.Duration // 0: the list's changes are pushed
}

// Legs is what limits a session's legs; Span is 0 where further legs are not rationed.
type Legs struct {
	Most  int
	Spare float64
	Share float64
	Span  time.Duration
}

// Tidings is how late and how often nodes tell of their sessions, and the longest backoff that
// viewers heed.
type Tidings struct{ Late, Every, Backoff time.Duration }
