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

	"fordusher/connector"
	"fordusher/internal/timerqueue"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/shutdown"
)

// Tariff is a tariff under the name that players give it.
type Tariff struct {
	Name string
	policy.Tariff
}

// Options are how a director treats connections.
type Options struct {
	AnswerMargin          time.Duration // an answer is sent this long before the viewer's time is up
	Linger                time.Duration // a session outlives its player's connection so long
	ConnectTimeout        time.Duration // longest try to connect to a node
	SessionsPerConnection int           // sessions that one player's connection may have
	NoHello               bool          // nodes do not say which start they are in: a connection that is made is ready
	// Detached: what plays belongs to no connection, of a player or of a node. It outlives both, what concerns it may
	// come and be told on any, and a request's id is its session's own name. See detached.go.
	Detached bool
}

// Decider is what the loop asks about sessions: the module, or a baseline to measure it against.
type Decider interface {
	Step(now time.Duration, happened policy.Event) []policy.Action
}

// Loop is one director.
type Loop struct {
	name             string
	boot             string // tells this run of the director from others, in the names of sessions
	decider          Decider
	tariffs          []Tariff
	tariffIndex      map[string]int
	kindIndex        map[string]int
	ladder           policy.Ladder
	options          Options
	shutdownPolicy   shutdown.Policy
	connector        *connector.Connector
	connectorTimer   timerqueue.Handle // the one for connector
	connectorTimerAt time.Duration
	reconnectPolicy  connector.ReconnectPolicy
	limits           *limits.Limits
	queue            *limits.RequestQueue

	now           time.Duration
	outputs       []Output
	pendingEvents []policy.Event // what the module is still to be told in this step
	notifying     bool
	timers        timerQueue

	conns           map[uint64]*conn // emptied as connections close
	connsBySlot     []uint64         // connections by their small index; a place is used again
	freeSlots       []int32
	sessions        map[uint64]*session // emptied as sessions end and their last leg with them
	sessionsByKey   map[string]*session // emptied as sessions end
	legs            map[uint64]*leg     // emptied as legs end
	nodes           map[string]*node    // emptied as nodes leave the list and their last leg ends
	links           map[uint64]*node    // emptied as links end
	nodesByIndex    []*node             // by small index, for connector; a place is used again
	freeNodeIndexes []int
	titles          map[string]title // as long as the list's catalogue
	listReceived    bool             // a whole list has come

	rejectedConns  []uint64            // connections that were turned away last; emptied as they close
	undelivered    []undeliveredEnding // endings that no player's connection was there for; emptied as they are told, or grow old
	lastProvenConn uint64              // the connection on which a session that plays came last; 0: none

	lastSession, lastLeg, lastLink uint64

	owed, playing           int
	shutdown                *shutdown.Sequence
	ended                   bool
	closingClients          bool // clients' connections are being closed, and no more are accepted
	limitsPending           bool // the limits have more to do now
	counts                  Counts
	illegalTransitionLogged bool
	observer                func(Event)
	guardDisabled           bool // for tests that break a rule on purpose: attempts are sent whatever the guard says
}

// New starts a director. Boot is a word that no other run of this director has used.
func New(name, boot string, seed uint64, module Decider, tariffs []Tariff, kinds []string,
	ladder policy.Ladder, manners Options, pace connector.ReconnectPolicy, term shutdown.Policy, room limits.Capacity, queue limits.QueuePolicy) *Loop {
	l := &Loop{
		name: name, boot: boot, decider: module, tariffs: tariffs, ladder: ladder, options: manners, shutdownPolicy: term,
		tariffIndex: map[string]int{}, kindIndex: map[string]int{}, connector: connector.New(seed, pace), reconnectPolicy: pace,
		limits: limits.New(seed, room), queue: limits.NewRequestQueue(seed, queue),
		conns: map[uint64]*conn{}, sessions: map[uint64]*session{}, sessionsByKey: map[string]*session{},
		legs: map[uint64]*leg{}, nodes: map[string]*node{}, links: map[uint64]*node{},
		titles: map[string]title{},
	}
	for i, t := range tariffs {
		l.tariffIndex[t.Name] = i
	}
	for i, k := range kinds {
		l.kindIndex[k] = i
	}
	return l
}

// Counts are what a director has done since it started.
type Counts struct {
	Taken, Played, Nacked, Errored, Abandoned                             uint64 // requests, and how they ended
	Repeated, Adopted, RejectedByShutdown                                 uint64 // requests answered as before; sessions found again; turned away by a stop
	Legs, Retries                                                         uint64 // set-ups sent, and those beyond a session's first
	NeverRan                                                              [len(neverRanReasons)]uint64
	Overdue, IllegalTransitions, Unexpected, LateAnswers, UnknownMessages uint64
	SessionsLost                                                          uint64            // sessions that played and lost their node
	ClientsRejected, ClientsEvicted                                       uint64            // players not let in, and idle ones let go
	RequestsShed                                                          uint64            // requests that had waited too long for a loop that is behind
	Stalls                                                                uint64            // times that the loop was late by more than 100 ms
	RefusedByRule                                                         [ruleCount]uint64 // what the guard has refused, by rule
}

// ConnectionUsage tells how many players' connections there are, how many of them are busy, and the limits' mode.
func (l *Loop) ConnectionUsage() (used, busy int, mode limits.Mode) { return l.limits.Usage() }

// Counts returns what was counted, and what there is now.
func (l *Loop) Counts() (c Counts, owed, playing, legs, links int) {
	return l.counts, l.owed, l.playing, len(l.legs), len(l.links)
}

// Next is when Step wants a Tick at the latest.
func (l *Loop) Next() time.Duration {
	if l.ended {
		return math.MaxInt64
	}
	if l.limitsPending {
		return l.now
	}
	next := time.Duration(math.MaxInt64)
	if at, ok := l.timers.NextDeadline(); ok {
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
	l.now, l.outputs = max(now, l.now), l.outputs[:0]
	if l.ended {
		return nil
	}
	switch e := in.(type) {
	case ClientConnecting:
		l.clientConnecting(e)
	case ClientAccepted:
		if c := l.conns[e.Conn]; c != nil {
			l.stepLimits(limits.Event{Kind: limits.HandshakeDone, Conn: int(c.slot)})
			l.deliverUndelivered(c, l.now-anyClientDelay)
		}
	case MemoryUsage:
		l.stepLimits(limits.Event{Kind: limits.MemorySample, Memory: e.Bytes, Nodes: l.linkDescriptors()})
	case ClientReceived:
		l.clientReceived(e)
		if c := l.conns[e.Conn]; c != nil && l.closingClients {
			l.closeForShutdown(c, false) // with its answer: there would always be another request
		}
	case ClientLost:
		l.clientLost(e)
	case ClientInputEnded:
		l.inputEnded(e)
	case ClientStillActive:
		if c := l.conns[e.Conn]; c != nil {
			c.shutdownClose = false
		}
		if c := l.conns[e.Conn]; c != nil && c.closing && !c.rejected {
			c.closing = false
			l.stepLimits(limits.Event{Kind: limits.EvictionCancelled, Conn: int(c.slot)})
		}
	case ClientAlive:
		if c := l.conns[e.Conn]; c != nil {
			l.stepLimits(limits.Event{Kind: limits.Received, Conn: int(c.slot), Age: e.IdleFor})
		}
	case LinkConnected:
		l.linkConnected(e)
	case LinkFailed:
		l.linkFailed(e)
	case LinkReceived:
		l.linkReceived(e)
	case LinkAlive:
		l.linkAlive(e)
	case LinkLost:
		l.linkLost(e)
	case Withdrawn:
		if g := l.legs[e.Leg]; g != nil && g.phase == legSent {
			l.endLeg(g, outcomeWithdrawn, nil)
		}
	case DiscoveryConnected:
		l.emit(SendDiscovery{wire.DiscoveryMessage{Type: wire.Subscribe, Director: l.name}})
	case DiscoveryReceived:
		l.discoveryReceived(e.Message)
	case DiscoveryLost:
	case Stop:
		if l.shutdown == nil {
			l.shutdown = shutdown.Start(l.now, l.shutdownPolicy)
			if !l.options.Detached { // there a connection is no more than the way for a request, which is told to come again
				l.stepLimits(limits.Event{Kind: limits.Draining})
			}
			l.log("closing: %d answers owed, %d sessions play, ended within %v", l.owed, l.playing, l.shutdownPolicy.Timeout)
			l.stepShutdown()
		}
	case Tick:
	}
	l.runDueTimers()
	// The work on idle connections comes in slices, one a tick: all that is in the inbox goes first.
	if _, tick := in.(Tick); tick && !l.ended {
		if at, ok := l.limits.NextTimer(); l.limitsPending || ok && at <= l.now {
			l.stepLimits(limits.Event{Kind: limits.TimerFired})
		}
	}
	return l.outputs
}

func (l *Loop) emit(o Output) { l.outputs = append(l.outputs, o) }

func (l *Loop) log(format string, figures ...any) { l.emit(Log{fmt.Sprintf(format, figures...)}) }

// notifyDecider hands the module an event and carries out its answer. What becomes true while that is done is
// told once it is done, in order: the module is never asked within its own answer.
func (l *Loop) notifyDecider(e policy.Event) {
	l.pendingEvents = append(l.pendingEvents, e)
	if l.notifying {
		return
	}
	l.notifying = true
	for len(l.pendingEvents) > 0 {
		next := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		for _, a := range l.decider.Step(l.now, next) {
			l.applyAction(a)
		}
	}
	l.pendingEvents, l.notifying = l.pendingEvents[:0], false
}

// applyAction does what the module has decided.
func (l *Loop) applyAction(a policy.Action) {
	switch a := a.(type) {
	case policy.Dispatch:
		l.dispatch(a)
	case policy.SetRung:
		l.applyRate(a)
	case policy.Nack:
		if s := l.sessions[a.ID]; s != nil && !s.answered {
			l.answerNack(s, a.Backoff, "no room")
			l.closeSession(s)
		}
	case policy.Fail:
		if s := l.sessions[a.ID]; s != nil && !s.answered {
			l.answerError(s, "set-up did not succeed")
			l.closeSession(s)
		}
	case policy.SetTimer:
		l.timers.Add(a.At, timer{timerPolicy, 0})
	case policy.PollServerList:
		l.emit(SendDiscovery{wire.DiscoveryMessage{Type: wire.Subscribe, Director: l.name}})
	case policy.Log:
		l.emit(Log{a.Message})
	}
}

// sessionName is a session's name for players and nodes.
func (l *Loop) sessionName(id uint64) string {
	return l.name + "." + l.boot + "." + strconv.FormatUint(id, 36)
}
