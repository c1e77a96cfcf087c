package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// A mediaNode is a streaming server on a machine of its own. A process on it accepts every set-up.
type mediaNode struct {
	run      *run
	id       uint32
	cell     int
	listener net.Listener

	mu       sync.Mutex
	silent   func(rtspMessage) bool
	conns    map[net.Conn]bool
	sessions map[string]*nodeSession
	starting map[string]bool // set-ups that have no answer yet
	releases []string        // ended sessions whose release is repeated on the next connection
	setups   []sentSetup
}

// A nodeSession is a session that stands at a media node.
type nodeSession struct {
	conn net.Conn // of its set-up
	end  *time.Timer
}

// A sentSetup is a set-up that a media node has received.
type sentSetup struct {
	session   string
	firstCell int // of its title
	at        time.Time
}

const (
	setupTime     = 20 * time.Millisecond
	sessionLength = 50 * time.Second // the site has 18 to 58 s
	maxStreams    = 35               // as in the settings, for the kind of all media nodes
)

// newMediaNode starts a media node at a free address.
func (r *run) newMediaNode(id uint32, cell int) (*mediaNode, error) {
	return r.newMediaNodeAt(id, cell, "127.0.0.1:0")
}

// newMediaNodeAt is newMediaNode at an address.
func (r *run) newMediaNodeAt(id uint32, cell int, address string) (*mediaNode, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &mediaNode{run: r, id: id, cell: cell, listener: l, conns: map[net.Conn]bool{}, sessions: map[string]*nodeSession{},
		starting: map[string]bool{}}
	r.onEnd(func() { l.Close() })
	go n.serve()
	return n, nil
}

func (n *mediaNode) name() string    { return fmt.Sprintf("s-%08x", n.id) }
func (n *mediaNode) address() string { return n.listener.Addr().String() }

// change returns discovery's record of the media node.
func (n *mediaNode) change(state byte, started int64) change {
	return change{n.id, n.address(), state, n.cell, started}
}

func (n *mediaNode) serve() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.serveConn(c)
	}
}

func (n *mediaNode) serveConn(c net.Conn) {
	n.mu.Lock()
	n.conns[c] = true
	releases := n.releases
	n.releases = nil
	n.mu.Unlock()
	n.run.record.line("%s: connection from the director", n.name())
	for _, session := range releases {
		n.write(c, n.release(session))
	}
	in := bufio.NewReader(c)
	for {
		m, err := readRTSP(in)
		if err != nil {
			break
		}
		n.handle(c, m)
	}
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	c.Close()
	n.run.record.line("%s: a connection has ended", n.name())
}

func (n *mediaNode) write(c net.Conn, b []byte) {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(b) // the connection's reader notices if it has ended
}

func (n *mediaNode) handle(c net.Conn, m rtspMessage) {
	session := m.headers["session"]
	if m.method() != "" {
		n.run.record.line("%s: received %s, session %s", n.name(), m.first, session)
	}
	switch m.method() {
	case "SETUP":
		n.mu.Lock()
		n.setups = append(n.setups, sentSetup{session, titleCell(m.first), time.Now()})
		silent := n.silent != nil && n.silent(m)
		full := n.streams() >= maxStreams
		if !full {
			n.starting[session] = true
		}
		n.mu.Unlock()
		if full {
			n.run.record.line("%s: full, session %s is refused", n.name(), session)
			n.write(c, rtspText("RTSP/1.0 453 Not Enough Bandwidth", "", "CSeq: 1", "Session: "+session))
			return
		}
		if silent {
			n.run.record.line("%s: no answer to session %s", n.name(), session)
			return
		}
		time.AfterFunc(setupTime, func() { n.accept(c, m, session) })
	case "TEARDOWN":
		n.mu.Lock()
		delete(n.starting, session)
		if s := n.sessions[session]; s != nil {
			s.end.Stop()
			delete(n.sessions, session)
		}
		n.mu.Unlock()
		n.write(c, rtspText("RTSP/1.0 200 OK", "", "CSeq: 2", "Session: "+session))
	case "OPTIONS":
		n.write(c, rtspText("RTSP/1.0 200 OK", "", "CSeq: 3", "Session: "+session))
	}
}

// accept answers a set-up and lets its session stand, unless its connection has ended.
func (n *mediaNode) accept(c net.Conn, m rtspMessage, session string) {
	n.mu.Lock()
	if !n.conns[c] || !n.starting[session] { // given up meanwhile
		delete(n.starting, session)
		n.mu.Unlock()
		return
	}
	delete(n.starting, session)
	n.sessions[session] = &nodeSession{c, time.AfterFunc(sessionLength, func() { n.finish(session) })}
	n.mu.Unlock()
	n.run.record.line("%s: session %s stands", n.name(), session)
	n.write(c, rtspText("RTSP/1.0 200 OK", "v=0 "+strings.TrimSpace(m.body), "CSeq: 1", "Session: "+session, "X-Group: x0:0.1;x1:0.1"))
}

func (n *mediaNode) release(session string) []byte {
	return rtspText("TEARDOWN rtsp://media/"+session+" RTSP/1.0", "", "CSeq: 4", "Session: "+session, "Reason: cause=16")
}

// finish ends a session. Its release goes out on the connection of its set-up, otherwise on any open one, and on the next.
func (n *mediaNode) finish(session string) {
	n.mu.Lock()
	s := n.sessions[session]
	if s == nil {
		n.mu.Unlock()
		return
	}
	delete(n.sessions, session)
	c := s.conn
	if !n.conns[c] {
		for c = range n.conns {
			break
		}
	}
	n.releases = append(n.releases, session)
	open := n.conns[c]
	n.mu.Unlock()
	n.run.record.line("%s: session %s has come to its end", n.name(), session)
	if open {
		n.write(c, n.release(session))
	}
}

// standing returns the sessions that stand.
func (n *mediaNode) standing() (sessions []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.sessions {
		sessions = append(sessions, id)
	}
	return sessions
}

// setupsSince returns the set-ups received after a time.
func (n *mediaNode) setupsSince(since time.Time) (late []sentSetup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.setups {
		if s.at.After(since) {
			late = append(late, s)
		}
	}
	return late
}

// titleCell returns the first cell of the title in the first line of a set-up. The titles of viewer.setup end in it.
func titleCell(first string) int {
	_, rest, _ := strings.Cut(first, "rtsp://media/")
	title, _, _ := strings.Cut(rest, " ")
	if title == "" {
		return -1
	}
	return int(title[len(title)-1] - '0')
}

// stand lets a session stand that an earlier process of the director has set up.
func (n *mediaNode) stand(session string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[session] = &nodeSession{nil, time.AfterFunc(sessionLength, func() { n.finish(session) })}
}

// streams returns how many streams run or are set up. It is called with the lock held.
func (n *mediaNode) streams() int { return len(n.sessions) + len(n.starting) }
