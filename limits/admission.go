package limits

import (
	"net/netip"
	"time"
)

// address counts the connections from one address, or from one network of IPv6 addresses; see addressKey.
type address struct {
	addr  netip.Addr
	conns int32
}

// connectRequest admits a new client, or rejects it with a reason and a retry delay.
func (l *Limits) connectRequest(e Event) {
	reason := ""
	key := addressKey(e.Address)
	a, known := l.byAddr[key]
	switch {
	case l.draining:
		reason = RejectedByShutdown
	case (l.used >= l.maxClients() || l.mode == Full) && !l.evictForNewClient():
		reason = RejectedByCapacity
	case l.handshakes >= l.capacity.MaxHandshakes:
		reason = RejectedByHandshakes
	case l.capacity.MaxPerAddress > 0 && known && int(l.addresses[a].conns) >= l.capacity.MaxPerAddress:
		reason = RejectedByAddress
	case l.admitQuota >= 0 && l.admitted >= l.admitQuota:
		reason = RejectedByQuota
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

// evictForNewClient evicts the longest idle connection in favour of a new client, if it has been idle for long enough.
func (l *Limits) evictForNewClient() bool {
	if l.capacity.DisplaceIdleAfter == 0 || l.idleHead == none || l.now-l.conns[l.idleHead].idleSince < l.capacity.DisplaceIdleAfter {
		return false
	}
	l.evict(l.idleHead, closeAbort, EvictedForNewClient, 0)
	return true
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
