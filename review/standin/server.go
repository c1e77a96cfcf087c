package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A server is a media server. It accepts each set-up at once and reports the load of its link and uplink at the set-up
// and then once an interval.
type server struct {
	record   *record
	id       uint32
	cell     int
	listener *net.TCPListener

	mu        sync.Mutex
	up        chan struct{} // closed while the machine is up
	life      int           // counts the starts of the server's process
	conns     map[*serverConn]bool
	standing  map[string]*serverConn // the sessions that stand, with the connection of their set-up
	setups    int
	ended     int // sessions that the director has ended while they stood
	lastNote  time.Time
	repeated  []string        // releases that are sent also on the next connection
	fillers   map[string]bool // addresses of connections of the stand-in's own
	fillConns []net.Conn
}

// A serverConn is a connection of the director.
type serverConn struct {
	net.Conn
	life int
	mu   sync.Mutex
}

func newServer(r *record, id uint32, cell int) *server {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(err)
	s := &server{record: r, id: id, cell: cell, listener: ln, up: make(chan struct{}), life: 1,
		conns: map[*serverConn]bool{}, standing: map[string]*serverConn{}, fillers: map[string]bool{}}
	close(s.up)
	go s.accept()
	go s.report()
	return s
}

func (s *server) name() string    { return fmt.Sprintf("s-%08x", s.id) }
func (s *server) address() string { return s.listener.Addr().String() }

// kind is the server's kind of machine, as its place in the settings. A machine of the second kind has twice the weight.
func (s *server) kind() int       { return s.cell % 2 }
func (s *server) weight() float64 { return float64(1 + s.kind()) }

// awaitUp waits until the machine is up.
func (s *server) awaitUp() {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	<-up
}

func (s *server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.awaitUp()
		s.mu.Lock()
		if s.fillers[raw.RemoteAddr().String()] {
			s.mu.Unlock()
			raw.Close()
			continue
		}
		c := &serverConn{Conn: raw, life: s.life}
		s.conns[c] = true
		repeated := s.repeated
		s.repeated = nil
		s.mu.Unlock()
		s.record.note("%s accepts a connection", s.name())
		for _, text := range repeated {
			c.send(text)
		}
		go s.serve(c)
	}
}

func (c *serverConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, text)
}

// serve handles the messages of a connection. One from before the machine was lost is reset as soon as something
// arrives on it.
func (s *server) serve(c *serverConn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	for r := bufio.NewReader(c); ; {
		first, headers, err := readRTSP(r)
		s.awaitUp()
		s.mu.Lock()
		stale := c.life != s.life
		s.mu.Unlock()
		if stale {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			s.record.note("%s resets a connection from before it was lost", s.name())
			return
		}
		if err != nil {
			s.record.note("%s: a connection ends: %v", s.name(), err)
			return
		}
		id := headers.Get("Session")
		s.record.note("%s received %s, session %s, rung %q, %s ms, reason %q", s.name(), first, id, headers.Get("X-Rung"),
			headers.Get("X-Setup-Ms"), headers.Get("Reason"))
		switch method, _, _ := strings.Cut(first, " "); method {
		case "SETUP":
			s.mu.Lock()
			s.standing[id] = c
			s.setups++
			s.mu.Unlock()
			body := fmt.Sprintf("%s at %s\r\n", id, s.name())
			c.send(fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body) + s.notes(id))
			s.record.note("%s answers 200, session %s", s.name(), id)
		case "TEARDOWN":
			s.mu.Lock()
			if s.standing[id] != nil {
				s.ended++
			}
			delete(s.standing, id)
			s.mu.Unlock()
			c.send(fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: %s\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", headers.Get("Cseq"), id))
		case "OPTIONS":
			c.send(fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: %s\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", headers.Get("Cseq"), id))
		}
	}
}

func readRTSP(r *bufio.Reader) (first string, headers textproto.MIMEHeader, err error) {
	tp := textproto.NewReader(r)
	if first, err = tp.ReadLine(); err != nil {
		return "", nil, err
	}
	if headers, err = tp.ReadMIMEHeader(); err != nil {
		return first, headers, err
	}
	n, err := strconv.Atoi(headers.Get("Content-Length"))
	if err == nil {
		_, err = io.CopyN(io.Discard, r, int64(n))
	}
	return first, headers, err
}

// notes are the notes on the load of link and uplink, on a session.
func (s *server) notes(session string) string {
	note := func(cause string) string {
		return fmt.Sprintf("ANNOUNCE rtsp://media/%s RTSP/1.0\r\nCSeq: 4\r\nSession: %s\r\nX-Cause: %s\r\nX-Value: 0.2\r\nContent-Length: 0\r\n\r\n",
			session, session, cause)
	}
	return note("nic") + note("tor")
}

// report sends the notes on one session once an interval, on the connection of its set-up or another one.
func (s *server) report() {
	for range time.Tick(noteInterval) {
		s.awaitUp()
		s.mu.Lock()
		for id, c := range s.standing {
			if !s.conns[c] {
				c = s.anyConn()
			}
			if c != nil {
				c.send(s.notes(id))
				s.lastNote = time.Now()
				s.record.note("%s sends its notes on session %s", s.name(), id)
			}
			break
		}
		s.mu.Unlock()
	}
}

// anyConn returns an open connection of the running process, or nil. The caller holds the lock.
func (s *server) anyConn() *serverConn {
	for c := range s.conns {
		if c.life == s.life {
			return c
		}
	}
	return nil
}

// sessions returns the sessions that stand.
func (s *server) sessions() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.standing {
		ids = append(ids, id)
	}
	return ids
}

// teardowns returns how many sessions the director has ended while they stood.
func (s *server) teardowns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// noteAge returns how long ago the server has sent its last notes.
func (s *server) noteAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastNote)
}

// release ends a session by itself and tells the director, on the connection of its set-up or another one, and on the
// next one.
func (s *server) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.standing[id]
	if c == nil {
		return
	}
	delete(s.standing, id)
	text := fmt.Sprintf("TEARDOWN rtsp://media/%s RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n", id, id)
	s.repeated = append(s.repeated, text)
	if !s.conns[c] {
		c = s.anyConn()
	}
	if c != nil {
		c.send(text)
	}
	s.record.note("%s releases session %s, cause 16", s.name(), id)
}

// vanish loses the machine: its sessions are cut, its open connections stay open and silent, and new ones never come
// up, since the accept queue is full.
func (s *server) vanish() {
	s.mu.Lock()
	s.up = make(chan struct{})
	s.standing, s.repeated = map[string]*serverConn{}, nil
	s.mu.Unlock()
	s.setBacklog(0)
	for range 3 {
		c, err := net.DialTimeout("tcp", s.address(), 20*time.Millisecond)
		if err == nil {
			s.mu.Lock()
			s.fillers[c.LocalAddr().String()] = true
			s.fillConns = append(s.fillConns, c)
			s.mu.Unlock()
		}
	}
	s.record.note("%s vanishes", s.name())
}

// returnCold starts the machine and the server's process again, which knows no session.
func (s *server) returnCold() {
	s.mu.Lock()
	s.life++
	for _, c := range s.fillConns {
		c.Close()
	}
	s.fillConns = nil
	close(s.up)
	s.mu.Unlock()
	s.setBacklog(128)
	s.record.note("%s is up again", s.name())
}

func (s *server) setBacklog(n int) {
	raw, err := s.listener.SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }))
}
