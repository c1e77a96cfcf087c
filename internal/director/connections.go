package director

import (
	"slices"
	"time"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/limits"
)

// stepConnector tells package connector what happened and carries out its plan.
func (l *Loop) stepConnector(e connector.Event) connector.Plan {
	plan := l.connector.Step(l.now, e)
	for _, place := range slices.Clone(plan.Dial) { // what follows may ask for another plan
		n := l.nodesByIndex[place]
		if !l.admitLink() {
			l.connectExhausted(n)
			continue
		}
		l.lastLink++
		n.connecting, n.dialedAddress = true, n.address
		if n.connected { // one to check on it by
			n.probeLink = l.lastLink
		} else {
			n.link = l.lastLink
		}
		l.links[l.lastLink] = n
		l.emit(Connect{n.name, n.address, l.lastLink, l.options.ConnectTimeout})
	}
	for _, place := range slices.Clone(plan.Dead) {
		l.nodeDead(l.nodesByIndex[place])
	}
	if plan.NextTimer > 0 && (l.connectorTimer == 0 || plan.NextTimer < l.connectorTimerAt) {
		l.timers.Cancel(l.connectorTimer)
		l.connectorTimerAt = plan.NextTimer
		l.connectorTimer = l.timers.Add(plan.NextTimer, timer{timerConnector, 0})
	}
	return plan
}

// linkDescriptors is how many descriptors connections to nodes hold.
func (l *Loop) linkDescriptors() int { return len(l.links) + l.connector.Dialing() }

// admitLink asks the limits for one more connection to a node.
func (l *Loop) admitLink() bool {
	var spare *node // the one that has had nothing to do for longest
	for _, n := range l.links {
		if n.connected && !n.linkNeeded && !n.connecting && n.replacedLink == 0 && l.reconnectPolicy.OnDemand &&
			(spare == nil || n.lastUsed < spare.lastUsed || n.lastUsed == spare.lastUsed && n.name < spare.name) {
			spare = n
		}
	}
	// The try itself is counted already, once.
	plan := *l.stepLimits(limits.Event{Kind: limits.DialRequest, Nodes: l.linkDescriptors() - 1, IdleNodeConn: spare != nil})
	if plan.CloseIdleNode { // by which the limits may be asked again
		l.disconnect(spare, closedForDescriptors)
	}
	return plan.Admit
}

// connectExhausted is for a node that can't be connected to for want of descriptors.
func (l *Loop) connectExhausted(n *node) {
	l.stepConnector(connector.Event{Node: n.index, Kind: connector.NoCapacity})
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting && !n.connecting {
			l.endLeg(g, outcomeConnectAttemptFailed, nil)
		}
	}
}

// updateLinkNeed tells package connector whether there is anything to be done at a node, where connections are made on need, and
// says whether one is being made.
func (l *Loop) updateLinkNeed(n *node) (coming bool) {
	needs := len(n.legs) > 0 || len(n.pendingEnds) > 0
	if !l.reconnectPolicy.OnDemand || !needs && !n.linkNeeded {
		return false
	}
	n.linkNeeded = needs
	what := connector.Unneeded
	if needs {
		what = connector.Needed
	}
	return !l.stepConnector(connector.Event{Node: n.index, Kind: what}).BackingOff && n.listed
}

// connectFailureOutcome is the fate of a leg whose node could not be connected to.
func (l *Loop) connectFailureOutcome(n *node) legOutcome {
	if l.reconnectPolicy.OnDemand && !n.suspect {
		return outcomeConnectAttemptFailed
	}
	return outcomeUnconnected
}

// checkIdleLink looks at a connection on which nothing has moved for long. It is hung up on before the node does that; where
// something plays there another one is made first.
func (l *Loop) checkIdleLink(n *node) {
	next := n.lastUsed + l.reconnectPolicy.IdleTimeout
	if next <= l.now && !n.linkNeeded {
		l.disconnect(n, closedAsIdle)
		return
	}
	if next <= l.now {
		l.probeSuspectLink(n, n.link)
		next = l.now + l.reconnectPolicy.IdleTimeout
	}
	n.idleTimer = l.timers.Add(next, timer{timerIdle, n.link})
}

// disconnect ends the connection to a node.
func (l *Loop) disconnect(n *node, reason closeReason) {
	link := n.link
	l.closeLink(n, link, reason)
	l.linkLost(LinkLost{Link: link})
}

func (l *Loop) linkConnected(e LinkConnected) {
	n := l.links[e.Link]
	if n == nil || n.link != e.Link && n.probeLink != e.Link {
		l.event(Event{Kind: ServerDisconnected, Server: e.Node, Link: e.Link, Reason: string(closedAsUnknown)})
		l.emit(CloseLink{e.Link})
		return
	}
	if n.probeLink == e.Link {
		l.replaceLink(n)
	}
	if !n.listed && l.options.Detached { // whoever answers there now is somebody else
		l.closeLink(n, e.Link, closedAsUnlisted)
		l.linkFailed(LinkFailed{Node: e.Node, Link: e.Link})
		l.nodeDead(n)
		return
	}
	l.event(Event{Kind: ServerConnected, Server: n.name, Link: e.Link})
	n.connecting, n.connected, n.helloReceived, n.connectedAt, n.lastUsed, n.suspect = false, true, l.options.NoHello, l.now, l.now, false
	if l.reconnectPolicy.HeartbeatInterval > 0 {
		n.pingTimer = l.timers.Add(l.now+l.reconnectPolicy.HeartbeatInterval, timer{timerPing, e.Link})
	}
	if l.reconnectPolicy.OnDemand && l.reconnectPolicy.IdleTimeout > 0 {
		n.idleTimer = l.timers.Add(l.now+l.reconnectPolicy.IdleTimeout, timer{timerIdle, e.Link})
	}
	if !l.options.NoHello {
		l.emit(SendNode{Link: e.Link, Message: wire.NodeMessage{Type: wire.Hello, Director: l.name}})
	}
	l.stepConnector(connector.Event{Node: n.index, Kind: connector.Connected})
	if n.dialedAddress != n.address { // the list has moved it meanwhile
		l.disconnect(n, closedAsMoved)
		return
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legWaiting && !n.acceptsSessions: // the list has taken it off meanwhile
			l.endLeg(g, outcomeUnconnected, nil)
		case g.phase == legWaiting && n.helloReceived:
			l.sendSetup(g)
		case g.phase == legPlaying && g.rungPending:
			l.sendRung(g)
		}
	}
	for _, m := range n.pendingEnds {
		l.emit(SendNode{Link: e.Link, Message: m})
	}
	n.pendingEnds = nil
	l.updateLinkNeed(n)
	l.dropNode(n)
}

func (l *Loop) linkFailed(e LinkFailed) {
	n := l.links[e.Link]
	if n == nil {
		return
	}
	delete(l.links, e.Link)
	n.connecting = false
	if e.ResourceExhausted {
		if n.probeLink == e.Link {
			n.probeLink = 0
		}
		l.connectExhausted(n)
		l.dropNode(n)
		return
	}
	if n.probeLink == e.Link { // the connection that was doubted leads nowhere either
		n.probeLink = 0
		l.log("node %s can't be connected to again: its connection is given up, %d legs on it", n.name, len(n.legs))
		l.closeLink(n, n.link, closedAsProbeFailed)
		delete(l.links, n.link)
		l.endLegsOfLink(n, n.link, nil)
		n.connected, n.helloReceived = false, false
		l.timers.Cancel(n.pingTimer)
		l.timers.Cancel(n.idleTimer)
	}
	what := connector.ConnectFailed
	if e.Refused {
		what = connector.Refused
	}
	n.suspect = l.stepConnector(connector.Event{Node: n.index, Kind: what}).Suspect
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting {
			l.endLeg(g, l.connectFailureOutcome(n), nil)
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
		if n.replacedLink == e.Link {
			n.replacedLink = 0
		}
		l.endLegsOfLink(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	n.connected, n.helloReceived, n.linkIncarnation = false, false, 0
	l.timers.Cancel(n.pingTimer)
	l.timers.Cancel(n.idleTimer)
	if n.probeLink != 0 { // the try beside it goes on in its place
		n.link, n.probeLink = n.probeLink, 0
		l.endLegsOfLink(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	l.releaseLinkNeed(n, e.Link)
	if n.listed {
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.ConnectionLost})
	} else {
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.Unlisted})
	}
	l.endLegsOfLink(n, e.Link, e.Unsent)
	if !n.listed && l.options.Detached { // nothing will be heard of it any more
		l.nodeDead(n)
	}
	l.dropNode(n)
}

// releaseLinkNeed tells package connector of a connection that has ended with all there was to do on it, before it hears of that:
// another one is not needed.
func (l *Loop) releaseLinkNeed(n *node, link uint64) {
	if !n.linkNeeded || len(n.pendingEnds) > 0 {
		return
	}
	for _, g := range n.legs {
		if g.phase != legSent || g.link != link {
			return
		}
	}
	n.linkNeeded = false
	l.stepConnector(connector.Event{Node: n.index, Kind: connector.Unneeded})
}

// endLegsOfLink ends what a node's connection takes with it.
func (l *Loop) endLegsOfLink(n *node, link uint64, unsent []uint64) {
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legSent && g.link != link:
		case g.phase == legSent && slices.Contains(unsent, g.id):
			l.endLeg(g, outcomeUnsent, nil)
		case g.phase == legSent:
			l.endLeg(g, outcomeReset, nil)
		case l.options.Detached: // it plays on, and what waits goes by the next connection
			if g.phase == legWaiting && !n.connecting && !n.connected {
				l.endLeg(g, l.connectFailureOutcome(n), nil)
			}
		case g.phase == legPlaying:
			l.endLeg(g, outcomeBroken, nil)
		case g.phase == legWaiting:
			l.endLeg(g, outcomeUnconnected, nil)
		}
	}
}

// linkAlive hangs up on a node that has been quiet for too long.
func (l *Loop) linkAlive(e LinkAlive) {
	if n := l.links[e.Link]; n != nil && n.connected && l.options.Detached {
		if l.stepConnector(connector.Event{Node: n.index, Kind: connector.Received, Age: e.IdleFor}).Close && l.playsSince(n, l.now-e.IdleFor) {
			l.probeSuspectLink(n, e.Link)
		}
	} else if n != nil && n.connected && l.stepConnector(connector.Event{Node: n.index, Kind: connector.Received, Age: e.IdleFor}).Close {
		l.log("node %s has been quiet for %v: its connection is given up, %d legs with it", n.name,
			e.IdleFor.Round(time.Millisecond), len(n.legs))
		l.closeLink(n, e.Link, closedAsUnresponsive)
		l.linkLost(LinkLost{Link: e.Link})
	}
}
