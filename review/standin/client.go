package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// The types of the clients' messages and the codes of their parameters that the cases use.
const (
	kindSetup     = 1
	kindAnswer    = 9
	kindRelease   = 12
	kindTest      = 52
	kindTestReply = 53

	codeClass       = 33
	codeWait        = 36
	codeTitle       = 45
	codePlacement   = 48
	codeHint        = 63
	codeCause       = 75
	codeDescription = 78
)

// A parameter of a client's message.
type parameter struct {
	code  byte
	value string
}

// clientMessage encodes a message.
func clientMessage(kind byte, session uint64, parameters ...parameter) []byte {
	m := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, session)
	for _, p := range parameters {
		m = binary.BigEndian.AppendUint16(append(m, p.code), uint16(len(p.value)))
		m = append(m, p.value...)
	}
	binary.BigEndian.PutUint16(m, uint16(len(m)-2))
	return m
}

// A received message of the director.
type received struct {
	kind       byte
	session    uint64
	parameters map[byte]string
	at         time.Time
}

// cause returns the cause of a release.
func (m received) cause() int {
	if v := m.parameters[codeCause]; len(v) == 1 {
		return int(v[0])
	}
	return -1
}

func readClientMessage(r *bufio.Reader) (m received, err error) {
	var size [2]byte
	if _, err = io.ReadFull(r, size[:]); err != nil {
		return m, err
	}
	body := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err = io.ReadFull(r, body); err != nil {
		return m, err
	}
	if len(body) < 9 {
		return m, io.ErrUnexpectedEOF
	}
	m = received{kind: body[0], session: binary.BigEndian.Uint64(body[1:]), parameters: map[byte]string{}, at: time.Now()}
	for rest := body[9:]; len(rest) >= 3; {
		n := int(binary.BigEndian.Uint16(rest[1:]))
		if len(rest) < 3+n {
			return m, io.ErrUnexpectedEOF
		}
		m.parameters[rest[0]] = string(rest[3 : 3+n])
		rest = rest[3+n:]
	}
	return m, nil
}

// A session is a session that a client has asked for.
type session struct {
	id         uint64
	sentAt     time.Time
	answeredAt time.Time // of the answer that it stands; zero: none
	refusedAt  time.Time // of a release before that; zero: none
	releasedAt time.Time // of a release after the answer; zero: none
	cause      int       // of either release
}

// A viewers is the clients' side: what all client connections together have sent and received.
type viewers struct {
	record   *record
	mu       sync.Mutex
	sessions map[uint64]*session
	nextID   uint64
}

func newViewers(r *record) *viewers {
	return &viewers{record: r, sessions: map[uint64]*session{}, nextID: 0x9b1f03aa5c7e0000}
}

// A client is one client connection.
type client struct {
	name    string
	viewers *viewers
	conn    net.Conn
	ended   chan struct{} // closed when nothing more can be read
}

// connect opens a client connection to an address.
func (t *trial) connect(v *viewers, name, address string) *client {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	must(err)
	c := &client{name: name, viewers: v, conn: conn, ended: make(chan struct{})}
	t.mu.Lock()
	t.clients = append(t.clients, c)
	t.mu.Unlock()
	v.record.note("%s connects to %s", name, address)
	go c.read()
	return c
}

// read records what the director sends.
func (c *client) read() {
	defer close(c.ended)
	for r := bufio.NewReader(c.conn); ; {
		m, err := readClientMessage(r)
		if err != nil {
			c.viewers.record.note("%s ends: %v", c.name, err)
			return
		}
		c.viewers.record.note("%s received type %d session %016x cause %d", c.name, m.kind, m.session, m.cause())
		c.viewers.received(m)
	}
}

func (v *viewers) received(m received) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.sessions[m.session]
	if s == nil {
		return
	}
	switch m.kind {
	case kindAnswer:
		if s.answeredAt.IsZero() {
			s.answeredAt = m.at
		}
	case kindRelease:
		switch {
		case s.answeredAt.IsZero():
			s.refusedAt, s.cause = m.at, m.cause()
		case s.releasedAt.IsZero():
			s.releasedAt, s.cause = m.at, m.cause()
		}
	}
}

// classes are the classes of the settings, with how long a viewer waits.
var classes = []struct {
	name string
	wait time.Duration
}{{"prog-intro", 4 * time.Second}, {"listen-test", 3 * time.Second}, {"apply-guide", 5 * time.Second}}

// setup asks for a session of a class and of a length on the connection. Each session has a title of its own, which all
// servers hold.
func (c *client) setup(class int, length time.Duration) *session {
	v := c.viewers
	v.mu.Lock()
	v.nextID++
	s := &session{id: v.nextID, sentAt: time.Now()}
	v.sessions[s.id] = s
	v.mu.Unlock()
	x := classes[class%len(classes)]
	m := setupMessage(s.id, x.name, x.wait, length, fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\n", s.id))
	v.record.note("%s sends set-up %016x, class %s, wait %v", c.name, s.id, x.name, x.wait)
	if _, err := c.conn.Write(m); err != nil {
		v.record.note("%s: %v", c.name, err)
	}
	return s
}

func setupMessage(id uint64, class string, wait, length time.Duration, description string) []byte {
	return clientMessage(kindSetup, id, parameter{codeClass, class}, parameter{codeWait, fmt.Sprint(wait.Milliseconds())},
		parameter{codeTitle, fmt.Sprintf("%016x", id)}, parameter{codeHint, fmt.Sprintf("%d.0", length.Milliseconds())},
		parameter{codePlacement, fmt.Sprintf("home:0;copies:%d;top:3;viewer:%016x", serverCount, id&0xffff)},
		parameter{codeDescription, description})
}

// reset ends the connection with a TCP reset.
func (c *client) reset() {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

// test sends a test.
func (c *client) test() {
	c.viewers.record.note("%s sends a test", c.name)
	_, _ = c.conn.Write(clientMessage(kindTest, 1, parameter{codeCause, "\x00"}))
}

// standing returns copies of all sessions that stood at some time.
func (v *viewers) standing() (all []session) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.sessions {
		if !s.answeredAt.IsZero() {
			all = append(all, *s)
		}
	}
	return all
}

// setUpSessions asks for 20 sessions on the connection, four a second, and reports whether most of them stand then.
func (c *client) setUpSessions(length time.Duration) bool {
	const wanted, enough = 20, 15
	for i := range wanted {
		c.setup(i, length)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	stood := len(c.viewers.standing())
	c.viewers.record.say("%d of %d sessions stand", stood, wanted)
	return stood >= enough
}
