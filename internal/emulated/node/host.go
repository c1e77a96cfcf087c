package node

import (
	"sync"
	"time"

	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// Host puts a farm behind sockets, one listener a node, and keeps the record of what crosses them.
type Host struct {
	mu      sync.Mutex // the farm, and what is below
	farm    *Model
	began   time.Duration
	servers map[string]*transport.Server
	links   map[uint64]*transport.Conn // emptied as connections end
	last    uint64
	wake    chan struct{}
	quit    chan struct{}
	record  *rulecheck.Recorder
	silent  map[string]bool
	fell    func(node string)
}

// bounds are the stand-in's own: it is generous, so that it is never what limits a director.
var bounds = transport.Limits{MaxMessageBytes: wire.MaxNodeMessageBytes, MaxQueuedBytes: 16 << 20, WriteTimeout: 5 * time.Second, HandshakeTimeout: 10 * time.Second}

// StartHost starts every node of a farm on a loopback port of its own. Fell is called when a node was pushed over.
func StartHost(farm *Model, record *rulecheck.Recorder, fell func(node string)) (*Host, error) {
	h := &Host{
		farm: farm, began: rulecheck.MonotonicNow(), servers: map[string]*transport.Server{}, links: map[uint64]*transport.Conn{},
		wake: make(chan struct{}, 1), quit: make(chan struct{}), record: record, silent: map[string]bool{}, fell: fell,
	}
	for _, n := range farm.order {
		s, err := transport.Serve("127.0.0.1:0", wire.NodeProtocol, bounds, &door{h, n.Name})
		if err != nil {
			h.Close()
			return nil, err
		}
		h.servers[n.Name] = s
	}
	go h.run()
	return h, nil
}

// Address is where a node listens.
func (h *Host) Address(node string) string { return h.servers[node].Address() }

// Start tells which start a node is in and how long ago that was.
func (h *Host) Start(node string) (start uint64, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.farm.Start(h.now(), node)
}

// Records are none: what the host sees goes to the recorder that it was given.
func (h *Host) Records() ([]rulecheck.Record, error) { return nil, nil }

// Close ends all nodes.
func (h *Host) Close() {
	close(h.quit)
	for _, s := range h.servers {
		s.Close()
	}
}

func (h *Host) now() time.Duration { return rulecheck.MonotonicNow() - h.began }

func (h *Host) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		h.mu.Lock()
		h.carryOut(h.farm.Step(h.now()))
		wait := time.Second
		if at, ok := h.farm.NextDeadline(); ok {
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

// carryOut sends what the farm wants sent; the lock is held.
func (h *Host) carryOut(outs []Output) {
	for _, o := range outs {
		if o.Overloaded {
			h.record.Add(rulecheck.Record{Kind: rulecheck.NodeExited, Node: o.Node, Reason: "pushed over"})
			if h.fell != nil {
				go h.fell(o.Node)
			}
			h.servers[o.Node].SetRefusing(true)
			continue
		}
		if o.Earning != nil {
			h.record.Add(rulecheck.Record{Kind: rulecheck.SessionEarned, Node: o.Node, Session: o.Earning.Session, Tariff: o.Earning.Tariff, Seconds: o.Earning.Seconds})
			continue
		}
		c := h.links[o.Link]
		if c == nil {
			continue
		}
		if o.Reset {
			delete(h.links, o.Link)
			go c.Reset()
			continue
		}
		if h.silent[o.Node] {
			continue
		}
		h.seen(o.Node, c, o.Link, o.Message)
		c.Send(wire.Encode(o.Message), 0)
	}
}

// stir lets the run look again at when something is due; the run itself looks anyway.
func (h *Host) stir() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// seen records a message that is sent or was received; notes and greetings prove nothing.
func (h *Host) seen(node string, c *transport.Conn, link uint64, m wire.NodeMessage) {
	switch m.Type {
	case wire.Hello, wire.Measurement:
		return
	}
	name, _ := c.UserData().(string)
	h.record.Add(rulecheck.Record{
		Kind: m.Type, Node: node, Conn: link, Director: name, Session: m.Session, Leg: m.Leg, Tariff: m.Tariff,
		Title: m.Title, Rung: m.Rung, StartTimeout: time.Duration(m.StartWithinMS) * time.Millisecond, Reason: m.Reason,
	})
}

// Inject does a fault: to the model and to the sockets.
func (h *Host) Inject(x Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.servers {
		if x.Node != "" && x.Node != name {
			continue
		}
		if x.Hang != nil { // a process that stands still greets nobody either
			s.SetSilent(*x.Hang)
		}
		switch {
		case x.Crash:
			h.record.Add(rulecheck.Record{Kind: rulecheck.NodeExited, Node: name})
			s.SetRefusing(true)
		case x.Silent != nil && *x.Silent:
			h.silent[name] = true
			s.SetSilent(true)
		case x.Start:
			if h.silent[name] {
				h.record.Add(rulecheck.Record{Kind: rulecheck.NodeExited, Node: name, Reason: "came back anew"})
			}
			delete(h.silent, name)
			s.SetSilent(false)
			s.SetRefusing(false)
			h.record.Add(rulecheck.Record{Kind: rulecheck.NodeStarted, Node: name, MaxStreams: float64(h.farm.nodes[name].MaxStreams)})
		}
	}
	h.carryOut(h.farm.Apply(h.now(), x))
	h.stir()
}

// A door takes the connections of one node.
type door struct {
	h    *Host
	node string
}

func (d *door) Opened(c *transport.Conn) {
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	d.h.last++
	d.h.links[d.h.last] = c
	c.SetID(d.h.last)
	c.SetUserData("")
	d.h.carryOut(d.h.farm.ConnOpened(d.h.now(), d.node, d.h.last))
	d.h.stir()
}

func (d *door) Message(c *transport.Conn, raw []byte) {
	m, err := wire.DecodeNodeMessage(raw)
	if err != nil {
		c.Close(1007, err.Error())
		return
	}
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	if m.Type == wire.Hello {
		c.SetUserData(m.Director)
	}
	d.h.seen(d.node, c, c.ID(), m)
	if !d.h.silent[d.node] {
		d.h.carryOut(d.h.farm.Receive(d.h.now(), d.node, c.ID(), m))
		d.h.stir()
	}
}

func (d *door) Closed(c *transport.Conn, _ error, _ []uint64) {
	d.h.mu.Lock()
	defer d.h.mu.Unlock()
	delete(d.h.links, c.ID())
	if c.ID() == 0 {
		return
	}
	d.h.record.Add(rulecheck.Record{Kind: rulecheck.ConnClosed, Node: d.node, Conn: c.ID()})
	d.h.carryOut(d.h.farm.ConnClosed(d.h.now(), d.node, c.ID()))
	d.h.stir()
}
