// Package list is the stand-in for the list's source: it pushes changes to every director, late, further
// behind when it lags, and starts again with nothing but the truth.
package list

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/internal/witness"
)

// Source is a list of nodes and titles that directors follow.
type Source struct {
	mu       sync.Mutex
	server   *transport.Server
	record   *witness.Recorder
	nodes    map[string]line // as it is told
	titles   []wire.Title
	serial   uint64
	told     map[uint64][]wire.Entry // by serial, until every director has heard it; at most keepSerials
	changes  []change                // not told yet, by time
	lag      time.Duration
	wake     chan struct{}
	quit     chan struct{}
	watchers map[*transport.Conn]string // emptied as connections end
}

type line struct {
	wire.Entry
	born time.Duration // on the monotonic clock; 0: long ago
}

type change struct {
	at   time.Duration
	line line
}

const keepSerials = 4096

var bounds = transport.Bounds{Message: wire.SessionMost, Queue: 64 << 20, Write: 10 * time.Second, Handshake: 10 * time.Second}

// Open starts a source on a loopback port of its own.
func Open(record *witness.Recorder, nodes []wire.Entry, titles []wire.Title) (*Source, error) {
	s := &Source{
		record: record, nodes: map[string]line{}, titles: titles, told: map[uint64][]wire.Entry{},
		wake: make(chan struct{}, 1), quit: make(chan struct{}), watchers: map[*transport.Conn]string{},
	}
	for _, e := range nodes {
		s.nodes[e.Node] = line{Entry: e}
	}
	var err error
	if s.server, err = transport.Serve("127.0.0.1:0", wire.ListProtocol, bounds, s); err != nil {
		return nil, err
	}
	go s.run()
	return s, nil
}

// Address is where directors connect.
func (s *Source) Address() string { return s.server.Address() }

// Close ends the source.
func (s *Source) Close() {
	close(s.quit)
	s.server.Close()
}

// Set changes a node's line; directors are told after the delay, and the lag that there is then.
func (s *Source) Set(e wire.Entry, born, after time.Duration) {
	s.mu.Lock()
	s.changes = append(s.changes, change{witness.Clock() + after, line{e, born}})
	slices.SortStableFunc(s.changes, func(a, b change) int { return int(min(1, max(-1, a.at-b.at))) })
	s.mu.Unlock()
	s.stir()
}

// Lag makes the source run so much further behind.
func (s *Source) Lag(by time.Duration) {
	s.mu.Lock()
	s.lag = by
	s.mu.Unlock()
	s.stir()
}

// Restart cuts every director off; they come back and are told everything.
func (s *Source) Restart() { s.server.Each((*transport.Conn).Reset) }

func (s *Source) stir() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Source) run() {
	for {
		s.mu.Lock()
		now, wait := witness.Clock(), time.Second
		var entries []wire.Entry
		for len(s.changes) > 0 && s.changes[0].at+s.lag <= now {
			l := s.changes[0].line
			s.changes = s.changes[1:]
			s.nodes[l.Node] = l
			entries = append(entries, l.aged(now))
			if l.State == wire.Removed {
				delete(s.nodes, l.Node)
			}
		}
		if len(s.changes) > 0 {
			wait = min(wait, max(time.Millisecond, s.changes[0].at+s.lag-now))
		}
		if len(entries) > 0 {
			s.tell(entries)
		}
		s.mu.Unlock()
		select {
		case <-s.quit:
			return
		case <-s.wake:
		case <-time.After(wait):
		}
	}
}

func (l line) aged(now time.Duration) wire.Entry {
	e := l.Entry
	if l.born != 0 {
		e.Age = max(1, (now - l.born).Milliseconds())
	}
	return e
}

// tell pushes changes to everybody; the lock is held.
func (s *Source) tell(entries []wire.Entry) {
	s.serial++
	s.told[s.serial] = entries
	delete(s.told, s.serial-keepSerials)
	raw := wire.Encode(wire.List{Type: wire.Update, Serial: s.serial, Nodes: entries})
	for c := range s.watchers {
		c.Send(raw, 0)
	}
}

// Opened waits for the director to say who it is.
func (s *Source) Opened(*transport.Conn) {}

// Message takes a director's word.
func (s *Source) Message(c *transport.Conn, raw []byte) {
	m, err := wire.DecodeList(raw)
	if err != nil {
		c.Close(1007, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case wire.Listen:
		if s.watchers[c] == "" {
			s.record.Add(witness.Record{What: witness.Listens, Director: m.Director})
		}
		s.watchers[c] = m.Director
		now := witness.Clock()
		var all []wire.Entry
		for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
			all = append(all, s.nodes[name].aged(now))
		}
		s.serial++
		s.told[s.serial] = all
		c.Send(wire.Encode(wire.List{Type: wire.Whole, Serial: s.serial, Nodes: all, Titles: s.titles}), 0)
	case wire.Heard:
		for _, e := range s.told[m.Serial] {
			s.record.Add(witness.Record{What: witness.Told, Director: m.Director, Node: e.Node, State: e.State})
		}
	}
}

// Closed forgets a director.
func (s *Source) Closed(c *transport.Conn, _ error, _ []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, c)
}
