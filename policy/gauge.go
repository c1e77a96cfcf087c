package policy

import (
	"math"
	"time"
)

// Gauge: what is asked of links and uplinks, by this director's own count.

// unheard is what link and uplink use are held to be before any figure has come and once all have
// faded; surely tells how many of its own sessions a director must see on a link to believe them as
// much as what is usual.
const (
	unheard  = 0.65
	surely   = 2
	recently = 8 // figures that make up what is usual
	// What a figure counts for at most in what is held to be usual elsewhere: it guards all links against
	// one node that lies, or that hangs and delivers nothing.
	believable = 1 / dropUnder
	queues     = 2 // times its places that a node may tell of as streams, run or set up
)

// count adds to what is asked of a node's link and of its rack's uplink.
func (g *gauge) count(n *node, onLink, onUplink float64) {
	n.use.add(g.now, g.late, onLink)
	g.racks[n.rack].use.add(g.now, g.late, onUplink)
}

// heard takes a figure of a node's link that tells of a time.
func (g *gauge) heard(n *node, figure float64, of time.Duration) {
	if g.now >= n.learnt+g.late { // one that tells all the time is one node still
		n.learnt = g.now
		off := g.links.take(min(figure, believable)-n.own/n.size, recently, g.now)
		g.spread += (math.Abs(off) - g.spread) / recently
	}
	n.use.hear(figure, n.size, hearing, of)
}

// heardUplink takes a node's figure of its rack's uplink that tells of a time.
func (g *gauge) heardUplink(n *node, figure float64, of time.Duration) {
	g.told = true
	r := &g.racks[n.rack]
	r.told(n.name, figure, g.now, g.fresh)
	if g.now >= r.learnt+g.late { // one that tells all the time is one rack still
		r.learnt = g.now
		g.uplinks.take(min(figure, believable)-r.own/g.fleet.Uplink, recently, g.now)
	}
	r.use.hear(figure, g.fleet.Uplink, hearing, of)
}

// echoes tells how many times over a change of a session that plays counts: the other directors
// hear the same figure and act on it alike, each on its part of what is asked.
func (g *gauge) echoes(n *node) (link, uplink float64) {
	echo := func(asked, own float64) float64 {
		if own <= 0 {
			return 1
		}
		return min(max(1, asked/own), 2*g.directors)
	}
	return echo(g.link(n)*n.size, n.own), echo(g.uplink(n.rack)*g.fleet.Uplink, g.racks[n.rack].own)
}

// mine is the part of what is asked of a node's link, or of its uplink if less, that is the director's own.
func (g *gauge) mine(n *node) float64 {
	if n.own <= 0 {
		return 0
	}
	onLink, onUplink := g.echoes(n)
	return 1 / max(onLink, onUplink)
}

// link is the part of a node's link that is asked.
func (g *gauge) link(n *node) float64 { return g.figure(&n.use, n.size, n.own, g.links) }

// uplink is the part of a rack's uplink that is asked; where that is never told it counts as free.
func (g *gauge) uplink(r int) float64 {
	if !g.told {
		return 0
	}
	return g.figure(&g.racks[r].use, g.fleet.Uplink, g.racks[r].own, g.uplinks)
}

// holds is how far what was heard at a time still holds: half as far a switching time after more was due.
func (g *gauge) holds(at time.Duration) float64 {
	return math.Exp2(-max(0, float64(g.now-at-g.fresh)/float64(switchEvery)))
}

// figure is the last one heard and what was changed since; as that fades it gives way to what is usual
// elsewhere and this director's own use as a sample of all directors', weighed by what each can tell.
// What is usual fades too: it guards against figures that nothing keeps true, be it one of a node that
// is no longer heard or all of them, and against one session read as a full link.
func (g *gauge) figure(m *meter, size, own float64, u usual) float64 {
	usually := unheard + (u.mean-unheard)*g.holds(u.at)
	share := surely * g.middle
	guess := (share + own) / (share/max(0.01, usually) + size/g.directors)
	if !m.known {
		return guess
	}
	trust := g.holds(m.of)
	return max(0, trust*(m.heard+m.since()/size)+(1-trust)*guess)
}

// counts tells what would be asked of a node's link and uplink with so much more. An uplink that is full by one other
// node's word alone has room left for the lowest rung, unless uplinks elsewhere are near full too: a second node's
// word closes the rack.
func (g *gauge) counts(n *node, onLink, onUplink float64) (link, uplink float64) {
	link, uplink = g.link(n)+onLink/n.size, g.uplink(n.rack)+onUplink/g.fleet.Uplink
	if g.racks[n.rack].onOneWord(n.name, g.now) && g.uplinks.mean < spareTo {
		uplink = min(uplink, fullAt)
	}
	return link, uplink
}

// streams counts a node's streams: from its report, else from its link use.
func (g *gauge) streams(n *node) float64 {
	if n.reported < 0 || n.use.known && g.now-n.reportedAt > g.fresh {
		return g.link(n) * n.size / g.usual
	}
	return max(0, n.reported+float64(n.legs-n.legsThen))
}

func (g *gauge) report(n *node, load Load) {
	if load.Streams >= 0 {
		n.reported, n.legsThen, n.reportedAt = load.Streams, n.legs, g.now
	}
	if load.Link >= 0 && (!n.use.known || g.now-n.use.of > g.fresh) {
		g.heard(n, load.Link, g.now-g.late)
	}
	if up := &g.racks[n.rack].use; load.Uplink >= 0 && (!up.known || g.now-up.of > g.fresh) {
		g.heardUplink(n, load.Uplink, g.now-g.late)
	}
}
