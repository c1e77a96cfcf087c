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

// messageItem is what a player says of a request; a request that brings a node plays there already.
func messageItem(p *peer, kind, id, playing string) item {
	p.pending.Add(1)
	return item{peer: p, input: director.ClientReceived{Conn: p.id, Message: wire.SessionMessage{Type: kind, ID: id},
		Details: &director.RequestDetails{PlayingOn: playing}}}
}

func connectingItem(p *peer) item {
	p.pending.Add(1)
	return item{peer: p, input: director.ClientConnecting{Conn: p.id}}
}

// describeItems tells what was taken in a few letters each.
func describeItems(items []item) (all []string) {
	for _, i := range items {
		switch e := i.input.(type) {
		case director.ClientConnecting:
			all = append(all, fmt.Sprintf("%d knocks", e.Conn))
		case director.ClientReceived:
			all = append(all, fmt.Sprintf("%d %s %s", e.Conn, e.Message.Type, e.Message.ID))
		case director.ClientLost:
			all = append(all, fmt.Sprintf("%d closed", e.Conn))
		}
	}
	return all
}

// Before, a request was taken, and an attempt begun for it, though the word that its client had left stood in the same
// line: behind it, and behind one item of everybody else for each that came before it.
func TestWhoLeftIsNotAskedForAnyMore(t *testing.T) {
	for name, c := range map[string]struct {
		script func(b *inbox, p *peer)
		want   []string
	}{
		"cancelled in line": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.enqueueClient(messageItem(p, wire.Request, "b", ""))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
		}, []string{"1 want b"}},
		"cancelled once taken": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "b", ""))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
		}, []string{"1 leave a", "1 want b"}},
		"cancelled before it was let in": {func(b *inbox, p *peer) {
			b.enqueueClient(connectingItem(p))
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
		}, []string{"1 knocks"}},
		"closed in line": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.enqueueClient(messageItem(p, wire.Request, "b", ""))
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 closed"}},
		"closed before it was let in": {func(b *inbox, p *peer) {
			b.enqueueClient(connectingItem(p))
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 knocks", "1 closed"}},
		"an ending keeps its place behind the knock": {func(b *inbox, p *peer) {
			b.enqueueClient(connectingItem(p))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 knocks", "1 leave a", "1 closed"}},
		"what plays is handed over first": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", "s-1"))
			b.cancel(messageItem(p, wire.Cancel, "a", ""), "a")
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, false)
		}, []string{"1 want a", "1 leave a", "1 closed"}},
		"who may come again is still owed": {func(b *inbox, p *peer) {
			b.enqueueClient(messageItem(p, wire.Request, "a", ""))
			b.disconnect(item{input: director.ClientLost{Conn: 1}, peer: p}, true)
		}, []string{"1 want a", "1 closed"}},
	} {
		b, p := newInbox(), &peer{id: 1}
		c.script(b, p)
		taken := b.takeBatch(nil)
		if got := describeItems(taken); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %q, wanted %q", name, got, c.want)
		}
		counted := 0
		for _, i := range taken {
			if i.peer != nil {
				counted++
			}
		}
		if n := int(p.pending.Load()); n != counted || b.queueLength() != 0 || len(b.queue) != 0 {
			t.Errorf("%s: %d of %d counted, %d wait, %d in line", name, n, counted, b.queueLength(), len(b.queue))
		}
	}
}

// A request that is in the loop's hand already, with others before it, is passed over once it is cancelled; one that
// comes under the same id after that is not.
func TestACancelReachesTheBatchInHand(t *testing.T) {
	b, p := newInbox(), &peer{id: 1}
	b.enqueueClient(messageItem(p, wire.Request, "a", ""))
	b.enqueueClient(messageItem(p, wire.Request, "b", ""))
	if n := len(b.takeBatch(nil)); n != 2 {
		t.Fatalf("%d taken", n)
	}
	b.cancel(messageItem(p, wire.Cancel, "b", ""), "b")
	p.pending.Add(-1)
	if b.wasCancelled(p, "a") {
		t.Fatal("the other one is passed over")
	}
	p.pending.Add(-1)
	if !b.wasCancelled(p, "b") {
		t.Fatal("it is not passed over")
	}
	b.takeBatch(nil) // the word itself
	p.pending.Add(-1)
	b.enqueueClient(messageItem(p, wire.Request, "b", ""))
	b.takeBatch(nil)
	p.pending.Add(-1)
	if b.wasCancelled(p, "b") || len(p.cancelled) != 0 {
		t.Fatal("a later one under the same id is passed over")
	}
	p.pending.Add(1) // something of it is in hand for as long as this goes on
	for i := range 10 * batchSize {
		b.cancel(messageItem(p, wire.Cancel, fmt.Sprint(i), ""), fmt.Sprint(i))
	}
	if len(p.cancelled) > batchSize || !b.wasCancelled(p, fmt.Sprint(10*batchSize-1)) {
		t.Fatalf("%d are kept", len(p.cancelled))
	}
}

// Whatever players say, cancel and close, in whatever order: nothing is taken twice or out of its order, no request of
// who had left before, and the counts come out even.
func TestTheLineWithWithdrawals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newInbox()
		players := make([]*peer, 4)
		left := make([]bool, len(players))
		next := 0
		var waiting []map[string]bool
		for i := range players {
			players[i] = &peer{id: uint64(i)}
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
					t.Fatalf("%d %s was withdrawn, or taken before", e.Conn, e.Message.ID)
				}
				delete(waiting[e.Conn], e.Message.ID)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			k := rapid.IntRange(0, len(players)-1).Draw(t, "player")
			p := players[k]
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 2:
				check(b.takeBatch(nil))
			case left[k]:
			case what < 6:
				next++
				id := fmt.Sprint(next)
				waiting[k][id] = true
				b.enqueueClient(messageItem(p, wire.Request, id, ""))
			case what < 9:
				id := fmt.Sprint(rapid.IntRange(1, next+1).Draw(t, "id"))
				delete(waiting[k], id)
				b.cancel(messageItem(p, wire.Cancel, id, ""), id)
			default:
				left[k] = true
				clear(waiting[k])
				b.disconnect(item{input: director.ClientLost{Conn: p.id}, peer: p}, false)
			}
		}
		for b.queueLength() > 0 || len(b.priority) > 0 {
			check(b.takeBatch(nil))
		}
		for k, p := range players {
			if n := p.pending.Load(); n != 0 || len(p.queued) != 0 || len(waiting[k]) != 0 {
				t.Fatalf("player %d: %d pending, %d said, %d never taken", k, n, len(p.queued), len(waiting[k]))
			}
		}
	})
}
