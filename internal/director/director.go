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
	"fmt"
	"math"
	"strconv"
	"time"

	"fordusher/closing"
	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/reach"
)

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
	term    closing.Policy
	reach   *reach.Connector
	ring    alarm.Handle // the one for reach
	ringAt  time.Duration
	pace    reach.ReconnectPolicy
	limits  *limits.Limits
	line    *limits.RequestQueue

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
	stop          *closing.Sequence
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
	ladder policy.Ladder, manners Manners, pace reach.ReconnectPolicy, term closing.Policy, room limits.Capacity, queue limits.QueuePolicy) *Loop {
	l := &Loop{
		name: name, boot: boot, module: module, tariffs: tariffs, ladder: ladder, manners: manners, term: term,
		tariff: map[string]int{}, kind: map[string]int{}, reach: reach.New(seed, pace), pace: pace,
		limits: limits.New(seed, room), line: limits.NewRequestQueue(seed, queue),
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
func (l *Loop) Room() (used, busy int, mode limits.Mode) { return l.limits.Usage() }

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
	if at, ok := l.limits.NextTimer(); ok {
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
	case ClientConnecting:
		l.knocked(e)
	case ClientAccepted:
		if c := l.conns[e.Conn]; c != nil {
			l.limit(limits.Event{Kind: limits.HandshakeDone, Conn: int(c.seat)})
			l.tellUntold(c, l.now-strangersAfter)
		}
	case Memory:
		l.limit(limits.Event{Kind: limits.MemorySample, Memory: e.Bytes, Nodes: l.linkSockets()})
	case ClientReceived:
		l.playerSaid(e)
		if c := l.conns[e.Conn]; c != nil && l.parting {
			l.partFrom(c, false) // with its answer: there would always be another request
		}
	case ClientLost:
		l.playerClosed(e)
	case ClientInputEnded:
		l.inputEnded(e)
	case ClientStays:
		if c := l.conns[e.Conn]; c != nil {
			c.parting = false
		}
		if c := l.conns[e.Conn]; c != nil && c.leaving && !c.turned {
			c.leaving = false
			l.limit(limits.Event{Kind: limits.EvictionCancelled, Conn: int(c.seat)})
		}
	case ClientAlive:
		if c := l.conns[e.Conn]; c != nil {
			l.limit(limits.Event{Kind: limits.Received, Conn: int(c.seat), Age: e.Quiet})
		}
	case LinkConnected:
		l.linkMade(e)
	case LinkFailed:
		l.linkFailed(e)
	case LinkReceived:
		l.linkSaid(e)
	case LinkAlive:
		l.linkAlive(e)
	case LinkLost:
		l.linkLost(e)
	case Withdrawn:
		if g := l.legs[e.Leg]; g != nil && g.phase == legSent {
			l.legEnds(g, fateWithdrawn, nil)
		}
	case DiscoveryConnected:
		l.do(SendDiscovery{wire.List{Type: wire.Listen, Director: l.name}})
	case DiscoveryReceived:
		l.listSaid(e.Message)
	case DiscoveryLost:
	case Stop:
		if l.stop == nil {
			l.stop = closing.Start(l.now, l.term)
			if !l.manners.Loose { // there a connection is no more than the way for a request, which is told to come again
				l.limit(limits.Event{Kind: limits.Draining})
			}
			l.log("closing: %d answers owed, %d sessions play, ended within %v", l.owed, l.playing, l.term.Timeout)
			l.close()
		}
	case Tick:
	}
	l.due()
	// The work on idle connections comes in slices, one a tick: all that is in the inbox goes first.
	if _, tick := in.(Tick); tick && !l.ended {
		if at, ok := l.limits.NextTimer(); l.more || ok && at <= l.now {
			l.limit(limits.Event{Kind: limits.TimerFired})
		}
	}
	return l.out
}

func (l *Loop) do(o Output) { l.out = append(l.out, o) }

func (l *Loop) log(format string, figures ...any) { l.do(Log{fmt.Sprintf(format, figures...)}) }

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
	case policy.SetRung:
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
	case policy.SetTimer:
		l.timers.Add(a.At, due{timerRing, 0})
	case policy.PollServerList:
		l.do(SendDiscovery{wire.List{Type: wire.Listen, Director: l.name}})
	case policy.Log:
		l.do(Log{a.Message})
	}
}

// sessionName is a session's name for players and nodes.
func (l *Loop) sessionName(id uint64) string {
	return l.name + "." + l.boot + "." + strconv.FormatUint(id, 36)
}
