// Package discovery emulates discovery. It sends the server list (nodes and title placements) and the list's later
// changes to every director that subscribes. Changes are sent after a delay, which a configurable lag increases; a
// director that reconnects gets the whole current list. Model has no sockets and no clock; Source serves a model on a
// loopback socket.
package discovery

import (
	"sync"
	"time"

	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// Source serves the server list to the directors that subscribe, and records their subscriptions and acknowledgements.
type Source struct {
	mu          sync.Mutex
	server      *transport.Server
	recorder    *rulecheck.Recorder
	model       *Model
	titles      []wire.TitlePlacement
	wake        chan struct{}
	quit        chan struct{}
	subscribers map[*transport.Conn]string // directors' names by open connection
}

var connLimits = transport.Limits{MaxMessageBytes: wire.MaxSessionMessageBytes, MaxQueuedBytes: 64 << 20,
	WriteTimeout: 10 * time.Second, HandshakeTimeout: 10 * time.Second}

// Start starts a source on a loopback port of its own.
func Start(recorder *rulecheck.Recorder, nodes []wire.NodeEntry, titles []wire.TitlePlacement) (*Source, error) {
	s := &Source{
		recorder: recorder, model: NewModel(nodes), titles: titles,
		wake: make(chan struct{}, 1), quit: make(chan struct{}), subscribers: map[*transport.Conn]string{},
	}
	var err error
	if s.server, err = transport.Serve("127.0.0.1:0", wire.DiscoveryProtocol, connLimits, s); err != nil {
		return nil, err
	}
	go s.run()
	return s, nil
}

// Address is the address to which directors connect.
func (s *Source) Address() string { return s.server.Address() }

// Close closes the listener and all connections.
func (s *Source) Close() {
	close(s.quit)
	s.server.Close()
}

// UpdateNode changes a node's entry. startedAt is when the node started (0: long ago). Directors are notified after
// the delay plus the lag that is set then.
func (s *Source) UpdateNode(e wire.NodeEntry, startedAt, delay time.Duration) {
	s.mu.Lock()
	s.model.ScheduleUpdate(e, startedAt, rulecheck.MonotonicNow()+delay)
	s.mu.Unlock()
	s.wakeUp()
}

// SetLag sets the delay that is added to all updates.
func (s *Source) SetLag(lag time.Duration) {
	s.mu.Lock()
	s.model.SetLag(lag)
	s.mu.Unlock()
	s.wakeUp()
}

// ResetConnections resets all connections. Directors reconnect and get the whole list.
func (s *Source) ResetConnections() { s.server.Each((*transport.Conn).Reset) }

// wakeUp makes run determine the next deadline anew.
func (s *Source) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends the updates that are due to all subscribers.
func (s *Source) run() {
	for {
		s.mu.Lock()
		now, wait := rulecheck.MonotonicNow(), time.Second
		if m, ok := s.model.TakeDue(now); ok {
			raw := wire.Encode(m)
			for c := range s.subscribers {
				c.Send(raw, 0)
			}
		}
		if at, ok := s.model.NextDeadline(); ok {
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

// Opened does nothing: the list is sent once the director subscribes.
func (s *Source) Opened(*transport.Conn) {}

// Message handles a subscription, which is answered with the whole list, or an acknowledgement of a serial.
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
		if s.subscribers[c] == "" {
			s.recorder.Add(rulecheck.Record{Kind: rulecheck.ListSubscribed, Director: m.Director})
		}
		s.subscribers[c] = m.Director
		c.Send(wire.Encode(s.model.Snapshot(rulecheck.MonotonicNow(), s.titles)), 0)
	case wire.Acknowledge:
		for _, e := range s.model.EntriesOf(m.Serial) {
			s.recorder.Add(rulecheck.Record{Kind: rulecheck.ListAcknowledged, Director: m.Director, Node: e.Node, State: e.State})
		}
	}
}

// Closed removes a subscriber.
func (s *Source) Closed(c *transport.Conn, _ error, _ []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, c)
}
