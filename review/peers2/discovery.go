package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// A discovery is the platform's source of the list of media nodes, for one director.
type discovery struct {
	run      *run
	listener net.Listener

	mu          sync.Mutex
	answerDelay time.Duration // from the call of a director to the first frame of the answer
	events      []event
	watchers    map[net.Conn]bool // connections that have had their first answer
	calls       int
}

type event struct {
	number  uint64
	changes []change
	at      time.Time
}

func (r *run) newDiscovery() (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{run: r, listener: l, watchers: map[net.Conn]bool{}}
	r.onEnd(func() { l.Close() })
	go d.serve()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) serve() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.answer(c)
	}
}

// answer reads the number of the last event that a director has, writes every later one, and an empty frame each second.
func (d *discovery) answer(c net.Conn) {
	defer c.Close()
	var position [8]byte
	if _, err := io.ReadFull(c, position[:]); err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	call, delay := d.calls, d.answerDelay
	d.mu.Unlock()
	last := binary.BigEndian.Uint64(position[:])
	d.run.record.line("discovery: call %d, last event %d; its answer begins in %v", call, last, delay)
	ended := make(chan struct{})
	go func() { // a director sends nothing more
		io.Copy(io.Discard, c)
		close(ended)
	}()
	select {
	case <-ended:
		d.run.record.line("discovery: call %d was given up by the director", call)
		return
	case <-time.After(delay):
	}
	d.mu.Lock()
	err := d.write(c, frame(d.lastNumber(), frameNothing, nil))
	for _, e := range d.events {
		if e.number > last && err == nil {
			err = d.write(c, e.encode())
			d.run.record.line("discovery: event %d written on call %d", e.number, call)
		}
	}
	d.watchers[c] = true
	d.mu.Unlock()
	for err == nil {
		select {
		case <-ended:
			err = io.EOF
		case <-time.After(time.Second):
			d.mu.Lock()
			err = d.write(c, frame(d.lastNumber(), frameNothing, nil))
			d.mu.Unlock()
		}
	}
	d.mu.Lock()
	delete(d.watchers, c)
	d.mu.Unlock()
	d.run.record.line("discovery: call %d has ended", call)
}

func (d *discovery) write(c net.Conn, b []byte) error {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := c.Write(b)
	return err
}

// lastNumber returns the number of the last event. The first one is in the start configuration. It is called with the
// lock held.
func (d *discovery) lastNumber() uint64 {
	if len(d.events) == 0 {
		return 1
	}
	return d.events[len(d.events)-1].number
}

func (e event) encode() []byte {
	var payload []byte
	for _, c := range e.changes {
		payload = append(payload, c.encode()...)
	}
	return frame(e.number, frameChanges, payload)
}

// publish adds an event, and writes it to the directors that watch.
func (d *discovery) publish(changes ...change) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := event{d.lastNumber() + 1, changes, time.Now()}
	d.events = append(d.events, e)
	d.run.record.line("discovery: event %d: %+v", e.number, changes)
	for c := range d.watchers {
		d.write(c, e.encode())
	}
	return e.at
}
