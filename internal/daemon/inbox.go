package daemon

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// An item is one input for the loop, with the connection that it introduces, if any.
type item struct {
	input      director.Input
	conn       *transport.Conn
	peer       *peer
	receivedAt time.Time // the earliest time at which a client's message may have arrived, or when a node's answer was read
	held       int64     // bytes of input that the connection holds for the item
}

// itemOverhead is what an item occupies beyond the bytes of its message: the decoded message and the item itself.
const itemOverhead = 1 << 10

// messageCost returns how many bytes of input a message of so many bytes holds while it waits.
func messageCost(size int) int64 { return int64(size) + itemOverhead }

// A peer is the inbox's record of one connection. It counts the connection's items that wait for the loop, because the
// inbox is bounded peer by peer.
type peer struct {
	id              uint64
	conn            *transport.Conn // nil in tests of the inbox alone
	pending         atomic.Int32    // items that the loop has not handled yet
	disconnected    atomic.Bool     // a client has ended the connection, or its side of it
	invalidMessages atomic.Int64    // received from a client
	queued          []item          // a client's items in the client queue; guarded by inbox.mu
	inQueue         bool            // the peer is in inbox.queue; guarded by inbox.mu

	// cancelled holds the ids of cancelled requests that may be in the batch that the loop handles, at most batchSize
	// of them. It is guarded by inbox.mu.
	cancelled []string
}

// done ends the waiting of one of the peer's items: the loop handles it, or it is dropped.
func (p *peer) done(i item) {
	p.pending.Add(-1)
	if p.conn != nil {
		p.conn.ReleaseInput(i.held)
	}
}

// inbox holds the inputs that other goroutines pass to the loop. Messages from connections are bounded peer by peer.
// The other items need no bound: each is the one result of something that the loop itself asked for.
//
// Messages from clients wait in a queue of their own. The loop takes a batch of it after all priority items, so
// messages from nodes and discovery, endings and results that the loop asked for never wait behind requests.
// The items of one client keep their order: while any of them is queued, its later ones are queued too. The queue
// serves clients round robin, one item each, so a client that sends many requests delays itself and not others.
type inbox struct {
	mu          sync.Mutex
	priority    []item
	queue       []*peer // clients with queued items, in the order in which they are served
	head        int     // index of the first client in queue
	queuedCount int     // items of all clients in queue
	wake        chan struct{}
}

// batchSize is the number of queued client items that the loop takes at a time.
const batchSize = 64

// put adds a priority item. A client's messages are added by enqueueClient and cancel instead.
func (b *inbox) put(i item) {
	b.mu.Lock()
	b.priority = append(b.priority, i)
	b.mu.Unlock()
	b.signal()
}

// enqueueClient appends an item of a client's connection to the client queue. The caller has counted it in
// peer.pending, where it stays counted until the loop handles it.
func (b *inbox) enqueueClient(i item) {
	if i.receivedAt.IsZero() {
		i.receivedAt = time.Now()
	}
	b.mu.Lock()
	if !i.peer.inQueue {
		b.queue = append(b.queue, i.peer)
		i.peer.inQueue = true
	}
	if e, ok := i.input.(director.ClientReceived); ok && len(i.peer.cancelled) > 0 { // sent after the cancellation
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

// takeBatch returns all priority items and up to batchSize items of the client queue. It reuses the slice that the
// caller passes, the last batch, for later items.
func (b *inbox) takeBatch(previous []item) []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.priority
	b.priority = previous[:0]
	for limit := len(taken) + batchSize; len(taken) < limit && b.head < len(b.queue); {
		p := b.queue[b.head]
		b.queue[b.head] = nil
		b.head++
		if len(p.queued) > 0 { // otherwise its queued items were cancelled
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

// cancel handles a client's cancellation of a request. If the request is still queued, both are dropped and neither
// reaches the loop. Otherwise the cancellation goes ahead of the queue, so that no leg starts for a request that is
// known to be cancelled. It is queued in order if the loop does not know the connection yet, or if another item with
// the same id, such as the request of a playing session, is still queued.
func (b *inbox) cancel(i item, id string) {
	b.mu.Lock()
	queued := false
	for k, x := range i.peer.queued {
		e, ok := x.input.(director.ClientReceived)
		if ok && e.Message.ID == id && e.StartsSession() {
			i.peer.queued = slices.Delete(i.peer.queued, k, k+1)
			b.queuedCount--
			b.mu.Unlock()
			i.peer.done(x)
			i.peer.done(i)
			return
		}
		queued = queued || !ok || e.Message.ID == id
	}
	if !queued {
		if int(i.peer.pending.Load())-1 > len(i.peer.queued) { // the request may be in the batch that the loop handles
			i.peer.cancelled = append(i.peer.cancelled[max(0, len(i.peer.cancelled)-batchSize+1):], id)
		} else {
			i.peer.cancelled = nil
		}
		b.priority = append(b.priority, i)
	}
	b.mu.Unlock()
	if queued {
		b.enqueueClient(i)
	}
	b.signal()
}

// wasCancelled reports whether a request in the batch that the loop handles was cancelled after the batch was taken.
func (b *inbox) wasCancelled(p *peer, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int(p.pending.Load()) <= len(p.queued) {
		p.cancelled = nil
	}
	return slices.Contains(p.cancelled, id)
}

// disconnect handles the end of a client's connection. It drops the client's queued requests unless keepRequests is
// set, which means that the client may return for their answers. The item goes ahead of the queue unless other items of
// the client are still queued.
func (b *inbox) disconnect(i item, keepRequests bool) {
	p := i.peer
	b.mu.Lock()
	if !keepRequests {
		b.dropRequests(p)
	}
	queued := len(p.queued) > 0
	if !queued {
		i.peer = nil
		b.priority = append(b.priority, i)
	}
	b.mu.Unlock()
	if queued {
		p.pending.Add(1)
		b.enqueueClient(i)
	}
	b.signal()
}

// departed drops the queued requests of a client that has ended its side of a connection. The rest of its messages is
// still read.
func (b *inbox) departed(p *peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropRequests(p)
}

// dropRequests drops the queued requests of a client, which has not to be answered any more. It is called with the lock
// held.
func (b *inbox) dropRequests(p *peer) {
	p.queued = slices.DeleteFunc(p.queued, func(x item) bool {
		e, ok := x.input.(director.ClientReceived)
		if !ok || !e.StartsSession() {
			return false
		}
		b.queuedCount--
		p.done(x)
		return true
	})
}

// length returns the number of all items that wait for the loop.
func (b *inbox) length() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.priority) + b.queuedCount
}

// queueLength returns the number of queued client items.
func (b *inbox) queueLength() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queuedCount
}
