package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// The states of a server in a discovery record.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// A discovery is the discovery service. Events are numbered; the start configuration holds number 1.
type discovery struct {
	record   *record
	listener net.Listener
	mu       sync.Mutex
	frames   [][]byte // of the events from number 2 on
	changed  chan struct{}
}

func newDiscovery(r *record) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{record: r, listener: ln, changed: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func frame(number uint64, kind byte, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	f = append(binary.BigEndian.AppendUint64(f, number), kind)
	return append(f, payload...)
}

// serve sends the events after the one that the director names, and an empty frame each second.
func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	var last [8]byte
	if _, err := io.ReadFull(c, last[:]); err != nil {
		return
	}
	next := binary.BigEndian.Uint64(last[:]) + 1
	d.record.note("discovery: asked for events from %d on", next)
	for {
		d.mu.Lock()
		var out []byte
		for ; next < uint64(len(d.frames))+2; next++ {
			out = append(out, d.frames[next-2]...)
		}
		changed := d.changed
		d.mu.Unlock()
		if len(out) == 0 {
			out = frame(next-1, 0, nil)
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// tell adds an event that tells the state of a server and when it started; the zero time stands for long ago.
func (d *discovery) tell(s *server, state byte, started time.Time) {
	addr := s.listener.Addr().(*net.TCPAddr)
	p := binary.BigEndian.AppendUint32(nil, s.id)
	p = append(p, addr.IP.To4()...)
	p = binary.BigEndian.AppendUint16(p, uint16(addr.Port))
	p = append(p, state, 0, byte(s.kind()))
	p = binary.BigEndian.AppendUint16(p, uint16(s.cell))
	p = binary.BigEndian.AppendUint32(p, uint32(1000*s.weight()))
	ms := uint64(0)
	if !started.IsZero() {
		ms = uint64(started.UnixMilli())
	}
	p = binary.BigEndian.AppendUint64(p, ms)
	d.mu.Lock()
	defer d.mu.Unlock()
	number := uint64(len(d.frames)) + 2
	d.frames = append(d.frames, frame(number, 2, p))
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.note("discovery: event %d tells %s state %d started %d", number, s.name(), state, ms)
}
