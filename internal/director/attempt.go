package director

import (
	"time"

	"fordusher/internal/alarm"
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

var legMoves = [...][4]bool{
	legWaiting: {legSent: true, legOver: true},
	legSent:    {legPlaying: true, legOver: true},
	legPlaying: {legOver: true},
	legOver:    {},
}

type leg struct {
	id      uint64
	session *session
	node    *node
	phase   legPhase
	stop    time.Duration // it is cut off then
	late    alarm.Handle
	link    uint64 // loose: that its set-up was sent on
	began   time.Duration
	unrung  bool // loose: its node is still to be told the rung
}

func (l *Loop) moveLeg(g *leg, to legPhase) {
	if !legMoves[g.phase][to] {
		l.odd("leg", int(g.phase), int(to))
	}
	g.phase = to
}

// Legs.

func (l *Loop) dispatch(a policy.Dispatch) {
	s := l.sessions[a.ID]
	n := l.nodes[a.Node]
	if s == nil || s.answered || s.leg != nil || n == nil {
		// What can't be carried out comes back as what is true of it: it was never sent.
		l.counts.Stray++
		l.tell(policy.LegResult{ID: a.ID, Node: a.Node, Outcome: policy.NeverStarted, Final: s == nil || s.answered, Load: policy.NoLoad})
		return
	}
	l.lastLeg++
	g := &leg{id: l.lastLeg, session: s, node: n, stop: s.stop, began: l.now}
	if a.Timeout > 0 {
		g.stop = min(g.stop, l.now+a.Timeout)
	}
	s.leg = g
	s.legs++
	l.counts.Legs++
	if s.legs > 1 {
		l.counts.Further++
	}
	l.legs[g.id], n.legs[g.id] = g, g
	l.move(s, setting)
	l.attemptEvent(AttemptStarted, g, "")
	g.late = l.timers.Add(g.stop, due{timerLeg, g.id})
	coming := l.needed(n)
	switch {
	case n.up && n.greeted && !n.trying:
		l.send(g)
	case n.up, n.trying: // or its connection is doubted: one that is proven anew is as good
	case coming:
	default:
		l.legEnds(g, l.unmade(n), nil)
	}
}

// send hands a leg's set-up to its node's connection.
func (l *Loop) send(g *leg) {
	if !l.maySend(g) {
		l.legEnds(g, fateUnmade, nil)
		return
	}
	s := g.session
	l.moveLeg(g, legSent)
	g.link, g.node.used = g.node.link, l.now
	l.attemptEvent(AttemptSent, g, "")
	l.do(SendServer{Link: g.link, Setup: g.id, Message: wire.Node{
		Type: wire.Setup, Leg: g.id, Session: s.name, Tariff: l.tariffs[s.tariff].Name, Title: s.title,
		Rung: s.rung, Rate: l.rateOf(s), Within: max(1, (g.stop - l.now).Milliseconds()), Length: s.length.Milliseconds(),
	}, Description: s.description})
}

func (l *Loop) rateOf(s *session) float64 {
	return l.ladder.Rates[min(s.rung, len(l.ladder.Rates)-1)] * l.tariffs[s.tariff].Scale
}

func (l *Loop) rate(a policy.SetRung) {
	s := l.sessions[a.ID]
	if s == nil || s.phase == over {
		return
	}
	s.rung = a.Rung
	if g := s.leg; g != nil && (g.phase == legSent || g.phase == legPlaying) {
		l.tellRung(g)
	}
	if s.phase == playing && s.conn != nil {
		l.do(SendClient{Conn: s.conn.number, Merge: s.id,
			Message: wire.Session{Type: wire.Rung, ID: s.request, Session: s.name, Rung: s.rung}})
	}
}

func (l *Loop) tellRung(g *leg) {
	if g.unrung = !g.node.up; !g.unrung { // else once there is a connection
		s := g.session
		l.do(SendServer{Link: g.node.link, Message: wire.Node{Type: wire.Rung, Leg: g.id, Session: s.name, Rung: s.rung, Rate: l.rateOf(s)}})
	}
}

// callOff takes a leg's set-up back if it can still be had, and tells the node to drop it if not.
func (l *Loop) callOff(g *leg) {
	if g.phase == legSent {
		l.do(Withdraw{g.link, g.id})
	}
	if g.phase == legSent || g.phase == legPlaying {
		l.tellEnd(g)
	}
}

// legOverdue ends a leg without an answer in time. One that plays has no time.
func (l *Loop) legOverdue(g *leg) {
	switch g.phase {
	case legWaiting:
		l.legEnds(g, l.unmade(g.node), nil)
	case legSent:
		l.callOff(g)
		n := g.node
		l.legEnds(g, fateTimedOut, nil)
		l.doubt(n, g.link)
	}
}

// accepted starts a session on its node.
func (l *Loop) accepted(g *leg, load *wire.Load, description []byte) {
	s := g.session
	if g.phase != legSent || s.answered {
		l.counts.Late++ // twice, or for a session that has its answer
		return
	}
	l.moveLeg(g, legPlaying)
	l.timers.Cancel(g.late)
	l.move(s, playing)
	l.counts.Played++
	answer := l.plays(s)
	l.settleAnswer(s, &answer, description...)
	if l.manners.Loose {
		if s.conn != nil {
			l.stands(s, s.conn)
		}
		l.unhand(s)
	}
	l.dropLink(g.node)
	l.tell(policy.Accepted{ID: s.id})
	// A node that reports tells with the answer what is asked of its link and uplink now.
	if load != nil && load.Link != nil {
		l.tell(policy.Measurement{ID: s.id, Node: g.node.name, Kind: policy.LinkLoad, Value: *load.Link})
	}
	if load != nil && load.Uplink != nil {
		l.tell(policy.Measurement{ID: s.id, Node: g.node.name, Kind: policy.UplinkLoad, Value: *load.Uplink})
	}
}

// legEnds ends a leg, tells the module what is true of it, and the player if its session ends by it.
func (l *Loop) legEnds(g *leg, f fate, load *wire.Load) {
	if g.phase == legOver {
		return
	}
	s, n := g.session, g.node
	l.attemptEvent(AttemptEnded, g, f.String())
	outcome, proof := neverRan(f)
	if proof > 0 {
		l.counts.NeverRan[proof]++
	} else {
		s.ran = true
	}
	l.moveLeg(g, legOver)
	l.timers.Cancel(g.late)
	delete(l.legs, g.id)
	delete(n.legs, g.id)
	s.leg = nil
	if s.phase == playing {
		switch f {
		case fateServed:
			l.over(s, WhyEnded)
		case fateEndedElsewhere:
			l.over(s, WhyEndedElsewhere)
		case fateBroken, fateReset:
			l.counts.Broken++
			l.over(s, "node lost")
		}
	} else if !s.answered {
		l.move(s, held)
	}
	final := s.answered
	if final {
		l.closeSession(s)
	}
	l.tell(policy.LegResult{ID: s.id, Node: n.name, Outcome: outcome, Final: final, Load: loadOf(load)})
	l.dropLink(n)
	l.needed(n)
	l.dropNode(n)
}

// loadOf reads a node's report; what it does not tell is negative.
func loadOf(r *wire.Load) policy.Load {
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
