package director

import (
	"time"

	"fordusher/connector"
	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// In detached mode (Options.Detached) a playing session is independent of connections. Most of what this changes is in
// this file; the state of sessions and legs and the events for the decider are the same.
//
//	a client connection closes     its unanswered requests are abandoned; playing sessions go on
//	a node connection closes       set-ups sent on it may have run; playing sessions go on, and the node's messages
//	                               about them arrive on the next connection
//	a node refuses a connection, can't be connected to several times in a row, restarts, or is off the list without a
//	connection                     the sessions that play on it have ended
//
// A connection to a node may also stay open and yet be useless. It is suspect if a set-up on it gets no answer in time,
// or if a node with sessions sends nothing for too long. It is then probed by making another connection, which replaces
// it.

// maxPendingEnds is how many end messages are kept for a node that is not connected; further ones are dropped.
const maxPendingEnds = 1024

// detachedReceived handles a client message in detached mode, where a request's id is the session's name.
func (l *Loop) detachedReceived(c *conn, e ClientReceived) {
	m := e.Message
	s := l.sessionsByKey[m.ID]
	switch m.Type {
	case wire.Request:
		switch {
		case s != nil && e.Details.PlayingOn != "": // a session that the loop already has is reported again
		case s != nil && s.conn == c: // a repetition: the first request gets the only answer
			l.counts.Repeated++
		case s != nil: // the session with that id is not affected
			l.counts.Errored++
			l.refuseRequest(c, wire.SessionMessage{Type: wire.Errored, ID: m.ID, Reason: "id is in use"})
		case e.Details.PlayingOn != "":
			l.adoptPlaying(c, e)
		default:
			if c.requests[m.ID] == nil {
				l.takeRequest(c, m, e.Waited, e.Details)
			}
		}
	case wire.Cancel:
		switch {
		case s != nil && s.answered:
			l.endDetached(s, c.id)
		case s != nil && s.conn == c:
			l.abandonSession(s, "cancelled by the client")
		case s == nil:
			l.keepCancel(e)
		default:
			l.counts.Unexpected++
			l.dropClientMessage(DropCancelOfOtherRequest, e)
		}
	default:
		l.counts.Unexpected++
	}
}

// endDetached ends a session, which has its answer, at the request of a connection. If the session was requested on
// another connection, its client is notified, since it may not be the client that ends the session.
func (l *Loop) endDetached(s *session, conn uint64) {
	if s.phase == sessionPlaying && conn != s.originConn {
		l.notifySessionEnded(s, ReasonEndedElsewhere)
	}
	l.abandonSession(s, "ended by a client")
}

// refuseOnRejected handles a message on a rejected connection. New requests are refused; cancellations and reports of
// playing sessions are processed, since they need no capacity.
func (l *Loop) refuseOnRejected(c *conn, e ClientReceived) {
	switch s := l.sessionsByKey[e.Message.ID]; {
	case e.Message.Type != wire.Request || e.Details.PlayingOn != "":
		l.detachedReceived(c, e)
	case s != nil:
		l.refuseRequest(c, wire.SessionMessage{Type: wire.Errored, ID: e.Message.ID, Reason: "id is in use"})
	default:
		l.refuseRequest(c, wire.SessionMessage{Type: wire.Nack, ID: e.Message.ID, Reason: "no room"})
	}
}

// refuseRequest sends the answer to a request that is not taken.
func (l *Loop) refuseRequest(c *conn, answer wire.SessionMessage) {
	l.event(Event{Kind: RequestRefused, Request: answer.ID, Conn: c.id, Reason: answer.Reason})
	l.emit(SendClient{Conn: c.id, Message: answer})
}

// adoptPlaying adopts a session that is already playing on a node, as the request reports. No answer is owed.
func (l *Loop) adoptPlaying(c *conn, e ClientReceived) {
	m, details := e.Message, e.Details
	tariff, known := l.tariffIndex[m.Tariff]
	n := l.nodes[details.PlayingOn]
	l.counts.Adopted++
	l.lastSession++
	s := &session{
		id: l.lastSession, name: m.ID, key: m.ID, request: m.ID, originConn: c.id, tariff: tariff, title: m.Title,
		phase: sessionPlaying, answered: true, deadline: l.now,
	}
	if !known || details.InvalidReason != "" || n == nil || l.addresses.isReplaced(n.name) {
		if l.counts.SessionsLost++; l.counts.SessionsLost == 1 {
			l.log("can't adopt a playing session: node %q, tariff %q, %s; further ones are only counted",
				details.PlayingOn, m.Tariff, details.InvalidReason)
		}
		l.notifyDetachedEnd(s, "its node is not known")
		return
	}
	end, ended := l.keptEndOf(m.ID, n)
	if ended && end.conn == 0 {
		l.counts.EndedEarly++
		l.notifyDetachedEnd(s, endReason(end.outcome))
		return
	}
	if !l.queue.MayAdopt(l.playing) {
		if l.counts.AdoptionsRefused++; l.counts.AdoptionsRefused == 1 {
			l.log("can't adopt a playing session: %d play already; further ones are only counted", l.playing)
		}
		l.notifyDetachedEnd(s, "no room")
		return
	}
	s.rung = l.tariffs[tariff].Floor
	l.lastLeg++
	g := &leg{id: l.lastLeg, session: s, node: n, phase: legPlaying, startedAt: l.now, processSeenAt: l.now}
	s.leg = g
	l.sessions[s.id], l.sessionsByKey[s.key], l.legs[g.id], n.legs[g.id] = s, s, g, g
	l.playing++
	l.event(Event{Kind: SessionAdopted, Request: m.ID, Attempt: g.id, Server: n.name, Conn: c.id})
	l.countPlaying(s, c)
	l.updateLinkNeed(n)
	top := len(l.ladder.Rates) - 1
	if m.MaxRung != nil {
		top = min(top, *m.MaxRung)
	}
	l.notifyDecider(policy.Request{
		ID: s.id, Tariff: tariff, Title: titleID(m.Title), FirstCell: details.FirstCell, Copies: details.Copies,
		MaxRung: top, Deadline: l.now,
		PlayingOn: n.name,
	})
	switch {
	case ended: // its node has to be notified
		l.counts.EndedEarly++
		l.endDetached(s, end.conn)
	case l.closingClients: // its connection is closed next, and no other may be left
		l.notifySessionEnded(s, "director closes")
		l.abandonSession(s, "director closes")
	}
}

// countPlaying counts a playing session on the connection that it was requested on. The connection is proven now and
// not evicted before the session ends, and undelivered endings are sent on it. A connection that is about to end is not counted.
func (l *Loop) countPlaying(s *session, c *conn) {
	if c.rejected || c.closing {
		return
	}
	s.countedOnOrigin, c.proven, l.lastProvenConn = true, true, c.id
	l.countSessions(c, 0, +1)
	l.deliverUndelivered(c, l.now)
}

// isAt reports whether a node is the one at the other end of another node's connection. Both are the same, or the
// connection was made under the name of a node that was replaced at its address.
func (n *node) isAt(other *node) bool { return n.name == other.name || n.address == other.address }

// findDetachedLeg finds the leg that a node's message refers to, by its session. Until the leg plays, only messages on
// the connection of its set-up count. This excludes an answer to an earlier leg or on an earlier connection.
func (l *Loop) findDetachedLeg(n *node, e LinkReceived) *leg {
	s := l.sessionsByKey[e.Message.Session]
	if s == nil || s.leg == nil || !s.leg.node.isAt(n) || s.leg.phase == legWaiting || s.leg.phase == legSent && s.leg.link != e.Link {
		return nil
	}
	return s.leg
}

// sendEnd sends a node the message to cancel a set-up or to end a playing session. For a playing session without a
// connection, the message waits for the next connection. A set-up ends with its connection, so no message has to wait
// for it.
func (l *Loop) sendEnd(g *leg) {
	m, n := wire.NodeMessage{Type: wire.End, Leg: g.id, Session: g.session.name}, g.node
	if g.phase == legPlaying {
		m.Reason = wire.Cancelled
	}
	switch {
	case g.phase == legSent:
		l.emit(SendNode{Link: g.link, Message: m})
	case n.connected:
		l.emit(SendNode{Link: n.link, Message: m})
	case len(n.pendingEnds) < maxPendingEnds:
		n.pendingEnds = append(n.pendingEnds, m)
		l.updateLinkNeed(n)
	}
}

// playingSince returns when the first of the sessions that play on the node began to do so, or now if none plays.
func (n *node) playingSince(now time.Duration) time.Duration {
	since := now
	for _, g := range n.legs {
		if g.phase == legPlaying {
			since = min(since, g.startedAt)
		}
	}
	return since
}

// probeSuspectLink probes a suspect connection to a node by making another one, in detached mode.
func (l *Loop) probeSuspectLink(n *node, link uint64) {
	if l.options.Detached && n.connected && n.link == link && !n.connecting && l.nodes[n.name] == n {
		l.stepConnector(connector.Event{Node: n.index, Kind: connector.Suspected})
	}
}

// replaceLink replaces the suspect connection to a node by the probe connection. The old one stays open until the
// set-ups sent on it have ended.
func (l *Loop) replaceLink(n *node) {
	l.timers.Cancel(n.pingTimer)
	l.timers.Cancel(n.idleTimer)
	n.pingTimer, n.idleTimer = timerqueue.Handle(0), timerqueue.Handle(0)
	if n.replacedLink != 0 {
		l.closeLink(n, n.replacedLink, closedAsSuperseded)
		l.linkLost(LinkLost{Link: n.replacedLink})
	}
	n.replacedLink, n.link, n.probeLink = n.link, n.probeLink, 0
	l.closeReplacedLink(n)
}

// closeReplacedLink closes a replaced connection once no set-up on it waits for an answer.
func (l *Loop) closeReplacedLink(n *node) {
	if n.replacedLink == 0 {
		return
	}
	for _, g := range n.legs {
		if g.phase == legSent && g.link == n.replacedLink {
			return
		}
	}
	link := n.replacedLink
	n.replacedLink = 0
	l.closeLink(n, link, closedAsReplaced)
	delete(l.links, link)
}

// nodeDead ends the playing sessions of a node that will send nothing more about them, in detached mode.
func (l *Loop) nodeDead(n *node) {
	if !l.options.Detached {
		return
	}
	n.pendingEnds = nil
	for _, g := range sorted(n.legs) {
		if g.phase == legPlaying {
			l.endLeg(g, outcomeBroken, nil)
		}
	}
	l.updateLinkNeed(n)
}

// startOrderTolerance is how much earlier than the start of a process something must have happened to be taken for earlier:
// start times are told in whole milliseconds.
const startOrderTolerance = 10 * time.Millisecond

// nodeRestarted ends, in detached mode, what belongs to a process of the node from before its start, as discovery reports
// it. A connection leads to the same process for as long as it is open, so one that was made before the start leads to an
// earlier process, with all set-ups that were sent on it and the sessions that these became, and one made later does not.
// Of a session that was handed over, only the time of the hand-over is known.
func (l *Loop) nodeRestarted(n *node) {
	earlier := func(at time.Duration) bool { return at+startOrderTolerance < n.startedAt }
	if n.connected && earlier(n.connectedAt) {
		l.disconnect(n, closedAsRestarted)
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legWaiting || !earlier(g.processSeenAt):
		case g.phase == legPlaying:
			l.endLeg(g, outcomeBroken, nil)
		default:
			l.endLeg(g, outcomeReset, nil)
		}
	}
}
