package director

import (
	"slices"
	"time"

	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/reach"
)

// reached tells package reach what happened and carries out its plan.
func (l *Loop) reached(e reach.Event) reach.Plan {
	plan := l.reach.Step(l.now, e)
	for _, place := range slices.Clone(plan.Dial) { // what follows may ask for another plan
		n := l.places[place]
		if !l.roomForLink() {
			l.crowded(n)
			continue
		}
		l.lastLink++
		n.trying, n.dialled = true, n.address
		if n.up { // one to check on it by
			n.check = l.lastLink
		} else {
			n.link = l.lastLink
		}
		l.links[l.lastLink] = n
		l.do(Connect{n.name, n.address, l.lastLink, l.manners.Connect})
	}
	for _, place := range slices.Clone(plan.Dead) {
		l.dead(l.places[place])
	}
	if plan.NextTimer > 0 && (l.ring == 0 || plan.NextTimer < l.ringAt) {
		l.timers.Cancel(l.ring)
		l.ringAt = plan.NextTimer
		l.ring = l.timers.Add(plan.NextTimer, due{timerReach, 0})
	}
	return plan
}

// linkSockets is how many descriptors connections to nodes hold.
func (l *Loop) linkSockets() int { return len(l.links) + l.reach.Dialing() }

// roomForLink asks the limits for one more connection to a node.
func (l *Loop) roomForLink() bool {
	var spare *node // the one that has had nothing to do for longest
	for _, n := range l.links {
		if n.up && !n.needs && !n.trying && n.old == 0 && l.pace.OnDemand &&
			(spare == nil || n.used < spare.used || n.used == spare.used && n.name < spare.name) {
			spare = n
		}
	}
	// The try itself is counted already, once.
	plan := *l.limit(limits.Event{Kind: limits.DialRequest, Nodes: l.linkSockets() - 1, IdleNodeConn: spare != nil})
	if plan.CloseIdleNode { // by which the limits may be asked again
		l.hangUp(spare, closedForRoom)
	}
	return plan.Admit
}

// crowded is for a node that can't be connected to for want of descriptors.
func (l *Loop) crowded(n *node) {
	l.reached(reach.Event{Node: n.place, Kind: reach.NoCapacity})
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting && !n.trying {
			l.legEnds(g, fateMissed, nil)
		}
	}
}

// needed tells package reach whether there is anything to be done at a node, where connections are made on need, and
// says whether one is being made.
func (l *Loop) needed(n *node) (coming bool) {
	needs := len(n.legs) > 0 || len(n.ends) > 0
	if !l.pace.OnDemand || !needs && !n.needs {
		return false
	}
	n.needs = needs
	what := reach.Unneeded
	if needs {
		what = reach.Needed
	}
	return !l.reached(reach.Event{Node: n.place, Kind: what}).BackingOff && n.listed
}

// unmade is the fate of a leg whose node could not be connected to.
func (l *Loop) unmade(n *node) fate {
	if l.pace.OnDemand && !n.suspect {
		return fateMissed
	}
	return fateUnmade
}

// idled looks at a connection on which nothing has moved for long. It is hung up on before the node does that; where
// something plays there another one is made first.
func (l *Loop) idled(n *node) {
	next := n.used + l.pace.IdleTimeout
	if next <= l.now && !n.needs {
		l.hangUp(n, closedAsIdle)
		return
	}
	if next <= l.now {
		l.doubt(n, n.link)
		next = l.now + l.pace.IdleTimeout
	}
	n.idle = l.timers.Add(next, due{timerIdle, n.link})
}

// hangUp ends the connection to a node.
func (l *Loop) hangUp(n *node, reason closeReason) {
	link := n.link
	l.closeLink(n, link, reason)
	l.linkLost(LinkLost{Link: link})
}

func (l *Loop) linkMade(e LinkConnected) {
	n := l.links[e.Link]
	if n == nil || n.link != e.Link && n.check != e.Link {
		l.event(Event{Kind: ServerDisconnected, Server: e.Node, Link: e.Link, Reason: string(closedAsUnknown)})
		l.do(CloseLink{e.Link})
		return
	}
	if n.check == e.Link {
		l.replaceLink(n)
	}
	if !n.listed && l.manners.Loose { // whoever answers there now is somebody else
		l.closeLink(n, e.Link, closedAsUnlisted)
		l.linkFailed(LinkFailed{Node: e.Node, Link: e.Link})
		l.dead(n)
		return
	}
	l.event(Event{Kind: ServerConnected, Server: n.name, Link: e.Link})
	n.trying, n.up, n.greeted, n.made, n.used, n.suspect = false, true, l.manners.Greetless, l.now, l.now, false
	if l.pace.HeartbeatInterval > 0 {
		n.ping = l.timers.Add(l.now+l.pace.HeartbeatInterval, due{timerPing, e.Link})
	}
	if l.pace.OnDemand && l.pace.IdleTimeout > 0 {
		n.idle = l.timers.Add(l.now+l.pace.IdleTimeout, due{timerIdle, e.Link})
	}
	if !l.manners.Greetless {
		l.do(SendServer{Link: e.Link, Message: wire.Node{Type: wire.Hello, Director: l.name}})
	}
	l.reached(reach.Event{Node: n.place, Kind: reach.Connected})
	if n.dialled != n.address { // the list has moved it meanwhile
		l.hangUp(n, closedAsMoved)
		return
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legWaiting && !n.open: // the list has taken it off meanwhile
			l.legEnds(g, fateUnmade, nil)
		case g.phase == legWaiting && n.greeted:
			l.send(g)
		case g.phase == legPlaying && g.unrung:
			l.tellRung(g)
		}
	}
	for _, m := range n.ends {
		l.do(SendServer{Link: e.Link, Message: m})
	}
	n.ends = nil
	l.needed(n)
	l.dropNode(n)
}

func (l *Loop) linkFailed(e LinkFailed) {
	n := l.links[e.Link]
	if n == nil {
		return
	}
	delete(l.links, e.Link)
	n.trying = false
	if e.Crowded {
		if n.check == e.Link {
			n.check = 0
		}
		l.crowded(n)
		l.dropNode(n)
		return
	}
	if n.check == e.Link { // the connection that was doubted leads nowhere either
		n.check = 0
		l.log("node %s can't be connected to again: its connection is given up, %d legs on it", n.name, len(n.legs))
		l.closeLink(n, n.link, closedAsUnproven)
		delete(l.links, n.link)
		l.cutLegs(n, n.link, nil)
		n.up, n.greeted = false, false
		l.timers.Cancel(n.ping)
		l.timers.Cancel(n.idle)
	}
	what := reach.ConnectFailed
	if e.Refused {
		what = reach.Refused
	}
	n.suspect = l.reached(reach.Event{Node: n.place, Kind: what}).Suspect
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting {
			l.legEnds(g, l.unmade(n), nil)
		}
	}
	l.dropNode(n)
}

func (l *Loop) linkLost(e LinkLost) {
	n := l.links[e.Link]
	if n == nil {
		return
	}
	delete(l.links, e.Link)
	if e.Reason != "" { // else it is closed here, which was told of
		l.event(Event{Kind: ServerDisconnected, Server: n.name, Link: e.Link, Reason: e.Reason})
	}
	if n.link != e.Link {
		if n.old == e.Link {
			n.old = 0
		}
		l.cutLegs(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	n.up, n.greeted, n.reached = false, false, 0
	l.timers.Cancel(n.ping)
	l.timers.Cancel(n.idle)
	if n.check != 0 { // the try beside it goes on in its place
		n.link, n.check = n.check, 0
		l.cutLegs(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	l.outlives(n, e.Link)
	if n.listed {
		l.reached(reach.Event{Node: n.place, Kind: reach.ConnectionLost})
	} else {
		l.reached(reach.Event{Node: n.place, Kind: reach.Unlisted})
	}
	l.cutLegs(n, e.Link, e.Unsent)
	if !n.listed && l.manners.Loose { // nothing will be heard of it any more
		l.dead(n)
	}
	l.dropNode(n)
}

// outlives tells package reach of a connection that has ended with all there was to do on it, before it hears of that:
// another one is not needed.
func (l *Loop) outlives(n *node, link uint64) {
	if !n.needs || len(n.ends) > 0 {
		return
	}
	for _, g := range n.legs {
		if g.phase != legSent || g.link != link {
			return
		}
	}
	n.needs = false
	l.reached(reach.Event{Node: n.place, Kind: reach.Unneeded})
}

// cutLegs ends what a node's connection takes with it.
func (l *Loop) cutLegs(n *node, link uint64, unsent []uint64) {
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legSent && g.link != link:
		case g.phase == legSent && slices.Contains(unsent, g.id):
			l.legEnds(g, fateUnsent, nil)
		case g.phase == legSent:
			l.legEnds(g, fateReset, nil)
		case l.manners.Loose: // it plays on, and what waits goes by the next connection
			if g.phase == legWaiting && !n.trying && !n.up {
				l.legEnds(g, l.unmade(n), nil)
			}
		case g.phase == legPlaying:
			l.legEnds(g, fateBroken, nil)
		case g.phase == legWaiting:
			l.legEnds(g, fateUnmade, nil)
		}
	}
}

// linkAlive hangs up on a node that has been quiet for too long.
func (l *Loop) linkAlive(e LinkAlive) {
	if n := l.links[e.Link]; n != nil && n.up && l.manners.Loose {
		if l.reached(reach.Event{Node: n.place, Kind: reach.Received, Age: e.Quiet}).Close && l.playsSince(n, l.now-e.Quiet) {
			l.doubt(n, e.Link)
		}
	} else if n != nil && n.up && l.reached(reach.Event{Node: n.place, Kind: reach.Received, Age: e.Quiet}).Close {
		l.log("node %s has been quiet for %v: its connection is given up, %d legs with it", n.name,
			e.Quiet.Round(time.Millisecond), len(n.legs))
		l.closeLink(n, e.Link, closedAsQuiet)
		l.linkLost(LinkLost{Link: e.Link})
	}
}
