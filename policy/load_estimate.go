package policy

import (
	"math"
	"time"
)

// Gauge: what is asked of links and uplinks, by this director's own count.

// defaultLoad is what link and uplink use are held to be before any figure has come and once all have
// faded; surely tells how many of its own sessions a director must see on a link to believe them as
// much as what is usual.
const (
	defaultLoad = 0.65
	surely      = 2
	recently    = 8 // figures that make up what is usual
	// What a figure counts for at most in what is held to be usual elsewhere: it guards all links against
	// one node that lies, or that hangs and delivers nothing.
	believable        = 1 / dropThreshold
	maxReportMultiple = 2 // times its places that a node may tell of as streams, run or set up
)

// count adds to what is asked of a node's link and of its rack's uplink.
func (g *loadEstimate) count(n *node, onLink, onUplink float64) {
	n.use.add(g.now, g.late, onLink)
	g.racks[n.rack].use.add(g.now, g.late, onUplink)
}

// recordLink takes a figure of a node's link that tells of a time.
func (g *loadEstimate) recordLink(n *node, figure float64, of time.Duration) {
	if g.now >= n.baselineAt+g.late { // one that tells all the time is one node still
		n.baselineAt = g.now
		off := g.links.add(min(figure, believable)-n.ownLoad/n.size, recently, g.now)
		g.spread += (math.Abs(off) - g.spread) / recently
	}
	n.use.observe(figure, n.size, smoothingFactor, of)
}

// recordUplink takes a node's figure of its rack's uplink that tells of a time.
func (g *loadEstimate) recordUplink(n *node, figure float64, of time.Duration) {
	g.uplinkReported = true
	r := &g.racks[n.rack]
	r.reportUplink(n.name, figure, g.now, g.fresh)
	if g.now >= r.baselineAt+g.late { // one that tells all the time is one rack still
		r.baselineAt = g.now
		g.uplinks.add(min(figure, believable)-r.ownLoad/g.fleet.Uplink, recently, g.now)
	}
	r.use.observe(figure, g.fleet.Uplink, smoothingFactor, of)
}

// amplification tells how many times over a change of a session that plays counts: the other directors
// hear the same figure and act on it alike, each on its part of what is asked.
func (g *loadEstimate) amplification(n *node) (link, uplink float64) {
	echo := func(asked, own float64) float64 {
		if own <= 0 {
			return 1
		}
		return min(max(1, asked/own), 2*g.directors)
	}
	return echo(g.link(n)*n.size, n.ownLoad), echo(g.uplink(n.rack)*g.fleet.Uplink, g.racks[n.rack].ownLoad)
}

// ownShare is the part of what is asked of a node's link, or of its uplink if less, that is the director's own.
func (g *loadEstimate) ownShare(n *node) float64 {
	if n.ownLoad <= 0 {
		return 0
	}
	onLink, onUplink := g.amplification(n)
	return 1 / max(onLink, onUplink)
}

// link is the part of a node's link that is asked.
func (g *loadEstimate) link(n *node) float64 { return g.figure(&n.use, n.size, n.ownLoad, g.links) }

// uplink is the part of a rack's uplink that is asked; where that is never told it counts as free.
func (g *loadEstimate) uplink(r int) float64 {
	if !g.uplinkReported {
		return 0
	}
	return g.figure(&g.racks[r].use, g.fleet.Uplink, g.racks[r].ownLoad, g.uplinks)
}

// freshness is how far what was heard at a time still holds: half as far a switching time after more was due.
func (g *loadEstimate) freshness(at time.Duration) float64 {
	return math.Exp2(-max(0, float64(g.now-at-g.fresh)/float64(switchEvery)))
}

// figure is the last one heard and what was changed since; as that fades it gives way to what is usual
// elsewhere and this director's own use as a sample of all directors', weighed by what each can tell.
// What is usual fades too: it guards against figures that nothing keeps true, be it one of a node that
// is no longer heard or all of them, and against one session read as a full link.
func (g *loadEstimate) figure(m *resourceLoad, size, own float64, u baseline) float64 {
	usually := defaultLoad + (u.mean-defaultLoad)*g.freshness(u.at)
	share := surely * g.middle
	guess := (share + own) / (share/max(0.01, usually) + size/g.directors)
	if !m.known {
		return guess
	}
	trust := g.freshness(m.observedAt)
	return max(0, trust*(m.observed+m.since()/size)+(1-trust)*guess)
}

// projected tells what would be asked of a node's link and uplink with so much more. An uplink that is full by one other
// node's word alone has room left for the lowest rung, unless uplinks elsewhere are near full too: a second node's
// word closes the rack.
func (g *loadEstimate) projected(n *node, onLink, onUplink float64) (link, uplink float64) {
	link, uplink = g.link(n)+onLink/n.size, g.uplink(n.rack)+onUplink/g.fleet.Uplink
	if g.racks[n.rack].singleReport(n.name, g.now) && g.uplinks.mean < headroomThreshold {
		uplink = min(uplink, fullThreshold)
	}
	return link, uplink
}

// streams counts a node's streams: from its report, else from its link use.
func (g *loadEstimate) streams(n *node) float64 {
	if n.reported < 0 || n.use.known && g.now-n.reportedAt > g.fresh {
		return g.link(n) * n.size / g.usual
	}
	return max(0, n.reported+float64(n.legs-n.legsThen))
}

func (g *loadEstimate) report(n *node, load Load) {
	if load.Streams >= 0 {
		n.reported, n.legsThen, n.reportedAt = load.Streams, n.legs, g.now
	}
	if load.Link >= 0 && (!n.use.known || g.now-n.use.observedAt > g.fresh) {
		g.recordLink(n, load.Link, g.now-g.late)
	}
	if up := &g.racks[n.rack].use; load.Uplink >= 0 && (!up.known || g.now-up.observedAt > g.fresh) {
		g.recordUplink(n, load.Uplink, g.now-g.late)
	}
}
