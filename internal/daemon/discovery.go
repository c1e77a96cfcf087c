package daemon

import (
	"sync"
	"time"

	"fordusher/connector"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// discoveryConnectTimeout is the time limit of one attempt to connect to discovery.
const discoveryConnectTimeout = time.Second

// SetDiscoveryAddress changes the discovery service's address; the daemon then connects there.
func (d *Daemon) SetDiscoveryAddress(address string) {
	d.discoveryAddress.Store(&address)
	select {
	case d.discoveryMoved <- struct{}{}:
	default:
	}
}

// callEvent is an event of a call, with the connection if it has just been made.
type callEvent struct {
	connector.CallEvent
	conn *transport.Conn
}

// A discoveryFollower keeps a call to the discovery service open, as connector.DiscoveryCalls decides. Its fields belong
// to the goroutine of run, except for events and receiving.
type discoveryFollower struct {
	d       *Daemon
	address string
	calls   *connector.DiscoveryCalls
	conns   map[uint64]*transport.Conn // by call; emptied as calls end or are closed
	events  chan callEvent
	// receiving keeps the messages of several calls in the order in which they were decoded on their way to the loop.
	receiving sync.Mutex
}

// followDiscovery follows the discovery service until the daemon is killed. It calls again after each loss and silence,
// and when the address changes.
func (d *Daemon) followDiscovery() {
	policy := connector.DefaultCallPolicy(d.config.ReconnectPolicy, d.config.DiscoveryReadTimeout)
	if policy.Silence <= 0 { // a call may stay silent for good
		policy.Silence, policy.FirstWait, policy.FurtherWait = noTimeout, noTimeout, noTimeout
	}
	f := &discoveryFollower{d: d, calls: connector.NewDiscoveryCalls(d.seed, policy), conns: map[uint64]*transport.Conn{},
		events: make(chan callEvent)}
	f.run()
}

// noTimeout is longer than any process runs.
const noTimeout = 100 * 365 * 24 * time.Hour

func (f *discoveryFollower) run() {
	f.address = *f.d.discoveryAddress.Load()
	next := f.step(connector.CallEvent{Kind: connector.CallTimer})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, next-f.d.now()))
		select {
		case <-f.d.quit:
			return
		case <-f.d.discoveryMoved:
			if address := *f.d.discoveryAddress.Load(); address != f.address {
				f.address = address
				next = f.step(connector.CallEvent{Kind: connector.AddressChanged})
			}
		case e := <-f.events:
			next = f.handle(e)
		case <-timer.C:
			next = f.step(connector.CallEvent{Kind: connector.CallTimer})
		}
	}
}

// handle handles an event of a call and returns the time of the next timer.
func (f *discoveryFollower) handle(e callEvent) (next time.Duration) {
	switch {
	case e.conn != nil && f.calls.Open(e.Call):
		f.conns[e.Call] = e.conn
		return f.step(connector.CallEvent{Kind: connector.CallTimer})
	case e.conn != nil: // it was closed, or has ended, meanwhile
		go e.conn.Abort()
		return f.step(connector.CallEvent{Kind: connector.CallTimer})
	case e.Kind == connector.CallEnded:
		delete(f.conns, e.Call)
	}
	return f.step(e.CallEvent)
}

// step carries out the plan for an event and returns the time of the next timer.
func (f *discoveryFollower) step(e connector.CallEvent) (next time.Duration) {
	plan := f.calls.Step(f.d.now(), e)
	for _, call := range plan.Close {
		if conn := f.conns[call]; conn != nil {
			go conn.Abort() // it waits for Closed, which reports to this goroutine
			delete(f.conns, call)
		}
	}
	made, givenUp := f.calls.Counts()
	f.d.discoveryCalls.Store(made)
	f.d.discoveryCallsGivenUp.Store(givenUp)
	if plan.Start != 0 {
		if len(f.conns) > 0 {
			f.d.log.Warn().Uint64("calls", made).Uint64("given_up", givenUp).Msg("no data from discovery; reconnecting")
		}
		go f.call(plan.Start, f.address)
	}
	return plan.NextTimer
}

// call connects to discovery.
func (f *discoveryFollower) call(id uint64, address string) {
	h := &discoveryHandler{follower: f, call: id}
	conn, err := f.d.protocol.DialDiscovery(address, discoveryConnectTimeout, h)
	if err != nil {
		f.d.log.Warn().Err(err).Msg("discovery is unreachable; the last server list stays in force")
		h.report(connector.CallEnded, nil)
		return
	}
	h.report(connector.CallTimer, conn)
}

// A discoveryHandler receives the events of one call.
type discoveryHandler struct {
	follower *discoveryFollower
	call     uint64
	peer     peer
}

func (h *discoveryHandler) report(kind connector.CallEventKind, conn *transport.Conn) {
	select {
	case h.follower.events <- callEvent{connector.CallEvent{Call: h.call, Kind: kind}, conn}:
	case <-h.follower.d.quit:
	}
}

// Opened implements transport.Handler.
func (h *discoveryHandler) Opened(c *transport.Conn) {
	h.peer.conn = c
	h.follower.d.inbox.put(item{input: director.DiscoveryConnected{}, conn: c})
}

// Message implements transport.Handler. Any message answers the call, also one that says nothing new.
func (h *discoveryHandler) Message(c *transport.Conn, raw []byte) {
	if err := h.receive(c, raw); err != nil {
		h.follower.d.malformed(c, 2, err)
		return
	}
	h.report(connector.CallAnswered, nil)
}

// receive decodes a message and passes it to the loop.
func (h *discoveryHandler) receive(c *transport.Conn, raw []byte) error {
	d := h.follower.d
	h.follower.receiving.Lock()
	defer h.follower.receiving.Unlock()
	m, err := d.protocol.DecodeDiscovery(raw)
	if err != nil {
		return err
	}
	if m.Type != "" {
		d.enqueueBounded(c, item{input: director.DiscoveryReceived{Message: m}, peer: &h.peer, receivedAt: time.Now(),
			held: messageCost(len(raw))})
	}
	return nil
}

// Closed implements transport.Handler.
func (h *discoveryHandler) Closed(c *transport.Conn, _ error, _ []uint64) {
	h.follower.d.inbox.put(item{input: director.DiscoveryLost{}, conn: c})
	h.report(connector.CallEnded, nil)
}

// removeDiscovery removes a connection to discovery. Of several the loop sends on the latest.
func (d *Daemon) removeDiscovery(c *transport.Conn) {
	for i, other := range d.discovery {
		if other == c {
			d.discovery = append(d.discovery[:i], d.discovery[i+1:]...)
			return
		}
	}
}

// sendDiscovery sends a message on the latest connection to discovery, if there is one.
func (d *Daemon) sendDiscovery(m wire.DiscoveryMessage) {
	if len(d.discovery) == 0 {
		return
	}
	if raw := d.protocol.EncodeDiscovery(m); raw != nil {
		d.discovery[len(d.discovery)-1].Send(raw, 0)
	}
}

// addAge adds to the ages of nodes the time that has passed since they were received: the loop relates them to its own time.
func addAge(nodes []wire.NodeEntry, passed time.Duration) {
	for i := range nodes {
		if nodes[i].UptimeMS > 0 {
			nodes[i].UptimeMS += passed.Milliseconds()
		}
	}
}
