package soak

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// A clientConnection is one of clients to a director, with the requests that were asked on it.
type clientConnection struct {
	ledger *ledger
	conn   net.Conn

	mu     sync.Mutex
	ids    []uint64
	closed bool // by the client
	ended  chan struct{}
}

func dialClient(d *director) (*clientConnection, error) {
	c, err := net.DialTimeout("tcp", d.address.String(), time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConnection{ledger: d.ledger, conn: c, ended: make(chan struct{})}
	go k.read(d, d.currentLife())
	return k, nil
}

func (k *clientConnection) read(d *director, life int) {
	defer close(k.ended)
	for {
		kind, id, err := readClient(k.conn)
		if err != nil {
			break
		}
		if kind != kindHeard {
			k.ledger.told(id, kind, k.owns(id))
		}
	}
	k.conn.Close()
	k.mu.Lock()
	closed, ids := k.closed, k.ids
	k.mu.Unlock()
	if closed || !d.lives(life) {
		return
	}
	k.ledger.closed(ids)
}

// lives tells whether a process of the director was neither killed nor has ended.
func (d *director) lives(life int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life == life && !d.asked
}

// owns tells whether a request was asked on this connection.
func (k *clientConnection) owns(id uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.ids, id)
}

// ask writes a request that any server may serve, and returns its id.
func (k *clientConnection) ask(d *director, paid bool, wait time.Duration) uint64 {
	return k.askFor(d, paid, wait, 0, d.options.Servers)
}

// askFor writes a request that some servers may serve: so many from a first one on.
func (k *clientConnection) askFor(d *director, paid bool, wait time.Duration, home, copies int) uint64 {
	id := d.ledger.ask(d, paid, wait)
	class := "clip"
	if paid {
		class = "exam"
	}
	k.mu.Lock()
	k.ids = append(k.ids, id)
	k.mu.Unlock()
	if _, err := k.conn.Write(setup(id, class, wait, home, copies)); err != nil {
		k.ledger.unsent(id)
	}
	time.AfterFunc(wait+answerSlack+50*time.Millisecond, func() { k.ledger.late(id) })
	return id
}

// close ends the connection; who has asked on it has gone.
func (k *clientConnection) close() {
	k.mu.Lock()
	k.closed = true
	ids := k.ids
	k.mu.Unlock()
	for _, id := range ids {
		k.ledger.leave(id)
	}
	k.conn.Close()
}

// gone tells whether the connection has ended.
func (k *clientConnection) gone() bool {
	select {
	case <-k.ended:
		return true
	default:
		return false
	}
}

// ask sends a director's requests until the context ends. Most go on one connection that stays; some clients come on
// their own, and cancel, close, or send what can't be read after their request.
func (r *run) ask(ctx context.Context, d *director) {
	const gap = 60 * time.Millisecond // in the mean half of it
	var shared *clientConnection
	for sleep(ctx, r.span(gap)) {
		if !d.takes() {
			continue
		}
		if shared == nil || shared.gone() {
			k, err := dialClient(d)
			if err != nil {
				continue // it is being started anew
			}
			shared = k
		}
		paid, wait := r.draw(4) == 0, longest-r.span(longest/2)
		switch n := r.draw(100); {
		case n < 80:
			shared.ask(d, paid, wait)
		case n < 88:
			k := shared
			id := k.ask(d, paid, wait)
			time.AfterFunc(r.span(100*time.Millisecond), func() {
				d.ledger.leave(id)
				k.conn.Write(cancel(id))
			})
		default:
			r.stranger(d, n, paid, wait)
		}
	}
}

// stranger is a client on a connection of its own.
func (r *run) stranger(d *director, n int, paid bool, wait time.Duration) {
	k, err := dialClient(d)
	if err != nil {
		return
	}
	k.ask(d, paid, wait)
	after := r.span(100 * time.Millisecond)
	switch {
	case n < 92: // closes before or after its answer
		time.AfterFunc(after, k.close)
		return
	case n < 96: // what can't be read behind a request: that is owed its answer all the same
		time.AfterFunc(after, func() { k.conn.Write([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) })
	case n < 98: // half a message
		time.AfterFunc(after, func() { k.conn.Write(setup(1, "clip", wait, 0, 1)[:20]) })
	}
	time.AfterFunc(wait+2*answerSlack+2*time.Second, k.close)
}
