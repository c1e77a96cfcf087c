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
	in   director.Input
	conn *transport.Conn
	peer *peer
	came time.Time // of what stood in line
}

// A peer counts what of it waits for the loop: the inbox's bound, peer by peer.
type peer struct {
	number  uint64
	pending atomic.Int32
	left    atomic.Bool // a player's connection has ended
	said    []item      // what stands in line, of a player; the inbox's
	lined   bool        // it has a place in line; the inbox's
	undone  []string    // ids cancelled while something of it was in the batch in hand; at most a turn. The inbox's
}

// inbox is how everybody else reaches the loop. What connections say is bounded peer by peer; all else
// is one item for each thing that the loop itself asked for.
//
// What players ask stands in a line of its own, of which the loop takes a turn's worth after all else that
// is there: what nodes and the list say, endings, and what the loop asked for never wait behind requests.
// Of one player everything keeps its order: while anything of it stands in line, so does the rest. Players take
// turns, one item each, so that who asks for much waits behind itself and not others behind it.
type inbox struct {
	mu    sync.Mutex
	first []item
	line  []*peer // those who have something in line, the next one first
	head  int     // of the line
	stood int     // items
	wake  chan struct{}
}

// turn is how much of the line is taken at a time.
const turn = 64

// put adds what is not a player's.
func (b *inbox) put(i item) {
	b.mu.Lock()
	b.first = append(b.first, i)
	b.mu.Unlock()
	b.rouse()
}

// stand adds what a player's connection says, at the end of the line. Its peer counts until it is taken.
func (b *inbox) stand(i item) {
	i.came = time.Now()
	b.mu.Lock()
	if !i.peer.lined {
		b.line = append(b.line, i.peer)
		i.peer.lined = true
	}
	if e, ok := i.in.(director.ClientReceived); ok && len(i.peer.undone) > 0 { // what was cancelled came before this
		i.peer.undone = slices.DeleteFunc(i.peer.undone, func(id string) bool { return id == e.Message.ID })
	}
	i.peer.said = append(i.peer.said, i)
	b.stood++
	b.mu.Unlock()
	b.rouse()
}

func (b *inbox) rouse() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns all that is first and a turn of the line.
func (b *inbox) take(into []item) []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.first
	b.first = into[:0]
	for most := len(taken) + turn; len(taken) < most && b.head < len(b.line); {
		p := b.line[b.head]
		b.line[b.head] = nil
		b.head++
		if len(p.said) > 0 { // else it has withdrawn what it had there
			taken = append(taken, p.said[0])
			p.said[0] = item{}
			p.said = p.said[1:]
			b.stood--
		}
		if p.lined = len(p.said) > 0; p.lined {
			b.line = append(b.line, p)
		} else {
			p.said = nil
		}
	}
	if b.head > 1024 && b.head*2 > len(b.line) || b.head == len(b.line) {
		b.line = b.line[:copy(b.line, b.line[b.head:])]
		b.head = 0
	}
	return taken
}

// cancel takes a player's word that it leaves a request. Where the request still stands in line neither reaches the
// loop; else the word goes before all that does, so that no attempt is begun for who is known to have left. It keeps
// its place where what it ends, or the connection itself, is still to be made known.
func (b *inbox) cancel(i item, id string) {
	i.came = time.Now()
	b.mu.Lock()
	stands := false
	for k, x := range i.peer.said {
		e, ok := x.in.(director.ClientReceived)
		if ok && e.Message.ID == id && asks(e) {
			i.peer.said = slices.Delete(i.peer.said, k, k+1)
			b.stood--
			b.mu.Unlock()
			i.peer.pending.Add(-2)
			return
		}
		stands = stands || !ok || e.Message.ID == id
	}
	if !stands {
		if int(i.peer.pending.Load())-1 > len(i.peer.said) { // the request may be in the batch in hand
			i.peer.undone = append(i.peer.undone[max(0, len(i.peer.undone)-turn+1):], id)
		} else {
			i.peer.undone = nil
		}
		b.first = append(b.first, i)
	}
	b.mu.Unlock()
	if stands {
		b.stand(i)
	}
	b.rouse()
}

// undone tells whether a request of the batch in hand was cancelled meanwhile.
func (b *inbox) undone(p *peer, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int(p.pending.Load()) <= len(p.said) {
		p.undone = nil
	}
	return slices.Contains(p.undone, id)
}

// close takes word that a player's connection has ended. What it has asked for is withdrawn from the line where
// nothing is owed to who has left; the word waits only for what else stands there.
func (b *inbox) close(i item, owed bool) {
	p := i.peer
	b.mu.Lock()
	if !owed {
		stood := len(p.said)
		p.said = slices.DeleteFunc(p.said, func(x item) bool {
			said, ok := x.in.(director.ClientReceived)
			return ok && asks(said)
		})
		b.stood -= stood - len(p.said)
		p.pending.Add(int32(len(p.said) - stood))
	}
	stands := len(p.said) > 0
	if !stands {
		i.peer = nil
		b.first = append(b.first, i)
	}
	b.mu.Unlock()
	if stands {
		p.pending.Add(1)
		b.stand(i)
	}
	b.rouse()
}

// asks tells whether a player asks for a session that does not play yet.
func asks(e director.ClientReceived) bool {
	return e.Message.Type == wire.Want && (e.Details == nil || e.Details.PlayingOn == "")
}

// waits is how many stand in line.
func (b *inbox) waits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stood
}
