package node

import "time"

// accrualInterval is the interval at which the earnings of sessions are counted.
const accrualInterval = 100 * time.Millisecond

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
