// Package limits decides who may connect to a director, who is asked for a sign of life and when, who is
// closed and in what order when room gets short, and when newcomers are let in again. It does no I/O and
// has no clock: Step takes what happened and when, and returns what is to be done.
//
// Room is used up in steps, with hysteresis between them:
//
//	normal   all are let in
//	saving   all are let in; who has been idle for longer than Patience is let go, in slices that double
//	full     newcomers are turned away with a time to come back; the longest idle are let go, in slices
//	         that double; once there is room, newcomers are let in by a trickle that doubles
//
// Never closed: a connection whose player has a session, a leg out or an answer owed (busy). Where all are
// busy nobody is closed and newcomers wait outside. Where Displace is given, a newcomer takes the place of the
// longest idle instead, and nobody has to come in by a trickle.
//
// Where Descriptors is given, they are one budget for players and nodes together. First come what is Kept (the
// program's own, the listener, the list's source) and those who have said nothing yet (Silent, which others bound);
// then connections to nodes, each of which is asked for by Dial; players have what is left. Where there is nothing left
// for a node, a connection to one that has nothing to do is hung up on, else the longest idle player is cut off; where
// there is neither, the node has to wait.
package limits

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"fordusher/internal/timerqueue"
)

// Capacity is what a director may use for its players' connections, and how it treats the idle ones.
type Capacity struct {
	MaxConnections          int           // at most, handshakes included
	MaxPerAddress           int           // of one address; 0: as many as there are
	MaxHandshakes           int           // under way at one time
	MaxMemory               int64         // bytes that the program may use; 0: not looked at
	HeartbeatInterval       time.Duration // a connection is asked for a sign of life so often
	IdleTimeout             time.Duration // idle for longer than this, it is let go first when room gets short
	HandshakeTimeout        time.Duration // longest handshake
	MaxRetryAfter           time.Duration // longest time that a newcomer is told to stay away
	DisplaceIdleAfter       time.Duration // who has been idle for longer makes place for a newcomer; 0: never
	MaxDescriptors          int           // that the process may hold; 0: Connections is all there is to keep to
	ReservedDescriptors     int           // of these for what is not counted here
	PreHandshakeDescriptors int           // of these for players who have not knocked yet
}

// playersPart is the part of the descriptors that players have to find however many nodes there are.
const playersPart = 3

// FitsNodes tells whether a connection to each of so many nodes fits beside the players' part of the descriptors.
func (r Capacity) FitsNodes(nodes int) bool {
	return r.MaxDescriptors == 0 || r.MaxDescriptors >= r.ReservedDescriptors+r.PreHandshakeDescriptors+r.MaxDescriptors/playersPart+nodes
}

// dialCost is how many descriptors a connection takes while it is made.
const dialCost = 2

// The shares of the room at which its steps begin, and, lower, end.
const (
	savingFrom, savingTo = 0.80, 0.70
	fullFrom, fullTo     = 0.95, 0.90
)

// sliceEvery is the time between slices of connections let go; firstSlice is the first one, and the
// trickle's.
const (
	sliceEvery = 100 * time.Millisecond
	firstSlice = 4
)

// maxMissedHeartbeats is how many signs of life a connection may owe before it is given up.
const maxMissedHeartbeats = 3

// Mode is a step of the room's use.
type Mode int

// The modes.
const (
	Normal Mode = iota
	Shedding
	Full
)

func (m Mode) String() string { return [...]string{"normal", "saving", "full"}[m] }

// EventKind happened to a connection, which the caller names by a small index that is free again after Left.
type EventKind int

// The events.
const (
	ConnectRequest    EventKind = iota // somebody wants to connect; answered by Plan.Admit
	HandshakeDone                      // the handshake is done
	Received                           // something came from the peer, which is still to be worked on: it is not let go for it
	Busy                               // the player has a session, or an answer owed
	Idle                               // it has none any more
	Closed                             // the connection has ended
	MemorySample                       // Memory is what the program uses now
	Draining                           // the director closes: nobody is let in any more
	DialRequest                        // a node is to be connected to; answered by Plan.Admit and Plan.HangUp
	EvictionCancelled                  // who was to be let go has said something meanwhile
	TimerFired                         // the time that was asked for has come
)

// Event is what happened.
type Event struct {
	Kind         EventKind
	Conn         int
	Address      netip.Addr
	Age          time.Duration // Heard: how long ago
	Memory       int64
	Nodes        int  // Knock, Dial, Measure: descriptors that connections to nodes hold
	IdleNodeConn bool // Dial: there is a connection to a node that has nothing to do
}

// Eviction is a connection to let go.
type Eviction struct {
	Conn       int
	Code       int           // of RFC 6455; 0: cut off
	Reason     string        // for the peer
	RetryAfter time.Duration // when to come back; 0: at will
}

// Plan is what is to be done. It is valid until the next Step.
type Plan struct {
	Admit bool // answer to Knock and Dial
	// CloseIdleNode asks for a connection to a node that has nothing to do: there is room once it is hung up on.
	CloseIdleNode bool
	RetryAfter    time.Duration // where it is not admitted: when to come back
	Reason        string        // where it is not admitted
	Ping          []int
	Evict         []Eviction
	Log           string // one line for a change of mode
	More          bool   // more is due now; call again with Ring once other work is done
}

// stage is where a connection stands.
type stage uint8

const (
	closed stage = iota
	handshaking
	idle
	busy
	evicting // told to go; it counts until it has left
)

type conn struct {
	timer      timerqueue.Handle
	next, prev int32 // among the idle, the longest idle first
	address    int32
	stage      stage
	asked      uint8 // signs of life asked for since anything was heard
	heard      time.Duration
	since      time.Duration // idle since
}

type address struct {
	addr  netip.Addr
	conns int32
}

// Limits is the state of one director's connections.
type Limits struct {
	room      Capacity
	chance    *rand.Rand
	conns     []conn // by the caller's index
	first     int32  // the longest idle
	last      int32
	used      int // all but gone
	shaking   int
	busy      int
	leaving   int
	addresses []address // a place is used again once nobody of it is connected
	byAddr    map[netip.Addr]int32
	freeAddr  []int32
	timers    timerqueue.Queue[int32]
	now       time.Duration
	memory    int64
	nodes     int // descriptors that connections to nodes hold
	mode      Mode
	draining  bool
	slice     int           // connections to let go in the next slice
	trickle   int           // newcomers to let in until the next slice; under 0: all
	admitted  int           // of these
	turned    int           // newcomers turned away since the mode began
	due       time.Duration // of the next slice; 0: none
	plan      Plan
	hold      int32 // is not let go in this step
}

const (
	none = int32(-1)
	// expireSteps bounds one call's work on timers: each may be a message to a peer, some 5 to 10 us.
	expireSteps = 250
)

// New starts with nobody connected.
func New(seed uint64, room Capacity) *Limits {
	return &Limits{room: room, chance: rand.New(rand.NewPCG(seed, 6)), first: none, last: none,
		byAddr: map[netip.Addr]int32{}, slice: firstSlice, trickle: -1}
}

// Usage tells how many connections there are, how many of them are busy, and the mode.
func (l *Limits) Usage() (used, busy int, mode Mode) { return l.used, l.busy, l.mode }

// NextTimer is when Step wants a Ring at the latest; ok is false where nothing is due.
func (l *Limits) NextTimer() (at time.Duration, ok bool) {
	at, ok = l.timers.NextDeadline()
	if l.due > 0 && (!ok || l.due < at) {
		return l.due, true
	}
	return at, ok
}

// Step takes what happened at a time and returns what is to be done.
func (l *Limits) Step(now time.Duration, e Event) *Plan {
	stalled := l.used > 0 && now-l.now > l.room.HeartbeatInterval && e.Kind == TimerFired
	l.now = max(l.now, now)
	l.plan = Plan{Ping: l.plan.Ping[:0], Evict: l.plan.Evict[:0]}
	l.hold = none
	if e.Kind == Received {
		l.hold = int32(e.Conn)
	}
	switch e.Kind {
	case ConnectRequest:
		l.nodes = e.Nodes
		l.knock(e)
	case DialRequest:
		l.nodes = e.Nodes
		l.dial(e.IdleNodeConn)
	case MemorySample:
		l.memory, l.nodes = e.Memory, e.Nodes
	case Draining:
		l.draining = true
	case TimerFired:
		if stalled {
			l.forgive()
		}
		l.expire()
	default:
		if e.Conn < len(l.conns) && l.conns[e.Conn].stage != closed {
			l.change(e)
		}
	}
	l.setMode()
	if l.due > 0 && l.now >= l.due {
		l.letGo()
	}
	return &l.plan
}

func (l *Limits) knock(e Event) {
	why := ""
	from := subscriber(e.Address)
	a, known := l.byAddr[from]
	switch {
	case l.draining:
		why = "director closes"
	case (l.used >= l.most() || l.mode == Full) && !l.displace():
		why = "no room"
	case l.shaking >= l.room.MaxHandshakes:
		why = "too many handshakes"
	case l.room.MaxPerAddress > 0 && known && int(l.addresses[a].conns) >= l.room.MaxPerAddress:
		why = "too many connections from this address"
	case l.trickle >= 0 && l.admitted >= l.trickle:
		why = "no room yet"
	}
	if why != "" {
		l.turned++
		l.plan.Reason, l.plan.RetryAfter = why, l.retry()
		return
	}
	l.plan.Admit = true
	l.admitted++
	if !known {
		if n := len(l.freeAddr); n > 0 {
			a, l.freeAddr = l.freeAddr[n-1], l.freeAddr[:n-1]
		} else {
			a = int32(len(l.addresses))
			l.addresses = append(l.addresses, address{})
		}
		l.addresses[a] = address{addr: from}
		l.byAddr[from] = a
	}
	l.addresses[a].conns++
	for e.Conn >= len(l.conns) {
		l.conns = append(l.conns, conn{})
	}
	l.conns[e.Conn] = conn{stage: handshaking, address: a, heard: l.now, next: none, prev: none,
		timer: l.timers.Add(l.now+l.room.HandshakeTimeout, int32(e.Conn))}
	l.used++
	l.shaking++
}

// most is how many players there is room for beside the nodes.
func (l *Limits) most() int {
	if l.room.MaxDescriptors == 0 {
		return max(1, l.room.MaxConnections)
	}
	return max(1, min(l.room.MaxConnections, l.room.MaxDescriptors-l.room.ReservedDescriptors-l.room.PreHandshakeDescriptors-l.nodes-dialCost))
}

// displace lets the longest idle go for a newcomer.
func (l *Limits) displace() bool {
	if l.room.DisplaceIdleAfter == 0 || l.first == none || l.now-l.conns[l.first].since < l.room.DisplaceIdleAfter {
		return false
	}
	l.let(l.first, 0, "idle for longest", 0)
	return true
}

// dial finds room for one more connection to a node.
func (l *Limits) dial(spare bool) {
	free := l.room.MaxDescriptors - l.room.ReservedDescriptors - l.room.PreHandshakeDescriptors - l.nodes - l.used
	switch l.plan.Admit = true; {
	case l.room.MaxDescriptors == 0 || free >= dialCost:
	case spare:
		l.plan.CloseIdleNode = true
	case l.first != none:
		l.let(l.first, 0, "its place is needed", 0)
	default:
		l.plan.Admit = false
	}
}

// subscriber is what one peer is counted by: its address, or, since one has 2^64 of them, its network of IPv6.
func subscriber(a netip.Addr) netip.Addr {
	if a = a.Unmap(); !a.Is6() {
		return a
	}
	network, err := a.Prefix(64)
	if err != nil { // no address of IPv6 has fewer bits than that
		return a
	}
	return network.Addr()
}

// retry spreads those who are turned away over the time that letting them in would take: a second at
// least, more the more there are, drawn between one and two times that.
func (l *Limits) retry() time.Duration {
	pace := max(firstSlice, l.slice)
	wait := max(time.Second, time.Duration(l.turned/pace)*sliceEvery)
	wait = min(wait, l.room.MaxRetryAfter/2)
	return wait + time.Duration(l.chance.Int64N(int64(wait)+1))
}

func (l *Limits) change(e Event) {
	i := int32(e.Conn)
	c := &l.conns[i]
	switch e.Kind {
	case HandshakeDone:
		if c.stage == handshaking {
			l.shook(i)
			l.rest(i)
		}
	case Received:
		if at := l.now - e.Age; at > c.heard {
			c.heard, c.asked = at, 0
		}
	case Busy:
		switch c.stage { // who is let in may have asked for something before it is told here that it shook hands
		case idle:
			l.unlink(i)
		case handshaking:
			l.shook(i)
		default:
			return
		}
		c.stage = busy
		l.busy++
	case Idle:
		if c.stage == busy {
			l.busy--
			l.rest(i)
		}
	case EvictionCancelled:
		if c.stage == evicting {
			l.leaving--
			l.rest(i)
		}
	case Closed:
		switch c.stage {
		case handshaking:
			l.shaking--
		case idle:
			l.unlink(i)
		case busy:
			l.busy--
		case evicting:
			l.leaving--
		}
		l.timers.Cancel(c.timer)
		a := &l.addresses[c.address]
		if a.conns--; a.conns == 0 {
			delete(l.byAddr, a.addr)
			l.freeAddr = append(l.freeAddr, c.address)
		}
		*c = conn{}
		l.used--
	}
}

// shook ends a handshake. The first sign of life is asked for at some moment of the span, so that those who came
// together are not asked together.
func (l *Limits) shook(i int32) {
	l.shaking--
	l.conns[i].heard = l.now
	l.timers.Reschedule(l.conns[i].timer, together(l.now+time.Duration(l.chance.Int64N(int64(l.room.HeartbeatInterval)))+1))
}

// rest puts a connection at the end of the idle.
func (l *Limits) rest(i int32) {
	c := &l.conns[i]
	c.stage, c.since = idle, l.now
	c.prev, c.next = l.last, none
	if l.last != none {
		l.conns[l.last].next = i
	} else {
		l.first = i
	}
	l.last = i
}

func (l *Limits) unlink(i int32) {
	c := &l.conns[i]
	if c.prev != none {
		l.conns[c.prev].next = c.next
	} else {
		l.first = c.next
	}
	if c.next != none {
		l.conns[c.next].prev = c.prev
	} else {
		l.last = c.prev
	}
	c.next, c.prev = none, none
}

// let tells a connection that is not busy to go.
func (l *Limits) let(i int32, code int, why string, retry time.Duration) {
	c := &l.conns[i]
	switch c.stage {
	case idle:
		l.unlink(i)
	case handshaking:
		l.shaking--
	case busy: // its peer is dead: the only reason for which one is given up
		l.busy--
	}
	c.stage = evicting
	l.leaving++
	l.plan.Evict = append(l.plan.Evict, Eviction{int(i), code, why, retry})
}

// expire works off a slice of the timers that are due.
func (l *Limits) expire() {
	for range expireSteps {
		if at, ok := l.timers.NextDeadline(); !ok || at > l.now {
			return
		}
		l.expired(l.timers.Pop())
	}
	at, ok := l.timers.NextDeadline()
	l.plan.More = ok && at <= l.now
}

// expired is a connection's timer: its handshake took too long, or it is time for a sign of life.
func (l *Limits) expired(i int32) {
	c := &l.conns[i]
	c.timer = 0
	switch {
	case c.stage == handshaking:
		l.let(i, 0, "handshake took too long", 0)
	case c.stage == evicting || c.stage == closed:
	case c.asked >= maxMissedHeartbeats:
		// Counted by what was asked, not by time: a director that is late itself must not hold it against
		// its players.
		l.let(i, 1008, "no sign of life", 0)
	case l.now-c.heard < l.room.HeartbeatInterval/2:
		// Who spoke just now need not be asked; the next time is drawn, so that those who were heard
		// together, or forgiven together, are not asked together.
		c.timer = l.timers.Add(together(l.now+l.room.HeartbeatInterval/2+time.Duration(l.chance.Int64N(int64(l.room.HeartbeatInterval/2)+1))), i)
	default:
		l.plan.Ping = append(l.plan.Ping, int(i))
		c.asked++
		c.timer = l.timers.Add(together(l.now+l.room.HeartbeatInterval), i)
	}
}

// pingEvery is the time between batches of signs of life: asked for one by one, each would wake the
// process, and its answer again, which costs far more than the asking.
const pingEvery = 100 * time.Millisecond

// together puts a time off until the next batch.
func together(at time.Duration) time.Duration { return (at + pingEvery - 1) / pingEvery * pingEvery }

// forgive is for a stall of the process: what nobody could have heard is held against nobody.
func (l *Limits) forgive() {
	for i := range l.conns {
		if c := &l.conns[i]; c.stage != closed {
			c.heard, c.asked = l.now, 0
		}
	}
}

// share is the part of the room that is used.
func (l *Limits) share() float64 {
	share := float64(l.used-l.leaving) / float64(l.most())
	if l.room.MaxMemory > 0 {
		share = max(share, float64(l.memory)/float64(l.room.MaxMemory))
	}
	return share
}

func (l *Limits) setMode() {
	share, to := l.share(), l.mode
	switch {
	case share >= fullFrom:
		to = Full
	case l.mode == Full && share > fullTo:
	case share >= savingFrom:
		to = Shedding
	case l.mode != Normal && share > savingTo:
		to = Shedding
	default:
		to = Normal
	}
	if to == l.mode {
		return
	}
	l.plan.Log = fmt.Sprintf("connections: %v, was %v: %d of %d used, %d busy, %d handshakes, %d MiB, %d turned away", to, l.mode, l.used,
		l.most(), l.busy, l.shaking, l.memory>>20, l.turned)
	switch {
	case to == Full:
		l.trickle = -1
	case l.mode == Full && l.room.DisplaceIdleAfter == 0:
		l.trickle, l.admitted = firstSlice, 0
	}
	l.mode, l.slice, l.turned = to, firstSlice, 0
	if l.due == 0 && (to != Normal || l.trickle >= 0) {
		l.due = l.now + sliceEvery
	}
}

// longestIdle is who has been idle for longest and may be let go in this step; none where there is nobody.
func (l *Limits) longestIdle() int32 {
	if l.first != none && l.first == l.hold {
		return l.conns[l.first].next
	}
	return l.first
}

// letGo lets a slice of the idle go, the longest idle first: in saving those over their patience, in full
// as many as it takes to leave it. The next slice is twice as large while there are more.
func (l *Limits) letGo() {
	l.due = 0
	if l.trickle >= 0 { // it went well so far: twice as many newcomers
		l.trickle, l.admitted = l.trickle*2, 0
		if l.trickle > l.room.MaxConnections {
			l.trickle = -1
		}
	}
	let := 0
	for l.mode != Normal && let < l.slice {
		longest := l.longestIdle()
		if longest == none {
			break
		}
		c := &l.conns[longest]
		if l.mode == Shedding && l.now-c.since < l.room.IdleTimeout || l.mode == Full && l.share() <= fullTo {
			break
		}
		l.let(longest, 1013, "no room for the idle", l.retry())
		let++
	}
	if let == l.slice {
		l.slice *= 2
	} else {
		l.slice = firstSlice
	}
	if l.mode != Normal || l.trickle >= 0 {
		l.due = l.now + sliceEvery
	}
}
