package director

import (
	"slices"
	"time"

	"fordusher/connector"
	"fordusher/internal/wire"
	"fordusher/limits"
)

// stepConnector passes an event to the connector and carries out its plan.
func (l *Loop) stepConnector(e connector.Event) connector.Plan {
	plan := l.connector.Step(l.now, e)
	for _, index := range slices.Clone(plan.Dial) { // the loop body may step the connector again
		n := l.nodesByIndex[index]
		if !l.admitLink() {
			l.connectExhausted(n)
			continue
		}
		l.lastLink++
		n.connecting, n.dialedAddress = true, n.address
		if n.connected { // the attempt probes its suspect connection
			n.probeLink = l.lastLink
		} else {
			n.link = l.lastLink
		}
		l.links[l.lastLink] = n
		l.emit(Connect{n.name, n.address, l.lastLink, l.options.ConnectTimeout})
	}
	for _, index := range slices.Clone(plan.Dead) {
		l.nodeDead(l.nodesByIndex[index])
	}
	if plan.NextTimer > 0 && (l.connectorTimer == 0 || plan.NextTimer < l.connectorTimerAt) {
		l.timers.Cancel(l.connectorTimer)
		l.connectorTimerAt = plan.NextTimer
		l.connectorTimer = l.timers.Add(plan.NextTimer, timer{timerConnector, 0})
	}
	return plan
}

// linkDescriptors returns the number of descriptors that connections to nodes use.
func (l *Loop) linkDescriptors() int {
	return len(l.links) + len(l.closingLinks) + l.connector.Dialing()
}

// admitLink asks the limits whether one more connection to a node may be made. If the limits ask for it, admitLink
// first closes the unneeded connection that was used least recently.
func (l *Loop) admitLink() bool {
	idlest := l.idlestNode()
	// linkDescriptors already counts this attempt once, so 1 is subtracted.
	plan := *l.stepLimits(limits.Event{Kind: limits.DialRequest, NodeDescriptors: l.linkDescriptors() - 1, IdleNodeConn: idlest != nil})
	if plan.CloseIdleNode { // plan is a copy, since disconnect may step the limits again
		l.disconnect(idlest, closedForDescriptors)
	}
	return plan.Admit
}

// idlestNode returns the node whose unneeded connection was used least recently, or nil. Only connections on demand can
// be unneeded.
func (l *Loop) idlestNode() (idlest *node) {
	if !l.reconnectPolicy.OnDemand {
		return nil
	}
	for _, n := range l.links {
		if n.connected && !n.linkNeeded && !n.connecting && n.replacedLink == 0 &&
			(idlest == nil || n.lastUsed < idlest.lastUsed || n.lastUsed == idlest.lastUsed && n.name < idlest.name) {
			idlest = n
		}
	}
	return idlest
}

// connectExhausted handles a connect attempt that failed for lack of descriptors or other resources of this machine.
func (l *Loop) connectExhausted(n *node) {
	l.stepConnector(connector.Event{Node: n.index, Kind: connector.NoCapacity})
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting && !n.connecting {
			l.endLeg(g, outcomeConnectAttemptFailed, nil)
		}
	}
}

// updateLinkNeed notifies the connector whether legs or end messages need a connection to a node, if connections are
// made on demand. It reports whether a connection can be expected without waiting for a back-off to end.
func (l *Loop) updateLinkNeed(n *node) (connecting bool) {
	needed := len(n.legs) > 0 || len(n.pendingEnds) > 0
	if !l.reconnectPolicy.OnDemand || !needed && !n.linkNeeded {
		return false
	}
	n.linkNeeded = needed
	kind := connector.Unneeded
	if needed {
		kind = connector.Needed
	}
	return !l.stepConnector(connector.Event{Node: n.index, Kind: kind}).BackingOff && n.listed
}

// connectFailureOutcome returns the outcome of a leg whose node could not be connected to.
func (l *Loop) connectFailureOutcome(n *node) legOutcome {
	if l.reconnectPolicy.OnDemand && !n.suspect {
		return outcomeConnectAttemptFailed
	}
	return outcomeUnconnected
}

// checkIdleLink closes a connection that has been idle for too long, before the node does: a close by the node could
// cross a set-up. If sessions on the node still need the connection, a probe connection is made, which replaces it.
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

// disconnect closes the connection to a node.
func (l *Loop) disconnect(n *node, reason closeReason) {
	link := n.link
	l.closeLink(n, link, reason)
	l.linkLost(LinkLost{Link: link})
}

func (l *Loop) linkConnected(e LinkConnected) {
	n := l.links[e.Link]
	if n == nil || n.link != e.Link && n.probeLink != e.Link {
		l.event(Event{Kind: ServerDisconnected, Server: e.Node, Link: e.Link, Reason: string(closedAsUnknown)})
		l.emit(CloseLink{Link: e.Link})
		return
	}
	if n.probeLink == e.Link {
		l.replaceLink(n)
	}
	if !n.listed && l.options.Detached { // another server may use the address by now
		l.closeLink(n, e.Link, closedAsUnknown)
		l.linkFailed(LinkFailed{Node: e.Node, Link: e.Link})
		l.nodeDead(n)
		return
	}
	l.event(Event{Kind: ServerConnected, Server: n.name, Link: e.Link})
	n.connecting, n.connected, n.helloReceived, n.suspect, n.linkUsed = false, true, l.options.NoHello, false, false
	n.connectedAt, n.lastUsed = l.now, l.now
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
	if n.dialedAddress != n.address { // the list has changed its address meanwhile
		l.disconnect(n, closedAsMoved)
		return
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legWaiting && !n.acceptsSessions: // the list has drained or removed it meanwhile
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
	if n.probeLink == e.Link { // the probe failed, so the suspect connection is given up
		n.probeLink = 0
		l.log("node %s: probe connection failed; closing the suspect connection with %d legs", n.name, len(n.legs))
		l.closeLink(n, n.link, closedAsProbeFailed)
		delete(l.links, n.link)
		l.endLegsOfLink(n, n.link, nil)
		n.connected, n.helloReceived = false, false
		l.timers.Cancel(n.pingTimer)
		l.timers.Cancel(n.idleTimer)
	}
	kind := connector.ConnectFailed
	if e.Refused {
		kind = connector.Refused
	}
	n.suspect = l.stepConnector(connector.Event{Node: n.index, Kind: kind}).Suspect
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting {
			l.endLeg(g, l.connectFailureOutcome(n), nil)
		}
	}
	if !n.listed && l.options.Detached { // it has been removed, and it can't be reached
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.Unlisted})
		l.nodeDead(n)
	}
	l.dropNode(n)
}

func (l *Loop) linkLost(e LinkLost) {
	n := l.links[e.Link]
	if n == nil {
		l.closingLinkLost(e)
		return
	}
	delete(l.links, e.Link)
	if e.Reason != "" { // without a reason it was closed by the director, which has been logged
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
	if n.probeLink != 0 { // the probe connection that is being made takes over
		n.link, n.probeLink = n.probeLink, 0
		l.endLegsOfLink(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	l.releaseLinkNeed(n, e.Link)
	if n.listed {
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.ConnectionLost, Unused: !n.linkUsed})
	} else {
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.Unlisted})
	}
	l.endLegsOfLink(n, e.Link, e.Unsent)
	if !n.listed && l.options.Detached { // it will send nothing more about its sessions
		l.nodeDead(n)
	}
	l.dropNode(n)
}

// releaseLinkNeed notifies the connector that a node is no longer needed if everything that needed its connection ends
// with that connection. It is called before the connector learns that the connection is lost, so that no other is made.
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

// endLegsOfLink ends the legs that can't outlive a connection to their node.
func (l *Loop) endLegsOfLink(n *node, link uint64, unsent []uint64) {
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legSent && g.link != link:
		case g.phase == legSent && slices.Contains(unsent, g.id):
			l.endLeg(g, outcomeUnsent, nil)
		case g.phase == legSent:
			l.endLeg(g, outcomeReset, nil)
		case l.options.Detached: // a playing leg goes on, and a waiting one uses the next connection
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

// linkAlive closes the connection to a node that has sent nothing for too long. In detached mode it probes the
// connection instead, if a session has been playing there for all that time, and sets the time of the next check.
func (l *Loop) linkAlive(e LinkAlive) {
	n := l.links[e.Link]
	if n == nil || !n.connected {
		return
	}
	if l.options.Detached {
		l.checkSilence(n, e)
		return
	}
	if l.stepConnector(connector.Event{Node: n.index, Kind: connector.Received, Age: e.IdleFor}).Close {
		l.log("node %s has sent nothing for %v: closing its connection with %d legs", n.name,
			e.IdleFor.Round(time.Millisecond), len(n.legs))
		l.closeLink(n, e.Link, closedAsUnresponsive)
		l.linkLost(LinkLost{Link: e.Link})
	}
}

// checkSilence probes a connection if the node has sent nothing for SilenceLimit while a session played there. The next
// check is due when that may be the case.
func (l *Loop) checkSilence(n *node, e LinkAlive) {
	if n.link != e.Link {
		return
	}
	silentSince := max(l.now-e.IdleFor, n.playingSince(l.now))
	next := silentSince + l.reconnectPolicy.SilenceLimit()
	if next <= l.now {
		l.probeSuspectLink(n, e.Link)
		next = l.now + l.reconnectPolicy.HeartbeatInterval
	}
	l.timers.Cancel(n.pingTimer)
	n.pingTimer = l.timers.Add(next, timer{timerPing, e.Link})
}
