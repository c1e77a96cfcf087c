// Package limits decides which clients may connect to a director, when connections are probed by heartbeats, which
// connections are evicted and in which order when capacity runs short, and when new clients are admitted again. It does
// no I/O and has no clock: Step takes an event and its time, and returns the actions.
//
// The mode follows the share of the capacity in use, with hysteresis:
//
//	normal   every client is admitted
//	saving   (Shedding in the code) every client is admitted; connections idle for longer than IdleTimeout are
//	         evicted, in batches that double
//	full     new clients are rejected with a retry delay; the longest idle connections are evicted, in batches that
//	         double; once capacity is free again, new clients are admitted up to a quota that doubles
//
// A connection whose client has a session, a leg in progress or an owed answer is busy and is not evicted, unless it
// leaves its heartbeats unanswered. If all are busy, no connection is evicted and new clients are rejected. With
// DisplaceIdleAfter, a new client displaces the longest idle connection instead of being rejected, and no quota
// applies.
//
// With MaxDescriptors, clients and nodes share one budget of descriptors. ReservedDescriptors (the program's own files,
// the listener, the connection to discovery) and PreHandshakeDescriptors (connections that have sent no handshake yet,
// whose number is bounded elsewhere) are set aside first. Connections to nodes come next; each is requested by a
// DialRequest. Clients have the rest. If no descriptor is left for a node, an idle connection to another node is
// closed, else the longest idle client is evicted; if there is neither, the dial is refused and the node has to wait.
package limits

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"fordusher/internal/timerqueue"
)

// Capacity sets what a director may use for its clients' connections, and how it treats idle ones.
type Capacity struct {
	MaxConnections          int           // client connections, handshakes in progress included
	MaxPerAddress           int           // connections from one address; 0: unlimited
	MaxHandshakes           int           // handshakes in progress at one time
	MaxMemory               int64         // bytes that the program may use; 0: not checked
	HeartbeatInterval       time.Duration // time between heartbeats on a connection
	IdleTimeout             time.Duration // connections idle for longer are evicted first when capacity runs short
	HandshakeTimeout        time.Duration // longest time for a handshake
	MaxRetryAfter           time.Duration // longest retry delay that a client is given
	DisplaceIdleAfter       time.Duration // a connection idle for longer may be displaced by a new client; 0: never
	MaxDescriptors          int           // descriptors that the process may hold; 0: only MaxConnections applies
	ReservedDescriptors     int           // of MaxDescriptors, set aside for what is not counted here
	PreHandshakeDescriptors int           // of MaxDescriptors, set aside for connections that have sent no handshake yet
}

// clientShareDivisor sets the part of the descriptors that stays for clients, however many nodes there are: one third.
const clientShareDivisor = 3

// FitsNodes reports whether the descriptors suffice for one connection to each of so many nodes, besides the clients'
// part.
func (c Capacity) FitsNodes(nodes int) bool {
	return c.MaxDescriptors == 0 ||
		c.MaxDescriptors >= c.ReservedDescriptors+c.PreHandshakeDescriptors+c.MaxDescriptors/clientShareDivisor+nodes
}

// dialCost is the number of descriptors that a connection to a node takes while it is being established.
const dialCost = 2

// The shares of the capacity in use at which the modes begin and, lower for hysteresis, end.
const (
	sheddingStart, sheddingEnd = 0.80, 0.70
	fullStart, fullEnd         = 0.95, 0.90
)

// batchInterval is the time between batches of evictions. initialBatch is the size of the first batch, and the first
// quota of new clients after full mode.
const (
	batchInterval = 100 * time.Millisecond
	initialBatch  = 4
)

// maxMissedHeartbeats is how many heartbeats may stay unanswered before a connection is evicted.
const maxMissedHeartbeats = 3

// Mode is the level of capacity use; the package comment describes the modes.
type Mode int

// The modes.
const (
	Normal Mode = iota
	Shedding
	Full
)

func (m Mode) String() string { return [...]string{"normal", "saving", "full"}[m] }

// EventKind is the kind of an Event.
type EventKind int

// The events.
const (
	ConnectRequest    EventKind = iota // a client wants to connect; answered by Plan.Admit
	HandshakeDone                      // the client's handshake is complete
	Received                           // data arrived from the client and is not processed yet, so this step does not evict it
	Busy                               // the client has a session or an owed answer
	Idle                               // the client has neither any more
	Closed                             // the connection has ended
	MemorySample                       // Memory is what the program uses now
	Draining                           // the director shuts down: no client is admitted any more
	DialRequest                        // the director wants to connect to a node; answered by Plan.Admit and Plan.CloseIdleNode
	EvictionCancelled                  // data arrived on a connection before its eviction, so it stays open
	TimerFired                         // the time returned by NextTimer has come
)

// Event is something that happened. The caller identifies a connection by a small index, which may be used again after
// Closed.
type Event struct {
	Kind            EventKind
	Conn            int
	Address         netip.Addr
	Age             time.Duration // Received: time since the data arrived
	Memory          int64
	NodeDescriptors int  // ConnectRequest, DialRequest, MemorySample: descriptors held by connections to nodes
	IdleNodeConn    bool // DialRequest: there is an idle connection to another node
}

// Eviction is a connection to close.
type Eviction struct {
	Conn       int
	Code       int           // close code of RFC 6455; 0: abort without a close frame
	Reason     string        // why; sent to the client in a close frame
	RetryAfter time.Duration // delay before the client reconnects; 0: none
}

// Plan is what the caller has to do after an event. It is valid until the next Step.
type Plan struct {
	Admit bool // answer to ConnectRequest and DialRequest
	// CloseIdleNode asks to close an idle connection to a node: that frees the capacity for the dial.
	CloseIdleNode bool
	RetryAfter    time.Duration // if a client is not admitted: delay before it retries
	Reason        string        // if a client is not admitted: why
	Ping          []int         // connections to send a heartbeat to
	Evict         []Eviction
	Log           string // log line for a change of mode; "": none
	More          bool   // more timers are due now; call Step with TimerFired again after other work
}

// connState is the state of a client connection.
type connState uint8

const (
	closed connState = iota
	handshaking
	idle
	busy
	evicting // the eviction is planned; the connection counts as used until Closed
)

// conn is the state of one client connection.
type conn struct {
	timer           timerqueue.Handle
	next, prev      int32 // in the list of idle connections, the longest idle first
	address         int32
	state           connState
	unansweredPings uint8 // heartbeats sent since data was last received
	lastReceived    time.Duration
	idleSince       time.Duration
}

// address counts the connections from one address, or from one network of IPv6 addresses; see addressKey.
type address struct {
	addr  netip.Addr
	conns int32
}

// Limits is the state of one director's client connections.
type Limits struct {
	capacity        Capacity
	random          *rand.Rand
	conns           []conn    // by the caller's index
	idleHead        int32     // the longest idle connection
	idleTail        int32     // the connection that became idle last
	used            int       // connections in any state but closed
	handshakes      int       // of used, those in the handshake
	busy            int       // of used, those that are busy
	evictions       int       // of used, those with a planned eviction
	addresses       []address // an entry is reused once its address has no connection
	byAddr          map[netip.Addr]int32
	freeAddr        []int32
	timers          timerqueue.Queue[int32]
	now             time.Duration
	memory          int64
	nodeDescriptors int // descriptors held by connections to nodes
	mode            Mode
	draining        bool
	batch           int           // connections to evict in the next batch
	admitQuota      int           // new clients to admit until the next batch; negative: unlimited
	admitted        int           // new clients admitted since the last batch
	rejected        int           // new clients rejected since the mode began
	nextBatch       time.Duration // time of the next batch; 0: none
	plan            Plan
	protected       int32 // connection that this step does not evict
}

const (
	none = int32(-1)
	// maxTimersPerStep bounds the timers handled by one call: each may send a message to a client, which takes 5 to 10 us.
	maxTimersPerStep = 250
)

// New returns Limits without connections.
func New(seed uint64, capacity Capacity) *Limits {
	return &Limits{capacity: capacity, random: rand.New(rand.NewPCG(seed, 6)), idleHead: none, idleTail: none,
		byAddr: map[netip.Addr]int32{}, batch: initialBatch, admitQuota: -1}
}

// Usage returns the number of connections, how many of them are busy, and the mode.
func (l *Limits) Usage() (used, busy int, mode Mode) { return l.used, l.busy, l.mode }

// NextTimer returns the time by which Step needs the next TimerFired; ok is false if none is needed.
func (l *Limits) NextTimer() (at time.Duration, ok bool) {
	at, ok = l.timers.NextDeadline()
	if l.nextBatch > 0 && (!ok || l.nextBatch < at) {
		return l.nextBatch, true
	}
	return at, ok
}

// Step processes an event that happened at now and returns what to do.
func (l *Limits) Step(now time.Duration, e Event) *Plan {
	stalled := l.used > 0 && now-l.now > l.capacity.HeartbeatInterval && e.Kind == TimerFired
	l.now = max(l.now, now)
	l.plan = Plan{Ping: l.plan.Ping[:0], Evict: l.plan.Evict[:0]}
	l.protected = none
	if e.Kind == Received {
		l.protected = int32(e.Conn)
	}
	switch e.Kind {
	case ConnectRequest:
		l.nodeDescriptors = e.NodeDescriptors
		l.connectRequest(e)
	case DialRequest:
		l.nodeDescriptors = e.NodeDescriptors
		l.dialRequest(e.IdleNodeConn)
	case MemorySample:
		l.memory, l.nodeDescriptors = e.Memory, e.NodeDescriptors
	case Draining:
		l.draining = true
	case TimerFired:
		if stalled {
			l.resetHeartbeats()
		}
		l.expireTimers()
	default:
		if e.Conn < len(l.conns) && l.conns[e.Conn].state != closed {
			l.connEvent(e)
		}
	}
	l.updateMode()
	if l.nextBatch > 0 && l.now >= l.nextBatch {
		l.runBatch()
	}
	return &l.plan
}

// connectRequest admits a new client, or rejects it with a reason and a retry delay.
func (l *Limits) connectRequest(e Event) {
	reason := ""
	key := addressKey(e.Address)
	a, known := l.byAddr[key]
	switch {
	case l.draining:
		reason = "director closes"
	case (l.used >= l.maxClients() || l.mode == Full) && !l.evictForNewClient():
		reason = "no room"
	case l.handshakes >= l.capacity.MaxHandshakes:
		reason = "too many handshakes"
	case l.capacity.MaxPerAddress > 0 && known && int(l.addresses[a].conns) >= l.capacity.MaxPerAddress:
		reason = "too many connections from this address"
	case l.admitQuota >= 0 && l.admitted >= l.admitQuota:
		reason = "no room yet"
	}
	if reason != "" {
		l.rejected++
		l.plan.Reason, l.plan.RetryAfter = reason, l.retryDelay()
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
		l.addresses[a] = address{addr: key}
		l.byAddr[key] = a
	}
	l.addresses[a].conns++
	for e.Conn >= len(l.conns) {
		l.conns = append(l.conns, conn{})
	}
	l.conns[e.Conn] = conn{state: handshaking, address: a, lastReceived: l.now, next: none, prev: none,
		timer: l.timers.Add(l.now+l.capacity.HandshakeTimeout, int32(e.Conn))}
	l.used++
	l.handshakes++
}

// maxClients returns how many client connections fit besides those to nodes.
func (l *Limits) maxClients() int {
	if l.capacity.MaxDescriptors == 0 {
		return max(1, l.capacity.MaxConnections)
	}
	return max(1, min(l.capacity.MaxConnections,
		l.capacity.MaxDescriptors-l.capacity.ReservedDescriptors-l.capacity.PreHandshakeDescriptors-l.nodeDescriptors-dialCost))
}

// evictForNewClient evicts the longest idle connection in favour of a new client, if it has been idle for long enough.
func (l *Limits) evictForNewClient() bool {
	if l.capacity.DisplaceIdleAfter == 0 || l.idleHead == none || l.now-l.conns[l.idleHead].idleSince < l.capacity.DisplaceIdleAfter {
		return false
	}
	l.evict(l.idleHead, 0, "idle for longest", 0)
	return true
}

// dialRequest finds descriptors for one more connection to a node.
func (l *Limits) dialRequest(idleNodeConn bool) {
	free := l.capacity.MaxDescriptors - l.capacity.ReservedDescriptors - l.capacity.PreHandshakeDescriptors - l.nodeDescriptors - l.used
	switch l.plan.Admit = true; {
	case l.capacity.MaxDescriptors == 0 || free >= dialCost:
	case idleNodeConn:
		l.plan.CloseIdleNode = true
	case l.idleHead != none:
		l.evict(l.idleHead, 0, "its place is needed", 0)
	default:
		l.plan.Admit = false
	}
}

// addressKey returns the key by which connections are counted per address: an IPv4 address itself, and the /64 network
// of an IPv6 address, since one subscriber has 2^64 of these.
func addressKey(a netip.Addr) netip.Addr {
	if a = a.Unmap(); !a.Is6() {
		return a
	}
	network, err := a.Prefix(64)
	if err != nil { // impossible: every IPv6 address has more than 64 bits
		return a
	}
	return network.Addr()
}

// retryDelay spreads the retries of rejected and evicted clients over the time that admitting all of them would take.
// The delay is drawn between one and two times that time, which is a second at least and grows with the number of
// rejected clients.
func (l *Limits) retryDelay() time.Duration {
	perBatch := max(initialBatch, l.batch)
	wait := max(time.Second, time.Duration(l.rejected/perBatch)*batchInterval)
	wait = min(wait, l.capacity.MaxRetryAfter/2)
	return wait + time.Duration(l.random.Int64N(int64(wait)+1))
}

// connEvent processes an event of one open connection.
func (l *Limits) connEvent(e Event) {
	i := int32(e.Conn)
	c := &l.conns[i]
	switch e.Kind {
	case HandshakeDone:
		if c.state == handshaking {
			l.finishHandshake(i)
			l.markIdle(i)
		}
	case Received:
		if at := l.now - e.Age; at > c.lastReceived {
			c.lastReceived, c.unansweredPings = at, 0
		}
	case Busy:
		switch c.state { // an admitted client may send a request before HandshakeDone is reported here
		case idle:
			l.unlinkIdle(i)
		case handshaking:
			l.finishHandshake(i)
		default:
			return
		}
		c.state = busy
		l.busy++
	case Idle:
		if c.state == busy {
			l.busy--
			l.markIdle(i)
		}
	case EvictionCancelled:
		if c.state == evicting {
			l.evictions--
			l.markIdle(i)
		}
	case Closed:
		switch c.state {
		case handshaking:
			l.handshakes--
		case idle:
			l.unlinkIdle(i)
		case busy:
			l.busy--
		case evicting:
			l.evictions--
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

// finishHandshake ends a handshake. The first heartbeat is due at a random time within the interval, so that clients
// that connect together are not probed together.
func (l *Limits) finishHandshake(i int32) {
	l.handshakes--
	l.conns[i].lastReceived = l.now
	l.timers.Reschedule(l.conns[i].timer, nextPingBatch(l.now+time.Duration(l.random.Int64N(int64(l.capacity.HeartbeatInterval)))+1))
}

// markIdle appends a connection to the list of idle connections.
func (l *Limits) markIdle(i int32) {
	c := &l.conns[i]
	c.state, c.idleSince = idle, l.now
	c.prev, c.next = l.idleTail, none
	if l.idleTail != none {
		l.conns[l.idleTail].next = i
	} else {
		l.idleHead = i
	}
	l.idleTail = i
}

// unlinkIdle removes a connection from the list of idle connections.
func (l *Limits) unlinkIdle(i int32) {
	c := &l.conns[i]
	if c.prev != none {
		l.conns[c.prev].next = c.next
	} else {
		l.idleHead = c.next
	}
	if c.next != none {
		l.conns[c.next].prev = c.prev
	} else {
		l.idleTail = c.prev
	}
	c.next, c.prev = none, none
}

// evict plans the eviction of a connection. A busy one is evicted only if its heartbeats stay unanswered.
func (l *Limits) evict(i int32, code int, reason string, retryAfter time.Duration) {
	c := &l.conns[i]
	switch c.state {
	case idle:
		l.unlinkIdle(i)
	case handshaking:
		l.handshakes--
	case busy: // the client is dead; a busy connection is evicted for no other reason
		l.busy--
	}
	c.state = evicting
	l.evictions++
	l.plan.Evict = append(l.plan.Evict, Eviction{int(i), code, reason, retryAfter})
}

// expireTimers handles timers that are due, up to maxTimersPerStep.
func (l *Limits) expireTimers() {
	for range maxTimersPerStep {
		if at, ok := l.timers.NextDeadline(); !ok || at > l.now {
			return
		}
		l.timerExpired(l.timers.Pop())
	}
	at, ok := l.timers.NextDeadline()
	l.plan.More = ok && at <= l.now
}

// timerExpired handles a connection's timer: the handshake took too long, or a heartbeat is due.
func (l *Limits) timerExpired(i int32) {
	c := &l.conns[i]
	c.timer = 0
	switch {
	case c.state == handshaking:
		l.evict(i, 0, "handshake took too long", 0)
	case c.state == evicting || c.state == closed:
	case c.unansweredPings >= maxMissedHeartbeats:
		// Heartbeats sent are counted rather than time, so that a delay of the director itself does not count
		// against its clients.
		l.evict(i, 1008, "no sign of life", 0)
	case l.now-c.lastReceived < l.capacity.HeartbeatInterval/2:
		// A client that sent data just now needs no heartbeat. The next time is random, so that connections that
		// received data together, or were reset together after a stall, are not probed together.
		c.timer = l.timers.Add(nextPingBatch(l.now+l.capacity.HeartbeatInterval/2+
			time.Duration(l.random.Int64N(int64(l.capacity.HeartbeatInterval/2)+1))), i)
	default:
		l.plan.Ping = append(l.plan.Ping, int(i))
		c.unansweredPings++
		c.timer = l.timers.Add(nextPingBatch(l.now+l.capacity.HeartbeatInterval), i)
	}
}

// pingBatchInterval is the time between batches of heartbeats. Sent one by one, each heartbeat and each answer would
// wake the process, which costs far more than the heartbeat itself.
const pingBatchInterval = 100 * time.Millisecond

// nextPingBatch rounds a time up to the next batch of heartbeats.
func nextPingBatch(at time.Duration) time.Duration {
	return (at + pingBatchInterval - 1) / pingBatchInterval * pingBatchInterval
}

// resetHeartbeats treats every connection as if data had just been received on it. After a stall of the process,
// answers may be unread, so no connection may be evicted for missing ones.
func (l *Limits) resetHeartbeats() {
	for i := range l.conns {
		if c := &l.conns[i]; c.state != closed {
			c.lastReceived, c.unansweredPings = l.now, 0
		}
	}
}

// usageShare returns the share of the capacity in use: of the connections or of the memory, whichever is larger.
func (l *Limits) usageShare() float64 {
	share := float64(l.used-l.evictions) / float64(l.maxClients())
	if l.capacity.MaxMemory > 0 {
		share = max(share, float64(l.memory)/float64(l.capacity.MaxMemory))
	}
	return share
}

// updateMode sets the mode by the share of the capacity in use.
func (l *Limits) updateMode() {
	share, mode := l.usageShare(), l.mode
	switch {
	case share >= fullStart:
		mode = Full
	case l.mode == Full && share > fullEnd:
	case share >= sheddingStart:
		mode = Shedding
	case l.mode != Normal && share > sheddingEnd:
		mode = Shedding
	default:
		mode = Normal
	}
	if mode == l.mode {
		return
	}
	l.plan.Log = fmt.Sprintf("connections: mode %v, was %v: %d of %d used, %d busy, %d handshakes, %d MiB, %d rejected",
		mode, l.mode, l.used, l.maxClients(), l.busy, l.handshakes, l.memory>>20, l.rejected)
	switch {
	case mode == Full:
		l.admitQuota = -1
	case l.mode == Full && l.capacity.DisplaceIdleAfter == 0:
		l.admitQuota, l.admitted = initialBatch, 0
	}
	l.mode, l.batch, l.rejected = mode, initialBatch, 0
	if l.nextBatch == 0 && (mode != Normal || l.admitQuota >= 0) {
		l.nextBatch = l.now + batchInterval
	}
}

// longestIdleEvictable returns the longest idle connection that this step may evict, or none.
func (l *Limits) longestIdleEvictable() int32 {
	if l.idleHead != none && l.idleHead == l.protected {
		return l.conns[l.idleHead].next
	}
	return l.idleHead
}

// runBatch evicts a batch of idle connections, the longest idle first: in saving mode those idle for longer than
// IdleTimeout, in full mode as many as it takes to leave that mode. After a full batch the next one is twice as large.
// runBatch also doubles the quota of new clients.
func (l *Limits) runBatch() {
	l.nextBatch = 0
	if l.admitQuota >= 0 { // full mode has not begun again since it ended, so the quota doubles
		l.admitQuota, l.admitted = l.admitQuota*2, 0
		if l.admitQuota > l.capacity.MaxConnections {
			l.admitQuota = -1
		}
	}
	evicted := 0
	for l.mode != Normal && evicted < l.batch {
		longest := l.longestIdleEvictable()
		if longest == none {
			break
		}
		c := &l.conns[longest]
		if l.mode == Shedding && l.now-c.idleSince < l.capacity.IdleTimeout || l.mode == Full && l.usageShare() <= fullEnd {
			break
		}
		l.evict(longest, 1013, "no room for the idle", l.retryDelay())
		evicted++
	}
	if evicted == l.batch {
		l.batch *= 2
	} else {
		l.batch = initialBatch
	}
	if l.mode != Normal || l.admitQuota >= 0 {
		l.nextBatch = l.now + batchInterval
	}
}
