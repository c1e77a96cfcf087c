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
	"math/rand/v2"
	"net/netip"
	"time"

	"fordusher/internal/timerqueue"
)

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
