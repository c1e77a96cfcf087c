package director

import (
	"container/list"
	"time"

	"fordusher/internal/wire"
)

// The messages of peers about one session travel on several connections, so an end may come before the hand-over of its
// session. In detached mode the loop therefore keeps the ends of sessions that it does not have, and the ends of its own
// sessions: a hand-over of a session that has ended is answered with the session's end instead of being adopted.

// keptEndRetention is how long an end is kept. By then a client that was to be notified has given up its session.
const keptEndRetention = undeliveredRetention

// maxKeptEnds is how many ends of one kind are kept unless the options allow fewer. Beyond it the oldest is dropped.
const maxKeptEnds = 10_000

func (l *Loop) maxKeptEnds() int {
	if limit := l.options.MaxKeptEnds; limit > 0 && limit < maxKeptEnds {
		return limit
	}
	return maxKeptEnds
}

// An endedSession identifies a session that has ended, by its name and the address of the node that it played on. Address
// is empty if a client has ended it, wherever it plays.
type endedSession struct{ session, address string }

// A keptEnd is the end of a session.
type keptEnd struct {
	key       endedSession
	outcome   legOutcome
	conn      uint64 // the client connection that ended it; 0: a node did
	expiresAt time.Duration
}

// keptEnds holds ends for keptEndRetention each, at most limit of them.
type keptEnds struct {
	limit    int
	byKey    map[endedSession]*list.Element
	byExpiry *list.List // of keptEnd, the next to expire first
}

func newKeptEnds() keptEnds {
	return keptEnds{limit: maxKeptEnds, byKey: map[endedSession]*list.Element{}, byExpiry: list.New()}
}

// add keeps an end, in place of an earlier one of the same session. It reports whether another one was dropped for it
// before its time.
func (k *keptEnds) add(now time.Duration, end keptEnd) (dropped bool) {
	k.removeExpired(now)
	if element := k.byKey[end.key]; element != nil {
		k.remove(element)
	}
	if k.byExpiry.Len() >= k.limit {
		k.remove(k.byExpiry.Front())
		dropped = true
	}
	end.expiresAt = now + keptEndRetention
	k.byKey[end.key] = k.byExpiry.PushBack(end)
	return dropped
}

// find returns the end that is kept for a session.
func (k *keptEnds) find(now time.Duration, key endedSession) (end keptEnd, ok bool) {
	k.removeExpired(now)
	element, ok := k.byKey[key]
	if !ok {
		return keptEnd{}, false
	}
	return element.Value.(keptEnd), true
}

func (k *keptEnds) len() int { return k.byExpiry.Len() }

func (k *keptEnds) removeExpired(now time.Duration) {
	for first := k.byExpiry.Front(); first != nil && first.Value.(keptEnd).expiresAt <= now; first = k.byExpiry.Front() {
		k.remove(first)
	}
}

func (k *keptEnds) remove(element *list.Element) {
	delete(k.byKey, element.Value.(keptEnd).key)
	k.byExpiry.Remove(element)
}

// keepNodeEnd keeps the end of a session that the loop does not have, as its node reports it.
func (l *Loop) keepNodeEnd(n *node, e LinkReceived) {
	key := endedSession{e.Message.Session, n.address}
	if _, known := l.ownEnds.find(l.now, key); known {
		l.dropNodeMessage(DropRepeatedEnd, n.name, e)
		return
	}
	l.event(Event{Kind: EndKept, Request: e.Message.Session, Server: n.name, Link: e.Link, Reason: e.Message.Reason})
	if l.nodeEnds.add(l.now, keptEnd{key: key, outcome: endOutcome(e.Message)}) {
		l.counts.Dropped[DropKeptEnd]++
	}
}

// keepCancel keeps a client's cancellation of a session that the loop does not have.
func (l *Loop) keepCancel(e ClientReceived) {
	l.event(Event{Kind: EndKept, Request: e.Message.ID, Conn: e.Conn, Reason: "cancelled by a client"})
	if l.clientEnds.add(l.now, keptEnd{key: endedSession{session: e.Message.ID}, outcome: outcomeCancelled, conn: e.Conn}) {
		l.counts.Dropped[DropKeptEnd]++
	}
}

// keepOwnEnd keeps the end of a playing session of the loop.
func (l *Loop) keepOwnEnd(g *leg, outcome legOutcome) {
	l.ownEnds.add(l.now, keptEnd{key: endedSession{g.session.name, g.node.address}, outcome: outcome})
}

// keptEndOf returns the end that is kept for a session that plays on a node according to its client.
func (l *Loop) keptEndOf(session string, n *node) (end keptEnd, ok bool) {
	for _, kept := range []*keptEnds{&l.nodeEnds, &l.ownEnds} {
		if end, ok = kept.find(l.now, endedSession{session, n.address}); ok {
			return end, true
		}
	}
	return l.clientEnds.find(l.now, endedSession{session: session})
}

// endOutcome returns the outcome of a playing leg whose node reports its end.
func endOutcome(m wire.NodeMessage) legOutcome {
	switch m.Reason {
	case wire.Lost:
		return outcomeBroken
	case wire.Cancelled:
		return outcomeEndedElsewhere
	}
	return outcomeServed
}

// endReason returns the reason that the client of a session is given for its end.
func endReason(outcome legOutcome) string {
	switch outcome {
	case outcomeServed:
		return ReasonEnded
	case outcomeEndedElsewhere, outcomeCancelled:
		return ReasonEndedElsewhere
	}
	return reasonNodeLost
}
