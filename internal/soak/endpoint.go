package soak

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// An endpoint is the address at which one director reaches one server. It carries the faults of the network between
// the two.
type endpoint struct {
	director *director // nil: all directors use it
	ln       *net.TCPListener

	mu              sync.Mutex
	owner           *server // the server whose process listens there
	conns           map[*serverConn]bool
	inputBlocked    bool            // what the director sends does not arrive
	blockedSince    time.Time       // when the director's messages were held back last, from then
	unblockedAt     time.Time       // until then
	outputBlocked   bool            // what the server sends does not arrive
	unreachable     bool            // new connections don't come up
	closeEarlyUntil time.Time       // new connections are closed at once
	changed         chan struct{}   // closed and replaced when a fault begins or ends
	fillerPorts     map[string]bool // addresses of fillers that have not been accepted
	fillers         []net.Conn      // connections that fill the accept queue while the endpoint is unreachable
	repeated        []repeatedRelease
}

// A repeatedRelease is a release that is sent also on the next connection.
type repeatedRelease struct {
	session uint64
	server  string
	text    string
}

// maxRepeated bounds the releases that wait for the next connection.
const maxRepeated = 4096

// newEndpoint listens on a loopback port for a server's process.
func newEndpoint(owner *server, d *director) (*endpoint, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	e := &endpoint{director: d, ln: ln, owner: owner, conns: map[*serverConn]bool{}, changed: make(chan struct{}),
		fillerPorts: map[string]bool{}}
	go e.accept()
	return e, nil
}

// accept accepts connections for the owner until the listener is closed.
func (e *endpoint) accept() {
	for {
		raw, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.waitUntil(func() bool { return !e.unreachable })
		if e.isFiller(raw) { // known only after the wait: one may be accepted before its dial has returned
			continue
		}
		conn := &serverConn{Conn: raw, endpoint: e, outgoing: make(chan outgoing, maxRepeated), ended: make(chan struct{})}
		if e.director != nil {
			conn.generation = e.director.currentGeneration()
		}
		e.mu.Lock()
		owner := e.owner
		if time.Now().Before(e.closeEarlyUntil) || owner.isKilled() {
			e.mu.Unlock()
			raw.Close()
			continue
		}
		conn.server = owner
		e.conns[conn] = true
		repeated := e.repeated
		e.repeated = nil
		e.mu.Unlock()
		owner.pool.counters.connections.Add(1)
		go conn.write()
		for _, release := range repeated {
			conn.sendRepeated(release)
		}
		go owner.serve(conn)
	}
}

// isFiller reports whether an accepted connection is one of the run's own.
func (e *endpoint) isFiller(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fillerPorts[c.RemoteAddr().String()] {
		return false
	}
	delete(e.fillerPorts, c.RemoteAddr().String())
	c.Close()
	return true
}

// sendRepeated sends a release once more. If it can't be written, it waits for the next connection again.
func (c *serverConn) sendRepeated(release repeatedRelease) {
	c.send(release.text, func(err error) {
		if err != nil {
			c.endpoint.repeatOnNext(release)
		} else {
			c.server.pool.checker.recordReleaseWritten(release.session, release.server, c.generation)
		}
	})
}

// set changes the faults of the endpoint.
func (e *endpoint) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.holdsBack()
	change()
	switch {
	case !before && e.holdsBack():
		e.blockedSince = time.Now()
	case before && !e.holdsBack():
		e.unblockedAt = time.Now()
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitUntil waits until a condition on the faults holds or the endpoint's listener is closed for good.
func (e *endpoint) waitUntil(holds func() bool) {
	for {
		e.mu.Lock()
		ok, changed := holds(), e.changed
		e.mu.Unlock()
		if ok {
			return
		}
		<-changed
	}
}

// holdsBack reports whether what the director sends is not read now. Callers hold the lock.
func (e *endpoint) holdsBack() bool { return e.inputBlocked || e.unreachable }

// inputDelay is how long the director's messages have been held back, until now or until a moment ago.
func (e *endpoint) inputDelay() time.Duration {
	const readTime = 100 * time.Millisecond // in which what was held back is read
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holdsBack() && (e.unblockedAt.IsZero() || time.Since(e.unblockedAt) > readTime) {
		return 0
	}
	return time.Since(e.blockedSince)
}

// setUnreachable makes the kernel drop requests for new connections, or lets them come up again. A full accept queue has
// the first effect: its length is set to zero, and connections of the run itself fill it.
func (e *endpoint) setUnreachable(unreachable bool) {
	const backlog, fillers = 128, 2
	e.set(func() { e.unreachable = unreachable })
	queue := backlog
	if unreachable {
		queue = 0
	}
	if raw, err := e.ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), queue) })
	}
	if !unreachable {
		e.closeFillers()
		return
	}
	for range fillers {
		if c, err := net.DialTimeout("tcp", e.ln.Addr().String(), 20*time.Millisecond); err == nil {
			e.mu.Lock()
			e.fillerPorts[c.LocalAddr().String()] = true
			e.fillers = append(e.fillers, c)
			e.mu.Unlock()
		}
	}
}

// ownerVanished reports whether the server's machine has vanished, or its process has ended.
func (e *endpoint) ownerVanished() bool {
	e.mu.Lock()
	owner := e.owner
	e.mu.Unlock()
	return owner.isKilled()
}

// replaceOwner gives the address to another server: the connections of the first are reset.
func (e *endpoint) replaceOwner(s *server) {
	e.resetConns()
	e.set(func() {
		e.owner, e.repeated = s, nil
		e.inputBlocked, e.outputBlocked = false, false
	})
}

// resetConns resets all connections.
func (e *endpoint) resetConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.reset()
	}
}

// close closes the listener and resets the connections, and ends all faults.
func (e *endpoint) close() {
	e.ln.Close()
	e.resetConns()
	e.set(func() { e.inputBlocked, e.outputBlocked, e.unreachable = false, false, false })
	e.closeFillers()
}

// closeFillers closes the connections that fill the accept queue.
func (e *endpoint) closeFillers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.fillers {
		c.Close()
	}
	e.fillers = nil
}

// connOf returns the connection on which a server sends what concerns a session: that of its set-up if it is open, else
// any open one, else nil.
func (e *endpoint) connOf(setup *serverConn) *serverConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if setup != nil && e.conns[setup] {
		return setup
	}
	for conn := range e.conns {
		return conn
	}
	return nil
}

// repeatOnNext sends a release also on the next connection.
func (e *endpoint) repeatOnNext(release repeatedRelease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.repeated) < maxRepeated {
		e.repeated = append(e.repeated, release)
	}
}

// A serverConn is a connection of a director to a server.
type serverConn struct {
	net.Conn
	endpoint   *endpoint
	server     *server
	generation int // of the director's process
	outgoing   chan outgoing
	endOnce    sync.Once
	ended      chan struct{}
}

// An outgoing message is written in pieces if it has more than one. Written is called after it was passed to the kernel,
// or if it could not be.
type outgoing struct {
	pieces  []string
	written func(err error)
}

// send queues a message.
func (c *serverConn) send(text string, written func(err error)) {
	pieces := []string{text}
	pool := c.endpoint.ownerPool()
	if pool.dense && len(text) > 2 && pool.randomInt(piecesShare) == 0 {
		at := 1 + pool.randomInt(len(text)-1)
		pieces = []string{text[:at], text[at:]}
	}
	select {
	case c.outgoing <- outgoing{pieces, written}:
	case <-c.ended:
		if written != nil {
			written(net.ErrClosed)
		}
	}
}

// piecesShare: one in so many messages is written in two pieces, pieceDelay apart.
const (
	piecesShare = 12
	pieceDelay  = 3 * time.Millisecond
)

func (e *endpoint) ownerPool() *serverPool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.pool
}

// write writes the queued messages, while the network lets them pass. After the end of the connection it writes what was
// queued before, as a kernel does, and closes it.
func (c *serverConn) write() {
	defer c.Conn.Close()
	for {
		select {
		case m := <-c.outgoing:
			c.writeMessage(m)
			continue
		default:
		}
		select {
		case m := <-c.outgoing:
			c.writeMessage(m)
		case <-c.ended:
			return
		}
	}
}

func (c *serverConn) writeMessage(m outgoing) {
	c.endpoint.waitUntil(func() bool { return !c.endpoint.outputBlocked })
	var err error
	for i, piece := range m.pieces {
		if i > 0 {
			time.Sleep(pieceDelay)
		}
		if _, err = c.Conn.Write([]byte(piece)); err != nil {
			break
		}
	}
	if m.written != nil {
		m.written(err)
	}
}

// end closes the connection once what is queued has been written, and forgets it.
func (c *serverConn) end() {
	c.endpoint.mu.Lock()
	delete(c.endpoint.conns, c)
	c.endpoint.mu.Unlock()
	c.endOnce.Do(func() { close(c.ended) })
}

// reset ends the connection with a TCP reset.
func (c *serverConn) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
}
