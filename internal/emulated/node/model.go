// Package node emulates streaming servers. Model is a model of nodes, their links and their racks' uplinks, which does
// no I/O and has no clock: it takes messages of directors, faults and the time, and returns the messages to send. Host
// serves a model on real sockets.
package node

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
)

// Spec is the hardware of a node, which is a streaming server.
type Spec struct {
	Name       string        `json:"name"`
	Kind       string        `json:"kind"`
	Rack       int           `json:"rack"`
	MaxStreams int           `json:"places"`  // at one time
	LinkRate   float64       `json:"link_kb"` // kB a second
	Cores      int           `json:"cores"`   // each processes one set-up at a time
	SetupTime  time.Duration `json:"work"`    // average time that a core takes for a set-up after slow start
}

// Environment are the parameters that all nodes share.
type Environment struct {
	Uplinks          []float64     `json:"uplinks_kb"`   // by rack, kB a second
	RejectThreshold  float64       `json:"refuses_from"` // utilization of its link from which a node answers full; 0: never
	Warmup           time.Duration `json:"warmup"`
	InitialShare     float64       `json:"cold_from"`            // share of the full set-up speed at a start; rises linearly to 1 over Warmup
	OverloadMultiple float64       `json:"multiple"`             // set-up rate that a node in slow start bears, in MaxStreams/Warmup
	OverloadWindow   time.Duration `json:"tip_after"`            // window over which the set-up rate is measured
	ReportDelay      time.Duration `json:"late"`                 // from a measurement to its sending
	ReportInterval   time.Duration `json:"every"`                // between measurements of link and uplink
	LoadRefresh      time.Duration `json:"refresh"`              // age from which the load in answers is computed anew
	RungValues       []float64     `json:"worth,omitempty"`      // value of a second at each rung; empty: sessions earn nothing
	StallCost        float64       `json:"stall_cost,omitempty"` // loss of value, in points, for each point of the delivered share below 98%
}

// Fault is a change of the state of a node, of all nodes (Node is empty) or of a rack's uplink. Fields that are not set
// leave the state as it is.
type Fault struct {
	Node             string   `json:"node,omitempty"`
	Rack             *int     `json:"rack,omitempty"`
	Hang             *bool    `json:"hang,omitempty"`       // true: the process receives but sends nothing; false: it sends what it deferred
	SlowFactor       *float64 `json:"slow,omitempty"`       // factor of the set-up time
	FailShare        *float64 `json:"fail,omitempty"`       // share of set-ups that fail at once
	LossShare        *float64 `json:"lose,omitempty"`       // share of answers that are lost
	ResetOnLoss      bool     `json:"lose_reset,omitempty"` // a lost answer resets the connection
	DuplicateShare   *float64 `json:"twice,omitempty"`      // share of answers that are sent twice
	BandwidthDivisor *float64 `json:"shrink,omitempty"`     // divisor of the bandwidth of the link or of the rack's uplink
	Crash            bool     `json:"die,omitempty"`        // the process ends, its connections are reset
	Silent           *bool    `json:"silent,omitempty"`     // true: the machine receives and sends nothing; false: it does again
	Start            bool     `json:"start,omitempty"`      // a new process starts, in slow start
}

// An Output is a message to a director; or with Reset, the reset of its connection; or with Overloaded, the end of a
// node's process that got too many set-ups in slow start; or with Earning, what a session earned until it ended.
type Output struct {
	Node       string
	Conn       uint64 // the number of the connection
	Message    wire.NodeMessage
	Reset      bool
	Overloaded bool
	Earning    *Earning
}

// Earning is what a session earned until it ended: its seconds, each multiplied by the value of its rung, which is
// reduced while the session gets less than 0.98 of its rate.
type Earning struct {
	Session string
	Tariff  string
	Seconds float64
}

// A stream is a session on its node, from its set-up on.
type stream struct {
	conn    uint64
	leg     uint64
	rate    float64 // requested, kB a second
	rung    int
	playing bool
	endsAt  time.Duration // once it plays; 0: it plays until the director ends it
	length  time.Duration
	expires time.Duration // latest start of the session; 0: any time
	session string
	tariff  string
	earned  float64
}

// A director is one director's connection to a node.
type director struct {
	conn               uint64
	nextLoadReport     time.Duration // next measurement of link and uplink
	nextDeliveryReport time.Duration // next measurement of the delivered share
	lastBelowTarget    bool          // the last delivered share was below 0.98
}

// A nodeState is a node with its process, streams and injected faults.
type nodeState struct {
	Spec
	alive, silent        bool          // its process runs; its machine receives and sends nothing
	start                uint64        // number of its last start
	startedAt            time.Duration // negative: long ago
	hung                 bool
	slowFactor           float64
	failShare, lossShare float64
	resetOnLoss          bool
	duplicateShare       float64
	bandwidthDivisor     float64
	streams              map[[2]uint64]*stream // by connection and leg
	demand               float64               // for the link by all streams, kB a second
	directors            []*director
	reporting            bool            // a check for measurements is scheduled
	coreFreeAt           []time.Duration // by core
	recentSetups         []time.Duration // times of set-ups within the overload window, in slow start
	load                 wire.NodeLoad   // as last computed
	loadRefreshedAt      time.Duration
	deferred             []event // events that came due while it hung
}

// An eventKind is the kind of a scheduled event.
type eventKind int

const (
	eventSetupDone  eventKind = iota // a core has processed a set-up
	eventSessionEnd                  // a session has played its whole length
	eventReport                      // a node checks whether measurements are due
	eventSend                        // a delayed message is sent
	eventAccrue                      // the earnings of a node's sessions are counted
)

// accrualInterval is the interval at which the earnings of sessions are counted.
const accrualInterval = 100 * time.Millisecond

// An event happens to a node at a time.
type event struct {
	at     time.Duration
	kind   eventKind
	node   *nodeState
	key    [2]uint64
	output Output
}

// Model is a model of nodes, their links and their racks' uplinks.
type Model struct {
	env       Environment
	random    *rand.Rand
	nodes     map[string]*nodeState
	nodeOrder []*nodeState
	racks     []rack
	events    timerqueue.Queue[event]
	now       time.Duration
	outputs   []Output
	lastStart uint64
}

// A rack is a group of nodes that share an uplink.
type rack struct {
	uplink           float64
	bandwidthDivisor float64
	demand           float64
}

// NewModel returns a model in which all nodes run and are past slow start.
func NewModel(seed uint64, env Environment, specs []Spec) *Model {
	m := &Model{env: env, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*nodeState{}}
	for _, u := range env.Uplinks {
		m.racks = append(m.racks, rack{uplink: u, bandwidthDivisor: 1})
	}
	for _, spec := range specs {
		n := &nodeState{Spec: spec, alive: true, startedAt: -1, slowFactor: 1, bandwidthDivisor: 1, streams: map[[2]uint64]*stream{},
			coreFreeAt: make([]time.Duration, max(1, spec.Cores))}
		m.lastStart++
		n.start = m.lastStart
		m.nodes[spec.Name] = n
		m.nodeOrder = append(m.nodeOrder, n)
		if len(env.RungValues) > 0 {
			m.schedule(event{at: accrualInterval, kind: eventAccrue, node: n})
		}
	}
	return m
}

// Start returns the number of a node's last start and the time since then (0: long ago).
func (m *Model) Start(now time.Duration, name string) (start uint64, age time.Duration) {
	n := m.nodes[name]
	if n.startedAt < 0 {
		return n.start, 0
	}
	return n.start, max(time.Millisecond, now-n.startedAt)
}

// NextDeadline is the time of the next event, at which Step has to be called; ok is false if there is none.
func (m *Model) NextDeadline() (at time.Duration, ok bool) {
	return m.events.NextDeadline()
}

func (m *Model) schedule(e event) { m.events.Add(e.at, e) }

// Step handles the events that are due. Its result, like that of every other method, is valid until the next call.
func (m *Model) Step(now time.Duration) []Output {
	m.outputs = m.outputs[:0]
	m.advance(now)
	return m.outputs
}

// advance handles the events that are due and moves the model's time forward.
func (m *Model) advance(now time.Duration) {
	for at, ok := m.events.NextDeadline(); ok && at <= now; at, ok = m.events.NextDeadline() {
		e := m.events.Pop()
		m.now = max(m.now, e.at)
		m.handleEvent(e)
	}
	m.now = max(m.now, now)
}

// handleEvent handles an event; a hung node defers it until it continues.
func (m *Model) handleEvent(e event) {
	n := e.node
	if e.kind == eventAccrue {
		m.accrueEarnings(n)
		m.schedule(event{at: e.at + accrualInterval, kind: eventAccrue, node: n})
		return
	}
	if n.hung {
		n.deferred = append(n.deferred, e)
		return
	}
	switch e.kind {
	case eventSend:
		m.outputs = append(m.outputs, e.output)
	case eventSetupDone:
		m.finishSetup(n, e.key)
	case eventSessionEnd:
		if s := n.streams[e.key]; s != nil && s.playing && s.endsAt <= m.now {
			m.endStream(n, e.key)
			m.send(n, s.conn, wire.NodeMessage{Type: wire.Ended, Leg: s.leg, Reason: "done", Load: m.reportedLoad(n)})
		}
	case eventReport:
		m.sendReports(n)
	}
}

// ConnOpened adds a connection of a director to a node.
func (m *Model) ConnOpened(now time.Duration, node string, conn uint64) []Output {
	m.outputs = m.outputs[:0]
	m.advance(now)
	n := m.nodes[node]
	n.directors = append(n.directors, &director{conn: conn, nextLoadReport: m.now + m.env.ReportInterval,
		nextDeliveryReport: m.now + time.Second})
	if !n.reporting {
		n.reporting = true
		m.schedule(event{at: m.now + min(reportCheckInterval, max(time.Millisecond, m.env.ReportInterval)), kind: eventReport, node: n})
	}
	return m.outputs
}

// ConnClosed removes a connection and ends all streams on it.
func (m *Model) ConnClosed(now time.Duration, node string, conn uint64) []Output {
	m.outputs = m.outputs[:0]
	m.advance(now)
	n := m.nodes[node]
	n.directors = slices.DeleteFunc(n.directors, func(d *director) bool { return d.conn == conn })
	for _, k := range n.sortedKeys() {
		if k[0] == conn {
			m.endStream(n, k)
		}
	}
	return m.outputs
}

// sortedKeys are the keys of a node's streams in order, so that every run handles the streams in the same order.
func (n *nodeState) sortedKeys() [][2]uint64 {
	return slices.SortedFunc(maps.Keys(n.streams), func(a, b [2]uint64) int {
		return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
	})
}

// Receive handles a message of a director.
func (m *Model) Receive(now time.Duration, node string, conn uint64, msg wire.NodeMessage) []Output {
	m.outputs = m.outputs[:0]
	m.advance(now)
	n := m.nodes[node]
	if !n.alive || n.silent {
		return m.outputs
	}
	key := [2]uint64{conn, msg.Leg}
	switch msg.Type {
	case wire.Hello:
		hello := wire.NodeMessage{Type: wire.Hello, Incarnation: n.start, Load: m.reportedLoad(n)}
		if n.startedAt >= 0 {
			hello.UptimeMS = max(1, (m.now - n.startedAt).Milliseconds())
		}
		m.send(n, conn, hello)
	case wire.Setup:
		m.startSetup(n, key, msg)
	case wire.Rung:
		if s := n.streams[key]; s != nil {
			m.addDemand(n, msg.RateKB-s.rate)
			s.rung, s.rate = msg.Rung, msg.RateKB
			if s.playing {
				m.send(n, conn, wire.NodeMessage{Type: wire.Measurement, Leg: s.leg, MeasurementKind: 2, MeasurementValue: float64(s.rung)})
			}
		}
	case wire.End:
		m.endStream(n, key)
	}
	return m.outputs
}

// rampShare is the share of its full set-up speed that a node has in slow start; 1 afterwards.
func (m *Model) rampShare(n *nodeState) float64 {
	if n.startedAt < 0 || m.now-n.startedAt >= m.env.Warmup {
		return 1
	}
	return m.env.InitialShare + (1-m.env.InitialShare)*float64(m.now-n.startedAt)/float64(m.env.Warmup)
}

// startSetup schedules a set-up on the core that is free first, or rejects it. The process of a node in slow start
// ends if it gets too many set-ups within the overload window.
func (m *Model) startSetup(n *nodeState, key [2]uint64, msg wire.NodeMessage) {
	if rampShare := m.rampShare(n); rampShare < 1 {
		n.recentSetups = append(slices.DeleteFunc(n.recentSetups, func(t time.Duration) bool {
			return t <= m.now-m.env.OverloadWindow
		}), m.now)
		allowed := m.env.OverloadMultiple * float64(n.MaxStreams) / m.env.Warmup.Seconds() * rampShare * m.env.OverloadWindow.Seconds()
		if float64(len(n.recentSetups)) > allowed+2 {
			m.outputs = append(m.outputs, Output{Node: n.Name, Overloaded: true})
			m.endProcess(n)
			return
		}
	}
	link, _ := m.utilization(n)
	switch {
	case n.failShare > 0 && m.random.Float64() < n.failShare:
		m.answerSetup(n, key, wire.NodeMessage{Type: wire.Failed, Leg: key[1], Load: m.reportedLoad(n)})
		return
	case len(n.streams) >= n.MaxStreams, m.env.RejectThreshold > 0 && link >= m.env.RejectThreshold:
		m.answerSetup(n, key, wire.NodeMessage{Type: wire.Full, Leg: key[1], Load: m.reportedLoad(n)})
		return
	}
	s := &stream{session: msg.Session, tariff: msg.Tariff, conn: key[0], leg: key[1], rate: msg.RateKB, rung: msg.Rung,
		length: time.Duration(msg.LengthMS) * time.Millisecond}
	if msg.StartWithinMS > 0 {
		s.expires = m.now + time.Duration(msg.StartWithinMS)*time.Millisecond
	}
	m.endStream(n, key)
	n.streams[key] = s
	m.addDemand(n, s.rate)
	core := 0
	for i, free := range n.coreFreeAt {
		if free < n.coreFreeAt[core] {
			core = i
		}
	}
	work := time.Duration(float64(n.SetupTime) * n.slowFactor / m.rampShare(n) * (0.8 + 0.4*m.random.Float64()))
	n.coreFreeAt[core] = max(n.coreFreeAt[core], m.now) + work
	m.schedule(event{at: n.coreFreeAt[core], kind: eventSetupDone, node: n, key: key})
}

// finishSetup starts a session whose set-up is done, unless the director has ended it or its start time-out is over.
func (m *Model) finishSetup(n *nodeState, key [2]uint64) {
	s := n.streams[key]
	if s == nil || s.playing {
		return // the director has ended it
	}
	if s.expires > 0 && m.now > s.expires {
		m.endStream(n, key)
		m.answerSetup(n, key, wire.NodeMessage{Type: wire.Failed, Leg: s.leg, Load: m.reportedLoad(n)})
		return
	}
	s.playing = true
	if s.length > 0 {
		s.endsAt = m.now + s.length
		m.schedule(event{at: s.endsAt, kind: eventSessionEnd, node: n, key: key})
	}
	m.answerSetup(n, key, wire.NodeMessage{Type: wire.Accepted, Leg: s.leg, Load: m.reportedLoad(n)})
}

// answerSetup sends the answer to a set-up. With the injected faults the answer can be lost or sent twice.
func (m *Model) answerSetup(n *nodeState, key [2]uint64, msg wire.NodeMessage) {
	if n.lossShare > 0 && m.random.Float64() < n.lossShare {
		if n.resetOnLoss {
			m.outputs = append(m.outputs, Output{Node: n.Name, Conn: key[0], Reset: true})
		}
		return
	}
	m.send(n, key[0], msg)
	if n.duplicateShare > 0 && m.random.Float64() < n.duplicateShare {
		m.send(n, key[0], msg)
	}
}

// send sends a message, or defers it while the node hangs.
func (m *Model) send(n *nodeState, conn uint64, msg wire.NodeMessage) {
	out := Output{Node: n.Name, Conn: conn, Message: msg}
	if n.hung {
		n.deferred = append(n.deferred, event{kind: eventSend, node: n, output: out})
		return
	}
	m.outputs = append(m.outputs, out)
}

// addDemand adds a rate, which can be negative, to the demand on the node's link and its rack's uplink.
func (m *Model) addDemand(n *nodeState, rate float64) {
	n.demand += rate
	m.racks[n.Rack].demand += rate
}

// endStream ends a stream and reports what it earned.
func (m *Model) endStream(n *nodeState, key [2]uint64) {
	if s := n.streams[key]; s != nil {
		m.addDemand(n, -s.rate)
		delete(n.streams, key)
		m.emitEarning(n, s)
	}
}

// emitEarning reports what a stream earned, if anything.
func (m *Model) emitEarning(n *nodeState, s *stream) {
	if s.earned > 0 {
		m.outputs = append(m.outputs, Output{Node: n.Name, Earning: &Earning{s.session, s.tariff, s.earned}})
	}
}

// accrueEarnings adds what a node's sessions earned during the last accrual interval.
func (m *Model) accrueEarnings(n *nodeState) {
	if !n.alive || n.silent || n.hung {
		return
	}
	quality := max(0, 1-m.env.StallCost*max(0, 0.98-m.deliveredShare(n)))
	for _, s := range n.streams {
		if s.playing {
			s.earned += accrualInterval.Seconds() * quality * m.env.RungValues[min(s.rung, len(m.env.RungValues)-1)]
		}
	}
}

// utilization is the demand on a node's link and on its rack's uplink, each divided by its bandwidth.
func (m *Model) utilization(n *nodeState) (link, uplink float64) {
	r := &m.racks[n.Rack]
	return max(0, n.demand) / (n.LinkRate / n.bandwidthDivisor), max(0, r.demand) / (r.uplink / r.bandwidthDivisor)
}

// deliveredShare is the share of its rate that each session on a node gets. A shortage on the link or the uplink
// reduces all rates by the same factor.
func (m *Model) deliveredShare(n *nodeState) float64 {
	link, uplink := m.utilization(n)
	return 1 / max(1, link, uplink)
}

// reportedLoad is the load that a node reports in its answers: as of the last refresh, with up to 5 in 100 of random
// error on link and uplink.
func (m *Model) reportedLoad(n *nodeState) *wire.NodeLoad {
	if n.load.Link == nil || m.now >= n.loadRefreshedAt+m.env.LoadRefresh {
		link, uplink := m.utilization(n)
		noisy := func(x float64) *float64 { return new(x * (0.95 + 0.1*m.random.Float64())) }
		n.load = wire.NodeLoad{Streams: new(float64(len(n.streams))), Link: noisy(link), Uplink: noisy(uplink)}
		n.loadRefreshedAt = m.now
	}
	load := n.load
	return &load
}

// reportCheckInterval is the interval at which a node checks whether measurements are due.
const reportCheckInterval = 250 * time.Millisecond

// sendReports sends each director on a node the measurements that are due, with the report delay and on the director's
// oldest session there. The delivered share is sent every second while it is below 0.98, and once after that.
func (m *Model) sendReports(n *nodeState) {
	if !n.alive || len(n.directors) == 0 {
		n.reporting = false
		return
	}
	oldest := map[uint64]*stream{}
	for _, s := range n.streams {
		if other := oldest[s.conn]; s.playing && (other == nil || s.leg < other.leg) {
			oldest[s.conn] = s
		}
	}
	share := m.deliveredShare(n)
	link, uplink := m.utilization(n)
	for _, d := range n.directors {
		session := oldest[d.conn]
		if session == nil {
			continue
		}
		reportLater := func(kind int, value float64) {
			m.schedule(event{at: m.now + m.env.ReportDelay, kind: eventSend, node: n, output: Output{Node: n.Name, Conn: d.conn,
				Message: wire.NodeMessage{Type: wire.Measurement, Leg: session.leg, MeasurementKind: kind, MeasurementValue: value}}})
		}
		if m.now >= d.nextDeliveryReport {
			d.nextDeliveryReport = m.now + time.Second
			if share < 0.98 || d.lastBelowTarget {
				reportLater(1, share)
			}
			d.lastBelowTarget = share < 0.98
		}
		if m.env.ReportInterval > 0 && m.now >= d.nextLoadReport {
			d.nextLoadReport = m.now + m.env.ReportInterval
			reportLater(3, link)
			reportLater(4, uplink)
		}
	}
	m.schedule(event{at: m.now + reportCheckInterval, kind: eventReport, node: n})
}

// Apply applies a fault.
func (m *Model) Apply(now time.Duration, fault Fault) []Output {
	m.outputs = m.outputs[:0]
	m.advance(now)
	if fault.Rack != nil && fault.BandwidthDivisor != nil {
		m.racks[*fault.Rack%len(m.racks)].bandwidthDivisor = *fault.BandwidthDivisor
		return m.outputs
	}
	for _, n := range m.nodeOrder {
		if fault.Node == "" || fault.Node == n.Name {
			m.applyFault(n, fault)
		}
	}
	return m.outputs
}

// applyFault applies a fault to a node.
func (m *Model) applyFault(n *nodeState, fault Fault) {
	set := func(to *float64, from *float64) {
		if from != nil {
			*to = *from
		}
	}
	set(&n.slowFactor, fault.SlowFactor)
	set(&n.failShare, fault.FailShare)
	set(&n.lossShare, fault.LossShare)
	set(&n.duplicateShare, fault.DuplicateShare)
	set(&n.bandwidthDivisor, fault.BandwidthDivisor)
	if fault.LossShare != nil {
		n.resetOnLoss = fault.ResetOnLoss
	}
	if fault.Hang != nil && n.hung != *fault.Hang {
		n.hung = *fault.Hang
		deferred := n.deferred
		n.deferred = nil
		for _, e := range deferred {
			e.at = m.now
			m.schedule(e)
		}
		m.advance(m.now)
	}
	if fault.Crash {
		m.endProcess(n)
	}
	if fault.Silent != nil {
		n.silent = *fault.Silent
	}
	if fault.Start {
		m.endProcess(n)
		m.lastStart++
		n.alive, n.silent, n.hung, n.start, n.startedAt = true, false, false, m.lastStart, m.now
		n.slowFactor, n.failShare, n.lossShare, n.duplicateShare, n.recentSetups = 1, 0, 0, 0, nil
		n.load = wire.NodeLoad{}
	}
}

// endProcess resets a node's connections and ends its streams.
func (m *Model) endProcess(n *nodeState) {
	for _, d := range n.directors {
		m.outputs = append(m.outputs, Output{Node: n.Name, Conn: d.conn, Reset: true})
	}
	if slices.ContainsFunc(n.deferred, func(e event) bool { return e.kind == eventReport }) {
		n.reporting = false
	}
	n.alive, n.directors, n.deferred = false, nil, nil
	m.addDemand(n, -n.demand)
	for _, k := range n.sortedKeys() {
		m.emitEarning(n, n.streams[k])
	}
	clear(n.streams)
	clear(n.coreFreeAt)
}

// EarningRate is what all sessions earn a second at this moment, with the number of playing sessions. Each earns its
// tariff's credit multiplied by the value of its rung, which is reduced while it gets less than 0.98 of its rate.
func (m *Model) EarningRate(credit map[string]float64) (rate float64, playing int) {
	for _, n := range m.nodeOrder {
		if !n.alive || n.silent || n.hung {
			continue
		}
		quality := max(0, 1-m.env.StallCost*max(0, 0.98-m.deliveredShare(n)))
		for _, k := range n.sortedKeys() { // in order, so that rounding gives the same sum in every run
			if s := n.streams[k]; s.playing {
				playing++
				rate += credit[s.tariff] * quality * m.env.RungValues[min(s.rung, len(m.env.RungValues)-1)]
			}
		}
	}
	return rate, playing
}

// Streams is the number of streams on a node.
func (m *Model) Streams(name string) int { return len(m.nodes[name].streams) }
