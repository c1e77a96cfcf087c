package director

import (
	"time"

	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/policy"
)

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

type leg struct {
	id            uint64
	session       *session
	node          *node
	phase         legPhase
	deadline      time.Duration // it is cut off then
	deadlineTimer timerqueue.Handle
	link          uint64 // loose: that its set-up was sent on
	startedAt     time.Duration
	rungPending   bool // loose: its node is still to be told the rung
}

func (l *Loop) setLegPhase(g *leg, to legPhase) {
	if !legTransitions[g.phase][to] {
		l.illegalTransition("leg", int(g.phase), int(to))
	}
	g.phase = to
}

// Legs.

func (l *Loop) dispatch(a policy.Dispatch) {
	s := l.sessions[a.ID]
	n := l.nodes[a.Node]
	if s == nil || s.answered || s.leg != nil || n == nil {
		// What can't be carried out comes back as what is true of it: it was never sent.
		l.counts.Unexpected++
		l.notifyDecider(policy.LegResult{ID: a.ID, Node: a.Node, Outcome: policy.NeverStarted, Final: s == nil || s.answered, Load: policy.NoLoad})
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
	coming := l.updateLinkNeed(n)
	switch {
	case n.connected && n.helloReceived && !n.connecting:
		l.sendSetup(g)
	case n.connected, n.connecting: // or its connection is doubted: one that is proven anew is as good
	case coming:
	default:
		l.endLeg(g, l.connectFailureOutcome(n), nil)
	}
}

// sendSetup hands a leg's set-up to its node's connection.
func (l *Loop) sendSetup(g *leg) {
	if !l.maySend(g) {
		l.endLeg(g, outcomeUnconnected, nil)
		return
	}
	s := g.session
	l.setLegPhase(g, legSent)
	g.link, g.node.lastUsed = g.node.link, l.now
	l.attemptEvent(AttemptSent, g, "")
	l.emit(SendNode{Link: g.link, Setup: g.id, Message: wire.NodeMessage{
		Type: wire.Setup, Leg: g.id, Session: s.name, Tariff: l.tariffs[s.tariff].Name, Title: s.title,
		Rung: s.rung, RateKB: l.sessionRate(s), StartWithinMS: max(1, (g.deadline - l.now).Milliseconds()), LengthMS: s.length.Milliseconds(),
	}, Description: s.description})
}

func (l *Loop) sessionRate(s *session) float64 {
	return l.ladder.Rates[min(s.rung, len(l.ladder.Rates)-1)] * l.tariffs[s.tariff].Scale
}

func (l *Loop) applyRate(a policy.SetRung) {
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

func (l *Loop) sendRung(g *leg) {
	if g.rungPending = !g.node.connected; !g.rungPending { // else once there is a connection
		s := g.session
		l.emit(SendNode{Link: g.node.link, Message: wire.NodeMessage{Type: wire.Rung, Leg: g.id, Session: s.name, Rung: s.rung, RateKB: l.sessionRate(s)}})
	}
}

// cancelLeg takes a leg's set-up back if it can still be had, and tells the node to drop it if not.
func (l *Loop) cancelLeg(g *leg) {
	if g.phase == legSent {
		l.emit(Withdraw{g.link, g.id})
	}
	if g.phase == legSent || g.phase == legPlaying {
		l.sendEnd(g)
	}
}

// legDeadlineReached ends a leg without an answer in time. One that plays has no time.
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

// legAccepted starts a session on its node.
func (l *Loop) legAccepted(g *leg, load *wire.NodeLoad, description []byte) {
	s := g.session
	if g.phase != legSent || s.answered {
		l.counts.LateAnswers++ // twice, or for a session that has its answer
		return
	}
	l.setLegPhase(g, legPlaying)
	l.timers.Cancel(g.deadlineTimer)
	l.setSessionPhase(s, sessionPlaying)
	l.counts.Played++
	answer := l.playsMessage(s)
	l.settleAnswer(s, &answer, description...)
	if l.options.Detached {
		if s.conn != nil {
			l.countPlaying(s, s.conn)
		}
		l.detachFromConn(s)
	}
	l.closeReplacedLink(g.node)
	l.notifyDecider(policy.Accepted{ID: s.id})
	// A node that reports tells with the answer what is asked of its link and uplink now.
	if load != nil && load.Link != nil {
		l.notifyDecider(policy.Measurement{ID: s.id, Node: g.node.name, Kind: policy.LinkLoad, Value: *load.Link})
	}
	if load != nil && load.Uplink != nil {
		l.notifyDecider(policy.Measurement{ID: s.id, Node: g.node.name, Kind: policy.UplinkLoad, Value: *load.Uplink})
	}
}

// endLeg ends a leg, tells the module what is true of it, and the player if its session ends by it.
func (l *Loop) endLeg(g *leg, f legOutcome, load *wire.NodeLoad) {
	if g.phase == legOver {
		return
	}
	s, n := g.session, g.node
	l.attemptEvent(AttemptEnded, g, f.String())
	outcome, proof := neverRan(f)
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
		switch f {
		case outcomeServed:
			l.notifySessionEnded(s, ReasonEnded)
		case outcomeEndedElsewhere:
			l.notifySessionEnded(s, ReasonEndedElsewhere)
		case outcomeBroken, outcomeReset:
			l.counts.SessionsLost++
			l.notifySessionEnded(s, "node lost")
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

// loadOf reads a node's report; what it does not tell is negative.
func loadOf(r *wire.NodeLoad) policy.Load {
	load := policy.NoLoad
	if r == nil {
		return load
	}
	for _, f := range []struct {
		to   *float64
		from *float64
	}{{&load.Streams, r.Streams}, {&load.Link, r.Link}, {&load.Uplink, r.Uplink}} {
		if f.from != nil {
			*f.to = *f.from
		}
	}
	return load
}
