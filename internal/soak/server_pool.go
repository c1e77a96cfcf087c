package soak

import (
	"encoding/binary"
	"fmt"
	"io"
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

// add starts a server. With a start time, directors treat it as in slow start, and it takes the cell of an earlier
// server.
func (p *serverPool) add(started time.Time) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	s := &server{pool: p, ln: ln, id: uint32(len(p.servers) + 1), cell: len(p.servers), sessions: map[uint64]*serverSession{},
		conns: map[net.Conn]bool{}, drainSentAt: map[*director]time.Time{}}
	if !started.IsZero() {
		s.started = started.UnixMilli()
		s.cell = s.cell % p.cells // it replaces another server
	}
	p.servers = append(p.servers, s)
	p.byID.Store(s.id, s)
	p.mu.Unlock()
	go s.accept(ln)
	return s, nil
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
	var records []serverRecord
	for _, s := range servers {
		s.state = state
		records = append(records, s.record())
	}
	for d := range p.subscribers {
		d.publish(p.lastEvent, records)
	}
}

// close kills all servers.
func (p *serverPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.kill()
	}
}

// record is the server as discovery sends it.
func (s *server) record() serverRecord {
	return serverRecord{id: s.id, port: s.ln.Addr().(*net.TCPAddr).Port, cell: s.cell, state: s.state, startedMilli: s.started}
}

// A discovery is the emulated discovery of one director.
type discovery struct {
	director *director
	ln       net.Listener

	mu     sync.Mutex
	silent bool
	conn   net.Conn
	events []event // since the start of the director's process, which requests those after the last that it has
}

// An event is a change of the states of servers.
type event struct {
	number  uint64
	records []serverRecord
}

// heartbeatInterval is the interval at which discovery sends a heartbeat.
const heartbeatInterval = time.Second

// newDiscovery starts the discovery of a director on a loopback port.
func newDiscovery(d *director) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &discovery{director: d, ln: ln}
	go v.serve()
	return v, nil
}

// serve accepts connections. A director sends the number of the last event that it has, and gets all later ones.
func (v *discovery) serve() {
	for {
		c, err := v.ln.Accept()
		if err != nil {
			return
		}
		position := make([]byte, 8)
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadFull(c, position); err != nil {
			c.Close()
			continue
		}
		v.mu.Lock()
		if v.conn != nil {
			v.conn.Close()
		}
		v.conn, v.silent = c, false
		last := binary.BigEndian.Uint64(position)
		for _, e := range v.events {
			if e.number > last {
				v.write(e)
			}
		}
		v.mu.Unlock()
		go v.sendHeartbeats(c)
	}
}

// sendHeartbeats sends heartbeats on a connection until it is closed or replaced.
func (v *discovery) sendHeartbeats(c net.Conn) {
	for {
		time.Sleep(heartbeatInterval)
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

// publish sends an event to the director, now or once it has reconnected.
func (v *discovery) publish(number uint64, records []serverRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := event{number, records}
	v.events = append(v.events, e)
	if v.conn != nil && !v.silent {
		v.write(e)
	}
}

// write sends an event. Callers hold the lock.
func (v *discovery) write(e event) {
	frame := discoveryFrame(e.number, e.records)
	v.director.pool.counters.listBytes.Add(int64(len(frame)))
	if _, err := v.conn.Write(frame); err != nil {
		return // the director requests it again
	}
	for _, x := range e.records {
		if x.state != stateReady {
			v.director.markDrainSent(x.id)
		}
	}
}

// silence makes discovery send nothing on its open connection until the director connects again.
func (v *discovery) silence() {
	v.mu.Lock()
	v.silent = true
	v.mu.Unlock()
}

// closeConnection closes the connection to the director.
func (v *discovery) closeConnection() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.conn != nil {
		v.conn.Close()
		v.conn = nil
	}
}

// clearEvents drops the events. A process that is started next has them in its start configuration.
func (v *discovery) clearEvents() {
	v.mu.Lock()
	v.events = nil
	v.mu.Unlock()
}
