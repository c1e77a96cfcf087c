package node

import "fordusher/internal/wire"

// addDemand adds a rate, which can be negative, to the demand on the node's link and its rack's uplink.
func (m *Model) addDemand(n *nodeState, rate float64) {
	n.demand += rate
	m.racks[n.Rack].demand += rate
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
