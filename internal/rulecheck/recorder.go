// Package rulecheck records the messages that cross the sockets, as the emulated nodes, clients and discovery at the
// far ends see them, and checks the six rules from these records alone. It uses no internal state of a director.
package rulecheck

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// MonotonicNow is the machine's monotonic clock, the same for every process on it.
func MonotonicNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(fmt.Sprintf("no monotonic clock: %v", err))
	}
	return time.Duration(ts.Nano())
}

// Kinds of records. Each comment begins with the side that adds the record. A message is recorded under its type on the
// wire.
const (
	ConnClosed       = "closed"   // client, node: a connection has ended; ClosedBy has the side that ended it
	ListAcknowledged = "told"     // discovery: a director has acknowledged a server list in which the node is in State
	ListSubscribed   = "listens"  // discovery: a director has connected and subscribed, and has no server list yet
	NodeStarted      = "started"  // node: its process has started and is in slow start
	NodeExited       = "died"     // node: its process has ended
	DirectorKilled   = "killed"   // run: a director was killed; its open requests need no answer
	ClientTimedOut   = "gave up"  // client: it has stopped waiting for an answer
	DirectorStarted  = "returned" // run: a director has started again
	RunStarted       = "scripted" // run: it begins; RequestID has its seed, Reason its script
	ActionApplied    = "acted"    // run: an action of its timeline was applied; Reason has the action as JSON
	SessionEarned    = "earned"   // node: a session has ended; Seconds has what it earned
)

// Sides that end a connection.
const (
	ClosedByPeer     = "peer" // the director
	ClosedByRecorder = "us"   // the emulated side, which records
)

// A Record is one event at an emulated node, client or discovery, or of the run. A message has the time at which the
// emulated side sent or received it.
type Record struct {
	At           time.Duration `json:"at"`
	Kind         string        `json:"what"`
	Client       int           `json:"viewer,omitempty"` // in client records: the client's number
	Conn         uint64        `json:"conn,omitempty"`   // the emulated side's number of the connection
	Director     string        `json:"director,omitempty"`
	Node         string        `json:"node,omitempty"`
	RequestID    string        `json:"id,omitempty"`
	Session      string        `json:"session,omitempty"`
	Leg          uint64        `json:"leg,omitempty"`
	Tariff       string        `json:"tariff,omitempty"`
	Title        string        `json:"title,omitempty"`
	Rung         int           `json:"rung,omitempty"`
	Wait         time.Duration `json:"wait,omitempty"`   // of requests
	StartTimeout time.Duration `json:"within,omitempty"` // of set-ups
	Retry        bool          `json:"again,omitempty"`
	State        string        `json:"state,omitempty"`
	ClosedBy     string        `json:"by,omitempty"`
	MaxStreams   float64       `json:"places,omitempty"` // of NodeStarted
	Reason       string        `json:"why,omitempty"`
	Seconds      float64       `json:"seconds,omitempty"` // of SessionEarned
}

// A Recorder collects records. It can be used by several goroutines at once.
type Recorder struct {
	mu      sync.Mutex
	records []Record
}

// DiscardRecorder is a recorder that drops all records, for loads on which no rules are checked.
var DiscardRecorder = (*Recorder)(nil)

// Add adds a record; its time is now unless it has one.
func (r *Recorder) Add(x Record) {
	if r == nil {
		return
	}
	r.mu.Lock()
	if x.At == 0 {
		x.At = MonotonicNow()
	}
	r.records = append(r.records, x)
	r.mu.Unlock()
}

// Records returns the records so far, sorted by time.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	all := slices.Clone(r.records)
	r.mu.Unlock()
	Sort(all)
	return all
}

// Sort sorts records by time.
func Sort(all []Record) {
	slices.SortStableFunc(all, func(a, b Record) int { return int(min(1, max(-1, a.At-b.At))) })
}
