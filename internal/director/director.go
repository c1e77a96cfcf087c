// Package director is the event loop of one director. Loop.Step takes an Input, such as a message from a client,
// together with the current time. It keeps the state of every session and of every leg (an attempt of a session at a
// node), asks its decider (package policy) what to do, and returns Outputs: what the caller is to send, open or close.
// It opens no socket, reads no clock and starts no goroutine, so the same loop runs in the daemon, in virtual time and
// one step at a time in tests.
//
// Sessions and legs are state machines:
//
//	session   waiting     taken, no leg in progress           -> setting up, over
//	          setting up  a leg is in progress                -> waiting, playing, over
//	          playing     the client has its answer           -> over
//	leg       waiting     its node's connection is not ready  -> sent, over
//	          sent        set-up passed to the connection     -> playing, over
//	          playing     the node has accepted               -> over
//
// A transition that the table does not allow is counted, and the first one is logged; the loop carries it out all
// the same.
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

// A Tariff is a tariff of package policy with the name that clients use for it.
type Tariff struct {
	Name string
	policy.Tariff
}

// Options are the protocol options of a director.
type Options struct {
	AnswerMargin          time.Duration // an answer is sent this long before the client's waiting time ends
	Linger                time.Duration // how long a session outlives its client's connection
	ConnectTimeout        time.Duration // time limit of one attempt to connect to a node
	SessionsPerConnection int           // most sessions of one client connection
	MaxKeptEnds           int           // most ends of one kind that are kept; 0 or more than maxKeptEnds: maxKeptEnds
	NoHello               bool          // nodes send no hello with their incarnation: an established connection is ready
	// Detached: a playing session is independent of client and node connections. It outlives both, messages about it
	// may arrive and be sent on any connection, and a request's id is also its session's name. See detached.go.
	Detached bool
}

// A Decider makes the decisions on sessions: package policy, or a baseline that it is measured against.
type Decider interface {
	Step(now time.Duration, event policy.Event) []policy.Action
}

// A Loop is a director, that is, one instance of the program, without its I/O. All directors together are the fleet.
type Loop struct {
	name             string
	boot             string // identifies this run of the director in session names
	decider          Decider
	tariffs          []Tariff
	tariffIndex      map[string]int
	kindIndex        map[string]int
	ladder           policy.Ladder
	options          Options
	shutdownPolicy   shutdown.Policy
	connector        *connector.Connector
	connectorTimer   timerqueue.Handle // the pending timer of connector; 0: none
	connectorTimerAt time.Duration
	reconnectPolicy  connector.ReconnectPolicy
	limits           *limits.Limits
	queue            *limits.RequestQueue

	now           time.Duration
	outputs       []Output
	pendingEvents []policy.Event // events that the decider has not received yet in this step
	notifying     bool           // notifyDecider is running
	timers        timerQueue

	conns           map[uint64]*conn // emptied as connections close
	connsBySlot     []uint64         // connection ids by slot; slots are reused
	freeSlots       []int32
	sessions        map[uint64]*session // emptied as sessions end and their last leg with them
	sessionsByKey   map[string]*session // emptied as sessions end
	legs            map[uint64]*leg     // emptied as legs end
	nodes           map[string]*node    // emptied as nodes leave the list and their last leg ends
	addresses       addressTable        // which node has which address, by discovery
	links           map[uint64]*node    // emptied as links end
	closingLinks    map[uint64]*node    // links that the loop has closed, while they are still read
	nodesByIndex    []*node             // nodes by their index for connector; indexes are reused
	freeNodeIndexes []int
	titles          map[string]title // catalogue of the server list
	listReceived    bool             // a full list has been received

	rejectedConns  []uint64            // most recently rejected connections; emptied as they close
	sentEndings    []sentEnding        // endings that may not have been read, the oldest first
	undelivered    []undeliveredEnding // endings without a connection to notify; emptied as they are sent or expire
	lastEndSentAt  time.Duration       // when the last ending was passed to a connection; 0: none was
	lastProvenConn uint64              // connection of the latest session to start playing; 0: none

	// Ends of sessions in detached mode: of unknown sessions, from nodes and from clients, and of the loop's own.
	nodeEnds, clientEnds, ownEnds keptEnds

	lastSession, lastLeg, lastLink uint64 // the latest ids

	owed, playing           int   // answers owed, sessions playing
	owedBytes               int64 // memory of the requests whose answers are owed
	shutdown                *shutdown.Sequence
	ended                   bool
	closingClients          bool // client connections are being closed, and new ones are not accepted
	limitsPending           bool // the limits have more work that is due now
	counts                  Counts
	illegalTransitionLogged bool
	observer                func(Event)
	guardDisabled           bool // for tests that violate a rule on purpose: legs are sent without asking the guard
}

// New returns a director without connections. Boot must differ from that of every other run of this director.
func New(name, boot string, seed uint64, decider Decider, tariffs []Tariff, kinds []string,
	ladder policy.Ladder, options Options, reconnectPolicy connector.ReconnectPolicy, shutdownPolicy shutdown.Policy,
	capacity limits.Capacity, queue limits.QueuePolicy) *Loop {
	l := &Loop{
		name: name, boot: boot, decider: decider, tariffs: tariffs, ladder: ladder, options: options, shutdownPolicy: shutdownPolicy,
		tariffIndex: map[string]int{}, kindIndex: map[string]int{},
		connector: connector.New(seed, reconnectPolicy), reconnectPolicy: reconnectPolicy,
		limits: limits.New(seed, capacity), queue: limits.NewRequestQueue(seed, queue),
		conns: map[uint64]*conn{}, sessions: map[uint64]*session{}, sessionsByKey: map[string]*session{},
		legs: map[uint64]*leg{}, nodes: map[string]*node{}, addresses: newAddressTable(), links: map[uint64]*node{}, closingLinks: map[uint64]*node{},
		titles: map[string]title{}, nodeEnds: newKeptEnds(), clientEnds: newKeptEnds(), ownEnds: newKeptEnds(),
	}
	for i, t := range tariffs {
		l.tariffIndex[t.Name] = i
	}
	for i, k := range kinds {
		l.kindIndex[k] = i
	}
	for _, kept := range []*keptEnds{&l.nodeEnds, &l.clientEnds, &l.ownEnds} {
		kept.limit = l.maxKeptEnds()
	}
	return l
}

// Counts are a director's counters since it started.
type Counts struct {
	// Requests taken, and requests by their outcome.
	Taken, Played, Nacked, Errored, Abandoned uint64
	// Repetitions of requests, sessions resumed or adopted, and requests refused by shutdown.
	Repeated, Adopted, RejectedByShutdown uint64
	// Legs, and those beyond a session's first.
	Legs, Retries uint64
	// Legs that provably never ran, by proof.
	NeverRan [len(neverRanReasons)]uint64
	// Overdue counts requests that the decider had not answered by their deadline, Unexpected messages and decisions
	// that can't be acted on, and LateAnswers answers of nodes for legs or sessions that already have one.
	Overdue, IllegalTransitions, Unexpected, LateAnswers, UnknownMessages uint64

	AdoptionsRefused                uint64            // sessions that were not adopted for lack of room
	SessionsLost                    uint64            // playing sessions that lost their node
	EndedEarly                      uint64            // sessions handed over after their end
	EndingsRepeated                 uint64            // ends sent again, because their connection ended
	ClientsRejected, ClientsEvicted uint64            // client connections rejected, and idle ones evicted
	RequestsShed                    uint64            // requests that had waited too long for an overloaded loop
	Stalls                          uint64            // times that a timer ran more than 100 ms late
	RefusedByRule                   [ruleCount]uint64 // violations that the guard prevented, by rule
	Dropped                         [dropReasonCount]uint64
}

// ConnectionUsage returns the number of client connections, how many of them are busy, and the mode of the limits.
func (l *Loop) ConnectionUsage() (used, busy int, mode limits.Mode) { return l.limits.Usage() }

// Counts returns the counters, and the current numbers of owed answers, playing sessions, legs and node connections.
func (l *Loop) Counts() (c Counts, owed, playing, legs, links int) {
	return l.counts, l.owed, l.playing, len(l.legs), len(l.links)
}

// Next returns the time by which Step needs the next Tick.
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

// Step processes one input at the given time, runs the timers that are due, and returns the outputs in order.
// The input comes before the timers, so a node's answer that arrives at its deadline still counts.
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
		l.stepLimits(limits.Event{Kind: limits.MemorySample, Memory: e.Bytes, NodeDescriptors: l.linkDescriptors()})
	case ClientReceived:
		l.clientReceived(e)
		if c := l.conns[e.Conn]; c != nil && l.closingClients {
			l.closeForShutdown(c, false) // along with the answer: the client might always send another request
		}
	case ClientLost:
		l.clientLost(e)
	case ClientDeparted:
		if c := l.conns[e.Conn]; c != nil && l.options.Linger == 0 {
			l.abandonRequests(c, "client connection ended by the client")
		}
	case ClientInputEnded:
		l.inputEnded(e)
	case ClientInputInvalid:
		l.inputInvalid(e)
	case ClientStalled:
		l.clientStalled(e)
	case EndingNotSent:
		l.endingNotSent(e)
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
			if !l.options.Detached { // in detached mode clients may still connect; each new request gets a nack
				l.stepLimits(limits.Event{Kind: limits.Draining})
			}
			l.log("closing: %d answers owed, %d sessions playing, time limit %v", l.owed, l.playing, l.shutdownPolicy.Timeout)
			l.stepShutdown()
		}
	case Tick:
	}
	l.runDueTimers()
	// Idle connections are handled in batches, one for each tick, so that everything in the inbox goes first.
	if _, tick := in.(Tick); tick && !l.ended {
		if at, ok := l.limits.NextTimer(); l.limitsPending || ok && at <= l.now {
			l.stepLimits(limits.Event{Kind: limits.TimerFired})
		}
	}
	return l.outputs
}

func (l *Loop) emit(o Output) { l.outputs = append(l.outputs, o) }

func (l *Loop) log(format string, args ...any) { l.emit(Log{fmt.Sprintf(format, args...)}) }

// notifyDecider passes an event to the decider and applies its actions. Events that arise meanwhile are queued and
// passed on in order afterwards, so the decider is never called while its actions are being applied.
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

func (l *Loop) applyAction(a policy.Action) {
	switch a := a.(type) {
	case policy.Dispatch:
		l.dispatch(a)
	case policy.SetRung:
		l.applyRung(a)
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

// sessionName returns the name of a session that clients and nodes see.
func (l *Loop) sessionName(id uint64) string {
	return l.name + "." + l.boot + "." + strconv.FormatUint(id, 36)
}
