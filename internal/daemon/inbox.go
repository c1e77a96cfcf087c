package daemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// An item of the inbox is what happened, with the connection that it made known.
type item struct {
	input      director.Input
	conn       *transport.Conn
	peer       *peer
	receivedAt time.Time // of what stood in line
}

// A peer counts what of it waits for the loop: the inbox's bound, peer by peer.
type peer struct {
	id           uint64
	pending      atomic.Int32
	disconnected atomic.Bool // a player's connection has ended
	queued       []item      // what stands in line, of a player; the inbox's
	inQueue      bool        // it has a place in line; the inbox's
	cancelled    []string    // ids cancelled while something of it was in the batch in hand; at most a turn. The inbox's
}

// inbox is how everybody else reaches the loop. What connections say is bounded peer by peer; all else
// is one item for each thing that the loop itself asked for.
//
// What players ask stands in a line of its own, of which the loop takes a turn's worth after all else that
// is there: what nodes and the list say, endings, and what the loop asked for never wait behind requests.
// Of one player everything keeps its order: while anything of it stands in line, so does the rest. Players take
// turns, one item each, so that who asks for much waits behind itself and not others behind it.
type inbox struct {
	mu          sync.Mutex
	priority    []item
	queue       []*peer // those who have something in line, the next one first
	head        int     // of the line
	queuedCount int     // items
	wake        chan struct{}
}

// batchSize is how much of the line is taken at a time.
const batchSize = 64

// put adds what is not a player's.
func (b *inbox) put(i item) {
	b.mu.Lock()
	b.priority = append(b.priority, i)
	b.mu.Unlock()
	b.signal()
}

// enqueueClient adds what a player's connection says, at the end of the line. Its peer counts until it is taken.
func (b *inbox) enqueueClient(i item) {
	i.receivedAt = time.Now()
	b.mu.Lock()
	if !i.peer.inQueue {
		b.queue = append(b.queue, i.peer)
		i.peer.inQueue = true
	}
	if e, ok := i.input.(director.ClientReceived); ok && len(i.peer.cancelled) > 0 { // what was cancelled came before this
		i.peer.cancelled = slices.DeleteFunc(i.peer.cancelled, func(id string) bool { return id == e.Message.ID })
	}
	i.peer.queued = append(i.peer.queued, i)
	b.queuedCount++
	b.mu.Unlock()
	b.signal()
}

func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeBatch returns all that is first and a turn of the line.
func (b *inbox) takeBatch(into []item) []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.priority
	b.priority = into[:0]
	for most := len(taken) + batchSize; len(taken) < most && b.head < len(b.queue); {
		p := b.queue[b.head]
		b.queue[b.head] = nil
		b.head++
		if len(p.queued) > 0 { // else it has withdrawn what it had there
			taken = append(taken, p.queued[0])
			p.queued[0] = item{}
			p.queued = p.queued[1:]
			b.queuedCount--
		}
		if p.inQueue = len(p.queued) > 0; p.inQueue {
			b.queue = append(b.queue, p)
		} else {
			p.queued = nil
		}
	}
	if b.head > 1024 && b.head*2 > len(b.queue) || b.head == len(b.queue) {
		b.queue = b.queue[:copy(b.queue, b.queue[b.head:])]
		b.head = 0
	}
	return taken
}

// cancel takes a player's word that it leaves a request. Where the request still stands in line neither reaches the
// loop; else the word goes before all that does, so that no attempt is begun for who is known to have left. It keeps
// its place where what it ends, or the connection itself, is still to be made known.
func (b *inbox) cancel(i item, id string) {
	i.receivedAt = time.Now()
	b.mu.Lock()
	stands := false
	for k, x := range i.peer.queued {
		e, ok := x.input.(director.ClientReceived)
		if ok && e.Message.ID == id && isNewRequest(e) {
			i.peer.queued = slices.Delete(i.peer.queued, k, k+1)
			b.queuedCount--
			b.mu.Unlock()
			i.peer.pending.Add(-2)
			return
		}
		stands = stands || !ok || e.Message.ID == id
	}
	if !stands {
		if int(i.peer.pending.Load())-1 > len(i.peer.queued) { // the request may be in the batch in hand
			i.peer.cancelled = append(i.peer.cancelled[max(0, len(i.peer.cancelled)-batchSize+1):], id)
		} else {
			i.peer.cancelled = nil
		}
		b.priority = append(b.priority, i)
	}
	b.mu.Unlock()
	if stands {
		b.enqueueClient(i)
	}
	b.signal()
}

// wasCancelled tells whether a request of the batch in hand was cancelled meanwhile.
func (b *inbox) wasCancelled(p *peer, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int(p.pending.Load()) <= len(p.queued) {
		p.cancelled = nil
	}
	return slices.Contains(p.cancelled, id)
}

// disconnect takes word that a player's connection has ended. What it has asked for is withdrawn from the line where
// nothing is owed to who has left; the word waits only for what else stands there.
func (b *inbox) disconnect(i item, owed bool) {
	p := i.peer
	b.mu.Lock()
	if !owed {
		stood := len(p.queued)
		p.queued = slices.DeleteFunc(p.queued, func(x item) bool {
			said, ok := x.input.(director.ClientReceived)
			return ok && isNewRequest(said)
		})
		b.queuedCount -= stood - len(p.queued)
		p.pending.Add(int32(len(p.queued) - stood))
	}
	stands := len(p.queued) > 0
	if !stands {
		i.peer = nil
		b.priority = append(b.priority, i)
	}
	b.mu.Unlock()
	if stands {
		p.pending.Add(1)
		b.enqueueClient(i)
	}
	b.signal()
}

// isNewRequest tells whether a player asks for a session that does not play yet.
func isNewRequest(e director.ClientReceived) bool {
	return e.Message.Type == wire.Request && (e.Details == nil || e.Details.PlayingOn == "")
}

// queueLength is how many stand in line.
func (b *inbox) queueLength() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queuedCount
}
