package node

import (
	"slices"
	"time"

	"fordusher/internal/wire"
)

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
