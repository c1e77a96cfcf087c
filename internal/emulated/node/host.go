package node

import (
	"sync"
	"time"

	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// Host serves the nodes of a model on sockets, with one listener for each, and records the messages that they send and
// receive.
type Host struct {
	mu         sync.Mutex // guards the model and the fields below
	model      *Model
	startedAt  time.Duration
	servers    map[string]*transport.Server
	conns      map[uint64]*transport.Conn // open connections by number
	lastConn   uint64
	wake       chan struct{}
	quit       chan struct{}
	recorder   *rulecheck.Recorder
	silent     map[string]bool // nodes whose machine sends and receives nothing, by name
	onOverload func(node string)
}

// connLimits are the emulated nodes' connection limits. They are so wide that they never limit a director.
var connLimits = transport.Limits{MaxMessageBytes: wire.MaxNodeMessageBytes, MaxQueuedBytes: 16 << 20,
	WriteTimeout: 5 * time.Second, HandshakeTimeout: 10 * time.Second}

// StartHost starts every node of a model on a loopback port of its own. It calls onOverload, if it isn't nil, when a
// node's process ends because of too many set-ups in slow start.
func StartHost(model *Model, recorder *rulecheck.Recorder, onOverload func(node string)) (*Host, error) {
	h := &Host{
		model: model, startedAt: rulecheck.MonotonicNow(), servers: map[string]*transport.Server{}, conns: map[uint64]*transport.Conn{},
		wake: make(chan struct{}, 1), quit: make(chan struct{}), recorder: recorder, silent: map[string]bool{}, onOverload: onOverload,
	}
	for _, n := range model.nodeOrder {
		s, err := transport.Serve("127.0.0.1:0", wire.NodeProtocol, connLimits, &nodeListener{h, n.Name})
		if err != nil {
			h.Close()
			return nil, err
		}
		h.servers[n.Name] = s
	}
	go h.run()
	return h, nil
}

// Address is the address on which a node listens.
func (h *Host) Address(node string) string { return h.servers[node].Address() }

// Start returns the number of a node's last start and the time since then (0: long ago).
func (h *Host) Start(node string) (start uint64, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model.Start(h.now(), node)
}

// Records returns no records, because the host adds them to the recorder that it was given. Implementations whose
// nodes run in another process return theirs.
func (h *Host) Records() ([]rulecheck.Record, error) { return nil, nil }

// Close closes all listeners and connections.
func (h *Host) Close() {
	close(h.quit)
	for _, s := range h.servers {
		s.Close()
	}
}

func (h *Host) now() time.Duration { return rulecheck.MonotonicNow() - h.startedAt }

// run handles the model's events as they come due.
func (h *Host) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		h.mu.Lock()
		h.deliver(h.model.Step(h.now()))
		wait := time.Second
		if at, ok := h.model.NextDeadline(); ok {
			wait = min(wait, max(0, at-h.now()))
		}
		h.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-h.quit:
			return
		case <-timer.C:
		case <-h.wake:
		}
	}
}

// deliver carries out the model's outputs. Callers hold the lock.
func (h *Host) deliver(outputs []Output) {
	for _, o := range outputs {
		if o.Overloaded {
			h.recorder.Add(rulecheck.Record{Kind: rulecheck.NodeExited, Node: o.Node, Reason: "pushed over"})
			if h.onOverload != nil {
				go h.onOverload(o.Node)
			}
			h.servers[o.Node].SetRefusing(true)
			continue
		}
		if o.Earning != nil {
			h.recorder.Add(rulecheck.Record{Kind: rulecheck.SessionEarned, Node: o.Node, Session: o.Earning.Session,
				Tariff: o.Earning.Tariff, Seconds: o.Earning.Seconds})
			continue
		}
		c := h.conns[o.Conn]
		if c == nil {
			continue
		}
		if o.Reset {
			delete(h.conns, o.Conn)
			go c.Reset()
			continue
		}
		if h.silent[o.Node] {
			continue
		}
		h.recordMessage(o.Node, c, o.Conn, o.Message)
		c.Send(wire.Encode(o.Message), 0)
	}
}

// wakeUp makes run determine the next deadline anew. Without it, run does so at the last known deadline, and after a
// second at the latest.
func (h *Host) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// recordMessage records a message that is sent or was received. Hello messages and measurements aren't recorded, since
// no rule depends on them.
func (h *Host) recordMessage(node string, c *transport.Conn, conn uint64, m wire.NodeMessage) {
	switch m.Type {
	case wire.Hello, wire.Measurement:
		return
	}
	director, _ := c.UserData().(string)
	h.recorder.Add(rulecheck.Record{
		Kind: m.Type, Node: node, Conn: conn, Director: director, Session: m.Session, Leg: m.Leg, Tariff: m.Tariff,
		Title: m.Title, Rung: m.Rung, StartTimeout: time.Duration(m.StartWithinMS) * time.Millisecond, Reason: m.Reason,
	})
}

// Inject applies a fault to the model and to the sockets.
func (h *Host) Inject(fault Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.servers {
		if fault.Node != "" && fault.Node != name {
			continue
		}
		if fault.Hang != nil { // a hung process doesn't answer handshakes either
			s.SetSilent(*fault.Hang)
		}
		switch {
		case fault.Crash:
			h.recorder.Add(rulecheck.Record{Kind: rulecheck.NodeExited, Node: name})
			s.SetRefusing(true)
		case fault.Silent != nil && *fault.Silent:
			h.silent[name] = true
			s.SetSilent(true)
		case fault.Start:
			if h.silent[name] {
				h.recorder.Add(rulecheck.Record{Kind: rulecheck.NodeExited, Node: name, Reason: "came back anew"})
			}
			delete(h.silent, name)
			s.SetSilent(false)
			s.SetRefusing(false)
			h.recorder.Add(rulecheck.Record{Kind: rulecheck.NodeStarted, Node: name, MaxStreams: float64(h.model.nodes[name].MaxStreams)})
		}
	}
	h.deliver(h.model.Apply(h.now(), fault))
	h.wakeUp()
}

// A nodeListener handles the connections of one node.
type nodeListener struct {
	host *Host
	node string
}

func (l *nodeListener) Opened(c *transport.Conn) {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	l.host.lastConn++
	l.host.conns[l.host.lastConn] = c
	c.SetID(l.host.lastConn)
	c.SetUserData("")
	l.host.deliver(l.host.model.ConnOpened(l.host.now(), l.node, l.host.lastConn))
	l.host.wakeUp()
}

func (l *nodeListener) Message(c *transport.Conn, raw []byte) {
	m, err := wire.DecodeNodeMessage(raw)
	if err != nil {
		c.Close(1007, err.Error())
		return
	}
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	if m.Type == wire.Hello {
		c.SetUserData(m.Director)
	}
	l.host.recordMessage(l.node, c, c.ID(), m)
	if !l.host.silent[l.node] {
		l.host.deliver(l.host.model.Receive(l.host.now(), l.node, c.ID(), m))
		l.host.wakeUp()
	}
}

func (l *nodeListener) Closed(c *transport.Conn, _ error, _ []uint64) {
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	delete(l.host.conns, c.ID())
	if c.ID() == 0 {
		return
	}
	l.host.recorder.Add(rulecheck.Record{Kind: rulecheck.ConnClosed, Node: l.node, Conn: c.ID()})
	l.host.deliver(l.host.model.ConnClosed(l.host.now(), l.node, c.ID()))
	l.host.wakeUp()
}
