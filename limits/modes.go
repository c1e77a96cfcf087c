package limits

import (
	"fmt"
	"time"
)

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

// Mode is the level of capacity use; the package comment describes the modes.
type Mode int

// The modes.
const (
	Normal Mode = iota
	Shedding
	Full
)

func (m Mode) String() string { return [...]string{"normal", "saving", "full"}[m] }

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
		l.evict(longest, closeTryAgainLater, EvictedForCapacity, l.retryDelay())
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
