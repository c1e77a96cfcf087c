package node

import (
	"time"

	"fordusher/internal/wire"
)

// An eventKind is the kind of a scheduled event.
type eventKind int

const (
	eventSetupDone  eventKind = iota // a core has processed a set-up
	eventSessionEnd                  // a session has played its whole length
	eventReport                      // a node checks whether measurements are due
	eventSend                        // a delayed message is sent
	eventAccrue                      // the earnings of a node's sessions are counted
)

// An event happens to a node at a time.
type event struct {
	at     time.Duration
	kind   eventKind
	node   *nodeState
	key    [2]uint64
	output Output
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
