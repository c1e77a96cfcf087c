package director

import (
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// A legPhase is a state of a leg; legTransitions lists the legal transitions.
type legPhase int

const (
	legWaiting legPhase = iota
	legSent
	legPlaying
	legOver
)

var legTransitions = [...][4]bool{
	legWaiting: {legSent: true, legOver: true},
	legSent:    {legPlaying: true, legOver: true},
	legPlaying: {legOver: true},
	legOver:    {},
}

// noLink is no connection: the ids of connections begin with 1.
const noLink = 0

// A leg is one attempt of a session at a node. Log events call it an attempt.
type leg struct {
	id            uint64
	session       *session
	node          *node
	phase         legPhase
	deadline      time.Duration // the node must have accepted by then
	deadlineTimer timerqueue.Handle
	link          uint64 // the connection that its set-up was sent on; noLink if it was handed over
	startedAt     time.Duration
	processSeenAt time.Duration // a time at which the node's process that has the leg was running; see nodeRestarted
	rungPending   bool          // detached mode: the rung has to be sent once the node is connected
}

func (l *Loop) setLegPhase(g *leg, to legPhase) {
	if !legTransitions[g.phase][to] {
		l.illegalTransition("leg", int(g.phase), int(to))
	}
	g.phase = to
}

// dispatch starts the next leg of a session at the node that the decider chose.
func (l *Loop) dispatch(a policy.Dispatch) {
	s := l.sessions[a.ID]
	n := l.nodes[a.Node]
	if s == nil || s.answered || s.leg != nil || n == nil {
		// The decision can't be carried out, so the decider is notified that the leg never started.
		l.counts.Unexpected++
		l.notifyDecider(policy.LegResult{ID: a.ID, Node: a.Node, Outcome: policy.NeverStarted,
			Final: s == nil || s.answered, Load: policy.NoLoad})
		return
	}
	l.lastLeg++
	g := &leg{id: l.lastLeg, session: s, node: n, deadline: s.deadline, startedAt: l.now}
	if a.Timeout > 0 {
		g.deadline = min(g.deadline, l.now+a.Timeout)
	}
	s.leg = g
	s.legsSent++
	l.counts.Legs++
	if s.legsSent > 1 {
		l.counts.Retries++
	}
	l.legs[g.id], n.legs[g.id] = g, g
	l.setSessionPhase(s, sessionSettingUp)
	l.attemptEvent(AttemptStarted, g, "")
	g.deadlineTimer = l.timers.Add(g.deadline, timer{timerLeg, g.id})
	connecting := l.updateLinkNeed(n)
	switch {
	case n.connected && n.helloReceived && !n.connecting:
		l.sendSetup(g)
	case n.connected, n.connecting:
		// The leg waits for the connection or the node's hello. If the connection is suspect, the leg waits for the
		// probe connection and is sent on that.
	case connecting: // the leg waits until the connector makes the attempt
	default:
		l.endLeg(g, l.connectFailureOutcome(n), nil)
	}
}

// sendSetup passes a leg's set-up to its node's connection, unless the guard refuses that.
func (l *Loop) sendSetup(g *leg) {
	if !l.maySend(g) {
		l.endLeg(g, outcomeUnconnected, nil)
		return
	}
	s := g.session
	l.setLegPhase(g, legSent)
	g.link, g.node.lastUsed = g.node.link, l.now
	g.processSeenAt = g.node.connectedAt
	l.attemptEvent(AttemptSent, g, "")
	l.emit(SendNode{Link: g.link, Setup: g.id, Message: wire.NodeMessage{
		Type: wire.Setup, Leg: g.id, Session: s.name, Tariff: l.tariffs[s.tariff].Name, Title: s.title,
		Rung: s.rung, RateKB: l.sessionRate(s), StartWithinMS: max(1, (g.deadline - l.now).Milliseconds()),
		LengthMS: s.length.Milliseconds(),
	}, Description: s.description})
}

// sessionRate returns the rate of a session at its rung, in kB a second.
func (l *Loop) sessionRate(s *session) float64 {
	return l.ladder.Rates[min(s.rung, len(l.ladder.Rates)-1)] * l.tariffs[s.tariff].Scale
}

// applyRung sets a session's rung and notifies its node and its client.
func (l *Loop) applyRung(a policy.SetRung) {
	s := l.sessions[a.ID]
	if s == nil || s.phase == sessionOver {
		return
	}
	s.rung = a.Rung
	if g := s.leg; g != nil && (g.phase == legSent || g.phase == legPlaying) {
		l.sendRung(g)
	}
	if s.phase == sessionPlaying && s.conn != nil {
		l.emit(SendClient{Conn: s.conn.id, CoalesceKey: s.id,
			Message: wire.SessionMessage{Type: wire.Rung, ID: s.request, Session: s.name, Rung: s.rung}})
	}
}

// sendRung sends a leg's rung to its node, or leaves it pending until the node is connected.
func (l *Loop) sendRung(g *leg) {
	if g.rungPending = !g.node.connected; !g.rungPending {
		s := g.session
		l.emit(SendNode{Link: g.node.link, Message: wire.NodeMessage{Type: wire.Rung, Leg: g.id, Session: s.name,
			Rung: s.rung, RateKB: l.sessionRate(s)}})
	}
}

// cancelLeg withdraws a leg's set-up if it has not been written yet, and sends the node an end message in case it has.
func (l *Loop) cancelLeg(g *leg) {
	if g.phase == legSent {
		l.emit(Withdraw{g.link, g.id})
	}
	if g.phase == legSent || g.phase == legPlaying {
		l.sendEnd(g)
	}
}

// legDeadlineReached ends a leg that the node has not accepted in time. A playing leg has no deadline.
func (l *Loop) legDeadlineReached(g *leg) {
	switch g.phase {
	case legWaiting:
		l.endLeg(g, l.connectFailureOutcome(g.node), nil)
	case legSent:
		l.cancelLeg(g)
		n := g.node
		l.endLeg(g, outcomeTimedOut, nil)
		l.probeSuspectLink(n, g.link)
	}
}

// legAccepted marks a leg and its session as playing and answers the client.
func (l *Loop) legAccepted(g *leg, load *wire.NodeLoad, description []byte) {
	s := g.session
	if g.phase != legSent || s.answered {
		l.counts.LateAnswers++ // the node accepted twice, or the session already has its answer
		return
	}
	l.setLegPhase(g, legPlaying)
	l.timers.Cancel(g.deadlineTimer)
	l.setSessionPhase(s, sessionPlaying)
	l.counts.Played++
	answer := l.playingAnswer(s)
	l.settleAnswer(s, &answer, description...)
	if l.options.Detached {
		if s.conn != nil {
			l.countPlaying(s, s.conn)
		}
		l.detachFromConn(s)
	}
	l.closeReplacedLink(g.node)
	l.notifyDecider(policy.Accepted{ID: s.id})
	// A node that reports its load includes the current load of its network link and its rack's uplink in the answer.
	if load != nil && load.Link != nil {
		l.notifyDecider(policy.Measurement{ID: s.id, Node: g.node.name, Kind: policy.LinkLoad, Value: *load.Link})
	}
	if load != nil && load.Uplink != nil {
		l.notifyDecider(policy.Measurement{ID: s.id, Node: g.node.name, Kind: policy.UplinkLoad, Value: *load.Uplink})
	}
}

// endLeg ends a leg, notifies the decider of its outcome, and notifies the client if this ends its session.
func (l *Loop) endLeg(g *leg, result legOutcome, load *wire.NodeLoad) {
	if g.phase == legOver {
		return
	}
	s, n := g.session, g.node
	l.attemptEvent(AttemptEnded, g, result.String())
	outcome, proof := neverRan(result)
	if proof > 0 {
		l.counts.NeverRan[proof]++
	} else {
		s.mayHaveRun = true
	}
	l.setLegPhase(g, legOver)
	l.timers.Cancel(g.deadlineTimer)
	delete(l.legs, g.id)
	delete(n.legs, g.id)
	s.leg = nil
	if s.phase == sessionPlaying {
		switch result {
		case outcomeServed, outcomeEndedElsewhere:
			l.notifySessionEnded(s, endReason(result))
		case outcomeBroken, outcomeReset:
			l.counts.SessionsLost++
			l.notifySessionEnded(s, endReason(result))
		}
		if l.options.Detached {
			l.keepOwnEnd(g, result)
		}
	} else if !s.answered {
		l.setSessionPhase(s, sessionWaiting)
	}
	final := s.answered
	if final {
		l.closeSession(s)
	}
	l.notifyDecider(policy.LegResult{ID: s.id, Node: n.name, Outcome: outcome, Final: final, Load: loadOf(load)})
	l.closeReplacedLink(n)
	l.updateLinkNeed(n)
	l.dropNode(n)
}

// loadOf converts a node's load report; figures that are not reported are negative.
func loadOf(report *wire.NodeLoad) policy.Load {
	load := policy.NoLoad
	if report == nil {
		return load
	}
	for _, f := range []struct {
		to   *float64
		from *float64
	}{{&load.Streams, report.Streams}, {&load.Link, report.Link}, {&load.Uplink, report.Uplink}} {
		if f.from != nil {
			*f.to = *f.from
		}
	}
	return load
}
