package soak

import (
	"sync"
	"time"
)

// A server is an emulated streaming server.
type server struct {
	pool    *serverPool
	id      uint32
	cell    int   // position in the directors' settings
	started int64 // of the process, in ms of the Unix clock; 0: long ago
	state   byte  // in discovery; guarded by the pool's lock

	mu          sync.Mutex
	endpoints   map[*director]*endpoint
	sessions    map[uint64]*serverSession
	drainSentAt map[*director]time.Time // when each director was last sent the draining or gone state
	hangUntil   time.Time               // the server sends nothing until then
	killed      bool
}

// A serverSession is a session at a server, from its set-up on.
type serverSession struct {
	attempt  *attempt
	director *director // nil: unknown
	conn     *serverConn
	playing  bool
}

// endpointOf returns the address at which a director reaches the server. It is created when it is first needed.
func (s *server) endpointOf(d *director) (*endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[d]; e != nil {
		return e, nil
	}
	e, err := newEndpoint(s, d)
	if err == nil {
		s.endpoints[d] = e
	}
	return e, err
}

// allEndpoints returns the addresses of the server.
func (s *server) allEndpoints() (all []*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		all = append(all, e)
	}
	return all
}

func (s *server) isKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// drainSentTime is when a director was last sent the server's draining or gone state, or has to have it.
func (s *server) drainSentTime(d *director) time.Time {
	s.mu.Lock()
	sent := s.drainSentAt[d]
	s.mu.Unlock()
	if known := d.discovery.drainKnownAt(s.id); sent.IsZero() && !known.IsZero() && known.Before(time.Now()) {
		return known
	}
	return sent
}

// serve handles the messages of a connection.
func (s *server) serve(conn *serverConn) {
	defer conn.end()
	r := rtspReader(conn)
	for {
		req, err := readServerRequest(r)
		if err != nil {
			s.connectionClosed(conn)
			return
		}
		conn.endpoint.waitUntil(func() bool { return !conn.endpoint.inputBlocked })
		s.mu.Lock()
		hangTime, killed := max(0, time.Until(s.hangUntil)), s.killed
		s.mu.Unlock()
		if killed {
			return
		}
		switch req.method { // requests take effect when they arrive, also while the server hangs
		case "SETUP":
			s.setup(conn, req, hangTime)
		case "TEARDOWN":
			s.teardown(req.session)
			time.AfterFunc(hangTime, func() { conn.send(acknowledgement(req), nil) })
		}
	}
}

// connectionClosed removes a connection and ends its pending set-ups. Sessions that play continue.
func (s *server) connectionClosed(conn *serverConn) {
	conn.endpoint.waitUntil(func() bool { return !conn.endpoint.inputBlocked })
	conn.end()
	s.mu.Lock()
	defer s.mu.Unlock()
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
func (s *server) setupResponses() []setupResponse {
	return []setupResponse{
		{600, s.serveSession},
		{60, s.answerAndRelease},
		{20, s.releaseBeforeAnswer},
		{60, func(conn *serverConn, id uint64, session *serverSession) { s.refuse(conn, id, 453, session) }},
		{60, func(conn *serverConn, id uint64, session *serverSession) { s.refuse(conn, id, 500, session) }},
		{30, func(conn *serverConn, id uint64, session *serverSession) { s.refuse(conn, id, 454, session) }},
		{30, func(conn *serverConn, id uint64, session *serverSession) { s.refuse(conn, id, 504, session) }},
		{40, s.leaveUnanswered},
		{20, s.answerMalformed},
		{20, s.truncateAnswer},
		{20, s.resetConnection},
		{40, s.answerTwice},
	}
}

// A setupResponse is a response to a set-up and its share.
type setupResponse struct {
	share   int
	respond func(conn *serverConn, id uint64, session *serverSession)
}

// setup records a set-up and responds to it after a random delay and the time that the server still hangs.
func (s *server) setup(conn *serverConn, req serverRequest, hangTime time.Duration) {
	session := &serverSession{attempt: s.pool.checker.recordSetup(req.session, s.name(), s.drainSentTime,
		req.answerTimeout, conn.endpoint.inputDelay),
		director: conn.endpoint.director, conn: conn}
	s.mu.Lock()
	s.sessions[req.session] = session
	s.mu.Unlock()
	n := 0 // the first of the responses
	if !s.pool.faultless {
		n = s.pool.randomInt(1000)
	}
	delay := time.Duration(s.pool.randomInt(40)) * time.Millisecond
	for _, response := range s.setupResponses() {
		if n -= response.share; n < 0 {
			time.AfterFunc(hangTime+delay, func() { response.respond(conn, req.session, session) })
			return
		}
	}
}

// description is the body of the answer to a set-up that succeeds.
func (s *server) description() string { return s.name() + "\r\n" }

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
func (s *server) serveSession(conn *serverConn, id uint64, session *serverSession) {
	if !s.acceptSession(id, session) {
		return
	}
	conn.send(serverAnswer(id, 200, s.description()), nil)
	s.releaseLater(id, session, time.Duration(50+s.pool.randomInt(1200))*time.Millisecond)
}

// releaseLater releases a session after a time, with a random cause.
func (s *server) releaseLater(id uint64, session *serverSession, length time.Duration) {
	cause := []int{causeEnded, causeEnded, causeMoved, causeLost}[s.pool.randomInt(4)]
	time.AfterFunc(length, func() { s.release(id, session, cause) })
}

// resume adds a session that plays already, of which no director has a set-up.
func (s *server) resume(id uint64, d *director) *serverSession {
	session := &serverSession{director: d, playing: true}
	s.mu.Lock()
	s.sessions[id] = session
	s.mu.Unlock()
	return session
}

// release removes a session and sends its release, on the connection of its set-up or on another one, and also on the next
// one that is opened.
func (s *server) release(id uint64, session *serverSession, cause int) {
	if !s.removeSession(id, session) {
		return
	}
	s.pool.checker.recordServerEnd(id, s.name(), "released it")
	s.sendRelease(id, session, serverRelease(id, cause), "")
}

// sendRelease sends a release, behind an answer if there is one.
func (s *server) sendRelease(id uint64, session *serverSession, release, answer string) {
	e, err := s.endpointOf(session.director)
	if err != nil {
		return
	}
	e.repeatOnNext(repeatedRelease{id, s.name(), release})
	conn := e.connOf(session.conn)
	if conn == nil {
		return
	}
	closing := s.pool.dense && s.pool.randomInt(closeAfterReleaseShare) == 0
	conn.send(answer+release, func(err error) {
		if err == nil {
			s.pool.checker.recordReleaseWritten(id, s.name(), conn.generation)
		}
		if closing {
			conn.Close()
		}
	})
}

// closeAfterReleaseShare: with one in so many releases, the server closes the connection at once.
const closeAfterReleaseShare = 40

// answerAndRelease sends the answer that a session plays and its release in one write.
func (s *server) answerAndRelease(conn *serverConn, id uint64, session *serverSession) {
	if !s.acceptSession(id, session) || !s.removeSession(id, session) {
		return
	}
	cause := []int{causeEnded, causeMoved, causeLost}[s.pool.randomInt(3)]
	s.pool.checker.recordServerEnd(id, s.name(), "released it")
	s.sendRelease(id, session, serverRelease(id, cause), serverAnswer(id, 200, s.description()))
}

// releaseBeforeAnswer sends the release of a session ahead of its answer.
func (s *server) releaseBeforeAnswer(conn *serverConn, id uint64, session *serverSession) {
	if !s.removeSession(id, session) {
		return
	}
	s.pool.checker.endAttempt(session.attempt, true)
	conn.send(serverRelease(id, causeMoved)+serverAnswer(id, 200, s.description()), nil)
}

// refuse answers a set-up with an error status. With 453 and 454 the set-up provably never ran.
func (s *server) refuse(conn *serverConn, id uint64, status int, session *serverSession) {
	if !s.removeSession(id, session) {
		return
	}
	s.pool.checker.endAttempt(session.attempt, status != 453 && status != 454)
	conn.send(serverAnswer(id, status, ""), nil)
}

// leaveUnanswered sends no answer.
func (s *server) leaveUnanswered(*serverConn, uint64, *serverSession) {}

// answerMalformed accepts a session and answers with bytes that are no message.
func (s *server) answerMalformed(conn *serverConn, id uint64, session *serverSession) {
	if s.acceptSession(id, session) {
		conn.send("\x16\x03\x01 no message", nil)
	}
}

// truncateAnswer accepts a session and leaves out the last two bytes of the answer's body.
func (s *server) truncateAnswer(conn *serverConn, id uint64, session *serverSession) {
	if s.acceptSession(id, session) {
		answer := serverAnswer(id, 200, s.description())
		conn.send(answer[:len(answer)-2], nil)
	}
}

// resetConnection resets the connection of a set-up.
func (s *server) resetConnection(conn *serverConn, _ uint64, _ *serverSession) { conn.reset() }

// answerTwice accepts a session and sends its answer a second time a few milliseconds later.
func (s *server) answerTwice(conn *serverConn, id uint64, session *serverSession) {
	if !s.acceptSession(id, session) {
		return
	}
	conn.send(serverAnswer(id, 200, s.description()), nil)
	time.Sleep(time.Duration(s.pool.randomInt(8)) * time.Millisecond)
	conn.send(serverAnswer(id, 200, s.description()), nil)
	s.releaseLater(id, session, 300*time.Millisecond)
}

// stopProcess ends the server's process: its sessions are cut and their ends are never sent. It returns false if the
// process has ended before. How is what happened to it, for violations.
func (s *server) stopProcess(how string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return false
	}
	s.killed = true
	for id, session := range s.sessions {
		s.pool.checker.endAttempt(session.attempt, true)
		if session.playing {
			s.pool.checker.recordServerEnd(id, s.name(), how)
		}
	}
	clear(s.sessions)
	return true
}

// kill ends the server like a process that is killed: its connections are reset and new ones are refused.
func (s *server) kill() {
	if s.stopProcess("was killed") {
		for _, e := range s.allEndpoints() {
			e.close()
		}
	}
}

// vanish ends the server like a machine that loses its power: its connections stay open and silent, and new ones never
// come up.
func (s *server) vanish() {
	if s.stopProcess("vanished") {
		for _, e := range s.allEndpoints() {
			e.set(func() { e.inputBlocked, e.outputBlocked = true, true })
			e.setUnreachable(true)
		}
	}
}

// replaceAtAddress ends the server's process and lets another server listen at its addresses from then on.
func (s *server) replaceAtAddress(other *server) {
	if !s.stopProcess("was replaced at its address") {
		return
	}
	s.mu.Lock()
	endpoints := s.endpoints
	s.endpoints = map[*director]*endpoint{}
	s.mu.Unlock()
	other.mu.Lock()
	other.endpoints = endpoints
	other.mu.Unlock()
	for _, e := range endpoints {
		e.replaceOwner(other)
	}
}

// resetConnections resets all connections; the server and its listeners continue.
func (s *server) resetConnections() {
	for _, e := range s.allEndpoints() {
		e.resetConns()
	}
}

// hang makes the server send no answers for a while.
func (s *server) hang(d time.Duration) {
	s.mu.Lock()
	s.hangUntil = time.Now().Add(d)
	s.mu.Unlock()
}
