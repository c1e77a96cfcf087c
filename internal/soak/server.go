package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// A server is an emulated streaming server.
type server struct {
	fleet   *fleet
	ln      net.Listener
	id      uint32
	cell    int
	started int64 // ms of the Unix clock; 0: long ago
	state   byte  // the fleet's lock

	mu       sync.Mutex
	sessions map[uint64]*sessionAt
	conns    map[net.Conn]bool
	drains   map[*director]time.Time // since when each director was told
	hangs    time.Time               // it says nothing until then
	dead     bool
}

// A sessionAt is a session at its server, from its set-up on.
type sessionAt struct {
	attempt *attempt
	conn    net.Conn
	stands  bool
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.dead {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = true
		s.mu.Unlock()
		s.fleet.counted.connections.Add(1)
		go s.serve(c)
	}
}

// drainingSince is when a director was told that the server drains or is gone.
func (s *server) drainingSince(d *director) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains[d]
}

func (s *server) serve(c net.Conn) {
	r := rtspReader(c)
	for {
		q, err := readServer(r)
		if err != nil {
			s.disconnected(c)
			return
		}
		s.mu.Lock()
		hangs := max(0, time.Until(s.hangs))
		s.mu.Unlock()
		switch q.method { // what has reached it counts at once, also while it hangs
		case "SETUP":
			s.setup(c, q, hangs)
		case "TEARDOWN":
			s.teardown(q.session)
			time.AfterFunc(hangs, func() { io.WriteString(c, heard(q)) })
		}
	}
}

// disconnected ends the set-ups of a connection; what stands goes on.
func (s *server) disconnected(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	for id, x := range s.sessions {
		if x.conn == c && !x.stands {
			s.fleet.ledger.end(x.attempt, true)
			delete(s.sessions, id)
		}
	}
}

func (s *server) teardown(session uint64) {
	s.mu.Lock()
	x := s.sessions[session]
	delete(s.sessions, session)
	s.mu.Unlock()
	if x != nil {
		s.fleet.ledger.end(x.attempt, true)
	}
}

// What a server does with a set-up, by its share of a thousand.
var behaviours = []struct {
	share int
	do    func(s *server, c net.Conn, id uint64, x *sessionAt)
}{
	{600, (*server).serveSession},
	{60, (*server).releaseAtOnce},
	{20, (*server).releaseFirst},
	{60, func(s *server, c net.Conn, id uint64, x *sessionAt) { s.refuse(c, id, 453, x) }},
	{60, func(s *server, c net.Conn, id uint64, x *sessionAt) { s.refuse(c, id, 500, x) }},
	{30, func(s *server, c net.Conn, id uint64, x *sessionAt) { s.refuse(c, id, 454, x) }},
	{30, func(s *server, c net.Conn, id uint64, x *sessionAt) { s.refuse(c, id, 504, x) }},
	{40, (*server).sayNothing},
	{20, (*server).spoil},
	{20, (*server).truncate},
	{20, (*server).reset},
	{40, (*server).answerTwice},
}

func (s *server) setup(c net.Conn, q serverRequest, hangs time.Duration) {
	x := &sessionAt{attempt: s.fleet.ledger.setup(q.session, s.name(), s.drainingSince, q.within), conn: c}
	s.mu.Lock()
	s.sessions[q.session] = x
	s.mu.Unlock()
	n := 0 // the first of the behaviours
	if !s.fleet.faultless {
		n = s.fleet.draw(1000)
	}
	delay := time.Duration(s.fleet.draw(40)) * time.Millisecond
	for _, b := range behaviours {
		if n -= b.share; n < 0 {
			time.AfterFunc(hangs+delay, func() { b.do(s, c, q.session, x) })
			return
		}
	}
}

const description = "here\r\n"

// takes makes a session stand, if it was not given up meanwhile, and tells whether it does.
func (s *server) takes(id uint64, x *sessionAt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[id] != x || s.dead {
		return false
	}
	x.stands = true
	s.fleet.ledger.end(x.attempt, true) // its answer is about to be written
	return true
}

// ends takes a session that stands off the server.
func (s *server) ends(id uint64, x *sessionAt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[id] != x {
		return false
	}
	delete(s.sessions, id)
	return true
}

func (s *server) serveSession(c net.Conn, id uint64, x *sessionAt) {
	if !s.takes(id, x) {
		return
	}
	io.WriteString(c, serverAnswer(id, 200, description))
	length := time.Duration(50+s.fleet.draw(1200)) * time.Millisecond
	cause := []int{causeEnded, causeEnded, causeMoved, causeCut}[s.fleet.draw(4)]
	time.AfterFunc(length, func() { s.release(c, id, x, cause) })
}

// release says on its connection that a session is over.
func (s *server) release(c net.Conn, id uint64, x *sessionAt, cause int) {
	if !s.ends(id, x) {
		return
	}
	if _, err := io.WriteString(c, serverRelease(id, cause)); err == nil {
		s.fleet.ledger.over(id)
	}
}

// releaseAtOnce says that a session stands and that it is over in one write.
func (s *server) releaseAtOnce(c net.Conn, id uint64, x *sessionAt) {
	if !s.takes(id, x) || !s.ends(id, x) {
		return
	}
	cause := []int{causeEnded, causeMoved, causeCut}[s.fleet.draw(3)]
	if _, err := io.WriteString(c, serverAnswer(id, 200, description)+serverRelease(id, cause)); err == nil {
		s.fleet.ledger.over(id)
	}
}

// releaseFirst says that a session is over that it has not said to stand.
func (s *server) releaseFirst(c net.Conn, id uint64, x *sessionAt) {
	if !s.ends(id, x) {
		return
	}
	s.fleet.ledger.end(x.attempt, true)
	io.WriteString(c, serverRelease(id, causeMoved)+serverAnswer(id, 200, description))
}

func (s *server) refuse(c net.Conn, id uint64, status int, x *sessionAt) {
	if !s.ends(id, x) {
		return
	}
	s.fleet.ledger.end(x.attempt, status != 453 && status != 454)
	io.WriteString(c, serverAnswer(id, status, ""))
}

func (s *server) sayNothing(net.Conn, uint64, *sessionAt) {}

func (s *server) spoil(c net.Conn, id uint64, x *sessionAt) {
	if s.takes(id, x) {
		io.WriteString(c, "\x16\x03\x01 no message")
	}
}

// truncate gives a length that is too short, the rest in a write of its own.
func (s *server) truncate(c net.Conn, id uint64, x *sessionAt) {
	if s.takes(id, x) {
		whole := serverAnswer(id, 200, description)
		io.WriteString(c, whole[:len(whole)-2])
	}
}

func (s *server) reset(c net.Conn, _ uint64, _ *sessionAt) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (s *server) answerTwice(c net.Conn, id uint64, x *sessionAt) {
	if !s.takes(id, x) {
		return
	}
	io.WriteString(c, serverAnswer(id, 200, description))
	time.Sleep(time.Duration(s.fleet.draw(8)) * time.Millisecond)
	io.WriteString(c, serverAnswer(id, 200, description))
	time.AfterFunc(300*time.Millisecond, func() { s.release(c, id, x, causeEnded) })
}

// die ends the server as a process that is killed: its connections are reset and new ones refused.
func (s *server) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	s.ln.Close()
	for id, x := range s.sessions {
		s.fleet.ledger.end(x.attempt, true)
		if x.stands {
			s.fleet.ledger.over(id)
		}
	}
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// resetConnections resets all connections; the server goes on.
func (s *server) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// hang makes the server say nothing for a while.
func (s *server) hang(d time.Duration) {
	s.mu.Lock()
	s.hangs = time.Now().Add(d)
	s.mu.Unlock()
}
