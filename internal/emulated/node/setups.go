package node

import (
	"slices"
	"time"

	"fordusher/internal/wire"
)

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

// endStream ends a stream and reports what it earned.
func (m *Model) endStream(n *nodeState, key [2]uint64) {
	if s := n.streams[key]; s != nil {
		m.addDemand(n, -s.rate)
		delete(n.streams, key)
		m.emitEarning(n, s)
	}
}
