package limits

import "time"

// maxTimersPerStep bounds the timers handled by one call: each may send a message to a client, which takes 5 to 10 us.
const maxTimersPerStep = 250

// maxMissedHeartbeats is how many heartbeats may stay unanswered before a connection is evicted.
const maxMissedHeartbeats = 3

// finishHandshake ends a handshake. The first heartbeat is due at a random time within the interval, so that clients
// that connect together are not probed together.
func (l *Limits) finishHandshake(i int32) {
	l.handshakes--
	l.conns[i].lastReceived = l.now
	l.timers.Reschedule(l.conns[i].timer, nextPingBatch(l.now+time.Duration(l.random.Int64N(int64(l.capacity.HeartbeatInterval)))+1))
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
		l.evict(i, closeAbort, EvictedInHandshake, 0)
	case c.state == evicting || c.state == closed:
	case c.unansweredPings >= maxMissedHeartbeats:
		// Heartbeats sent are counted rather than time, so that a delay of the director itself does not count
		// against its clients.
		l.evict(i, closePolicyViolation, EvictedAsDead, 0)
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
