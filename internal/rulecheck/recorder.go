// Package rulecheck keeps what crossed the sockets, as the stand-ins at their far ends saw it, and checks the
// six rules from that record alone. It knows nothing of a director's books.
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

// What a Record tells of. The words of the wire stand for messages of that name.
const (
	ConnClosed      = "closed"   // player, node: a connection has ended; By tells who ended it
	ListReceived    = "told"     // list: a director has taken a list in which the node stands so (State)
	ListRequested   = "listens"  // list: a director has connected and knows nothing yet
	NodeStarted     = "started"  // day: a node has started, cold
	NodeExited      = "died"     // day: a node's process has ended
	DirectorKilled  = "killed"   // day: a director was killed; it owes nothing any more
	ClientTimedOut  = "gave up"  // player: the time to wait is up
	DirectorStarted = "returned" // day: a director has started again
	RunStarted      = "scripted" // day: it begins; ID is its seed, Why its script
	ActionApplied   = "acted"    // day: something of its timeline was done; Why is what, as JSON
	SessionEarned   = "earned"   // node: what a session has earned by its end (Seconds)
)

// Who may end a connection.
const (
	ClosedByPeer     = "peer"
	ClosedByRecorder = "us" // the stand-in that keeps the record
)

// A Record is one thing that a stand-in saw, at the moment when it sent or received it.
type Record struct {
	At           time.Duration `json:"at"`
	Kind         string        `json:"what"`
	Client       int           `json:"viewer,omitempty"` // player records
	Conn         uint64        `json:"conn,omitempty"`   // the stand-in's number of the connection
	Director     string        `json:"director,omitempty"`
	Node         string        `json:"node,omitempty"`
	RequestID    string        `json:"id,omitempty"`
	Session      string        `json:"session,omitempty"`
	Leg          uint64        `json:"leg,omitempty"`
	Tariff       string        `json:"tariff,omitempty"`
	Title        string        `json:"title,omitempty"`
	Rung         int           `json:"rung,omitempty"`
	Wait         time.Duration `json:"wait,omitempty"`   // want
	StartTimeout time.Duration `json:"within,omitempty"` // setup
	Retry        bool          `json:"again,omitempty"`
	State        string        `json:"state,omitempty"`
	ClosedBy     string        `json:"by,omitempty"`
	MaxStreams   float64       `json:"places,omitempty"` // started
	Reason       string        `json:"why,omitempty"`
	Seconds      float64       `json:"seconds,omitempty"` // earned
}

// A Recorder takes records from many goroutines.
type Recorder struct {
	mu      sync.Mutex
	records []Record
}

// DiscardRecorder is a recorder that keeps nothing, for loads that nobody judges.
var DiscardRecorder = (*Recorder)(nil)

// Add keeps a record; its time is now unless it has one.
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

// Records returns what was kept so far, by time.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	all := slices.Clone(r.records)
	r.mu.Unlock()
	Sort(all)
	return all
}

// Sort puts records in the order of their times.
func Sort(all []Record) {
	slices.SortStableFunc(all, func(a, b Record) int { return int(min(1, max(-1, a.At-b.At))) })
}
