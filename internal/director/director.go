// Package director is a director's own loop: it takes what happened on its connections and what time it
// is, keeps the account of every session and leg, asks the module (package policy) what is to be done, and
// returns what is to be sent. It opens no socket, reads no clock and starts no goroutine, so the same loop
// runs in the daemon, in virtual time and one step at a time in tests.
//
// A session's life, and a leg's, each of which is a small machine whose moves are counted:
//
//	session   held     taken, no leg out                -> setting, over
//	          setting  a leg is out                     -> held, playing, over
//	          playing  the viewer has its answer        -> over
//	leg       waiting  its node is being connected to   -> sent, over
//	          sent     set-up handed to the connection  -> playing, over
//	          playing  the node has accepted            -> over
//
// A move that is not in the table is counted and logged once; the loop goes on with what is true.
package director

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"fordusher/closing"
	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/reach"
)

// Input is something that happened: one of the types below that have an input method.
type Input interface{ input() }

// The inputs. Conn numbers a player's connection, Link one connection to a node; the caller picks both
// numbers and never uses one twice.
type (
	// PlayerKnocked says that a player wants to connect; Welcome or TurnAway answers it.
	PlayerKnocked struct {
		Conn    uint64
		Address netip.Addr
	}
	// PlayerOpened says that a player who was welcome has connected.
	PlayerOpened struct{ Conn uint64 }
	// Memory is what the program uses now, in bytes.
	Memory struct{ Bytes int64 }
	// PlayerSaid is a message from a player that has waited for the loop for so long. A request may bring
	// more than the message holds.
	PlayerSaid struct {
		Conn    uint64
		Message wire.Session
		Waited  time.Duration
		Brought *Brought
	}
	// PlayerStays says that a player whom an idle ClosePlayer was meant for has said something meanwhile.
	PlayerStays struct{ Conn uint64 }
	// PlayerClosed says that a player's connection has ended, and why, for logs.
	PlayerClosed struct {
		Conn   uint64
		Reason string
	}
	// ClientInputEnded says that nothing more can be read from a player's connection, and why: what came before it
	// can still be answered.
	ClientInputEnded struct {
		Conn   uint64
		Reason string
	}
	// LinkMade says that a Connect succeeded.
	LinkMade struct {
		Node string
		Link uint64
	}
	// LinkFailed says that a Connect failed; nothing was sent on it. Refused: the machine answers, and
	// nothing runs there. Crowded: it could not be tried for trouble of this machine (descriptors, memory, ports, its own network).
	LinkFailed struct {
		Node    string
		Link    uint64
		Refused bool
		Crowded bool
	}
	// LinkSaid is a message from a node, with what describes the session where it is accepted.
	LinkSaid struct {
		Link        uint64
		Message     wire.Node
		Description []byte
	}
	// LinkAlive says how long ago anything last came from a node.
	LinkAlive struct {
		Link  uint64
		Quiet time.Duration
	}
	// PlayerAlive says how long ago anything last came from a player.
	PlayerAlive struct {
		Conn  uint64
		Quiet time.Duration
	}
	// LinkLost says that a connection to a node has ended. Unsent are the legs whose set-up was never
	// handed to the kernel, not one byte of it.
	LinkLost struct {
		Link   uint64
		Unsent []uint64
		Reason string // for logs
	}
	// Withdrawn says that a leg's set-up was taken back before one byte of it was handed to the kernel.
	Withdrawn struct{ Leg uint64 }
	// ListOpened says that the list's source is connected.
	ListOpened struct{}
	// ListSaid is a message from the list.
	ListSaid struct{ Message wire.List }
	// ListLost says that the list's source is gone; the last list stays in force.
	ListLost struct{}
	// Tick says that the time asked for by Next has come.
	Tick struct{}
	// Stop orders the director to end as package closing decides.
	Stop struct{}
)

func (PlayerKnocked) input()    {}
func (PlayerOpened) input()     {}
func (Memory) input()           {}
func (PlayerSaid) input()       {}
func (PlayerClosed) input()     {}
func (PlayerStays) input()      {}
func (ClientInputEnded) input() {}
func (LinkMade) input()         {}
func (LinkFailed) input()       {}
func (LinkSaid) input()         {}
func (LinkAlive) input()        {}
func (PlayerAlive) input()      {}
func (LinkLost) input()         {}
func (Withdrawn) input()        {}
func (ListOpened) input()       {}
func (ListSaid) input()         {}
func (ListLost) input()         {}
func (Tick) input()             {}
func (Stop) input()             {}

// Brought is what a request brings along where no catalogue says it.
type Brought struct {
	Base, Copies int    // where its title lies
	Description  []byte // of the session, for the node: passed on as it is
	Playing      string // the node, where the session plays already; no answer is owed then
	Wrong        string // why the request can't be used; empty: it can
}

// Output is something to be done: one of the types below that have an output method.
type Output interface{ output() }

// The outputs.
type (
	// TellPlayer sends a message to a player. A rung that was told may be dropped, or replaced by a later
	// one of the same Merge that finds it still waiting; an answer never.
	TellPlayer struct {
		Conn        uint64
		Message     wire.Session
		Merge       uint64
		Description []byte // of an answer that it plays, as the node gave it
	}
	// Welcome lets a player in who has knocked.
	Welcome struct{ Conn uint64 }
	// TurnAway does not, and says when to come back.
	TurnAway struct {
		Conn  uint64
		Retry time.Duration
		Why   string
	}
	// ClosePlayer ends a player's connection, with the code of RFC 6455 and a reason; code 0 cuts it. Idle: only
	// because nothing is to be done for it; PlayerStays answers where something it said is still on its way here.
	ClosePlayer struct {
		Conn uint64
		Code int
		Why  string
		Idle bool
	}
	// Connect asks for a connection to a node; LinkMade or LinkFailed answers it within the time.
	Connect struct {
		Node, Address string
		Link          uint64
		Within        time.Duration
	}
	// TellNode sends a message to a node. Setup is the leg where the message sets one up, else 0.
	TellNode struct {
		Link        uint64
		Setup       uint64
		Message     wire.Node
		Description []byte // of a set-up, as the player gave it
	}
	// Withdraw asks for a leg's set-up back, if not one byte of it was handed to the kernel yet;
	// Withdrawn answers if it worked, nothing if not.
	Withdraw struct{ Link, Leg uint64 }
	// AskAlive pings a node; LinkAlive answers at once with how long it has been quiet.
	AskAlive struct{ Link uint64 }
	// AskPlayerAlive pings a player; PlayerAlive answers at once with how long it has been quiet.
	AskPlayerAlive struct{ Conn uint64 }
	// HangUp ends the connection to a node.
	HangUp struct{ Link uint64 }
	// TellList sends a message to the list's source.
	TellList struct{ Message wire.List }
	// Log is a line for those on call.
	Log struct{ Words string }
	// StopAccepting ends the listener: who connects from now on is refused by the system.
	StopAccepting struct{}
	// Ended says that a director ordered to stop has nothing left to do.
	Ended struct{}
)

func (Welcome) output()        {}
func (TurnAway) output()       {}
func (TellPlayer) output()     {}
func (ClosePlayer) output()    {}
func (Connect) output()        {}
func (TellNode) output()       {}
func (Withdraw) output()       {}
func (AskAlive) output()       {}
func (AskPlayerAlive) output() {}
func (HangUp) output()         {}
func (TellList) output()       {}
func (Log) output()            {}
func (StopAccepting) output()  {}
func (Ended) output()          {}

// Tariff is a tariff under the name that players give it.
type Tariff struct {
	Name string
	policy.Tariff
}

// Manners are how a director treats connections.
type Manners struct {
	AnswerAhead   time.Duration // an answer is sent this long before the viewer's time is up
	Linger        time.Duration // a session outlives its player's connection so long
	Connect       time.Duration // longest try to connect to a node
	PerConnection int           // sessions that one player's connection may have
	Greetless     bool          // nodes do not say which start they are in: a connection that is made is ready
	// Loose: what plays belongs to no connection, of a player or of a node. It outlives both, what concerns it may
	// come and be told on any, and a request's id is its session's own name. See loose.go.
	Loose bool
}

// Decider is what the loop asks about sessions: the module, or a baseline to measure it against.
type Decider interface {
	Step(now time.Duration, happened policy.Event) []policy.Action
}

// Loop is one director.
type Loop struct {
	name    string
	boot    string // tells this run of the director from others, in the names of sessions
	module  Decider
	tariffs []Tariff
	tariff  map[string]int
	kind    map[string]int
	ladder  policy.Ladder
	manners Manners
	term    closing.Term
	reach   *reach.Reach
	ring    alarm.Handle // the one for reach
	ringAt  time.Duration
	pace    reach.Pace
	limits  *limits.Limits
	line    *limits.Line

	now     time.Duration
	out     []Output
	pending []policy.Event // what the module is still to be told in this step
	telling bool
	timers  timers

	conns    map[uint64]*conn // emptied as connections close
	seats    []uint64         // connections by their small index; a place is used again
	unseated []int32
	sessions map[uint64]*session // emptied as sessions end and their last leg with them
	keys     map[string]*session // emptied as sessions end
	legs     map[uint64]*leg     // emptied as legs end
	nodes    map[string]*node    // emptied as nodes leave the list and their last leg ends
	links    map[uint64]*node    // emptied as links end
	places   []*node             // by small index, for reach; a place is used again
	free     []int
	titles   map[string]title // as long as the list's catalogue
	listed   bool             // a whole list has come

	turned  []uint64 // connections that were turned away last; emptied as they close
	untold  []untold // endings that no player's connection was there for; emptied as they are told, or grow old
	trusted uint64   // the connection on which a session that plays came last; 0: none

	lastSession, lastLeg, lastLink uint64

	owed, playing int
	stop          *closing.Closing
	ended         bool
	parting       bool // clients' connections are being closed, and no more are accepted
	more          bool // the limits have more to do now
	counts        Counts
	oddMove       bool
	observer      func(Event)
	unguarded     bool // for tests that break a rule on purpose: attempts are sent whatever the guard says
}

// New starts a director. Boot is a word that no other run of this director has used.
func New(name, boot string, seed uint64, module Decider, tariffs []Tariff, kinds []string,
	ladder policy.Ladder, manners Manners, pace reach.Pace, term closing.Term, room limits.Room, queue limits.Queue) *Loop {
	l := &Loop{
		name: name, boot: boot, module: module, tariffs: tariffs, ladder: ladder, manners: manners, term: term,
		tariff: map[string]int{}, kind: map[string]int{}, reach: reach.New(seed, pace), pace: pace,
		limits: limits.New(seed, room), line: limits.NewLine(seed, queue),
		conns: map[uint64]*conn{}, sessions: map[uint64]*session{}, keys: map[string]*session{},
		legs: map[uint64]*leg{}, nodes: map[string]*node{}, links: map[uint64]*node{},
		titles: map[string]title{},
	}
	for i, t := range tariffs {
		l.tariff[t.Name] = i
	}
	for i, k := range kinds {
		l.kind[k] = i
	}
	return l
}

// Counts are what a director has done since it started.
type Counts struct {
	Taken, Played, Nacked, Errored, Gone   uint64 // requests, and how they ended
	Repeated, Adopted, Closing             uint64 // requests answered as before; sessions found again; turned away by a stop
	Legs, Further                          uint64 // set-ups sent, and those beyond a session's first
	NeverRan                               [len(proofWords)]uint64
	Overdue, OddMove, Stray, Late, BadWord uint64
	Broken                                 uint64        // sessions that played and lost their node
	TurnedAway, LetGo                      uint64        // players not let in, and idle ones let go
	Pressed                                uint64        // requests that had waited too long for a loop that is behind
	Stalls                                 uint64        // times that the loop was late by more than 100 ms
	Refused                                [rules]uint64 // what the guard has refused, by rule
}

// Room tells how many players' connections there are, how many of them are busy, and the limits' mode.
func (l *Loop) Room() (used, busy int, mode limits.Mode) { return l.limits.Use() }

// Counts returns what was counted, and what there is now.
func (l *Loop) Counts() (c Counts, owed, playing, legs, links int) {
	return l.counts, l.owed, l.playing, len(l.legs), len(l.links)
}

// Next is when Step wants a Tick at the latest.
func (l *Loop) Next() time.Duration {
	if l.ended {
		return math.MaxInt64
	}
	if l.more {
		return l.now
	}
	next := time.Duration(math.MaxInt64)
	if at, ok := l.timers.First(); ok {
		next = at
	}
	if at, ok := l.limits.Next(); ok {
		next = min(next, at)
	}
	return next
}

// Step takes what happened at a time, works off what is due, and returns what is to be done, in order.
// What happened comes before what is due, so an answer that is there when its time runs out still counts.
func (l *Loop) Step(now time.Duration, in Input) []Output {
	l.now, l.out = max(now, l.now), l.out[:0]
	if l.ended {
		return nil
	}
	switch e := in.(type) {
	case PlayerKnocked:
		l.knocked(e)
	case PlayerOpened:
		if c := l.conns[e.Conn]; c != nil {
			l.limit(limits.Event{What: limits.Shook, Conn: int(c.seat)})
			l.tellUntold(c, l.now-strangersAfter)
		}
	case Memory:
		l.limit(limits.Event{What: limits.Measure, Memory: e.Bytes, Nodes: l.linkSockets()})
	case PlayerSaid:
		l.playerSaid(e)
		if c := l.conns[e.Conn]; c != nil && l.parting {
			l.partFrom(c, false) // with its answer: there would always be another request
		}
	case PlayerClosed:
		l.playerClosed(e)
	case ClientInputEnded:
		l.inputEnded(e)
	case PlayerStays:
		if c := l.conns[e.Conn]; c != nil {
			c.parting = false
		}
		if c := l.conns[e.Conn]; c != nil && c.leaving && !c.turned {
			c.leaving = false
			l.limit(limits.Event{What: limits.Stays, Conn: int(c.seat)})
		}
	case PlayerAlive:
		if c := l.conns[e.Conn]; c != nil {
			l.limit(limits.Event{What: limits.Heard, Conn: int(c.seat), Ago: e.Quiet})
		}
	case LinkMade:
		l.linkMade(e)
	case LinkFailed:
		l.linkFailed(e)
	case LinkSaid:
		l.linkSaid(e)
	case LinkAlive:
		l.linkAlive(e)
	case LinkLost:
		l.linkLost(e)
	case Withdrawn:
		if g := l.legs[e.Leg]; g != nil && g.phase == legSent {
			l.legEnds(g, fateWithdrawn, nil)
		}
	case ListOpened:
		l.do(TellList{wire.List{Type: wire.Listen, Director: l.name}})
	case ListSaid:
		l.listSaid(e.Message)
	case ListLost:
	case Stop:
		if l.stop == nil {
			l.stop = closing.Begin(l.now, l.term)
			if !l.manners.Loose { // there a connection is no more than the way for a request, which is told to come again
				l.limit(limits.Event{What: limits.Draining})
			}
			l.log("closing: %d answers owed, %d sessions play, ended within %v", l.owed, l.playing, l.term.Within)
			l.close()
		}
	case Tick:
	}
	l.due()
	// The work on idle connections comes in slices, one a tick: all that is in the inbox goes first.
	if _, tick := in.(Tick); tick && !l.ended {
		if at, ok := l.limits.Next(); l.more || ok && at <= l.now {
			l.limit(limits.Event{What: limits.Ring})
		}
	}
	return l.out
}

func (l *Loop) do(o Output) { l.out = append(l.out, o) }

func (l *Loop) log(format string, figures ...any) { l.do(Log{fmt.Sprintf(format, figures...)}) }

// stalled is how late the loop may be before it counts as having stood still.
const stalled = 100 * time.Millisecond

// due works off the timers whose time has come, in the order of their times. After a stall of the process
// answers come first, those whose hard stop was first before the others.
func (l *Loop) due() {
	isDue := func() bool {
		at, ok := l.timers.First()
		return ok && at <= l.now
	}
	if at, ok := l.timers.First(); ok && l.now-at > stalled {
		l.counts.Stalls++
		var late []due
		for isDue() {
			late = append(late, l.timers.Pop())
		}
		slices.SortStableFunc(late, func(a, b due) int { return cmp.Compare(l.urgency(a), l.urgency(b)) })
		for _, t := range late {
			if !l.ended {
				l.fire(t)
			}
		}
	}
	for isDue() && !l.ended {
		l.fire(l.timers.Pop())
	}
}

// urgency is the hard stop that a timer serves; one that serves none comes last.
func (l *Loop) urgency(t due) time.Duration {
	switch t.kind {
	case timerLeg:
		if g := l.legs[t.id]; g != nil {
			return g.session.stop
		}
	case timerAnswer:
		if s := l.sessions[t.id]; s != nil {
			return s.stop
		}
	}
	return math.MaxInt64
}

func (l *Loop) fire(t due) {
	switch t.kind {
	case timerRing:
		l.tell(policy.Ring{})
	case timerLeg:
		if g := l.legs[t.id]; g != nil {
			l.legOverdue(g)
		}
	case timerAnswer:
		if s := l.sessions[t.id]; s != nil {
			l.answerOverdue(s)
		}
	case timerLinger:
		if s := l.sessions[t.id]; s != nil {
			l.gone(s, "the client did not come again")
		}
	case timerReach:
		l.ring = 0
		l.reached(reach.Event{What: reach.Ring})
	case timerPing:
		if n := l.links[t.id]; n != nil && n.up && n.link == t.id {
			l.do(AskAlive{t.id})
			n.ping = l.timers.Add(l.now+l.pace.Ping, due{timerPing, t.id})
		}
	case timerIdle:
		if n := l.links[t.id]; n != nil && n.up && n.link == t.id {
			l.idled(n)
		}
	case timerClose:
		l.close()
	case timerUntold:
		l.tellStrangers()
	case timerTurned:
		if c := l.conns[t.id]; c != nil && c.turned {
			l.closeClient(ClosePlayer{Conn: t.id, Code: 1013, Why: "no room"})
		}
	}
}

// tell hands the module an event and carries out its answer. What becomes true while that is done is
// told once it is done, in order: the module is never asked within its own answer.
func (l *Loop) tell(e policy.Event) {
	l.pending = append(l.pending, e)
	if l.telling {
		return
	}
	l.telling = true
	for len(l.pending) > 0 {
		next := l.pending[0]
		l.pending = l.pending[1:]
		for _, a := range l.module.Step(l.now, next) {
			l.carryOut(a)
		}
	}
	l.pending, l.telling = l.pending[:0], false
}

// carryOut does what the module has decided.
func (l *Loop) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.Dispatch:
		l.dispatch(a)
	case policy.Rate:
		l.rate(a)
	case policy.Nack:
		if s := l.sessions[a.ID]; s != nil && !s.answered {
			l.nack(s, a.Backoff, "no room")
			l.closeSession(s)
		}
	case policy.Fail:
		if s := l.sessions[a.ID]; s != nil && !s.answered {
			l.errored(s, "set-up did not succeed")
			l.closeSession(s)
		}
	case policy.Schedule:
		l.timers.Add(a.At, due{timerRing, 0})
	case policy.Listen:
		l.do(TellList{wire.List{Type: wire.Listen, Director: l.name}})
	case policy.Log:
		l.do(Log{a.Words})
	}
}

// logInvariants says at the end what the guard has refused.
func (l *Loop) logInvariants() {
	total := uint64(0)
	for _, n := range l.counts.Refused {
		total += n
	}
	l.log("invariants: %d violations refused by the guard, %d requests taken", total, l.counts.Taken)
}

// close works on a stop under way.
func (l *Loop) close() {
	plan := l.stop.Step(l.now, closing.Left{Owed: l.owed, Playing: l.playing, Clients: len(l.conns)})
	if plan.Part {
		l.part(plan.Done)
	}
	if plan.Done && l.mayStop() {
		l.ended = true
		l.logInvariants()
		l.do(Ended{})
		return
	}
	if plan.End > 0 || plan.GiveUp {
		for _, s := range sorted(l.sessions) {
			switch {
			case s.phase == playing && plan.End > 0:
				plan.End--
				l.over(s, "director closes")
				l.gone(s, "director closes")
			case s.phase != playing && plan.GiveUp && !s.answered:
				l.answerOverdue(s)
			}
		}
	}
	l.timers.Add(plan.Again, due{timerClose, 0})
}

// part closes the clients' connections on which nothing more is to come. One on which something was read meanwhile stays,
// unless this is the last look, and is closed once that is answered.
func (l *Loop) part(last bool) {
	if !l.parting {
		l.parting = true
		l.do(StopAccepting{})
	}
	for _, c := range sorted(l.conns) {
		if !c.parting || last {
			l.partFrom(c, last)
		}
	}
}

func (l *Loop) partFrom(c *conn, last bool) {
	c.parting = l.closeClient(ClosePlayer{Conn: c.number, Code: 1001, Why: "director closes", Idle: !last})
}

// sessionName is a session's name for players and nodes.
func (l *Loop) sessionName(id uint64) string {
	return l.name + "." + l.boot + "." + strconv.FormatUint(id, 36)
}
