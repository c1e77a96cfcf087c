package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// A fleet is the emulated servers, and what discovery says of them.
type fleet struct {
	ledger *ledger
	draw   func(int) int
	cells  int
	// faultless servers answer every set-up.
	faultless bool
	counted   counters

	mu       sync.Mutex
	servers  []*server // also those that are gone
	number   uint64    // of the last event
	watchers map[*discovery]bool
	byID     sync.Map // *server by its id
}

func newFleet(l *ledger, draw func(int) int, cells int, faultless bool) *fleet {
	return &fleet{ledger: l, draw: draw, cells: cells, faultless: faultless, watchers: map[*discovery]bool{}}
}

// add starts a server; one with a time of its start is told as cold.
func (f *fleet) add(started time.Time) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	s := &server{fleet: f, ln: ln, id: uint32(len(f.servers) + 1), cell: len(f.servers), sessions: map[uint64]*sessionAt{},
		conns: map[net.Conn]bool{}, drains: map[*director]time.Time{}}
	if !started.IsZero() {
		s.started = started.UnixMilli()
		s.cell = s.cell % f.cells // it takes the place of another
	}
	f.servers = append(f.servers, s)
	f.byID.Store(s.id, s)
	f.mu.Unlock()
	go s.accept(ln)
	return s, nil
}

func (s *server) name() string { return fmt.Sprintf("s-%08x", s.id) }

// ready are the servers that discovery names as ready.
func (f *fleet) ready() (all []*server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.state == stateReady {
			all = append(all, s)
		}
	}
	return all
}

// tell sends an event that servers are in a state to whoever watches.
func (f *fleet) tell(state byte, servers ...*server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	var records []serverRecord
	for _, s := range servers {
		s.state = state
		records = append(records, s.record())
	}
	for d := range f.watchers {
		d.event(f.number, records)
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.die()
	}
}

func (s *server) record() serverRecord {
	return serverRecord{id: s.id, port: s.ln.Addr().(*net.TCPAddr).Port, cell: s.cell, state: s.state, startedMilli: s.started}
}

// A discovery is one director's source of the list.
type discovery struct {
	director *director
	ln       net.Listener

	mu     sync.Mutex
	silent bool
	conn   net.Conn
	events []event // since the director's start: it asks for those after the last it has
}

type event struct {
	number  uint64
	records []serverRecord
}

// heartbeatEvery is how often discovery says that nothing is new.
const heartbeatEvery = time.Second

func newDiscovery(d *director) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &discovery{director: d, ln: ln}
	go v.serve()
	return v, nil
}

func (v *discovery) serve() {
	for {
		c, err := v.ln.Accept()
		if err != nil {
			return
		}
		asked := make([]byte, 8)
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadFull(c, asked); err != nil {
			c.Close()
			continue
		}
		v.mu.Lock()
		if v.conn != nil {
			v.conn.Close()
		}
		v.conn, v.silent = c, false
		last := binary.BigEndian.Uint64(asked)
		for _, e := range v.events {
			if e.number > last {
				v.write(e)
			}
		}
		v.mu.Unlock()
		go v.beat(c)
	}
}

func (v *discovery) beat(c net.Conn) {
	for {
		time.Sleep(heartbeatEvery)
		v.mu.Lock()
		if v.conn != c {
			v.mu.Unlock()
			return
		}
		if !v.silent {
			c.Write(discoveryFrame(0, nil))
		}
		v.mu.Unlock()
	}
}

// event tells the director of an event, now or once it is connected again.
func (v *discovery) event(number uint64, records []serverRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := event{number, records}
	v.events = append(v.events, e)
	if v.conn != nil && !v.silent {
		v.write(e)
	}
}

// write is called with the lock held.
func (v *discovery) write(e event) {
	frame := discoveryFrame(e.number, e.records)
	v.director.fleet.counted.listBytes.Add(int64(len(frame)))
	if _, err := v.conn.Write(frame); err != nil {
		return // the director asks for it again
	}
	for _, x := range e.records {
		if x.state != stateReady {
			v.director.drains(x.id)
		}
	}
}

// hush makes discovery say nothing on its open connection until the director asks again.
func (v *discovery) hush() {
	v.mu.Lock()
	v.silent = true
	v.mu.Unlock()
}

// cut closes the connection to the director.
func (v *discovery) cut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.conn != nil {
		v.conn.Close()
		v.conn = nil
	}
}

// forget drops what a process that is started anew knows by its configuration.
func (v *discovery) forget() {
	v.mu.Lock()
	v.events = nil
	v.mu.Unlock()
}
