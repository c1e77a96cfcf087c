package soak

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// A discovery is the emulated discovery of one director.
type discovery struct {
	director *director

	mu             sync.Mutex
	ln             net.Listener // nil: connections are refused
	address        string       // where it listens, or will listen again
	reachableSince time.Time    // zero: it can't be reached
	acceptDelay    time.Duration
	silent         bool
	conn           net.Conn
	events         []event // since the start of the director's process, which requests those after the last that it has
}

// An event is a change of the states of servers.
type event struct {
	number  uint64
	records []serverRecord
	at      time.Time
}

// heartbeatInterval is the interval at which discovery sends a heartbeat.
const heartbeatInterval = time.Second

// newDiscovery starts the discovery of a director on a loopback port.
func newDiscovery(d *director) (*discovery, error) {
	v := &discovery{director: d}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v, v.listen("127.0.0.1:0")
}

// listen starts to accept connections at an address. Callers hold the lock.
func (v *discovery) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	v.ln, v.address, v.reachableSince = ln, ln.Addr().String(), time.Now()
	go v.serve(ln)
	return nil
}

// currentAddress is where the director finds discovery.
func (v *discovery) currentAddress() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.address
}

// serve accepts connections. A director sends the number of the last event that it has, and gets all later ones.
func (v *discovery) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		delay := v.acceptDelay
		v.mu.Unlock()
		time.Sleep(delay)
		position := make([]byte, 8)
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadFull(c, position); err != nil {
			c.Close()
			continue
		}
		v.mu.Lock()
		if v.ln != ln {
			v.mu.Unlock()
			c.Close()
			return
		}
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
	e := event{number, records, time.Now()}
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

// toldAfterReachable is the time after which an event counts as received by the director, once discovery has it and can
// be reached, also if a call of the director has failed before.
const toldAfterReachable = 6 * time.Second

// drainKnownAt is when the director has to know that a server drains or is gone, whatever was sent; zero: not yet.
func (v *discovery) drainKnownAt(id uint32) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reachableSince.IsZero() {
		return time.Time{}
	}
	for _, e := range v.events {
		for _, r := range e.records {
			if r.id != id || r.state == stateReady {
				continue
			}
			from := e.at
			if v.reachableSince.After(from) {
				from = v.reachableSince
			}
			return from.Add(toldAfterReachable)
		}
	}
	return time.Time{}
}

// silence makes discovery send nothing on its open connection until the director connects again.
func (v *discovery) silence() {
	v.mu.Lock()
	v.silent = true
	v.mu.Unlock()
}

// breakOff sends a part of a heartbeat and closes the connection.
func (v *discovery) breakOff(bytes int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.conn != nil {
		v.conn.Write(discoveryFrame(0, nil)[:bytes])
		v.conn.Close()
		v.conn = nil
	}
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

// stopListening refuses connections and closes the open one.
func (v *discovery) stopListening() {
	v.closeConnection()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ln != nil {
		v.ln.Close()
		v.ln, v.reachableSince = nil, time.Time{}
	}
}

// listenAgain accepts connections again, at the same address.
func (v *discovery) listenAgain() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ln != nil {
		return nil
	}
	return v.listen(v.address)
}

// setAcceptDelay makes discovery handle new connections late.
func (v *discovery) setAcceptDelay(d time.Duration) {
	v.mu.Lock()
	v.acceptDelay = d
	v.mu.Unlock()
}

// move lets discovery listen at another address. At the old one it accepts nothing more, sends nothing, and closes the
// open connection after oldAddressTime.
func (v *discovery) move() error {
	const oldAddressTime = 1500 * time.Millisecond
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ln != nil {
		v.ln.Close()
	}
	if old := v.conn; old != nil {
		v.conn = nil
		time.AfterFunc(oldAddressTime, func() { old.Close() })
	}
	return v.listen("127.0.0.1:0")
}

// restart drops the events, which the process that is started next has in its start configuration, and the connection of
// the one before.
func (v *discovery) restart() {
	v.closeConnection()
	v.mu.Lock()
	v.events = nil
	v.mu.Unlock()
}
