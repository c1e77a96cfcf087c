package director

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"fordusher/connector"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/shutdown"
)

// A simulation runs the loops of several directors with the real decider (package policy). They share emulated nodes
// and a server list. The actions of nodes, list and clients are drawn from a seed. All inputs and outputs are recorded,
// and package rulecheck checks the rules from these records alone.
type simulation struct {
	*rand.Rand
	t             testingT
	config        simConfig
	now           time.Duration
	directors     []*simDirector
	nodes         []*simNode
	records       []rulecheck.Record
	lastID        uint64 // of client and node connections and of requests
	opportunities int    // how often the rule under test could have been violated
}

// A simConfig configures a simulation. The functions in it, and guardDisabled, break the directors on purpose.
type simConfig struct {
	rule          string // under test
	directors     int
	nodes         int
	steps         int
	maxBurst      int // most requests in one step
	tariffs       []Tariff
	ramp          policy.Ramp
	retryPolicy   policy.RetryPolicy
	nodeReplies   []string // types of the messages that nodes send about a leg
	reportAges    bool     // nodes and server list report ages
	alterEvent    func(policy.Event) policy.Event
	dropOutput    func(Output) bool
	alterPolicy   func(*policyConfig)
	guardDisabled bool
}

// A policyConfig is the part of package policy's configuration that a test can alter.
type policyConfig struct {
	tariffs     []policy.Tariff
	ramp        policy.Ramp
	retryPolicy policy.RetryPolicy
}

// An alteredDecider is a decider that gets altered events.
type alteredDecider struct {
	Decider
	alterEvent func(policy.Event) policy.Event
}

func (d alteredDecider) Step(now time.Duration, e policy.Event) []policy.Action {
	return d.Decider.Step(now, d.alterEvent(e))
}

// A simNode is an emulated node.
type simNode struct {
	name          string
	incarnation   uint64
	startedAt     time.Duration // negative: before the run
	up            bool
	entry         wire.NodeEntry // in the server list
	previousEntry wire.NodeEntry // the entry before that
	startedInRun  bool
}

// A simDirector is one director of a simulation.
type simDirector struct {
	*simulation
	index, boot    int
	loop           *Loop
	startedAt      time.Duration
	stalledUntil   time.Duration // it runs no timer before that time
	inbox          []Input
	stepping       bool
	nodeLinks      map[uint64]*nodeLink        // by link number, connected or connecting
	conns          []uint64                    // open client connections
	requests       []clientRequest             // of open connections, to be repeated, cancelled or resumed
	unackedEntries map[uint64][]wire.NodeEntry // sent in lists that are not acknowledged yet, by serial
	serial         uint64
	ended          bool
}

// A clientRequest is a message of a client on its connection.
type clientRequest struct {
	conn    uint64
	message wire.SessionMessage
}

// A nodeLink is a connection to a node. While it is blocked, sent messages stay queued at the director.
type nodeLink struct {
	node      *simNode
	conn      uint64
	connected bool
	blocked   bool
	queued    []SendNode
	legs      map[uint64]simLeg
}

// A simLeg is a leg in the state that its node holds.
type simLeg struct {
	plays     bool
	expiresAt time.Duration // the node does not start it after that time
}

// newSimulation starts the nodes and directors of a simulation.
func newSimulation(t testingT, seed uint64, c simConfig) *simulation {
	s := &simulation{Rand: rand.New(rand.NewPCG(seed, 2026)), t: t, config: c}
	for i := range c.nodes {
		n := &simNode{name: nodeName(i), incarnation: uint64(i + 1), startedAt: -1, up: true}
		n.entry = upEntry(i)
		n.previousEntry = n.entry
		s.nodes = append(s.nodes, n)
	}
	for i := range c.directors {
		d := &simDirector{simulation: s, index: i}
		s.directors = append(s.directors, d)
		d.start()
	}
	return s
}

// record adds a record with the current time.
func (s *simulation) record(r rulecheck.Record) {
	r.At = s.now
	s.records = append(s.records, r)
}

// oneIn is true with probability 1/n.
func (s *simulation) oneIn(n int) bool { return s.IntN(n) == 0 }

// pick draws one of several values.
func pick[V any](s *simulation, all []V) V { return all[s.IntN(len(all))] }

// start starts the director without any state of an earlier run.
func (d *simDirector) start() {
	c := d.config
	d.boot++
	d.startedAt, d.stalledUntil, d.ended = d.now, d.now, false
	d.nodeLinks, d.conns, d.requests, d.unackedEntries, d.inbox = map[uint64]*nodeLink{}, nil, nil, map[uint64][]wire.NodeEntry{}, nil
	policyCfg := policyConfig{ramp: c.ramp, retryPolicy: c.retryPolicy}
	for _, tariff := range c.tariffs {
		policyCfg.tariffs = append(policyCfg.tariffs, tariff.Tariff)
	}
	if c.alterPolicy != nil {
		c.alterPolicy(&policyCfg)
	}
	ladder := policy.Ladder{Rates: []float64{100, 200, 400}, JoinCost: 1}
	seed := d.Uint64()
	var decider Decider = policy.New(seed, policy.Peers{Index: d.index, Directors: c.directors}, policyCfg.tariffs, ladder,
		policy.Topology{Cells: 8, Racks: 2, LinkUnit: 10_000, Uplink: 100_000}, policyCfg.ramp, policyCfg.retryPolicy,
		policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	if c.alterEvent != nil {
		decider = alteredDecider{decider, c.alterEvent}
	}
	d.loop = New(d.name(), fmt.Sprint(d.boot), seed, decider, c.tariffs, []string{"box"}, ladder,
		Options{AnswerMargin: 50 * ms, Linger: time.Second, ConnectTimeout: 250 * ms, SessionsPerConnection: 4},
		connector.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8,
			HeartbeatInterval: time.Second},
		shutdown.Policy{Timeout: 2 * time.Second, BatchInterval: 100 * ms},
		limits.Capacity{MaxConnections: 1000, MaxHandshakes: 100, HeartbeatInterval: 10 * time.Second,
			IdleTimeout: time.Minute, HandshakeTimeout: time.Second, MaxRetryAfter: 10 * time.Second},
		limits.QueuePolicy{MaxWait: 200 * ms, MaxRetryAfter: 10 * time.Second})
	d.loop.guardDisabled = c.guardDisabled
	d.record(rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: d.name()})
	d.step(DiscoveryConnected{})
}

func (d *simDirector) name() string { return fmt.Sprint("d", d.index) }

// step passes the director one input, and then every input that follows from its outputs at the same time.
func (d *simDirector) step(in Input) {
	d.inbox = append(d.inbox, in)
	if d.stepping {
		return
	}
	d.stepping = true
	for len(d.inbox) > 0 {
		next := d.inbox[0]
		d.inbox = d.inbox[1:]
		for _, o := range slices.Clone(d.loop.Step(d.now-d.startedAt, next)) {
			if d.config.dropOutput == nil || !d.config.dropOutput(o) {
				d.apply(o)
			}
		}
	}
	d.stepping = false
}

// apply carries out one output of the director.
func (d *simDirector) apply(o Output) {
	switch o := o.(type) {
	case SendClient:
		if kind := o.Message.Type; kind == wire.Playing || kind == wire.Nack || kind == wire.Errored {
			d.record(rulecheck.Record{Kind: kind, Director: d.name(), Conn: o.Conn, RequestID: o.Message.ID, Session: o.Message.Session})
			if d.config.rule == rulecheck.RuleAnswer && kind != wire.Playing {
				d.opportunities++
			}
		}
	case AcceptClient:
		d.step(ClientAccepted(o))
	case RejectClient:
		d.conns = slices.DeleteFunc(d.conns, func(x uint64) bool { return x == o.Conn })
	case CloseClient:
		d.record(rulecheck.Record{Kind: rulecheck.ConnClosed, Conn: o.Conn, ClosedBy: rulecheck.ClosedByPeer,
			Reason: fmt.Sprintf("%d %s", o.Code, o.Reason)})
		d.disconnectClient(o.Conn)
	case Connect:
		d.nodeLinks[o.Link] = &nodeLink{
			node: d.nodes[slices.IndexFunc(d.nodes, func(n *simNode) bool { return n.name == o.Node })], legs: map[uint64]simLeg{}}
	case SendNode:
		l := d.nodeLinks[o.Link]
		if l != nil && o.Message.Type == wire.End { // the director's leg ends here, even if the node is notified later
			d.record(rulecheck.Record{Kind: wire.End, Node: l.node.name, Conn: l.conn, Director: d.name(), Leg: o.Message.Leg})
		}
		switch {
		case l == nil || !l.connected:
			if o.Setup != 0 {
				d.step(Withdrawn{o.Setup})
			}
		case l.blocked:
			l.queued = append(l.queued, o)
		default:
			d.deliver(l, o)
		}
	case Withdraw:
		if l := d.nodeLinks[o.Link]; l != nil {
			if i := slices.IndexFunc(l.queued, func(q SendNode) bool { return q.Setup == o.Leg }); i >= 0 {
				l.queued = slices.Delete(l.queued, i, i+1)
				d.step(Withdrawn{o.Leg})
			}
		}
	case ProbeLink:
		d.step(LinkAlive{Link: o.Link})
	case CloseLink:
		d.removeLink(o.Link)
	case SendDiscovery:
		switch o.Message.Type {
		case wire.Subscribe:
			d.record(rulecheck.Record{Kind: rulecheck.ListSubscribed, Director: d.name()})
			d.sendFullList(false)
		case wire.Acknowledge:
			for _, e := range d.unackedEntries[o.Message.Serial] {
				d.record(rulecheck.Record{Kind: rulecheck.ListAcknowledged, Director: d.name(), Node: e.Node, State: e.State})
				if d.config.rule == rulecheck.RuleDrain && e.State != wire.Up {
					d.opportunities++
				}
			}
			delete(d.unackedEntries, o.Message.Serial)
		}
	case ShutdownComplete:
		d.ended = true
	}
}

// deliver delivers a message to its node.
func (d *simDirector) deliver(l *nodeLink, o SendNode) {
	m := o.Message
	r := rulecheck.Record{Kind: m.Type, Node: l.node.name, Conn: l.conn, Director: d.name(), Session: m.Session,
		Leg: m.Leg, Tariff: m.Tariff,
		Title: m.Title, Rung: m.Rung, StartTimeout: time.Duration(m.StartWithinMS) * ms}
	switch m.Type {
	case wire.Setup:
		l.legs[m.Leg] = simLeg{expiresAt: d.now + r.StartTimeout}
		if l.node.startedInRun && d.now < l.node.startedAt+d.config.ramp.Warmup && d.config.rule == rulecheck.RuleSlowStart {
			d.opportunities++
		}
	case wire.Rung:
	case wire.End:
		delete(l.legs, m.Leg)
		return
	default:
		return
	}
	d.record(r)
}

// disconnectClient ends a client connection.
func (d *simDirector) disconnectClient(conn uint64) {
	d.conns = slices.DeleteFunc(d.conns, func(x uint64) bool { return x == conn })
	d.requests = slices.DeleteFunc(d.requests, func(request clientRequest) bool { return request.conn == conn })
	d.step(ClientLost{Conn: conn})
}

// removeLink removes a node connection and records its end at the node.
func (d *simDirector) removeLink(link uint64) (l *nodeLink) {
	if l = d.nodeLinks[link]; l != nil && l.connected {
		d.record(rulecheck.Record{Kind: rulecheck.ConnClosed, Node: l.node.name, Conn: l.conn})
	}
	delete(d.nodeLinks, link)
	return l
}

// loseLink ends a node connection from the node's side. Set-ups that are still queued are reported as unsent.
func (d *simDirector) loseLink(link uint64) {
	var unsent []uint64
	for _, q := range d.removeLink(link).queued {
		if q.Setup != 0 {
			unsent = append(unsent, q.Setup)
		}
	}
	d.step(LinkLost{Link: link, Unsent: unsent})
}

// withAge returns a node's list entry with its current age, if ages are reported and known.
func (d *simDirector) withAge(n *simNode, e wire.NodeEntry) wire.NodeEntry {
	if d.config.reportAges && n.startedAt >= 0 && e.Incarnation == n.incarnation && d.now > n.startedAt {
		e.UptimeMS = max(1, (d.now - n.startedAt).Milliseconds())
	}
	return e
}

// sendFullList sends the director a snapshot of the server list; a stale one has the previous entries.
func (d *simDirector) sendFullList(stale bool) {
	message := wire.DiscoveryMessage{Type: wire.Snapshot, Titles: []wire.TitlePlacement{
		{Title: "t", FirstCell: 0, Copies: 8}, {Title: "u", FirstCell: 1, Copies: 7}}}
	var removed []wire.NodeEntry
	for _, n := range d.nodes {
		e := n.entry
		if stale {
			e = n.previousEntry
		}
		if e.State == wire.Removed {
			removed = append(removed, e)
		} else {
			message.Nodes = append(message.Nodes, d.withAge(n, e))
		}
	}
	d.sendList(message, removed...)
}

// sendList encodes and decodes a discovery message and passes it to the director. The unnamed entries are those that a
// snapshot reports as removed by leaving them out.
func (d *simDirector) sendList(message wire.DiscoveryMessage, unnamed ...wire.NodeEntry) {
	d.serial++
	message.Serial = d.serial
	d.unackedEntries[d.serial] = append(unnamed, message.Nodes...)
	decoded, err := wire.DecodeDiscoveryMessage(wire.Encode(message))
	if err != nil {
		d.t.Fatal(err)
	}
	d.step(DiscoveryReceived{decoded})
}

// advance moves the time forward and ticks the directors. A stalled director catches up when its stall is over.
func (s *simulation) advance(duration time.Duration) {
	for end := s.now + duration; ; {
		var first *simDirector
		at := end + 1
		for _, d := range s.directors {
			if next := d.loop.Next(); !d.ended && next <= end {
				if next = max(d.startedAt+next, d.stalledUntil, s.now); next < at {
					first, at = d, next
				}
			}
		}
		if first == nil || at > end {
			s.now = end
			return
		}
		s.now = at
		first.step(Tick{})
	}
}

// links returns the numbers of the node connections that are connected, or of those still connecting, in order.
func (d *simDirector) links(connected bool) (all []uint64) {
	for link, l := range d.nodeLinks {
		if l.connected == connected {
			all = append(all, link)
		}
	}
	slices.Sort(all)
	return all
}

// step draws one event at a director, a node or the server list, and then advances the time by up to 250 ms.
func (s *simulation) step() {
	d := pick(s, s.directors)
	if d.ended { // start its successor
		d.kill()
		d.start()
	}
	if d.stalledUntil > s.now {
		d = pick(s, s.directors)
	}
	switch s.IntN(24) {
	case 0, 1, 2, 3, 4:
		d.sendRequests()
	case 5:
		if len(d.requests) > 0 { // repeat or cancel a request
			request := pick(s, d.requests)
			if s.oneIn(2) {
				request.message = wire.SessionMessage{Type: wire.Cancel, ID: request.message.ID}
				d.requests = slices.DeleteFunc(d.requests, func(x clientRequest) bool {
					return x.conn == request.conn && x.message.ID == request.message.ID
				})
			}
			d.sendClientMessage(request)
		}
	case 6:
		if len(d.conns) > 0 && s.oneIn(2) {
			conn := pick(s, d.conns)
			s.record(rulecheck.Record{Kind: rulecheck.ConnClosed, Conn: conn, ClosedBy: rulecheck.ClosedByRecorder})
			d.disconnectClient(conn)
		}
	case 7, 8, 9, 10, 11, 12:
		d.sendNodeReplies()
	case 13, 14, 15:
		for _, link := range d.links(false) {
			d.finishConnect(link)
		}
	case 16:
		if links := d.links(true); len(links) > 0 {
			link := pick(s, links)
			l := d.nodeLinks[link]
			if l.blocked = !l.blocked && s.oneIn(2); !l.blocked {
				for len(l.queued) > 0 {
					o := l.queued[0]
					l.queued = l.queued[1:]
					d.deliver(l, o)
				}
			}
		}
	case 17:
		if links := d.links(true); len(links) > 0 && s.oneIn(2) {
			d.loseLink(pick(s, links))
		}
	case 18:
		n := pick(s, s.nodes)
		if i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return !n.up }); i >= 0 {
			n = s.nodes[i]
		}
		s.toggleNode(n)
	case 19, 20:
		s.changeEntry(pick(s, s.nodes))
	case 21: // a stale or repeated list
		d.sendFullList(s.oneIn(3))
	case 22:
		d.stalledUntil = s.now + time.Duration(s.IntN(40))*ms
	case 23:
		if s.oneIn(6) {
			d.step(Stop{})
		} else if s.oneIn(4) {
			d.kill()
			d.start()
		}
	}
	s.advance(time.Duration(s.IntN(250)) * ms)
}

// kill ends the director at once, together with its node connections.
func (d *simDirector) kill() {
	d.record(rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: d.name()})
	for _, connected := range []bool{true, false} {
		for _, link := range d.links(connected) {
			d.removeLink(link)
		}
	}
}

// sendRequests sends requests of clients, some on new connections and some with the key of an earlier request.
func (d *simDirector) sendRequests() {
	for range 1 + d.IntN(d.config.maxBurst) {
		if len(d.conns) == 0 || d.oneIn(2) && len(d.conns) < 40 {
			d.lastID++
			d.conns = append(d.conns, d.lastID)
			d.step(ClientConnecting{Conn: d.lastID, Address: netip.AddrFrom4([4]byte{10, 0, 0, byte(d.IntN(3))})})
		}
		if len(d.conns) == 0 {
			return // rejected: the director is shutting down
		}
		d.lastID++
		request := clientRequest{pick(d.simulation, d.conns),
			wire.SessionMessage{Type: wire.Request, ID: fmt.Sprint(d.lastID), Tariff: pick(d.simulation, d.config.tariffs).Name,
				Title: pick(d.simulation, []string{"t", "t", "t", "u", "none"}), Key: fmt.Sprint("k", d.lastID),
				WaitMS: int64(100 + d.IntN(3900)), LengthMS: 60_000}}
		if len(d.requests) > 0 && d.oneIn(5) {
			request.message.Key = pick(d.simulation, d.requests).message.Key
		}
		d.requests = append(d.requests, request)
		d.sendClientMessage(request)
	}
}

// sendClientMessage encodes and decodes a client's message and passes it to the director, in some cases after a wait in
// its queue.
func (d *simDirector) sendClientMessage(request clientRequest) {
	m, err := wire.DecodeSessionMessage(wire.Encode(request.message))
	if err != nil {
		d.t.Fatal(err)
	}
	if !slices.Contains(d.conns, request.conn) {
		return
	}
	waited := time.Duration(pick(d.simulation, []int{0, 0, 0, 0, 120, 300})) * ms
	r := rulecheck.Record{Kind: m.Type, Director: d.name(), Conn: request.conn, RequestID: m.ID, Tariff: m.Tariff,
		Title: m.Title, Wait: time.Duration(m.WaitMS) * ms}
	for _, t := range d.config.tariffs {
		if t.Name == m.Tariff { // a request that was queued for longer than its client waits is answered in the same step
			r.Wait = max(waited, min(r.Wait, t.HardStop)) - waited
		}
	}
	// A request with the key of a session takes that session over. The earlier request then needs no answer and is
	// recorded as cancelled.
	if s := d.loop.sessionsByKey[m.Key]; m.Type == wire.Request && s != nil && s.conn != nil && s.conn.requests[m.ID] == nil {
		d.record(rulecheck.Record{Kind: wire.Cancel, Director: d.name(), Conn: s.conn.id, RequestID: s.request})
	}
	d.record(r)
	d.step(ClientReceived{Conn: request.conn, Message: m, Waited: waited})
}

// sendNodeReplies sends one or two messages of nodes about their legs, or one on an unknown link if there is no leg.
func (d *simDirector) sendNodeReplies() {
	var links, legs []uint64
	for _, link := range d.links(true) {
		for leg := range d.nodeLinks[link].legs {
			links, legs = append(links, link), append(legs, leg)
		}
	}
	if len(legs) == 0 {
		d.step(LinkReceived{Link: d.lastID, Message: wire.NodeMessage{Type: wire.Accepted, Leg: 1}}) // on a connection that does not exist
		return
	}
	order := make([]int, len(legs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(legs[a], legs[b]) })
	for range 1 + d.IntN(2) {
		i := pick(d.simulation, order)
		l := d.nodeLinks[links[i]]
		if l == nil {
			return
		}
		state, found := l.legs[legs[i]]
		if !found {
			return
		}
		m := wire.NodeMessage{Type: pick(d.simulation, d.config.nodeReplies), Leg: legs[i]}
		switch {
		case m.Type == wire.Measurement:
			m.MeasurementKind, m.MeasurementValue = 1+d.IntN(4), pick(d.simulation, []float64{0, 0.3, 0.9, 1.2, 3, 1e6})
		case m.Type == wire.Accepted:
			if state.plays || d.now > state.expiresAt {
				return
			}
			l.legs[legs[i]] = simLeg{plays: true}
		case m.Type == wire.Full && state.plays: // a node does not report full for a leg that it has accepted
			return
		default:
			delete(l.legs, legs[i])
			if d.config.rule == rulecheck.RuleSetupOnce && !state.plays {
				d.opportunities++
			}
		}
		if m.Type != wire.Measurement {
			d.record(rulecheck.Record{Kind: m.Type, Node: l.node.name, Conn: l.conn, Director: d.name(), Leg: m.Leg})
		}
		if d.oneIn(3) {
			m.Load = &wire.NodeLoad{Streams: new(pick(d.simulation, []float64{0, 5, 1e6})), Link: new(d.Float64() * 2)}
		}
		d.step(LinkReceived{Link: links[i], Message: m})
	}
}

// finishConnect completes a connect attempt, with success or failure.
func (d *simDirector) finishConnect(link uint64) {
	l := d.nodeLinks[link]
	if l == nil {
		return
	}
	if !l.node.up || d.oneIn(5) {
		delete(d.nodeLinks, link)
		d.step(LinkFailed{Node: l.node.name, Link: link})
		return
	}
	d.lastID++
	l.connected, l.conn = true, d.lastID
	d.step(LinkConnected{Node: l.node.name, Link: link})
	if d.nodeLinks[link] == nil || d.oneIn(12) { // no hello: the legs that wait for it end at their deadlines
		return
	}
	hello := wire.NodeMessage{Type: wire.Hello, Incarnation: l.node.incarnation}
	if d.config.reportAges && l.node.startedAt >= 0 {
		hello.UptimeMS = max(1, (d.now - l.node.startedAt).Milliseconds())
	}
	d.step(LinkReceived{Link: link, Message: hello})
}

// toggleNode ends a node's process, or starts a new one under the same name.
func (s *simulation) toggleNode(n *simNode) {
	if n.up {
		n.up = false
		s.record(rulecheck.Record{Kind: rulecheck.NodeExited, Node: n.name})
		for _, d := range s.directors {
			for _, link := range d.links(true) {
				if l := d.nodeLinks[link]; l != nil && l.node == n {
					d.loseLink(link)
				}
			}
		}
		return
	}
	n.up, n.startedAt, n.startedInRun = true, s.now, true
	if n.incarnation += uint64(1 + s.IntN(3)); s.oneIn(4) { // any other number, not always a higher one
		n.incarnation = s.Uint64N(50) + 100
	}
	s.record(rulecheck.Record{Kind: rulecheck.NodeStarted, Node: n.name, MaxStreams: s.config.ramp.MaxStreams[0]})
}

// changeEntry changes a node's entry in the server list. Some directors get it now, the others with the next full list.
func (s *simulation) changeEntry(n *simNode) {
	n.previousEntry = n.entry
	n.entry.State = wire.Up
	if n.previousEntry.State == wire.Up {
		n.entry.State = pick(s, []string{wire.Up, wire.Draining, wire.Removed})
	}
	if n.entry.Incarnation = n.incarnation; s.oneIn(6) { // moved and resized under the same name
		n.entry.Cell, n.entry.Weight = s.IntN(8), 0.5+2*s.Float64()
		n.entry.Address = fmt.Sprint("a:", s.IntN(100))
	}
	for _, d := range s.directors {
		switch {
		case d.ended || s.oneIn(3): // it gets the entry with the next full list
		case s.oneIn(4): // the new entry, then the previous one
			d.sendList(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{d.withAge(n, n.entry)}})
			d.sendList(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{d.withAge(n, n.previousEntry)}})
		default:
			d.sendList(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{d.withAge(n, n.entry)}})
		}
	}
}

// run runs all steps of the simulation and checks its records against the rules.
func (s *simulation) run() rulecheck.Findings {
	s.advance(1100 * ms)
	for range s.config.steps {
		s.step()
	}
	s.advance(5 * time.Second)
	c := s.config
	ruleLimits := rulecheck.Limits{Tariffs: map[string]rulecheck.TariffLimits{}, DrainGrace: 0, Warmup: c.ramp.Warmup,
		InitialShare: c.ramp.InitialShare, OverloadMultiple: c.ramp.OverloadMultiple,
		OverloadWindow: c.ramp.OverloadWindow, MaxLegs: c.retryPolicy.MaxLegs, MinRetries: c.retryPolicy.MinRetries,
		RetryRatio: c.retryPolicy.RetryRatio, RetryWindow: c.retryPolicy.Window}
	for _, t := range c.tariffs {
		ruleLimits.Tariffs[t.Name] = rulecheck.TariffLimits{Paid: t.AtMostOnce, MinRung: t.Floor, Seats: t.Seats}
	}
	rulecheck.Sort(s.records)
	return rulecheck.Check(ruleLimits, s.records)
}

// shutDown closes all connections and fails the test if a director still holds a session or a leg.
func (s *simulation) shutDown() {
	for _, d := range s.directors {
		for _, conn := range slices.Clone(d.conns) {
			d.disconnectClient(conn)
		}
	}
	s.advance(5 * time.Second)
	for _, d := range s.directors {
		for _, link := range d.links(true) {
			if d.nodeLinks[link] != nil {
				d.loseLink(link)
			}
		}
		if l := d.loop; len(l.sessions)+len(l.sessionsByKey)+len(l.legs)+l.owed+l.playing != 0 || l.counts.IllegalTransitions != 0 {
			s.t.Fatalf("%s: state left: %d sessions, %d keys, %d legs, %d answers owed, %d playing; %d illegal transitions",
				d.name(), len(l.sessions),
				len(l.sessionsByKey), len(l.legs), l.owed, l.playing, l.counts.IllegalTransitions)
		}
	}
}
