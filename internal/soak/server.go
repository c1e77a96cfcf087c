package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// A server is an emulated streaming server.
type server struct {
	pool    *serverPool
	ln      net.Listener
	id      uint32
	cell    int   // position in the directors' settings
	started int64 // of the process, in ms of the Unix clock; 0: long ago
	state   byte  // in discovery; guarded by the pool's lock

	mu          sync.Mutex
	sessions    map[uint64]*serverSession
	conns       map[net.Conn]bool
	drainSentAt map[*director]time.Time // when each director was last sent the draining or gone state
	hangUntil   time.Time               // the server sends nothing until then
	killed      bool
}

// A serverSession is a session at a server, from its set-up on.
type serverSession struct {
	attempt *attempt
	conn    net.Conn
	playing bool
}

// accept accepts connections until the listener is closed.
func (s *server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.killed {
			s.mu.Unlock()
			conn.Close()
			continue
		}
		s.conns[conn] = true
		s.mu.Unlock()
		s.pool.counters.connections.Add(1)
		go s.serve(conn)
	}
}

// drainSentTime is when a director was last sent the server's draining or gone state.
func (s *server) drainSentTime(d *director) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainSentAt[d]
}

// serve handles the messages of a connection.
func (s *server) serve(conn net.Conn) {
	r := rtspReader(conn)
	for {
		req, err := readServerRequest(r)
		if err != nil {
			s.connectionClosed(conn)
			return
		}
		s.mu.Lock()
		hangTime := max(0, time.Until(s.hangUntil))
		s.mu.Unlock()
		switch req.method { // requests take effect when they arrive, also while the server hangs
		case "SETUP":
			s.setup(conn, req, hangTime)
		case "TEARDOWN":
			s.teardown(req.session)
			time.AfterFunc(hangTime, func() { io.WriteString(conn, acknowledgement(req)) })
		}
	}
}

// connectionClosed removes a connection and ends its pending set-ups. Sessions that play continue.
func (s *server) connectionClosed(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	for id, session := range s.sessions {
		if session.conn == conn && !session.playing {
			s.pool.checker.endAttempt(session.attempt, true)
			delete(s.sessions, id)
		}
	}
}

// teardown ends a session at the director's request.
func (s *server) teardown(id uint64) {
	s.mu.Lock()
	session := s.sessions[id]
	delete(s.sessions, id)
	s.mu.Unlock()
	if session != nil {
		s.pool.checker.endAttempt(session.attempt, true)
	}
}

// setupResponses are the responses of a server to a set-up, each with its share in thousandths. A faultless server
// always gives the first.
var setupResponses = []struct {
	share   int
	respond func(s *server, conn net.Conn, id uint64, session *serverSession)
}{
	{600, (*server).serveSession},
	{60, (*server).answerAndRelease},
	{20, (*server).releaseBeforeAnswer},
	{60, func(s *server, conn net.Conn, id uint64, session *serverSession) { s.refuse(conn, id, 453, session) }},
	{60, func(s *server, conn net.Conn, id uint64, session *serverSession) { s.refuse(conn, id, 500, session) }},
	{30, func(s *server, conn net.Conn, id uint64, session *serverSession) { s.refuse(conn, id, 454, session) }},
	{30, func(s *server, conn net.Conn, id uint64, session *serverSession) { s.refuse(conn, id, 504, session) }},
	{40, (*server).leaveUnanswered},
	{20, (*server).answerMalformed},
	{20, (*server).truncateAnswer},
	{20, (*server).resetConnection},
	{40, (*server).answerTwice},
}

// setup records a set-up and responds to it after a random delay and the time that the server still hangs.
func (s *server) setup(conn net.Conn, req serverRequest, hangTime time.Duration) {
	session := &serverSession{attempt: s.pool.checker.recordSetup(req.session, s.name(), s.drainSentTime, req.answerTimeout), conn: conn}
	s.mu.Lock()
	s.sessions[req.session] = session
	s.mu.Unlock()
	n := 0 // the first of the responses
	if !s.pool.faultless {
		n = s.pool.randomInt(1000)
	}
	delay := time.Duration(s.pool.randomInt(40)) * time.Millisecond
	for _, response := range setupResponses {
		if n -= response.share; n < 0 {
			time.AfterFunc(hangTime+delay, func() { response.respond(s, conn, req.session, session) })
			return
		}
	}
}

// description is the body of the answer to a set-up that succeeds.
const description = "here\r\n"

// acceptSession makes a session play. It returns false if the session has ended meanwhile or the server was killed.
func (s *server) acceptSession(id uint64, session *serverSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[id] != session || s.killed {
		return false
	}
	session.playing = true
	s.pool.checker.endAttempt(session.attempt, true) // its answer is written next
	return true
}

// removeSession removes a session from the server. It returns false if it has been removed before.
func (s *server) removeSession(id uint64, session *serverSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[id] != session {
		return false
	}
	delete(s.sessions, id)
	return true
}

// serveSession accepts a session and releases it after a random time and with a random cause.
func (s *server) serveSession(conn net.Conn, id uint64, session *serverSession) {
	if !s.acceptSession(id, session) {
		return
	}
	io.WriteString(conn, serverAnswer(id, 200, description))
	length := time.Duration(50+s.pool.randomInt(1200)) * time.Millisecond
	cause := []int{causeEnded, causeEnded, causeMoved, causeLost}[s.pool.randomInt(4)]
	time.AfterFunc(length, func() { s.release(conn, id, session, cause) })
}

// release removes a session and sends its release on the connection.
func (s *server) release(conn net.Conn, id uint64, session *serverSession, cause int) {
	if !s.removeSession(id, session) {
		return
	}
	if _, err := io.WriteString(conn, serverRelease(id, cause)); err == nil {
		s.pool.checker.recordServerEnd(id)
	}
}

// answerAndRelease sends the answer that a session plays and its release in one write.
func (s *server) answerAndRelease(conn net.Conn, id uint64, session *serverSession) {
	if !s.acceptSession(id, session) || !s.removeSession(id, session) {
		return
	}
	cause := []int{causeEnded, causeMoved, causeLost}[s.pool.randomInt(3)]
	if _, err := io.WriteString(conn, serverAnswer(id, 200, description)+serverRelease(id, cause)); err == nil {
		s.pool.checker.recordServerEnd(id)
	}
}

// releaseBeforeAnswer sends the release of a session ahead of its answer.
func (s *server) releaseBeforeAnswer(conn net.Conn, id uint64, session *serverSession) {
	if !s.removeSession(id, session) {
		return
	}
	s.pool.checker.endAttempt(session.attempt, true)
	io.WriteString(conn, serverRelease(id, causeMoved)+serverAnswer(id, 200, description))
}

// refuse answers a set-up with an error status. With 453 and 454 the set-up provably never ran.
func (s *server) refuse(conn net.Conn, id uint64, status int, session *serverSession) {
	if !s.removeSession(id, session) {
		return
	}
	s.pool.checker.endAttempt(session.attempt, status != 453 && status != 454)
	io.WriteString(conn, serverAnswer(id, status, ""))
}

// leaveUnanswered sends no answer.
func (s *server) leaveUnanswered(net.Conn, uint64, *serverSession) {}

// answerMalformed accepts a session and answers with bytes that are no message.
func (s *server) answerMalformed(conn net.Conn, id uint64, session *serverSession) {
	if s.acceptSession(id, session) {
		io.WriteString(conn, "\x16\x03\x01 no message")
	}
}

// truncateAnswer accepts a session and leaves out the last two bytes of the answer's body.
func (s *server) truncateAnswer(conn net.Conn, id uint64, session *serverSession) {
	if s.acceptSession(id, session) {
		answer := serverAnswer(id, 200, description)
		io.WriteString(conn, answer[:len(answer)-2])
	}
}

// resetConnection resets the connection of a set-up.
func (s *server) resetConnection(conn net.Conn, _ uint64, _ *serverSession) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// answerTwice accepts a session and sends its answer a second time a few milliseconds later.
func (s *server) answerTwice(conn net.Conn, id uint64, session *serverSession) {
	if !s.acceptSession(id, session) {
		return
	}
	io.WriteString(conn, serverAnswer(id, 200, description))
	time.Sleep(time.Duration(s.pool.randomInt(8)) * time.Millisecond)
	io.WriteString(conn, serverAnswer(id, 200, description))
	time.AfterFunc(300*time.Millisecond, func() { s.release(conn, id, session, causeEnded) })
}

// kill ends the server like a process that is killed: its connections are reset and new ones are refused.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.killed = true
	s.ln.Close()
	for id, session := range s.sessions {
		s.pool.checker.endAttempt(session.attempt, true)
		if session.playing {
			s.pool.checker.recordServerEnd(id)
		}
	}
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// resetConnections resets all connections; the server and its listener continue.
func (s *server) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// hang makes the server send no answers for a while.
func (s *server) hang(d time.Duration) {
	s.mu.Lock()
	s.hangUntil = time.Now().Add(d)
	s.mu.Unlock()
}
