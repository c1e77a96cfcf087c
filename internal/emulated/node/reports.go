package node

import (
	"time"

	"fordusher/internal/wire"
)

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
