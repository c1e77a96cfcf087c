// Package node emulates streaming servers. Model is a model of nodes, their links and their racks' uplinks, which does
// no I/O and has no clock: it takes messages of directors, faults and the time, and returns the messages to send. Host
// serves a model on real sockets.
package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
)

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

// send sends a message, or defers it while the node hangs.
func (m *Model) send(n *nodeState, conn uint64, msg wire.NodeMessage) {
	out := Output{Node: n.Name, Conn: conn, Message: msg}
	if n.hung {
		n.deferred = append(n.deferred, event{kind: eventSend, node: n, output: out})
		return
	}
	m.outputs = append(m.outputs, out)
}

// Streams is the number of streams on a node.
func (m *Model) Streams(name string) int { return len(m.nodes[name].streams) }
