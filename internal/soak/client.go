package soak

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// A clientConnection is a connection of clients to a director, with the requests that were sent on it.
type clientConnection struct {
	checker *checker
	conn    net.Conn

	writeMu    sync.Mutex // held while a message is written, also between its pieces
	mu         sync.Mutex
	requestIDs []uint64
	closed     bool // by the client
	ended      chan struct{}
	tested     chan struct{} // closed when the director has passed a test
}

// dialClient connects to a director and reads its messages.
func dialClient(d *director) (*clientConnection, error) {
	conn, err := net.DialTimeout("tcp", d.address.String(), time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConnection{checker: d.checker, conn: conn, ended: make(chan struct{}), tested: make(chan struct{})}
	go c.read(d, d.currentGeneration())
	return c, nil
}

// read records the messages of the director until the connection ends. An end that neither the client nor the run has
// caused is recorded with the requests on the connection.
func (c *clientConnection) read(d *director, generation int) {
	defer close(c.ended)
	for {
		m, err := readClientMessage(c.conn)
		if err != nil {
			break
		}
		switch m.kind {
		case kindTested:
			close(c.tested)
		case kindAck:
		default:
			c.checker.recordMessage(m, c.owns(m.session))
		}
	}
	c.conn.Close()
	c.mu.Lock()
	closed, ids := c.closed, c.requestIDs
	c.mu.Unlock()
	if closed || !d.isRunning(generation) {
		return
	}
	c.checker.recordClose(ids, d.closesIdle())
}

// isRunning reports whether a process is the director's current one and the run has not ended it.
func (d *director) isRunning(generation int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation == generation && !d.exitExpected
}

// closesIdle reports whether the director has a reason to close connections on which no request is open: its process has
// been sent SIGTERM, or has more connections than descriptors.
func (d *director) closesIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopRequestedAt.IsZero() || time.Now().Before(d.crowdedUntil)
}

// owns reports whether a request was sent on this connection.
func (c *clientConnection) owns(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.requestIDs, id)
}

// sendRequest sends a request that any server may serve, and returns its id.
func (c *clientConnection) sendRequest(d *director, paid bool, wait time.Duration) uint64 {
	return c.sendRequestFor(d, paid, wait, 0, d.options.Servers)
}

// sendRequestFor sends a request that only the servers of some cells may serve: those of consecutive cells from
// firstCell on, as many as copies.
func (c *clientConnection) sendRequestFor(d *director, paid bool, wait time.Duration, firstCell, copies int) uint64 {
	id := d.checker.addRequest(d, paid, wait)
	class := d.checker.className(id)
	c.mu.Lock()
	c.requestIDs = append(c.requestIDs, id)
	c.mu.Unlock()
	if err := c.writeWhole(d, requestMessage(id, class, wait, firstCell, copies)); err != nil {
		c.checker.markUnsent(id)
	}
	c.checker.markSent(id)
	time.AfterFunc(wait+answerSlack+50*time.Millisecond, func() { c.checker.checkDeadline(id) })
	return id
}

// close closes the connection, which cancels its requests.
func (c *clientConnection) close() {
	c.mu.Lock()
	c.closed = true
	ids := c.requestIDs
	c.mu.Unlock()
	for _, id := range ids {
		c.checker.markCancelled(id)
	}
	c.conn.Close()
}

// closeUnlessOwed closes the connection if all its requests are answered.
func (c *clientConnection) closeUnlessOwed() {
	c.mu.Lock()
	ids := c.requestIDs
	c.mu.Unlock()
	if c.checker.anyOwed(ids) {
		return
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.conn.Close()
}

// hasEnded reports whether the connection has ended.
func (c *clientConnection) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// sendRequests sends requests to a director until the context ends. Most are sent on one shared connection, where some
// are cancelled. The other clients have connections of their own, which they close or on which they send malformed
// data.
func (r *run) sendRequests(ctx context.Context, d *director) {
	const maxInterval = 60 * time.Millisecond // largest time between two requests; the mean is half of it
	var shared *clientConnection
	for sleep(ctx, r.randomDuration(maxInterval)) {
		if !d.acceptsRequests() {
			continue
		}
		if shared == nil || shared.hasEnded() {
			c, err := dialClient(d)
			if err != nil {
				continue // the director is being started again
			}
			shared = c
		}
		if r.Dense && r.actDensely(d, shared) {
			continue
		}
		paid, wait := r.randomInt(4) == 0, r.deadline()-r.randomDuration(r.deadline()/2)
		switch n := r.randomInt(100); {
		case n < 80:
			shared.sendRequest(d, paid, wait)
		case n < 88:
			c := shared
			id := c.sendRequest(d, paid, wait)
			time.AfterFunc(r.randomDuration(100*time.Millisecond), func() {
				d.checker.markCancelled(id)
				c.writeWhole(d, cancelMessage(id))
			})
		default:
			r.requestOnOwnConnection(d, n, paid, wait)
		}
	}
}

// requestOnOwnConnection sends a request on a connection of its own. The kind, a random number from 88 to 99, selects
// what the client does next; with 98 and 99 it only waits for its answer.
func (r *run) requestOnOwnConnection(d *director, kind int, paid bool, wait time.Duration) {
	c, err := dialClient(d)
	if err != nil {
		return
	}
	c.sendRequest(d, paid, wait)
	delay := r.randomDuration(100 * time.Millisecond)
	switch {
	case kind < 92: // closes before or after its answer
		time.AfterFunc(delay, c.close)
		return
	case kind < 96: // sends malformed data after its request, which still has to be answered
		time.AfterFunc(delay, func() { c.conn.Write([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) })
	case kind < 98: // sends half a message
		time.AfterFunc(delay, func() { c.conn.Write(requestMessage(1, "clip", wait, 0, 1)[:20]) })
	}
	time.AfterFunc(wait+2*answerSlack+2*time.Second, c.close)
}
