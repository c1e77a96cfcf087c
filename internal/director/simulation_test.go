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

// A simulation is several directors' loops with the real module, on nodes that they share, with a list and viewers that
// do whatever a seed draws. What goes in and out is recorded, and the witness judges the rules from that alone.
type simulation struct {
	*rand.Rand
	t             testingT
	config        simConfig
	now           time.Duration
	directors     []*simDirector
	nodes         []*simNode
	records       []rulecheck.Record
	lastID        uint64 // of connections
	opportunities int    // how often the rule that is looked at could have been broken
}

// A simConfig is what a town's directors are told, and what is broken in them on purpose.
type simConfig struct {
	rule          string
	directors     int
	nodes         int
	steps         int
	maxBurst      int // requests that come together at most
	tariffs       []Tariff
	ramp          policy.Ramp
	legs          policy.RetryPolicy
	nodeReplies   []string // what nodes say of a leg
	reportAges    bool     // nodes and list tell ages
	alterEvent    func(policy.Event) policy.Event
	dropOutput    func(Output) bool
	alterPolicy   func(*policyConfig)
	guardDisabled bool
}

// policyConfig is what a module is told at its start.
type policyConfig struct {
	tariffs []policy.Tariff
	ramp    policy.Ramp
	legs    policy.RetryPolicy
}

// An alteredDecider is a module that is told something else than what happened.
type alteredDecider struct {
	Decider
	alterEvent func(policy.Event) policy.Event
}

func (l alteredDecider) Step(now time.Duration, e policy.Event) []policy.Action {
	return l.Decider.Step(now, l.alterEvent(e))
}

type simNode struct {
	name          string
	incarnation   uint64
	startedAt     time.Duration // under 0: long ago
	up            bool
	entry         wire.NodeEntry // as the list has it
	previousEntry wire.NodeEntry // as it had it before
	startedInRun  bool
}

// A simDirector is a director at work.
type simDirector struct {
	*simulation
	number, boot   int
	loop           *Loop
	startedAt      time.Duration
	stalledUntil   time.Duration // it stands still until then
	inbox          []Input
	stepping       bool
	nodeLinks      map[uint64]*nodeLink // by link, connected or being connected
	conns          []uint64
	requests       []clientRequest
	unackedEntries map[uint64][]wire.NodeEntry // by serial
	serial         uint64
	ended          bool
}

type clientRequest struct {
	conn    uint64
	message wire.SessionMessage
}

// A nodeLink is a connection to a node. While it is stuck, what is sent stays with the director.
type nodeLink struct {
	node      *simNode
	conn      uint64
	connected bool
	blocked   bool
	queued    []SendNode
	legs      map[uint64]simLeg
}

// simLeg is a leg as its node has it.
type simLeg struct {
	plays     bool
	expiresAt time.Duration // it is not started later
}

func newSimulation(t testingT, seed uint64, c simConfig) *simulation {
	w := &simulation{Rand: rand.New(rand.NewPCG(seed, 2026)), t: t, config: c}
	for i := range c.nodes {
		m := &simNode{name: nodeName(i), incarnation: uint64(i + 1), startedAt: -1, up: true}
		m.entry = upEntry(i)
		m.previousEntry = m.entry
		w.nodes = append(w.nodes, m)
	}
	for i := range c.directors {
		p := &simDirector{simulation: w, number: i}
		w.directors = append(w.directors, p)
		p.start()
	}
	return w
}

func (w *simulation) record(r rulecheck.Record) {
	r.At = w.now
	w.records = append(w.records, r)
}

// oneIn says yes once in so many times.
func (w *simulation) oneIn(n int) bool { return w.IntN(n) == 0 }

func pick[V any](w *simulation, all []V) V { return all[w.IntN(len(all))] }

// start starts a director that knows nothing.
func (p *simDirector) start() {
	c := p.config
	p.boot++
	p.startedAt, p.stalledUntil, p.ended = p.now, p.now, false
	p.nodeLinks, p.conns, p.requests, p.unackedEntries, p.inbox = map[uint64]*nodeLink{}, nil, nil, map[uint64][]wire.NodeEntry{}, nil
	g := policyConfig{ramp: c.ramp, legs: c.legs}
	for _, x := range c.tariffs {
		g.tariffs = append(g.tariffs, x.Tariff)
	}
	if c.alterPolicy != nil {
		c.alterPolicy(&g)
	}
	ladder := policy.Ladder{Rates: []float64{100, 200, 400}, JoinCost: 1}
	seed := p.Uint64()
	var module Decider = policy.New(seed, policy.Peers{Index: p.number, Directors: c.directors}, g.tariffs, ladder,
		policy.Fleet{Cells: 8, Racks: 2, LinkUnit: 10_000, Uplink: 100_000}, g.ramp, g.legs,
		policy.ReportTiming{Delay: 500 * ms, Interval: 2 * time.Second, MaxBackoff: time.Second})
	if c.alterEvent != nil {
		module = alteredDecider{module, c.alterEvent}
	}
	p.loop = New(p.name(), fmt.Sprint(p.boot), seed, module, c.tariffs, []string{"box"}, ladder,
		Options{AnswerMargin: 50 * ms, Linger: time.Second, ConnectTimeout: 250 * ms, SessionsPerConnection: 4},
		connector.ReconnectPolicy{InitialBackoff: 100 * ms, MaxBackoff: time.Second, MaxConcurrent: 8, HeartbeatInterval: time.Second}, shutdown.Policy{Timeout: 2 * time.Second, BatchInterval: 100 * ms},
		limits.Capacity{MaxConnections: 1000, MaxHandshakes: 100, HeartbeatInterval: 10 * time.Second, IdleTimeout: time.Minute, HandshakeTimeout: time.Second, MaxRetryAfter: 10 * time.Second},
		limits.QueuePolicy{MaxWait: 200 * ms, MaxRetryAfter: 10 * time.Second})
	p.loop.guardDisabled = c.guardDisabled
	p.record(rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: p.name()})
	p.step(DiscoveryConnected{})
}

func (p *simDirector) name() string { return fmt.Sprint("d", p.number) }

// step lets a director hear something, and all that follows from it at once.
func (p *simDirector) step(in Input) {
	p.inbox = append(p.inbox, in)
	if p.stepping {
		return
	}
	p.stepping = true
	for len(p.inbox) > 0 {
		next := p.inbox[0]
		p.inbox = p.inbox[1:]
		for _, o := range slices.Clone(p.loop.Step(p.now-p.startedAt, next)) {
			if p.config.dropOutput == nil || !p.config.dropOutput(o) {
				p.apply(o)
			}
		}
	}
	p.stepping = false
}

func (p *simDirector) apply(o Output) {
	switch o := o.(type) {
	case SendClient:
		if k := o.Message.Type; k == wire.Playing || k == wire.Nack || k == wire.Errored {
			p.record(rulecheck.Record{Kind: k, Director: p.name(), Conn: o.Conn, RequestID: o.Message.ID, Session: o.Message.Session})
			if p.config.rule == rulecheck.RuleAnswer && k != wire.Playing {
				p.opportunities++
			}
		}
	case AcceptClient:
		p.step(ClientAccepted(o))
	case RejectClient:
		p.conns = slices.DeleteFunc(p.conns, func(x uint64) bool { return x == o.Conn })
	case CloseClient:
		p.record(rulecheck.Record{Kind: rulecheck.ConnClosed, Conn: o.Conn, ClosedBy: rulecheck.ClosedByPeer, Reason: fmt.Sprintf("%d %s", o.Code, o.Reason)})
		p.disconnectClient(o.Conn)
	case Connect:
		p.nodeLinks[o.Link] = &nodeLink{node: p.nodes[slices.IndexFunc(p.nodes, func(m *simNode) bool { return m.name == o.Node })], legs: map[uint64]simLeg{}}
	case SendNode:
		l := p.nodeLinks[o.Link]
		if l != nil && o.Message.Type == wire.End { // from now on it is no leg of this director, whenever the node hears of it
			p.record(rulecheck.Record{Kind: wire.End, Node: l.node.name, Conn: l.conn, Director: p.name(), Leg: o.Message.Leg})
		}
		switch {
		case l == nil || !l.connected:
			if o.Setup != 0 {
				p.step(Withdrawn{o.Setup})
			}
		case l.blocked:
			l.queued = append(l.queued, o)
		default:
			p.deliver(l, o)
		}
	case Withdraw:
		if l := p.nodeLinks[o.Link]; l != nil {
			if i := slices.IndexFunc(l.queued, func(q SendNode) bool { return q.Setup == o.Leg }); i >= 0 {
				l.queued = slices.Delete(l.queued, i, i+1)
				p.step(Withdrawn{o.Leg})
			}
		}
	case ProbeLink:
		p.step(LinkAlive{Link: o.Link})
	case CloseLink:
		p.removeLink(o.Link)
	case SendDiscovery:
		switch o.Message.Type {
		case wire.Subscribe:
			p.record(rulecheck.Record{Kind: rulecheck.ListRequested, Director: p.name()})
			p.sendFullList(false)
		case wire.Acknowledge:
			for _, e := range p.unackedEntries[o.Message.Serial] {
				p.record(rulecheck.Record{Kind: rulecheck.ListReceived, Director: p.name(), Node: e.Node, State: e.State})
				if p.config.rule == rulecheck.RuleDrain && e.State != wire.Up {
					p.opportunities++
				}
			}
			delete(p.unackedEntries, o.Message.Serial)
		}
	case ShutdownComplete:
		p.ended = true
	}
}

// deliver is a message that has reached its node.
func (p *simDirector) deliver(l *nodeLink, o SendNode) {
	m := o.Message
	r := rulecheck.Record{Kind: m.Type, Node: l.node.name, Conn: l.conn, Director: p.name(), Session: m.Session, Leg: m.Leg, Tariff: m.Tariff,
		Title: m.Title, Rung: m.Rung, StartTimeout: time.Duration(m.StartWithinMS) * ms}
	switch m.Type {
	case wire.Setup:
		l.legs[m.Leg] = simLeg{expiresAt: p.now + r.StartTimeout}
		if l.node.startedInRun && p.now < l.node.startedAt+p.config.ramp.Warmup && p.config.rule == rulecheck.RuleSlowStart {
			p.opportunities++
		}
	case wire.Rung:
	case wire.End:
		delete(l.legs, m.Leg)
		return
	default:
		return
	}
	p.record(r)
}

// disconnectClient takes a player's connection off a director.
func (p *simDirector) disconnectClient(conn uint64) {
	p.conns = slices.DeleteFunc(p.conns, func(x uint64) bool { return x == conn })
	p.requests = slices.DeleteFunc(p.requests, func(v clientRequest) bool { return v.conn == conn })
	p.step(ClientLost{Conn: conn})
}

// removeLink is a connection's end as its node sees it.
func (p *simDirector) removeLink(link uint64) (l *nodeLink) {
	if l = p.nodeLinks[link]; l != nil && l.connected {
		p.record(rulecheck.Record{Kind: rulecheck.ConnClosed, Node: l.node.name, Conn: l.conn})
	}
	delete(p.nodeLinks, link)
	return l
}

// loseLink ends a connection from the node's side: what is still queued never left.
func (p *simDirector) loseLink(link uint64) {
	var unsent []uint64
	for _, q := range p.removeLink(link).queued {
		if q.Setup != 0 {
			unsent = append(unsent, q.Setup)
		}
	}
	p.step(LinkLost{Link: link, Unsent: unsent})
}

// withAge is the list's line of a node as a director hears it now.
func (p *simDirector) withAge(m *simNode, e wire.NodeEntry) wire.NodeEntry {
	if p.config.reportAges && m.startedAt >= 0 && e.Incarnation == m.incarnation && p.now > m.startedAt {
		e.UptimeMS = max(1, (p.now - m.startedAt).Milliseconds())
	}
	return e
}

func (p *simDirector) sendFullList(behind bool) {
	word := wire.DiscoveryMessage{Type: wire.Snapshot, Titles: []wire.TitlePlacement{{Title: "t", FirstCell: 0, Copies: 8}, {Title: "u", FirstCell: 1, Copies: 7}}}
	var gone []wire.NodeEntry
	for _, m := range p.nodes {
		e := m.entry
		if behind {
			e = m.previousEntry
		}
		if e.State == wire.Removed {
			gone = append(gone, e)
		} else {
			word.Nodes = append(word.Nodes, p.withAge(m, e))
		}
	}
	p.sendList(word, gone...)
}

// sendList hands a director a word of the list, by way of the codec.
func (p *simDirector) sendList(word wire.DiscoveryMessage, unnamed ...wire.NodeEntry) {
	p.serial++
	word.Serial = p.serial
	p.unackedEntries[p.serial] = append(unnamed, word.Nodes...)
	m, err := wire.DecodeDiscoveryMessage(wire.Encode(word))
	if err != nil {
		p.t.Fatal(err)
	}
	p.step(DiscoveryReceived{m})
}

// advance lets time go by; a director that stands still catches up when its time has come.
func (w *simulation) advance(d time.Duration) {
	for end := w.now + d; ; {
		var first *simDirector
		at := end + 1
		for _, p := range w.directors {
			if next := p.loop.Next(); !p.ended && next <= end {
				if next = max(p.startedAt+next, p.stalledUntil, w.now); next < at {
					first, at = p, next
				}
			}
		}
		if first == nil || at > end {
			w.now = end
			return
		}
		w.now = at
		first.step(Tick{})
	}
}

// links of a director in order, of those that are made or not.
func (p *simDirector) links(made bool) (all []uint64) {
	for link, l := range p.nodeLinks {
		if l.connected == made {
			all = append(all, link)
		}
	}
	slices.Sort(all)
	return all
}

// step is one thing that happens to a director, a node or the list.
func (w *simulation) step() {
	p := pick(w, w.directors)
	if p.ended { // the next one takes its place
		p.kill()
		p.start()
	}
	if p.stalledUntil > w.now {
		p = pick(w, w.directors)
	}
	switch w.IntN(24) {
	case 0, 1, 2, 3, 4:
		p.sendRequests()
	case 5:
		if len(p.requests) > 0 { // again, or leaving
			v := pick(w, p.requests)
			if w.oneIn(2) {
				v.message = wire.SessionMessage{Type: wire.Cancel, ID: v.message.ID}
				p.requests = slices.DeleteFunc(p.requests, func(x clientRequest) bool { return x.conn == v.conn && x.message.ID == v.message.ID })
			}
			p.sendClientMessage(v)
		}
	case 6:
		if len(p.conns) > 0 && w.oneIn(2) {
			conn := pick(w, p.conns)
			w.record(rulecheck.Record{Kind: rulecheck.ConnClosed, Conn: conn, ClosedBy: rulecheck.ClosedByRecorder})
			p.disconnectClient(conn)
		}
	case 7, 8, 9, 10, 11, 12:
		p.sendNodeReplies()
	case 13, 14, 15:
		for _, link := range p.links(false) {
			p.finishConnect(link)
		}
	case 16:
		if made := p.links(true); len(made) > 0 {
			link := pick(w, made)
			l := p.nodeLinks[link]
			if l.blocked = !l.blocked && w.oneIn(2); !l.blocked {
				for len(l.queued) > 0 {
					o := l.queued[0]
					l.queued = l.queued[1:]
					p.deliver(l, o)
				}
			}
		}
	case 17:
		if made := p.links(true); len(made) > 0 && w.oneIn(2) {
			p.loseLink(pick(w, made))
		}
	case 18:
		m := pick(w, w.nodes)
		if i := slices.IndexFunc(w.nodes, func(m *simNode) bool { return !m.up }); i >= 0 {
			m = w.nodes[i]
		}
		w.toggleNode(m)
	case 19, 20:
		w.changeEntry(pick(w, w.nodes))
	case 21: // a list that is behind, or repeats itself
		p.sendFullList(w.oneIn(3))
	case 22:
		p.stalledUntil = w.now + time.Duration(w.IntN(40))*ms
	case 23:
		if w.oneIn(6) {
			p.step(Stop{})
		} else if w.oneIn(4) {
			p.kill()
			p.start()
		}
	}
	w.advance(time.Duration(w.IntN(250)) * ms)
}

// kill ends a director at once, with all its connections.
func (p *simDirector) kill() {
	p.record(rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: p.name()})
	for _, made := range []bool{true, false} {
		for _, link := range p.links(made) {
			p.removeLink(link)
		}
	}
}

// sendRequests lets viewers want something, some of them with a key that another has, some after a wait in line.
func (p *simDirector) sendRequests() {
	for range 1 + p.IntN(p.config.maxBurst) {
		if len(p.conns) == 0 || p.oneIn(2) && len(p.conns) < 40 {
			p.lastID++
			p.conns = append(p.conns, p.lastID)
			p.step(ClientConnecting{Conn: p.lastID, Address: netip.AddrFrom4([4]byte{10, 0, 0, byte(p.IntN(3))})})
		}
		if len(p.conns) == 0 {
			return // turned away: the director closes
		}
		p.lastID++
		v := clientRequest{pick(p.simulation, p.conns), wire.SessionMessage{Type: wire.Request, ID: fmt.Sprint(p.lastID), Tariff: pick(p.simulation, p.config.tariffs).Name,
			Title: pick(p.simulation, []string{"t", "t", "t", "u", "none"}), Key: fmt.Sprint("k", p.lastID), WaitMS: int64(100 + p.IntN(3900)), LengthMS: 60_000}}
		if len(p.requests) > 0 && p.oneIn(5) {
			v.message.Key = pick(p.simulation, p.requests).message.Key
		}
		p.requests = append(p.requests, v)
		p.sendClientMessage(v)
	}
}

// sendClientMessage lets a viewer say something, by way of the codec.
func (p *simDirector) sendClientMessage(v clientRequest) {
	m, err := wire.DecodeSessionMessage(wire.Encode(v.message))
	if err != nil {
		p.t.Fatal(err)
	}
	if !slices.Contains(p.conns, v.conn) {
		return
	}
	waited := time.Duration(pick(p.simulation, []int{0, 0, 0, 0, 120, 300})) * ms
	r := rulecheck.Record{Kind: m.Type, Director: p.name(), Conn: v.conn, RequestID: m.ID, Tariff: m.Tariff, Title: m.Title, Wait: time.Duration(m.WaitMS) * ms}
	for _, t := range p.config.tariffs {
		if t.Name == m.Tariff { // what has stood in line for longer than the viewer waits is answered in the same step
			r.Wait = max(waited, min(r.Wait, t.HardStop)) - waited
		}
	}
	// A key that is shown again takes the session over, and excuses the request that had it.
	if s := p.loop.sessionsByKey[m.Key]; m.Type == wire.Request && s != nil && s.conn != nil && s.conn.requests[m.ID] == nil {
		p.record(rulecheck.Record{Kind: wire.Cancel, Director: p.name(), Conn: s.conn.id, RequestID: s.request})
	}
	p.record(r)
	p.step(ClientReceived{Conn: v.conn, Message: m, Waited: waited})
}

// sendNodeReplies lets a node say something of a leg, or of none that is known any more.
func (p *simDirector) sendNodeReplies() {
	var links, legs []uint64
	for _, link := range p.links(true) {
		for leg := range p.nodeLinks[link].legs {
			links, legs = append(links, link), append(legs, leg)
		}
	}
	if len(legs) == 0 {
		p.step(LinkReceived{Link: p.lastID, Message: wire.NodeMessage{Type: wire.Accepted, Leg: 1}}) // of a connection that is no more
		return
	}
	order := make([]int, len(legs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(legs[a], legs[b]) })
	for range 1 + p.IntN(2) {
		i := pick(p.simulation, order)
		l := p.nodeLinks[links[i]]
		if l == nil {
			return
		}
		was, there := l.legs[legs[i]]
		if !there {
			return
		}
		m := wire.NodeMessage{Type: pick(p.simulation, p.config.nodeReplies), Leg: legs[i]}
		switch {
		case m.Type == wire.Measurement:
			m.MeasurementKind, m.MeasurementValue = 1+p.IntN(4), pick(p.simulation, []float64{0, 0.3, 0.9, 1.2, 3, 1e6})
		case m.Type == wire.Accepted:
			if was.plays || p.now > was.expiresAt {
				return
			}
			l.legs[legs[i]] = simLeg{plays: true}
		case m.Type == wire.Full && was.plays: // no node takes that back
			return
		default:
			delete(l.legs, legs[i])
			if p.config.rule == rulecheck.RuleSetupOnce && !was.plays {
				p.opportunities++
			}
		}
		if m.Type != wire.Measurement {
			p.record(rulecheck.Record{Kind: m.Type, Node: l.node.name, Conn: l.conn, Director: p.name(), Leg: m.Leg})
		}
		if p.oneIn(3) {
			m.Load = &wire.NodeLoad{Streams: new(pick(p.simulation, []float64{0, 5, 1e6})), Link: new(p.Float64() * 2)}
		}
		p.step(LinkReceived{Link: links[i], Message: m})
	}
}

// finishConnect ends a try to reach a node.
func (p *simDirector) finishConnect(link uint64) {
	l := p.nodeLinks[link]
	if l == nil {
		return
	}
	if !l.node.up || p.oneIn(5) {
		delete(p.nodeLinks, link)
		p.step(LinkFailed{Node: l.node.name, Link: link})
		return
	}
	p.lastID++
	l.connected, l.conn = true, p.lastID
	p.step(LinkConnected{Node: l.node.name, Link: link})
	if p.nodeLinks[link] == nil || p.oneIn(12) { // no greeting: what waits for it is cut off in its time
		return
	}
	hello := wire.NodeMessage{Type: wire.Hello, Incarnation: l.node.incarnation}
	if p.config.reportAges && l.node.startedAt >= 0 {
		hello.UptimeMS = max(1, (p.now - l.node.startedAt).Milliseconds())
	}
	p.step(LinkReceived{Link: link, Message: hello})
}

// toggleNode ends a node's process or starts it anew, under the same name.
func (w *simulation) toggleNode(m *simNode) {
	if m.up {
		m.up = false
		w.record(rulecheck.Record{Kind: rulecheck.NodeExited, Node: m.name})
		for _, p := range w.directors {
			for _, link := range p.links(true) {
				if l := p.nodeLinks[link]; l != nil && l.node == m {
					p.loseLink(link)
				}
			}
		}
		return
	}
	m.up, m.startedAt, m.startedInRun = true, w.now, true
	if m.incarnation += uint64(1 + w.IntN(3)); w.oneIn(4) { // another number, not a higher one
		m.incarnation = w.Uint64N(50) + 100
	}
	w.record(rulecheck.Record{Kind: rulecheck.NodeStarted, Node: m.name, MaxStreams: w.config.ramp.MaxStreams[0]})
}

// changeEntry lets the list say something new of a node, to some directors now and to the others later.
func (w *simulation) changeEntry(m *simNode) {
	m.previousEntry = m.entry
	m.entry.State = wire.Up
	if m.previousEntry.State == wire.Up {
		m.entry.State = pick(w, []string{wire.Up, wire.Draining, wire.Removed})
	}
	if m.entry.Incarnation = m.incarnation; w.oneIn(6) { // somewhere else, or of another size, under the same name
		m.entry.Cell, m.entry.Weight = w.IntN(8), 0.5+2*w.Float64()
		m.entry.Address = fmt.Sprint("a:", w.IntN(100))
	}
	for _, p := range w.directors {
		switch {
		case p.ended || w.oneIn(3): // it hears with the next whole list
		case w.oneIn(4): // twice, the earlier word last
			p.sendList(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{p.withAge(m, m.entry)}})
			p.sendList(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{p.withAge(m, m.previousEntry)}})
		default:
			p.sendList(wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{p.withAge(m, m.entry)}})
		}
	}
}

// run goes through a town's days and lets the witness judge them.
func (w *simulation) run() rulecheck.Findings {
	w.advance(1100 * ms)
	for range w.config.steps {
		w.step()
	}
	w.advance(5 * time.Second)
	c := w.config
	terms := rulecheck.Limits{Tariffs: map[string]rulecheck.TariffLimits{}, DrainGrace: 0, Warmup: c.ramp.Warmup, InitialShare: c.ramp.InitialShare, OverloadMultiple: c.ramp.OverloadMultiple,
		OverloadWindow: c.ramp.OverloadWindow, MaxLegs: c.legs.MaxLegs, MinRetries: c.legs.MinRetries, RetryRatio: c.legs.RetryRatio, RetryWindow: c.legs.Window}
	for _, t := range c.tariffs {
		terms.Tariffs[t.Name] = rulecheck.TariffLimits{Paid: t.AtMostOnce, MinRung: t.Floor, Seats: t.Seats}
	}
	rulecheck.Sort(w.records)
	return rulecheck.Check(terms, w.records)
}

// shutDown lets everybody go and looks for what is left on the books.
func (w *simulation) shutDown() {
	for _, p := range w.directors {
		for _, conn := range slices.Clone(p.conns) {
			p.disconnectClient(conn)
		}
	}
	w.advance(5 * time.Second)
	for _, p := range w.directors {
		for _, link := range p.links(true) {
			if p.nodeLinks[link] != nil {
				p.loseLink(link)
			}
		}
		if l := p.loop; len(l.sessions)+len(l.sessionsByKey)+len(l.legs)+l.owed+l.playing != 0 || l.counts.IllegalTransitions != 0 {
			w.t.Fatalf("%s: left on the books: %d sessions, %d keys, %d legs, %d owed, %d playing; %d odd moves", p.name(), len(l.sessions),
				len(l.sessionsByKey), len(l.legs), l.owed, l.playing, l.counts.IllegalTransitions)
		}
	}
}
