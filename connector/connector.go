// Package connector decides when a director connects to nodes: at once where one is needed, again after a pause that
// doubles while it fails and is needed, and never to more than so many at a time. A node is needed from when the list
// names it, or, where connections are made on need, while the caller says so. It does no I/O and has no clock: Step
// takes what happened and when, and returns what is to be done.
package connector

import (
	"math/rand/v2"
	"time"

	"fordusher/internal/timerqueue"
)

// ReconnectPolicy is how connections to nodes are tried.
type ReconnectPolicy struct {
	InitialBackoff    time.Duration // pause after the first failure; each further one doubles it
	MaxBackoff        time.Duration // up to this
	MaxConcurrent     int           // tries under way at one time
	HeartbeatInterval time.Duration // a connected node is asked for a sign of life so often
	// OnDemand: a node is connected to only while it is needed, and one without anything to do for Keep is hung up on,
	// or checked by making another connection if something plays there. Keep is shorter than the node's own patience,
	// so that nothing is sent on a connection that it closes at the same time. 0: it has none that is known.
	OnDemand    bool
	IdleTimeout time.Duration
}

// suspectAfter is how many tries in a row must fail until they speak against a node that refuses none.
const suspectAfter = 2

// deadAfter is how many tries in a row must fail until a node that refuses none is taken for dead. It guards what
// plays there against one that is lost on the way.
const deadAfter = 3

// maxMissedHeartbeats is how many signs of life a node may owe before its connection is given up.
const maxMissedHeartbeats = 3

// Event is something that happened to a node, which the caller names by a small index.
type Event struct {
	Node int
	Kind EventKind
	Age  time.Duration // Heard: how long ago
}

// EventKind happened.
type EventKind int

// The events. Ring needs no node.
const (
	Listed         EventKind = iota // the node is to be connected to: newly listed, or started anew
	Unlisted                        // it is no longer to be
	Connected                       // a try succeeded
	ConnectFailed                   // a try failed
	ConnectionLost                  // a connection that was made has ended
	Received                        // something came from the node, so long ago
	Refused                         // a try failed, and the machine itself has said that nothing runs there
	Suspected                       // the connection that was made may lead nowhere: it is checked by making another
	NoCapacity                      // a try could not be made for want of room here, which says nothing of the node
	Needed                          // there is something to be done at the node, where connections are made on need
	Unneeded                        // there no longer is
	TimerFired                      // the time that was asked for has come
)

// Plan is what is to be done: connect to these nodes now, take these for dead, give the connection up to the one
// that was told of, and ring at a time (0: no need). Of the node that was told of it says whether it is in a pause
// after a failure, and whether what failed speaks against it: one try that runs out of time may be lost on the way.
type Plan struct {
	Dial       []int
	Dead       []int
	Close      bool
	BackingOff bool
	Suspect    bool
	NextTimer  time.Duration
}

type state int

const (
	idle state = iota // wanted, waiting for its time
	trying
	made
)

type node struct {
	state  state
	fails  int
	due    time.Duration     // no try before
	turn   timerqueue.Handle // while it is idle and needed
	needed bool
	drop   bool // unlisted while a try was under way
}

// Connector is the state of one director's tries.
type Connector struct {
	pace   ReconnectPolicy
	chance *rand.Rand
	nodes  map[int]*node         // emptied as nodes are unlisted
	turns  timerqueue.Queue[int] // of idle nodes
	outs   int                   // tries under way
	plan   Plan
}

// Dialing is how many are under way.
func (r *Connector) Dialing() int { return r.outs }

// New starts with no nodes.
func New(seed uint64, pace ReconnectPolicy) *Connector {
	return &Connector{pace: pace, chance: rand.New(rand.NewPCG(seed, 0)), nodes: map[int]*node{}}
}

// Step takes what happened at a time and returns what is to be done. The plan is valid until the next call.
func (r *Connector) Step(now time.Duration, e Event) Plan {
	r.plan = Plan{Dial: r.plan.Dial[:0], Dead: r.plan.Dead[:0]}
	n := r.nodes[e.Node]
	if e.Kind == Received { // a connection may die without a word; nothing else follows from it
		r.plan.Close = n != nil && n.state == made && e.Age > maxMissedHeartbeats*r.pace.HeartbeatInterval
		return r.plan
	}
	switch {
	case e.Kind == TimerFired:
	case e.Kind == Listed && n == nil:
		n = &node{needed: !r.pace.OnDemand, due: now}
		r.nodes[e.Node] = n
		r.wait(e.Node, n)
	case n == nil: // unlisted meanwhile
	case e.Kind == Listed: // a new start: what failed before tells nothing of it
		n.drop, n.fails, n.due = false, 0, now
		r.wait(e.Node, n)
	case e.Kind == Needed:
		n.needed = true
		r.wait(e.Node, n)
		r.plan.BackingOff = n.state == idle && n.due > now
	case e.Kind == Unneeded:
		n.needed = !r.pace.OnDemand
		r.wait(e.Node, n)
	case e.Kind == Unlisted && n.state == trying:
		n.drop = true
	case e.Kind == Unlisted:
		r.turns.Cancel(n.turn)
		delete(r.nodes, e.Node)
	case e.Kind == Connected && n.state == trying:
		r.outs--
		n.state, n.fails = made, 0
		if n.drop {
			delete(r.nodes, e.Node)
		}
	case e.Kind == Suspected && n.state == made:
		n.state = trying
		r.outs++
		r.plan.Dial = append(r.plan.Dial, e.Node)
	case (e.Kind == ConnectFailed || e.Kind == Refused) && n.state == trying:
		r.outs--
		n.state = idle
		if e.Kind == Refused || n.fails+1 >= deadAfter {
			r.plan.Dead = append(r.plan.Dead, e.Node)
		}
		r.plan.Suspect = e.Kind == Refused || n.fails+1 >= suspectAfter
		n.fails++
		r.pause(now, e.Node, n)
	case e.Kind == NoCapacity && n.state == trying:
		r.outs--
		n.state = idle
		r.pause(now, e.Node, n)
	case e.Kind == ConnectionLost && n.state == made:
		n.state, n.due = idle, now
		r.wait(e.Node, n) // it may be back already; if not, the pauses begin
	}
	r.fill(now)
	return r.plan
}

// pause puts the next try off: between half and all of a span that doubles, so that directors that
// lost a node in the same moment do not come back to it in the same moment.
func (r *Connector) pause(now time.Duration, i int, n *node) {
	if n.drop {
		delete(r.nodes, i)
		return
	}
	span := r.pace.MaxBackoff
	if again := max(0, n.fails-1); again < 16 {
		span = min(span, r.pace.InitialBackoff<<again)
	}
	n.due = now + span/2 + time.Duration(r.chance.Int64N(int64(span/2)+1))
	r.wait(i, n)
}

// wait puts an idle node's next try at its time, if it is needed.
func (r *Connector) wait(i int, n *node) {
	if n.state != idle {
		return
	}
	r.turns.Cancel(n.turn)
	n.turn = 0
	if n.needed {
		n.turn = r.turns.Add(n.due, i)
	}
}

// fill starts the tries that are due, the longest due first, as far as there is room.
func (r *Connector) fill(now time.Duration) {
	for due, ok := r.turns.NextDeadline(); ok; due, ok = r.turns.NextDeadline() {
		if due > now {
			r.plan.NextTimer = due
			return
		}
		if r.outs >= r.pace.MaxConcurrent {
			return // a try that ends calls again
		}
		i := r.turns.Pop()
		r.nodes[i].state, r.nodes[i].turn = trying, 0
		r.outs++
		r.plan.Dial = append(r.plan.Dial, i)
	}
}
