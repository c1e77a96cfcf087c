package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// seed determines the ids of sessions, titles and viewers.
const seed = 51

// A viewer is one connection of viewers to the director. Many sessions share it.
type viewer struct {
	run    *run
	conn   net.Conn
	random *rand.Rand

	mu       sync.Mutex
	requests map[uint64]*request
	ended    time.Time // when the connection ended; zero: it has not
	earlier  *viewer   // another connection, whose sessions may be released on this one
}

// A request is a set-up of a viewer.
type request struct {
	id         uint64
	class      string
	writtenAt  time.Time // when its last byte was written
	wait       time.Duration
	answeredAt time.Time // of the final answer; zero: none
	served     bool
	cause      int // of the refusal or failure
	releasedAt time.Time
}

func (r *run) newViewer(address string) (*viewer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	v := &viewer{run: r, conn: conn, random: rand.New(rand.NewPCG(seed, r.viewers.Add(1))), requests: map[uint64]*request{}}
	r.onEnd(func() { conn.Close() })
	go v.read()
	return v, nil
}

func (v *viewer) read() {
	in := bufio.NewReader(v.conn)
	for {
		m, err := readClientMessage(in)
		if err != nil {
			v.mu.Lock()
			v.ended = time.Now()
			v.mu.Unlock()
			v.run.record.line("viewers: the connection has ended: %v", err)
			return
		}
		v.receive(m)
	}
}

func (v *viewer) receive(m receivedMessage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := v.requests[m.session]
	if q == nil && v.earlier != nil {
		go v.earlier.receive(m)
		return
	}
	if q == nil {
		v.run.record.line("viewers: received message %d for unknown session %016x", m.kind, m.session)
		return
	}
	switch m.kind {
	case kindAnswer:
		q.answeredAt, q.served = time.Now(), true
		v.run.record.line("viewers: session %016x stands", m.session)
	case kindRelease:
		if q.answeredAt.IsZero() {
			q.answeredAt, q.cause = time.Now(), m.cause()
			v.run.record.line("viewers: session %016x is refused or failed, cause %d", m.session, m.cause())
		} else if q.releasedAt.IsZero() {
			q.releasedAt = time.Now()
			v.run.record.line("viewers: session %016x is over, cause %d", m.session, m.cause())
		}
	}
}

// setup returns a new request and its message. The title's first cell is given.
func (v *viewer) setup(class string, firstCell int, wait time.Duration) (*request, []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := &request{id: v.random.Uint64()>>1 | 1, class: class, wait: wait}
	v.requests[q.id] = q
	return q, clientMessage(kindSetup, q.id, param{codeClass, class}, param{codeWait, fmt.Sprint(wait.Milliseconds())},
		param{codeTitle, fmt.Sprintf("%016x", 0x7f3a9c21e0b4d600+uint64(firstCell))}, param{codeHint, "30000.0"},
		param{codePlacement, fmt.Sprintf("home:%d;copies:2;top:3;viewer:%016x", firstCell, v.random.Uint64()>>1)},
		param{codeDescription, fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", q.id)})
}

// send writes a request whole.
func (v *viewer) send(class string, firstCell int, wait time.Duration) (*request, error) {
	q, message := v.setup(class, firstCell, wait)
	_, err := v.conn.Write(message)
	v.written(q)
	return q, err
}

// written records that the last byte of a request was written.
func (v *viewer) written(q *request) {
	v.mu.Lock()
	q.writtenAt = time.Now()
	v.mu.Unlock()
	v.run.record.line("viewers: set-up %016x, class %s, waits %v", q.id, q.class, q.wait)
}

// state returns a copy of a request.
func (v *viewer) state(q *request) request {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *q
}

// waitAnswered waits until all requests have an answer, and returns an error if one has none in time.
func (v *viewer) waitAnswered(within time.Duration, requests ...*request) error {
	for deadline := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		for _, q := range requests {
			if v.state(q).answeredAt.IsZero() {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d requests have no answer within %v", missing, len(requests), within)
		}
	}
}

// follow lets the sessions of an earlier connection be released on this one.
func (v *viewer) follow(earlier *viewer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.earlier = earlier
}
