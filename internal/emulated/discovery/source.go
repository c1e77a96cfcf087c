// Package discovery is the stand-in for the list's source: it pushes changes to every director, late, further
// behind when it lags, and starts again with nothing but the truth.
package discovery

import (
	"sync"
	"time"

	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// Source is a list of nodes and titles that directors follow.
type Source struct {
	mu       sync.Mutex
	server   *transport.Server
	record   *rulecheck.Recorder
	book     *Model
	titles   []wire.TitlePlacement
	wake     chan struct{}
	quit     chan struct{}
	watchers map[*transport.Conn]string // emptied as connections end
}

var bounds = transport.Limits{MaxMessageBytes: wire.MaxSessionMessageBytes, MaxQueuedBytes: 64 << 20, WriteTimeout: 10 * time.Second, HandshakeTimeout: 10 * time.Second}

// Start starts a source on a loopback port of its own.
func Start(record *rulecheck.Recorder, nodes []wire.NodeEntry, titles []wire.TitlePlacement) (*Source, error) {
	s := &Source{
		record: record, book: NewModel(nodes), titles: titles,
		wake: make(chan struct{}, 1), quit: make(chan struct{}), watchers: map[*transport.Conn]string{},
	}
	var err error
	if s.server, err = transport.Serve("127.0.0.1:0", wire.DiscoveryProtocol, bounds, s); err != nil {
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

// UpdateNode changes a node's line; directors are told after the delay, and the lag that there is then.
func (s *Source) UpdateNode(e wire.NodeEntry, born, after time.Duration) {
	s.mu.Lock()
	s.book.ScheduleUpdate(e, born, rulecheck.MonotonicNow()+after)
	s.mu.Unlock()
	s.stir()
}

// SetLag makes the source run so much further behind.
func (s *Source) SetLag(by time.Duration) {
	s.mu.Lock()
	s.book.SetLag(by)
	s.mu.Unlock()
	s.stir()
}

// ResetConnections cuts every director off; they come back and are told everything.
func (s *Source) ResetConnections() { s.server.Each((*transport.Conn).Reset) }

func (s *Source) stir() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Source) run() {
	for {
		s.mu.Lock()
		now, wait := rulecheck.MonotonicNow(), time.Second
		if m, ok := s.book.TakeDue(now); ok {
			raw := wire.Encode(m)
			for c := range s.watchers {
				c.Send(raw, 0)
			}
		}
		if at, ok := s.book.NextDeadline(); ok {
			wait = min(wait, max(time.Millisecond, at-now))
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

// Opened waits for the director to say who it is.
func (s *Source) Opened(*transport.Conn) {}

// Message takes a director's word.
func (s *Source) Message(c *transport.Conn, raw []byte) {
	m, err := wire.DecodeDiscoveryMessage(raw)
	if err != nil {
		c.Close(1007, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case wire.Subscribe:
		if s.watchers[c] == "" {
			s.record.Add(rulecheck.Record{Kind: rulecheck.ListRequested, Director: m.Director})
		}
		s.watchers[c] = m.Director
		c.Send(wire.Encode(s.book.Snapshot(rulecheck.MonotonicNow(), s.titles)), 0)
	case wire.Acknowledge:
		for _, e := range s.book.EntriesOf(m.Serial) {
			s.record.Add(rulecheck.Record{Kind: rulecheck.ListReceived, Director: m.Director, Node: e.Node, State: e.State})
		}
	}
}

// Closed forgets a director.
func (s *Source) Closed(c *transport.Conn, _ error, _ []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, c)
}
