package director

import (
	"fmt"
	"slices"
	"time"

	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
)

// A conn is a player's connection. Its requests are those whose session lives, and the last few that ended.
type conn struct {
	number   uint64
	requests map[string]*request // at most PerConnection live ones and remembered ended ones; nil before the first
	ended    []string            // ids of requests that ended, oldest first; where requests have ids of their own
	live     int32               // requests without their answer, or, where what plays belongs to a connection, sessions
	standing int32               // loose: sessions that came on it and play
	proven   bool                // loose: a session that came on it has played
	seat     int32               // its small index, for the limits
	turned   bool                // loose: there was no room for it; what it asks is refused for a moment, and it is leaving
	leaving  bool                // it was told to go: what it asks from now on is not taken
	parting  bool                // it is being closed at the director's end, and nothing that was read on it is known to wait
	inputEnd string              // why nothing more can be read from it; empty: it can
}

// remembered is how many ended requests of a connection can still be answered as before.
const remembered = 16

// A request is a want of a player under its own id.
type request struct {
	session *session      // nil once that is over
	answer  *wire.Session // the final answer, once given
}

type phase int

const (
	held phase = iota
	setting
	playing
	over
)

var sessionMoves = [...][4]bool{
	held:    {setting: true, over: true},
	setting: {held: true, playing: true, over: true},
	playing: {over: true},
	over:    {},
}

type session struct {
	id       uint64
	name     string
	key      string
	tariff   int
	title    string
	length   time.Duration
	phase    phase
	answered bool // the final answer was given, or is no longer owed
	rung     int
	stop     time.Duration // the answer is out by then
	conn     *conn         // nil while the player's connection is gone
	request  string
	leg      *leg
	legs     int
	answer   alarm.Handle
	linger   alarm.Handle

	ran         bool   // an attempt of it may have run
	description []byte // for the node; until the session has its answer
	via         uint64 // loose: the connection that it came on
	stands      bool   // loose: that one counts it among what plays
}

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

// move changes a session's phase; one that the table does not have is counted.
func (l *Loop) move(s *session, to phase) {
	if !sessionMoves[s.phase][to] {
		l.odd("session", int(s.phase), int(to))
	}
	switch {
	case s.phase == playing:
		l.playing--
	case to == playing:
		l.playing++
	}
	s.phase = to
}

func (l *Loop) moveLeg(g *leg, to legPhase) {
	if !legMoves[g.phase][to] {
		l.odd("leg", int(g.phase), int(to))
	}
	g.phase = to
}

func (l *Loop) odd(what string, from, to int) {
	l.counts.OddMove++
	if !l.oddMove {
		l.oddMove = true
		l.log("a %s moved from %d to %d, which should not be; further ones are only counted", what, from, to)
	}
}

// Players.

// What a connection asks for which there is no room is refused for turnedFor, so that all that came at once has its
// answer before it is closed. Where there are more than turnedMost of those, the first is closed as soon as nothing of it
// is on its way here.
const (
	turnedFor  = 20 * time.Millisecond
	turnedMost = 16
)

// knocked asks the limits whether a player is let in.
func (l *Loop) knocked(e PlayerKnocked) {
	seat := int32(len(l.seats))
	if n := len(l.unseated); n > 0 {
		seat = l.unseated[n-1]
	}
	plan := l.limit(limits.Event{What: limits.Knock, Conn: int(seat), Address: e.Address, Nodes: l.linkSockets()})
	if !plan.Admit {
		l.counts.TurnedAway++
		if l.manners.Loose { // it has knocked with a request, which is owed an answer
			l.conns[e.Conn] = &conn{number: e.Conn, turned: true, leaving: true}
			l.timers.Add(l.now+turnedFor, due{timerTurned, e.Conn})
			if l.turned = append(l.turned, e.Conn); len(l.turned) > turnedMost { // the first of them has its answer by now
				l.closeClient(ClosePlayer{Conn: l.turned[0], Code: 1013, Why: "no room", Idle: true})
				l.turned = l.turned[1:]
			}
			return
		}
		l.do(TurnAway{e.Conn, plan.Retry, plan.Why})
		return
	}
	if n := len(l.unseated); n > 0 {
		l.unseated = l.unseated[:n-1]
		l.seats[seat] = e.Conn
	} else {
		l.seats = append(l.seats, e.Conn)
	}
	l.event(Event{Kind: ClientConnected, Conn: e.Conn})
	l.conns[e.Conn] = &conn{number: e.Conn, seat: seat}
	l.do(Welcome{e.Conn})
}

// limit tells the limits what happened and carries out their plan.
func (l *Loop) limit(e limits.Event) *limits.Plan {
	plan := l.limits.Step(l.now, e)
	if e.What == limits.Ring {
		l.more = plan.More
	}
	for _, seat := range plan.Ping {
		l.do(AskPlayerAlive{l.seats[seat]})
	}
	for _, x := range plan.Let {
		l.counts.LetGo++
		why := x.Why
		if x.Retry > 0 {
			why = fmt.Sprintf("retry-ms=%d %s", x.Retry.Milliseconds(), why)
		}
		closed := l.closeClient(ClosePlayer{Conn: l.seats[x.Conn], Code: x.Code, Why: why, Idle: x.Code != 1008})
		if c := l.conns[l.seats[x.Conn]]; c != nil && closed {
			c.leaving = true
		}
	}
	if plan.Log != "" {
		l.log("%s", plan.Log)
	}
	return plan
}

// busy counts the sessions of a connection: with one, it is never let go.
func (l *Loop) busy(c *conn, live, standing int32) {
	before := c.live + c.standing
	c.live, c.standing = c.live+live, c.standing+standing
	switch after := c.live + c.standing; {
	case before == 0 && after > 0:
		l.limit(limits.Event{What: limits.Busy, Conn: int(c.seat)})
	case before > 0 && after == 0:
		l.limit(limits.Event{What: limits.Idle, Conn: int(c.seat)})
	}
	if live < 0 {
		l.closeSettled(c)
	}
}

func (l *Loop) playerSaid(e PlayerSaid) {
	c := l.conns[e.Conn]
	if c == nil { // it closed a moment ago, or was not let in
		if s := l.keys[e.Message.ID]; l.manners.Loose && e.Message.Type == wire.Leave && s != nil && s.answered {
			l.endedElsewhere(s, e.Conn) // what plays belongs to no connection, and its ending neither
		}
		return
	}
	if c.turned {
		l.refuse(c, e)
		return
	}
	if c.leaving { // this crosses the word to go, which says when to come back
		l.event(Event{Kind: RequestRefused, Request: e.Message.ID, Conn: c.number, Reason: "its connection is being closed"})
		l.counts.Stray++
		return
	}
	l.limit(limits.Event{What: limits.Heard, Conn: int(c.seat)})
	m := e.Message
	if l.manners.Loose {
		l.looseSaid(c, e)
		return
	}
	r := c.requests[m.ID]
	switch m.Type {
	case wire.Want:
		if r != nil { // a repetition: answered as before, never taken twice
			l.counts.Repeated++
			if r.answer != nil {
				l.do(TellPlayer{Conn: c.number, Message: *r.answer})
			}
			return
		}
		l.want(c, m, e.Waited, nil)
	case wire.Leave:
		if r != nil && r.session != nil {
			l.gone(r.session, "cancelled by the client")
		}
	case wire.Report:
		if r == nil {
			l.counts.Stray++
		}
	default:
		l.counts.BadWord++
		l.closeClient(ClosePlayer{Conn: c.number, Code: 1008, Why: "players do not say " + m.Type})
	}
}

// want takes a request that has waited for the loop for so long.
func (l *Loop) want(c *conn, m wire.Session, waited time.Duration, brought *Brought) {
	l.counts.Taken++
	r := &request{}
	if c.requests == nil {
		c.requests = map[string]*request{}
	}
	c.requests[m.ID] = r
	backoff := time.Duration(0)
	refuse := func(kind, why string, count *uint64) {
		*count++
		answer := wire.Session{Type: kind, ID: m.ID, Why: why, Backoff: backoff.Milliseconds()}
		r.answer = &answer
		l.refuseRequest(c, answer)
		l.remember(c, m.ID)
	}
	tariff, known := l.tariff[m.Tariff]
	t, listed := l.titles[m.Title]
	if brought != nil {
		t, listed = title{titleID(m.Title), brought.Base, brought.Copies}, true
	}
	came := l.now - waited
	stop := came + time.Duration(m.Wait)*time.Millisecond
	switch {
	case brought != nil && brought.Wrong != "":
		refuse(wire.Errored, brought.Wrong, &l.counts.Errored)
		return
	case l.stop != nil:
		l.counts.Closing++
		refuse(wire.Nack, "director closes", &l.counts.Nacked)
		return
	case !known:
		refuse(wire.Errored, "unknown tariff", &l.counts.Errored)
		return
	case !listed:
		refuse(wire.Nack, "unknown title", &l.counts.Nacked)
		return
	case int(c.live) >= l.manners.PerConnection:
		refuse(wire.Nack, "too many sessions on this connection", &l.counts.Nacked)
		return
	}
	stop = min(stop, came+l.tariffs[tariff].HardStop) - l.manners.AnswerAhead
	if s := l.keys[m.Key]; s != nil {
		switch {
		case s.tariff != tariff || s.title != m.Title || s.answered && s.phase != playing:
			refuse(wire.Errored, "key is in use", &l.counts.Errored)
		default:
			l.adopt(s, c, m.ID, stop)
		}
		return
	}
	if stop <= l.now {
		refuse(wire.Nack, "no time left", &l.counts.Nacked)
		return
	}
	word := l.line.Step(l.now, waited)
	if word.Log != "" {
		l.log("%s", word.Log)
	}
	if !word.Take { // nothing was done for it yet, so this claims nothing
		l.counts.Pressed++
		backoff = word.Retry
		refuse(wire.Nack, "busy", &l.counts.Nacked)
		return
	}
	l.lastSession++
	s := &session{
		id: l.lastSession, name: l.sessionName(l.lastSession), via: c.number, key: m.Key, tariff: tariff, title: m.Title,
		length: time.Duration(m.Length) * time.Millisecond, stop: stop, conn: c, request: m.ID,
		rung: l.tariffs[tariff].Floor,
	}
	if brought != nil {
		s.description = brought.Description
	}
	if l.manners.Loose {
		s.name = m.ID
	}
	r.session = s
	l.requestEvent(RequestTaken, s, "")
	l.busy(c, +1, 0)
	l.sessions[s.id], l.keys[s.key] = s, s
	l.owed++
	s.answer = l.timers.Add(stop, due{timerAnswer, s.id})
	top := len(l.ladder.Rates) - 1
	if m.Top != nil {
		top = min(top, *m.Top)
	}
	l.tell(policy.Demand{
		ID: s.id, Tariff: tariff, Title: t.id, Base: t.base, Copies: t.copies, Top: top, HardStop: stop,
	})
}

// adopt gives a session to the connection on which its viewer came again. It guards a viewer whose
// connection broke against a second set-up, the paid one above all: the session is the same one, with
// the answer due no later than before.
func (l *Loop) adopt(s *session, c *conn, id string, stop time.Duration) {
	l.counts.Adopted++
	if s.conn != nil && s.conn != c {
		l.do(TellPlayer{Conn: s.conn.number, Message: wire.Session{Type: wire.Over, ID: s.request, Session: s.name, Why: "taken over"}})
	}
	l.unhand(s)
	s.conn, s.request = c, id
	c.requests[id].session = s
	l.busy(c, +1, 0)
	if s.linger != 0 {
		l.timers.Cancel(s.linger)
		s.linger = 0
	}
	if s.phase == playing {
		l.counts.Played++
		l.tellPlays(s)
		return
	}
	l.counts.Gone++ // the first request; the second has taken its place
	if stop < s.stop {
		s.stop = stop
		l.timers.Cancel(s.answer)
		s.answer = l.timers.Add(stop, due{timerAnswer, s.id})
	}
}

// unhand takes a session off its connection.
func (l *Loop) unhand(s *session) {
	if c := s.conn; c != nil {
		l.busy(c, -1, 0)
		if r := c.requests[s.request]; r != nil {
			r.session = nil
		}
		l.remember(c, s.request)
		s.conn = nil
	}
}

// remember keeps an ended request among the last few.
func (l *Loop) remember(c *conn, id string) {
	if l.manners.Loose { // ids are not used again, and an answer is never given twice
		delete(c.requests, id)
		return
	}
	c.ended = append(c.ended, id)
	if len(c.ended) > remembered {
		delete(c.requests, c.ended[0])
		c.ended = c.ended[1:]
	}
}

func (l *Loop) playerClosed(e PlayerClosed) {
	number := e.Conn
	c := l.conns[number]
	if c == nil {
		return
	}
	delete(l.conns, number)
	l.event(Event{Kind: ClientDisconnected, Conn: number, Reason: e.Reason})
	if c.turned {
		l.turned = slices.DeleteFunc(l.turned, func(n uint64) bool { return n == number })
		return
	}
	l.limit(limits.Event{What: limits.Left, Conn: int(c.seat)})
	l.seats[c.seat] = 0
	l.unseated = append(l.unseated, c.seat)
	for id := range sorted(c.requests) {
		s := c.requests[id].session
		if s == nil {
			continue
		}
		s.conn = nil
		if l.stop != nil || l.manners.Linger == 0 {
			l.gone(s, "client connection ended: "+e.Reason)
			continue
		}
		s.linger = l.timers.Add(l.now+l.manners.Linger, due{timerLinger, s.id})
	}
}

// gone ends a session whose viewer has left: no answer is owed any more.
func (l *Loop) gone(s *session, reason string) {
	if s.phase == over {
		return
	}
	if !s.answered {
		l.counts.Gone++
		l.requestEvent(RequestAbandoned, s, reason)
		l.settleAnswer(s, nil)
	}
	l.tell(policy.Gone{ID: s.id})
	if s.leg != nil {
		l.callOff(s.leg)
		l.legEnds(s.leg, fateCalledOff, nil)
	} else {
		l.closeSession(s)
	}
}

// Answers.

// settleAnswer marks a session's answer as given, or as no longer owed where there is none.
func (l *Loop) settleAnswer(s *session, answer *wire.Session, description ...byte) {
	if answer != nil && !l.mayAnswer(s, answer.Type) {
		return
	}
	s.answered, s.description = true, nil
	l.owed--
	l.timers.Cancel(s.answer)
	s.answer = 0
	if answer == nil || s.conn == nil {
		return
	}
	answer.ID, answer.Session = s.request, s.name
	if r := s.conn.requests[s.request]; r != nil {
		r.answer = answer
	}
	l.requestEvent(RequestAnswered, s, answer.Type+" "+answer.Why)
	l.do(TellPlayer{Conn: s.conn.number, Message: *answer, Description: description})
}

func (l *Loop) nack(s *session, backoff time.Duration, why string) {
	l.counts.Nacked++
	l.settleAnswer(s, &wire.Session{Type: wire.Nack, Backoff: backoff.Milliseconds(), Why: why})
}

func (l *Loop) errored(s *session, why string) {
	l.counts.Errored++
	l.settleAnswer(s, &wire.Session{Type: wire.Errored, Why: why})
}

func (l *Loop) plays(s *session) wire.Session {
	return wire.Session{
		Type: wire.Plays, ID: s.request, Session: s.name, Node: s.leg.node.name, Address: s.leg.node.address,
		Ticket: s.name, Rung: s.rung,
	}
}

// tellPlays answers a request for a session that already plays.
func (l *Loop) tellPlays(s *session) {
	answer := l.plays(s)
	s.conn.requests[s.request].answer = &answer
	l.do(TellPlayer{Conn: s.conn.number, Message: answer})
}

// answerOverdue gives a session the answer that its time leaves. The module answers before; this holds
// where it did not, and where a viewer came again with less time than before.
func (l *Loop) answerOverdue(s *session) {
	if s.answered || s.phase == over {
		return
	}
	if s.leg != nil {
		l.legOverdue(s.leg) // the module decides what that means for the viewer
		if s.answered {
			return
		}
	}
	l.counts.Overdue++
	l.errored(s, "no answer in time")
	l.gone(s, "no answer in time")
}

// over tells a player that its session has ended.
func (l *Loop) over(s *session, why string) {
	if l.manners.Loose {
		l.tellOver(s, why)
		return
	}
	if s.conn != nil {
		l.do(TellPlayer{Conn: s.conn.number, Message: wire.Session{Type: wire.Over, ID: s.request, Session: s.name, Why: why}})
	}
}

// closeSession takes a session off the books once it has no leg any more.
func (l *Loop) closeSession(s *session) {
	if s.leg != nil || s.phase == over {
		return
	}
	l.move(s, over)
	l.unhand(s)
	if c := l.conns[s.via]; c != nil && s.stands {
		l.busy(c, 0, -1)
	}
	l.timers.Cancel(s.answer)
	l.timers.Cancel(s.linger)
	delete(l.sessions, s.id)
	if l.keys[s.key] == s {
		delete(l.keys, s.key)
	}
	if l.stop != nil && l.owed == 0 && l.playing == 0 {
		l.timers.Add(l.now, due{timerClose, 0})
	}
}

// Legs.

func (l *Loop) dispatch(a policy.Dispatch) {
	s := l.sessions[a.ID]
	n := l.nodes[a.Node]
	if s == nil || s.answered || s.leg != nil || n == nil {
		// What can't be carried out comes back as what is true of it: it was never sent.
		l.counts.Stray++
		l.tell(policy.Result{ID: a.ID, Node: a.Node, Outcome: policy.Moot, Final: s == nil || s.answered, Load: policy.NoLoad})
		return
	}
	l.lastLeg++
	g := &leg{id: l.lastLeg, session: s, node: n, stop: s.stop, began: l.now}
	if a.Within > 0 {
		g.stop = min(g.stop, l.now+a.Within)
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
	l.do(TellNode{Link: g.link, Setup: g.id, Message: wire.Node{
		Type: wire.Setup, Leg: g.id, Session: s.name, Tariff: l.tariffs[s.tariff].Name, Title: s.title,
		Rung: s.rung, Rate: l.rateOf(s), Within: max(1, (g.stop - l.now).Milliseconds()), Length: s.length.Milliseconds(),
	}, Description: s.description})
}

func (l *Loop) rateOf(s *session) float64 {
	return l.ladder.Rates[min(s.rung, len(l.ladder.Rates)-1)] * l.tariffs[s.tariff].Scale
}

func (l *Loop) rate(a policy.Rate) {
	s := l.sessions[a.ID]
	if s == nil || s.phase == over {
		return
	}
	s.rung = a.Rung
	if g := s.leg; g != nil && (g.phase == legSent || g.phase == legPlaying) {
		l.tellRung(g)
	}
	if s.phase == playing && s.conn != nil {
		l.do(TellPlayer{Conn: s.conn.number, Merge: s.id,
			Message: wire.Session{Type: wire.Rung, ID: s.request, Session: s.name, Rung: s.rung}})
	}
}

func (l *Loop) tellRung(g *leg) {
	if g.unrung = !g.node.up; !g.unrung { // else once there is a connection
		s := g.session
		l.do(TellNode{Link: g.node.link, Message: wire.Node{Type: wire.Rung, Leg: g.id, Session: s.name, Rung: s.rung, Rate: l.rateOf(s)}})
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
		l.tell(policy.Note{ID: s.id, Node: g.node.name, Kind: policy.LinkNote, Value: *load.Link})
	}
	if load != nil && load.Uplink != nil {
		l.tell(policy.Note{ID: s.id, Node: g.node.name, Kind: policy.UplinkNote, Value: *load.Uplink})
	}
}

// Why a session is over: it has come to its end by itself, or its node says that its viewer has ended it or that it was
// moved.
const (
	WhyEnded          = "ended"
	WhyEndedElsewhere = "ended elsewhere"
)

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
	l.tell(policy.Result{ID: s.id, Node: n.name, Outcome: outcome, Final: final, Load: loadOf(load)})
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
