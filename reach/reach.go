// Package reach decides when a director connects to nodes: at once where one is needed, again after a pause that
// doubles while it fails and is needed, and never to more than so many at a time. A node is needed from when the list
// names it, or, where connections are made on need, while the caller says so. It does no I/O and has no clock: Step
// takes what happened and when, and returns what is to be done.
package reach

import (
	"math/rand/v2"
	"time"

	"fordusher/internal/alarm"
)

// Pace is how connections to nodes are tried.
type Pace struct {
	First  time.Duration // pause after the first failure; each further one doubles it
	Most   time.Duration // up to this
	AtOnce int           // tries under way at one time
	Ping   time.Duration // a connected node is asked for a sign of life so often
	// OnNeed: a node is connected to only while it is needed, and one without anything to do for Keep is hung up on,
	// or checked by making another connection if something plays there. Keep is shorter than the node's own patience,
	// so that nothing is sent on a connection that it closes at the same time. 0: it has none that is known.
	OnNeed bool
	Keep   time.Duration
}

// suspectAfter is how many tries in a row must fail until they speak against a node that refuses none.
const suspectAfter = 2

// deadAfter is how many tries in a row must fail until a node that refuses none is taken for dead. It guards what
// plays there against one that is lost on the way.
const deadAfter = 3

// missed is how many signs of life a node may owe before its connection is given up.
const missed = 3

// Event is something that happened to a node, which the caller names by a small index.
type Event struct {
	Node int
	What What
	Ago  time.Duration // Heard: how long ago
}

// What happened.
type What int

// The events. Ring needs no node.
const (
	Listed   What = iota // the node is to be connected to: newly listed, or started anew
	Unlisted             // it is no longer to be
	Made                 // a try succeeded
	Failed               // a try failed
	Lost                 // a connection that was made has ended
	Heard                // something came from the node, so long ago
	Refused              // a try failed, and the machine itself has said that nothing runs there
	Doubted              // the connection that was made may lead nowhere: it is checked by making another
	Crowded              // a try could not be made for want of room here, which says nothing of the node
	Needed               // there is something to be done at the node, where connections are made on need
	Unneeded             // there no longer is
	Ring                 // the time that was asked for has come
)

// Plan is what is to be done: connect to these nodes now, take these for dead, give the connection up to the one
// that was told of, and ring at a time (0: no need). Of the node that was told of it says whether it is in a pause
// after a failure, and whether what failed speaks against it: one try that runs out of time may be lost on the way.
type Plan struct {
	Dial    []int
	Dead    []int
	GiveUp  bool
	Paused  bool
	Suspect bool
	Ring    time.Duration
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
	due    time.Duration // no try before
	turn   alarm.Handle  // while it is idle and needed
	needed bool
	drop   bool // unlisted while a try was under way
}

// Reach is the state of one director's tries.
type Reach struct {
	pace   Pace
	chance *rand.Rand
	nodes  map[int]*node     // emptied as nodes are unlisted
	turns  alarm.Alarms[int] // of idle nodes
	outs   int               // tries under way
	plan   Plan
}

// Tries is how many are under way.
func (r *Reach) Tries() int { return r.outs }

// New starts with no nodes.
func New(seed uint64, pace Pace) *Reach {
	return &Reach{pace: pace, chance: rand.New(rand.NewPCG(seed, 0)), nodes: map[int]*node{}}
}

// Step takes what happened at a time and returns what is to be done. The plan is valid until the next call.
func (r *Reach) Step(now time.Duration, e Event) Plan {
	r.plan = Plan{Dial: r.plan.Dial[:0], Dead: r.plan.Dead[:0]}
	n := r.nodes[e.Node]
	if e.What == Heard { // a connection may die without a word; nothing else follows from it
		r.plan.GiveUp = n != nil && n.state == made && e.Ago > missed*r.pace.Ping
		return r.plan
	}
	switch {
	case e.What == Ring:
	case e.What == Listed && n == nil:
		n = &node{needed: !r.pace.OnNeed, due: now}
		r.nodes[e.Node] = n
		r.wait(e.Node, n)
	case n == nil: // unlisted meanwhile
	case e.What == Listed: // a new start: what failed before tells nothing of it
		n.drop, n.fails, n.due = false, 0, now
		r.wait(e.Node, n)
	case e.What == Needed:
		n.needed = true
		r.wait(e.Node, n)
		r.plan.Paused = n.state == idle && n.due > now
	case e.What == Unneeded:
		n.needed = !r.pace.OnNeed
		r.wait(e.Node, n)
	case e.What == Unlisted && n.state == trying:
		n.drop = true
	case e.What == Unlisted:
		r.turns.Cancel(n.turn)
		delete(r.nodes, e.Node)
	case e.What == Made && n.state == trying:
		r.outs--
		n.state, n.fails = made, 0
		if n.drop {
			delete(r.nodes, e.Node)
		}
	case e.What == Doubted && n.state == made:
		n.state = trying
		r.outs++
		r.plan.Dial = append(r.plan.Dial, e.Node)
	case (e.What == Failed || e.What == Refused) && n.state == trying:
		r.outs--
		n.state = idle
		if e.What == Refused || n.fails+1 >= deadAfter {
			r.plan.Dead = append(r.plan.Dead, e.Node)
		}
		r.plan.Suspect = e.What == Refused || n.fails+1 >= suspectAfter
		n.fails++
		r.pause(now, e.Node, n)
	case e.What == Crowded && n.state == trying:
		r.outs--
		n.state = idle
		r.pause(now, e.Node, n)
	case e.What == Lost && n.state == made:
		n.state, n.due = idle, now
		r.wait(e.Node, n) // it may be back already; if not, the pauses begin
	}
	r.fill(now)
	return r.plan
}

// pause puts the next try off: between half and all of a span that doubles, so that directors that
// lost a node in the same moment do not come back to it in the same moment.
func (r *Reach) pause(now time.Duration, i int, n *node) {
	if n.drop {
		delete(r.nodes, i)
		return
	}
	span := r.pace.Most
	if again := max(0, n.fails-1); again < 16 {
		span = min(span, r.pace.First<<again)
	}
	n.due = now + span/2 + time.Duration(r.chance.Int64N(int64(span/2)+1))
	r.wait(i, n)
}

// wait puts an idle node's next try at its time, if it is needed.
func (r *Reach) wait(i int, n *node) {
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
func (r *Reach) fill(now time.Duration) {
	for due, ok := r.turns.First(); ok; due, ok = r.turns.First() {
		if due > now {
			r.plan.Ring = due
			return
		}
		if r.outs >= r.pace.AtOnce {
			return // a try that ends calls again
		}
		i := r.turns.Pop()
		r.nodes[i].state, r.nodes[i].turn = trying, 0
		r.outs++
		r.plan.Dial = append(r.plan.Dial, i)
	}
}
