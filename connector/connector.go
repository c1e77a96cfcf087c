// Package connector decides when a director connects to nodes, and when it calls discovery (DiscoveryCalls). A node that is needed is dialed at once; after a failure
// the next dial waits for a backoff that doubles with each further failure. The number of dials in progress is bounded.
// A node is needed from the time the server list names it or, with connections on demand, as long as the caller reports
// that it is. The package does no I/O and has no clock: Step takes an event and its time, and returns the actions.
package connector

import (
	"math/rand/v2"
	"time"

	"fordusher/internal/timerqueue"
)

// ReconnectPolicy sets how connections to nodes are dialed and kept.
type ReconnectPolicy struct {
	InitialBackoff    time.Duration // backoff after the first failure; each further failure doubles it
	MaxBackoff        time.Duration // upper bound of the backoff
	MaxConcurrent     int           // dials in progress at one time
	HeartbeatInterval time.Duration // time between heartbeats on a connection to a node
	// OnDemand: a node is connected only while it is needed. A connection that is unused for IdleTimeout is closed, or
	// checked by another dial if sessions play on the node. IdleTimeout is shorter than the node's own idle timeout,
	// so that nothing is sent on a connection that the node closes at the same time. 0: the node's idle timeout is
	// unknown or absent.
	OnDemand    bool
	IdleTimeout time.Duration
}

// suspectAfter is the number of consecutive failed dials after which a node that does not refuse connections is
// suspect.
const suspectAfter = 2

// deadAfter is the number of consecutive failed dials after which a node that does not refuse connections is taken for
// dead. Several are required so that the sessions on a node survive a dial that is lost in the network.
const deadAfter = 3

// shortLifetime is the lifetime up to which an unused connection says nothing for its node.
const shortLifetime = 100 * time.Millisecond

// maxMissedHeartbeats is how many heartbeats may stay unanswered before the connection to a node is closed.
const maxMissedHeartbeats = 3

// SilenceLimit is how long a node may send nothing before its connection may be dead.
func (p ReconnectPolicy) SilenceLimit() time.Duration {
	return maxMissedHeartbeats * p.HeartbeatInterval
}

// SetSilenceLimit sets HeartbeatInterval by its SilenceLimit.
func (p *ReconnectPolicy) SetSilenceLimit(limit time.Duration) {
	p.HeartbeatInterval = limit / maxMissedHeartbeats
}

// TimeToDead is the longest time from a suspicion until a node that lets every dial time out is taken for dead.
func (p ReconnectPolicy) TimeToDead(dialTimeout time.Duration) time.Duration {
	total := deadAfter * dialTimeout
	for failures := 1; failures < deadAfter; failures++ {
		total += min(p.MaxBackoff, p.InitialBackoff<<(failures-1))
	}
	return total
}

// Event is something that happened to a node. The caller identifies the node by a small index.
type Event struct {
	Node int
	Kind EventKind
	Age  time.Duration // Received: time since the data arrived
	// Unused: with ConnectionLost, nothing was received on the connection.
	Unused bool
}

// EventKind is the kind of an Event.
type EventKind int

// The events. TimerFired applies to no particular node.
const (
	Listed         EventKind = iota // the server list names the node for the first time, or with a new start
	Unlisted                        // the server list no longer names the node
	Connected                       // a dial succeeded
	ConnectFailed                   // a dial failed
	ConnectionLost                  // an established connection ended
	Received                        // data arrived from the node, Age ago
	Refused                         // a dial failed because the machine reported that nothing listens there
	Suspected                       // the established connection may be dead: another dial checks it
	NoCapacity                      // a dial was not possible for lack of local capacity, which says nothing about the node
	Needed                          // with OnDemand: there is work for the node
	Unneeded                        // with OnDemand: there is no more work for the node
	TimerFired                      // the time in Plan.NextTimer has come
)

var eventKindNames = [...]string{Listed: "listed", Unlisted: "unlisted", Connected: "connected", ConnectFailed: "connect failed",
	ConnectionLost: "connection lost", Received: "received", Refused: "refused", Suspected: "suspected", NoCapacity: "no capacity",
	Needed: "needed", Unneeded: "unneeded", TimerFired: "timer fired"}

func (k EventKind) String() string { return eventKindNames[k] }

// Plan is what the caller has to do after an event. Close, BackingOff and Suspect concern the node of the event.
type Plan struct {
	Dial       []int // nodes to connect to now
	Dead       []int // nodes to take for dead
	Close      bool  // close the connection to the node
	BackingOff bool  // the node's next dial waits for its backoff
	// Suspect: the failure counts against the node. A single dial that times out does not, as it may be lost in the
	// network.
	Suspect   bool
	NextTimer time.Duration // time of the next TimerFired; 0: none is needed
}

// state is the state of the connection to a node.
type state int

const (
	idle state = iota // not connected; the next dial waits for its time
	dialing
	connected
)

var stateNames = [...]string{idle: "idle", dialing: "dialing", connected: "connected"}

func (s state) String() string { return stateNames[s] }

// node is what a Connector knows of one node.
type node struct {
	state     state
	failures  int               // consecutive failed dials
	shortLife int               // consecutive connections that ended unused within shortLifetime
	since     time.Duration     // when the connection was made
	notBefore time.Duration     // earliest time of the next dial
	timer     timerqueue.Handle // set while the node is idle and needed
	needed    bool
	unlisted  bool // unlisted while a dial was in progress
}

// Connector is the state of one director's connections to its nodes.
type Connector struct {
	policy   ReconnectPolicy
	random   *rand.Rand
	nodes    map[int]*node         // the listed nodes, and unlisted ones until their dial ends
	timers   timerqueue.Queue[int] // next dials of idle nodes
	inFlight int                   // dials in progress
	plan     Plan
}

// Dialing returns the number of dials in progress.
func (c *Connector) Dialing() int { return c.inFlight }

// New returns a Connector without nodes.
func New(seed uint64, policy ReconnectPolicy) *Connector {
	return &Connector{policy: policy, random: rand.New(rand.NewPCG(seed, 0)), nodes: map[int]*node{}}
}

// Step processes an event that happened at now and returns what to do. The plan is valid until the next call.
func (c *Connector) Step(now time.Duration, e Event) Plan {
	c.plan = Plan{Dial: c.plan.Dial[:0], Dead: c.plan.Dead[:0]}
	n := c.nodes[e.Node]
	if e.Kind == Received { // a connection may die without notice; nothing else depends on the age of the last data
		c.plan.Close = n != nil && n.state == connected && e.Age > maxMissedHeartbeats*c.policy.HeartbeatInterval
		return c.plan
	}
	switch {
	case e.Kind == TimerFired:
	case e.Kind == Listed && n == nil:
		n = &node{needed: !c.policy.OnDemand, notBefore: now}
		c.nodes[e.Node] = n
		c.schedule(e.Node, n)
	case n == nil: // the node has been unlisted
	case e.Kind == Listed: // a new start of the node: earlier failures say nothing about it
		n.unlisted, n.failures, n.notBefore = false, 0, now
		c.schedule(e.Node, n)
	case e.Kind == Needed:
		n.needed = true
		c.schedule(e.Node, n)
		c.plan.BackingOff = n.state == idle && n.notBefore > now
	case e.Kind == Unneeded:
		n.needed = !c.policy.OnDemand
		c.schedule(e.Node, n)
	case e.Kind == Unlisted && n.state == dialing:
		n.unlisted = true
	case e.Kind == Unlisted:
		c.timers.Cancel(n.timer)
		delete(c.nodes, e.Node)
	case e.Kind == Connected && n.state == dialing:
		c.inFlight--
		n.state, n.failures, n.since = connected, 0, now
		if n.unlisted {
			delete(c.nodes, e.Node)
		}
	case e.Kind == Suspected && n.state == connected:
		n.state = dialing
		c.inFlight++
		c.plan.Dial = append(c.plan.Dial, e.Node)
	case (e.Kind == ConnectFailed || e.Kind == Refused) && n.state == dialing:
		c.inFlight--
		n.state = idle
		if e.Kind == Refused || n.failures+1 >= deadAfter {
			c.plan.Dead = append(c.plan.Dead, e.Node)
		}
		c.plan.Suspect = e.Kind == Refused || n.failures+1 >= suspectAfter
		n.failures++
		c.backOff(now, e.Node, n)
	case e.Kind == NoCapacity && n.state == dialing:
		c.inFlight--
		n.state = idle
		c.backOff(now, e.Node, n)
	case e.Kind == ConnectionLost && n.state == connected:
		c.connectionLost(now, e, n)
	}
	c.startDials(now)
	return c.plan
}

// connectionLost has a node dialed at once after its connection has ended: it may be reachable again already, and if the
// dial fails, the backoff begins. It also begins with the second of consecutive connections that end unused as soon as
// they are made.
func (c *Connector) connectionLost(now time.Duration, e Event, n *node) {
	n.state, n.notBefore = idle, now
	if !e.Unused || now-n.since > shortLifetime {
		n.shortLife = 0
	} else if n.shortLife++; n.shortLife > 1 {
		n.notBefore = now + c.backoffTime(n.shortLife-1)
	}
	c.schedule(e.Node, n)
}

func (c *Connector) backoffTime(failures int) time.Duration {
	return backoffTime(c.random, c.policy.InitialBackoff, c.policy.MaxBackoff, failures)
}

// backoffTime returns a random time between half of the backoff after so many failures and all of it. The backoff doubles
// from its initial value with each further failure, up to its maximum.
func backoffTime(random *rand.Rand, initial, maximum time.Duration, failures int) time.Duration {
	backoff := maximum
	if doublings := max(0, failures-1); doublings < 16 {
		backoff = min(backoff, initial<<doublings)
	}
	return backoff/2 + time.Duration(random.Int64N(int64(backoff/2)+1))
}

// backOff delays the next dial by a random time between half of the backoff and all of it, so that directors that lost
// a node at the same time do not dial it at the same time.
func (c *Connector) backOff(now time.Duration, i int, n *node) {
	if n.unlisted {
		delete(c.nodes, i)
		return
	}
	n.notBefore = now + c.backoffTime(n.failures)
	c.schedule(i, n)
}

// schedule sets the timer for the next dial of an idle node, if the node is needed.
func (c *Connector) schedule(i int, n *node) {
	if n.state != idle {
		return
	}
	c.timers.Cancel(n.timer)
	n.timer = 0
	if n.needed {
		n.timer = c.timers.Add(n.notBefore, i)
	}
}

// startDials starts the dials that are due, the longest overdue first, up to the bound on concurrent dials.
func (c *Connector) startDials(now time.Duration) {
	for due, ok := c.timers.NextDeadline(); ok; due, ok = c.timers.NextDeadline() {
		if due > now {
			c.plan.NextTimer = due
			return
		}
		if c.inFlight >= c.policy.MaxConcurrent {
			return // the event that ends a dial calls startDials again
		}
		i := c.timers.Pop()
		c.nodes[i].state, c.nodes[i].timer = dialing, 0
		c.inFlight++
		c.plan.Dial = append(c.plan.Dial, i)
	}
}
