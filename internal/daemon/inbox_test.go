package daemon

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fordusher/internal/director"
	_ "fordusher/internal/testseed"
	"fordusher/internal/wire"
)

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// messageItem is a client's message about a request. A request with a node in playingOn is for a session that plays
// there.
func messageItem(p *peer, kind, id, playingOn string) item {
	p.pending.Add(1)
	return item{peer: p, input: director.ClientReceived{Conn: p.id, Message: wire.SessionMessage{Type: kind, ID: id},
		Details: &director.RequestDetails{PlayingOn: playingOn}}}
}

func connectingItem(p *peer) item {
	p.pending.Add(1)
	return item{peer: p, input: director.ClientConnecting{Conn: p.id}}
}

// describeItems describes each taken item in a few words.
func describeItems(items []item) (all []string) {
	for _, i := range items {
		switch e := i.input.(type) {
		case director.ClientConnecting:
			all = append(all, fmt.Sprintf("%d connecting", e.Conn))
		case director.ClientReceived:
			all = append(all, fmt.Sprintf("%d %s %s", e.Conn, e.Message.Type, e.Message.ID))
		case director.ClientLost:
			all = append(all, fmt.Sprintf("%d closed", e.Conn))
		}
	}
	return all
}

// The loop must not start a leg for a request whose cancellation, or whose client's disconnection, is already in the
// inbox. In one common queue these would wait behind the request, and behind one item of every other client for each
// earlier item of this client.
func TestInboxDropsRequestsOfDepartedClients(t *testing.T) {
	for name, c := range map[string]struct {
		script func(b *inbox, p *peer)
		want   []string
	}{
		"cancelled while queued": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.enqueueClient(messageItem(p, wire.Request, "b", ""))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
		}, []string{"1 want b"}},
		"cancelled after it was taken": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "b", ""))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
		}, []string{"1 leave a", "1 want b"}},
		"cancelled before the connection was accepted": {func(b *inbox, p *peer) {
			b.enqueueClient(connectingItem(p))
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
		}, []string{"1 connecting"}},
		"closed while queued": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.enqueueClient(messageItem(p, wire.Request, "b", ""))
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 closed"}},
		"closed before the connection was accepted": {func(b *inbox, p *peer) {
			b.enqueueClient(connectingItem(p))
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 connecting", "1 closed"}},
		"cancellation and close stay behind the connecting item": {func(b *inbox, p *peer) {
			b.enqueueClient(connectingItem(p))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 connecting", "1 leave a", "1 closed"}},
		"request of a playing session stays before its cancellation": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", "s-1"))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 want a", "1 leave a", "1 closed"}},
		"requests are kept for a client that may return": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, true)
		}, []string{"1 want a", "1 closed"}},
	} {
		b, p := newInbox(), &peer{id: 1}
		c.script(b, p)
		taken := b.takeBatch(nil)
		if got := describeItems(taken); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: took %q, want %q", name, got, c.want)
		}
		withPeer := 0
		for _, i := range taken {
			if i.peer != nil {
				withPeer++
			}
		}
		if n := int(p.pending.Load()); n != withPeer || b.queueLength() != 0 || len(b.queue) != 0 {
			t.Errorf("%s: %d items pending, want %d; %d items and %d clients still queued",
				name, n, withPeer, b.queueLength(), len(b.queue))
		}
	}
}

// A request that is cancelled while it waits in the batch that the loop handles is skipped. A later request with the
// same id is not.
func TestCancelReachesTheTakenBatch(t *testing.T) {
	b, p := newInbox(), &peer{id: 1}
	b.enqueueClient(messageItem(p, wire.Request, "a", ""))
	b.enqueueClient(messageItem(p, wire.Request, "b", ""))
	if n := len(b.takeBatch(nil)); n != 2 {
		t.Fatalf("%d items taken, want 2", n)
	}
	b.cancel(messageItem(p, wire.Cancel, "b", ""), "b")
	p.pending.Add(-1)
	if b.wasCancelled(p, "a") {
		t.Fatal("the request that was not cancelled is skipped")
	}
	p.pending.Add(-1)
	if !b.wasCancelled(p, "b") {
		t.Fatal("the cancelled request is not skipped")
	}
	b.takeBatch(nil) // the cancellation itself
	p.pending.Add(-1)
	b.enqueueClient(messageItem(p, wire.Request, "b", ""))
	b.takeBatch(nil)
	p.pending.Add(-1)
	if b.wasCancelled(p, "b") || len(p.cancelled) != 0 {
		t.Fatal("a later request with the same id is skipped")
	}
	p.pending.Add(1) // an item of the client stays in the batch throughout the loop below
	for i := range 10 * batchSize {
		b.cancel(messageItem(p, wire.Cancel, fmt.Sprint(i), ""), fmt.Sprint(i))
	}
	if len(p.cancelled) > batchSize || !b.wasCancelled(p, fmt.Sprint(10*batchSize-1)) {
		t.Fatalf("%d cancelled ids are kept, or the last is not among them", len(p.cancelled))
	}
}

// For random sequences of requests, cancellations and disconnections, no request is taken twice, after its cancellation
// or after its client has left, and every counter returns to zero.
func TestInboxQueueWithCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newInbox()
		clients := make([]*peer, 4)
		disconnected := make([]bool, len(clients))
		next := 0
		var waiting []map[string]bool
		for i := range clients {
			clients[i] = &peer{id: uint64(i)}
			waiting = append(waiting, map[string]bool{})
		}
		check := func(taken []item) {
			for _, i := range taken {
				if i.peer != nil {
					i.peer.pending.Add(-1)
				}
				e, ok := i.input.(director.ClientReceived)
				if !ok || e.Message.Type != wire.Request {
					continue
				}
				if !waiting[e.Conn][e.Message.ID] {
					t.Fatalf("client %d: request %s was cancelled or taken before", e.Conn, e.Message.ID)
				}
				delete(waiting[e.Conn], e.Message.ID)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			k := rapid.IntRange(0, len(clients)-1).Draw(t, "client")
			p := clients[k]
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 2:
				check(b.takeBatch(nil))
			case disconnected[k]:
			case action < 6:
				next++
				id := fmt.Sprint(next)
				waiting[k][id] = true
				b.enqueueClient(messageItem(p, wire.Request, id, ""))
			case action < 9:
				id := fmt.Sprint(rapid.IntRange(1, next+1).Draw(t, "id"))
				delete(waiting[k], id)
				b.cancel(messageItem(p, wire.Cancel, id, ""), id)
			default:
				disconnected[k] = true
				clear(waiting[k])
				b.disconnect(item{input: director.ClientLost{Conn: p.id}, peer: p}, false)
			}
		}
		for b.queueLength() > 0 || len(b.priority) > 0 {
			check(b.takeBatch(nil))
		}
		for k, p := range clients {
			if n := p.pending.Load(); n != 0 || len(p.queued) != 0 || len(waiting[k]) != 0 {
				t.Fatalf("client %d: %d items pending, %d queued, %d requests never taken", k, n, len(p.queued), len(waiting[k]))
			}
		}
	})
}
