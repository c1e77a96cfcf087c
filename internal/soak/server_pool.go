package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// A serverPool is the emulated servers, with their states in discovery.
type serverPool struct {
	checker   *checker
	randomInt func(int) int
	cells     int  // positions of servers in the directors' settings
	faultless bool // the servers serve every set-up
	dense     bool // messages may come in pieces, and connections may close right behind a release
	counters  counters

	mu          sync.Mutex
	servers     []*server // including those that are gone
	lastEvent   uint64    // number of the last discovery event
	subscribers map[*discovery]bool
	byID        sync.Map // *server by id
}

// newServerPool returns an empty pool.
func newServerPool(checker *checker, randomInt func(int) int, cells int, faultless bool) *serverPool {
	return &serverPool{checker: checker, randomInt: randomInt, cells: cells, faultless: faultless, subscribers: map[*discovery]bool{}}
}

// add adds a server. With a start time, directors treat it as in slow start, and it takes the cell of an earlier server.
func (p *serverPool) add(started time.Time) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &server{pool: p, id: uint32(len(p.servers) + 1), cell: len(p.servers), endpoints: map[*director]*endpoint{},
		sessions: map[uint64]*serverSession{}, drainSentAt: map[*director]time.Time{}}
	if !started.IsZero() {
		s.started = started.UnixMilli()
		s.state = stateUnlisted   // until it is published
		s.cell = s.cell % p.cells // it replaces another server
	}
	p.servers = append(p.servers, s)
	p.byID.Store(s.id, s)
	return s
}

// name is the server's name in violations and start configurations.
func (s *server) name() string { return fmt.Sprintf("s-%08x", s.id) }

// readyServers are the servers that are ready in discovery.
func (p *serverPool) readyServers() (all []*server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.state == stateReady {
			all = append(all, s)
		}
	}
	return all
}

// publishState sets the state of servers and sends it to the subscribers as one event.
func (p *serverPool) publishState(state byte, servers ...*server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent++
	for _, s := range servers {
		s.state = state
	}
	for d := range p.subscribers {
		var records []serverRecord
		for _, s := range servers {
			records = append(records, s.record(d.director))
		}
		d.publish(p.lastEvent, records)
	}
}

// close kills all servers.
func (p *serverPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.kill()
		for _, e := range s.allEndpoints() { // also those of servers that have vanished
			e.close()
		}
	}
}

// record is the server as discovery sends it to a director. The port is 0 if the server has none for it.
func (s *server) record(d *director) serverRecord {
	r := serverRecord{id: s.id, cell: s.cell, state: s.state, startedMilli: s.started}
	if e, err := s.endpointOf(d); err == nil {
		r.port = e.ln.Addr().(*net.TCPAddr).Port
	}
	return r
}
