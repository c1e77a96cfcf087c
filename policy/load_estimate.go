package policy

import (
	"math"
	"time"
)

// The estimate of the demand on links and uplinks, as a part of their capacity.

const (
	// defaultLoad is the assumed load of links and uplinks before any report has arrived and after all
	// reports have expired.
	defaultLoad = 0.65
	// priorSessions is how many sessions at the middle rung's rate the baseline counts for in a guess of a link's load.
	// With as many sessions of its own on the link, a director gives both the same weight.
	priorSessions   = 2
	baselineReports = 8 // number of reports in a baseline
	// maxBaselineReport limits what a report adds to a baseline. It protects the estimates of all links
	// against one node that sends false values, or that hangs and delivers nothing.
	maxBaselineReport = 1 / dropThreshold
	// maxReportMultiple limits the streams that a node can report, running or being set up, to this multiple
	// of its MaxStreams.
	maxReportMultiple = 2
)

// addChange adds this director's changes to the demand on a node's link and on its rack's uplink.
func (e *loadEstimate) addChange(n *node, onLink, onUplink float64) {
	n.linkLoad.add(e.now, e.reportDelay, onLink)
	e.racks[n.rack].uplinkLoad.add(e.now, e.reportDelay, onUplink)
}

// recordLink records a reported load of a node's link at the given time.
func (e *loadEstimate) recordLink(n *node, load float64, at time.Duration) {
	if e.now >= n.baselineAt+e.reportDelay { // each node counts at most once per report delay, however often it reports
		n.baselineAt = e.now
		deviation := e.linkBaseline.add(min(load, maxBaselineReport)-n.ownLoad/n.linkCapacity, baselineReports, e.now)
		e.linkDeviation += (math.Abs(deviation) - e.linkDeviation) / baselineReports
	}
	n.linkLoad.observe(load, n.linkCapacity, smoothingFactor, at)
}

// recordUplink records a node's report of the load of its rack's uplink at the given time.
func (e *loadEstimate) recordUplink(n *node, load float64, at time.Duration) {
	e.uplinkReported = true
	r := &e.racks[n.rack]
	r.recordUplinkReport(n.name, load, e.now, e.freshFor)
	if e.now >= r.baselineAt+e.reportDelay { // each rack counts at most once per report delay, however often it is reported
		r.baselineAt = e.now
		e.uplinkBaseline.add(min(load, maxBaselineReport)-r.ownLoad/e.topology.Uplink, baselineReports, e.now)
	}
	r.uplinkLoad.observe(load, e.topology.Uplink, smoothingFactor, at)
}

// amplification returns by how much a rung change of a playing session is multiplied on link and uplink. The
// other directors receive the same load reports and act alike, each on its part of the demand.
func (e *loadEstimate) amplification(n *node) (link, uplink float64) {
	factor := func(demand, own float64) float64 {
		if own <= 0 {
			return 1
		}
		return min(max(1, demand/own), 2*e.directors)
	}
	return factor(e.linkUse(n)*n.linkCapacity, n.ownLoad), factor(e.uplinkUse(n.rack)*e.topology.Uplink, e.racks[n.rack].ownLoad)
}

// ownShare is this director's part of the demand on a node's link, or on its uplink if that part is smaller.
func (e *loadEstimate) ownShare(n *node) float64 {
	if n.ownLoad <= 0 {
		return 0
	}
	onLink, onUplink := e.amplification(n)
	return 1 / max(onLink, onUplink)
}

// linkUse is the estimated demand on a node's link.
func (e *loadEstimate) linkUse(n *node) float64 {
	return e.estimate(&n.linkLoad, n.linkCapacity, n.ownLoad, e.linkBaseline)
}

// uplinkUse is the estimated demand on a rack's uplink. It is 0 while no uplink load has been reported.
func (e *loadEstimate) uplinkUse(r int) float64 {
	if !e.uplinkReported {
		return 0
	}
	return e.estimate(&e.racks[r].uplinkLoad, e.topology.Uplink, e.racks[r].ownLoad, e.uplinkBaseline)
}

// freshness is the weight of a report made at the given time. It is 1 until the next report is due, then halves with
// every switchEvery.
func (e *loadEstimate) freshness(at time.Duration) float64 {
	return math.Exp2(-max(0, float64(e.now-at-e.freshFor)/float64(switchEvery)))
}

// estimate is the last observed load plus this director's changes since. As the observation loses its freshness, a
// guess replaces it: the baseline and this director's own load, taken as a sample of all directors' load, each weighted
// by the capacity that it stands for. The baseline itself decays to defaultLoad. This protects against reports that are
// no longer renewed, whether of one node or of all, and against taking one session for a full link.
func (e *loadEstimate) estimate(resource *resourceLoad, capacity, ownLoad float64, base baseline) float64 {
	prior := defaultLoad + (base.mean-defaultLoad)*e.freshness(base.updatedAt)
	priorRate := priorSessions * e.middleRate
	guess := (priorRate + ownLoad) / (priorRate/max(0.01, prior) + capacity/e.directors)
	if !resource.known {
		return guess
	}
	weight := e.freshness(resource.observedAt)
	return max(0, weight*(resource.observed+resource.changeSum()/capacity)+(1-weight)*guess)
}

// projected returns the demand on a node's link and uplink after the given additions, in kB a second. An uplink
// that only one other node reports as full still admits set-ups at the lowest rung, unless the uplink baseline is high
// too. The report of a second node blocks set-ups for the whole rack.
func (e *loadEstimate) projected(n *node, onLink, onUplink float64) (link, uplink float64) {
	link, uplink = e.linkUse(n)+onLink/n.linkCapacity, e.uplinkUse(n.rack)+onUplink/e.topology.Uplink
	if e.racks[n.rack].fullByOneReport(n.name, e.now) && e.uplinkBaseline.mean < headroomThreshold {
		uplink = min(uplink, fullThreshold)
	}
	return link, uplink
}

// meanStreamRate is the mean rate of this director's own sessions, among which the middle rung's rate counts as one
// further session.
func (e *loadEstimate) meanStreamRate() float64 {
	return (e.middleRate + e.ownLoad) / float64(1+e.legs)
}

// streamCount is a node's number of streams, from its report if that is recent, else from its link use.
func (e *loadEstimate) streamCount(n *node, meanStreamRate float64) float64 {
	if n.reportedStreams < 0 || n.linkLoad.known && e.now-n.reportedAt > e.freshFor {
		return e.linkUse(n) * n.linkCapacity / meanStreamRate
	}
	return max(0, n.reportedStreams+float64(n.legs-n.legsAtReport))
}

// recordReport records a node's load report. Its link and uplink loads count only where no fresh
// measurement is known.
func (e *loadEstimate) recordReport(n *node, load Load) {
	if load.Streams >= 0 {
		n.reportedStreams, n.legsAtReport, n.reportedAt = load.Streams, n.legs, e.now
	}
	if load.Link >= 0 && (!n.linkLoad.known || e.now-n.linkLoad.observedAt > e.freshFor) {
		e.recordLink(n, load.Link, e.now-e.reportDelay)
	}
	if uplink := &e.racks[n.rack].uplinkLoad; load.Uplink >= 0 && (!uplink.known || e.now-uplink.observedAt > e.freshFor) {
		e.recordUplink(n, load.Uplink, e.now-e.reportDelay)
	}
}
