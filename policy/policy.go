// Package policy makes every decision about sessions: which requests are served, at which node and at
// which rung. A caller creates a Director with New and passes each event to Step, which returns the
// actions to carry out, in order. The interface (events, actions, settings) is in types.go. The package does no I/O
// and has no clock.
//
// A request is placed at one of two randomly chosen nodes that hold its title, the one with the lower link
// use plus zone cost. Its rung is the one with the best payoff: near the node's fair rate, near the highest
// rung that fits on link and uplink, and near the session's mean rung. Playing sessions are scored again
// every rescoreEvery. Directors do not talk to each other. Each estimates the load of links and uplinks
// from its own sessions and the nodes' measurements, and steps only a random part of its sessions, because
// the other directors act on the same measurements.
//
// Times are durations since the director's start. See docs/design.md for the mechanism's source.
package policy

import (
	"fmt"
	"slices"
	"time"
)

// The constants of the mechanism. docs/design.md tells which come from the paper and which are our own.
// Thresholds are parts of the capacity of a link or uplink.
const (
	fairnessWeight     = 0.6              // payoff: weight of the distance from the reference rung
	clientWeight       = 0.4              // payoff: weight of the distances from the fitting rung and the mean rung
	rescoreEvery       = 2 * time.Second  // interval at which a playing session is scored again
	switchEvery        = 10 * time.Second // shortest time between two rung switches of a session
	meanWindow         = 70 * time.Second // window of a session's mean rung
	fullThreshold      = 0.9              // no session is set up where the demand would exceed this
	raiseThreshold     = 0.85             // a rung up to the reference rung is taken up to this demand
	headroomThreshold  = 0.75             // a rung above the reference rung is taken up to this demand
	stepDownTarget     = 0.85             // demand that is too high is stepped down to this
	keepThreshold      = 1.0              // the current rung is kept up to this demand
	dropThreshold      = 0.75             // a session that gets less than this share of its rate drops to its lowest rung
	shortfallThreshold = 0.98             // a delivered share below this is a shortfall
	smoothingFactor    = 0.8              // part of a load report's deviation that is adopted, because reports are noisy

	// ownBias is how much raiseThreshold and headroomThreshold rise for a director whose own sessions are all demand on
	// a link. For a director with a part of the demand they rise by that part of ownBias.
	ownBias = 0.2

	// creditBias is how much higher raiseThreshold, headroomThreshold, stepDownTarget and keepThreshold are for the
	// tariff with the most credit than for the one with the least.
	creditBias = 0.1
)

// tickInterval is the interval of the director's periodic evaluation.
const tickInterval = rescoreEvery / 20

// Director is the decision state of one director. A director is one instance of the program; all instances
// together are the fleet. A Director is not safe for concurrent use.
type Director struct {
	now            time.Duration
	actions        []Action
	random         *pcg
	rungs          rungs
	load           loadEstimate
	zone           string
	slowStart      slowStart
	retries        retryBudget
	maxBackoff     time.Duration
	pollInterval   time.Duration // interval between polls of the server list; 0: the list is pushed
	nextPollAt     time.Duration
	started        bool
	sessionIndexes indexMap[uint64] // index of each session in sessions, by id; released when the session ends
	sessions       []session        // a slot is reused once its session's index is released
	nodeIndexes    indexMap[string] // index of each node in nodes, by name; released by dropNode
	nodes          []node
	index          index
	listChange     listChange
	seats          map[seatKey]int // seats taken; an entry is deleted when its last session ends
}

// New returns a new director.
func New(seed uint64, peers Peers, tariffs []Tariff, ladder Ladder, topology Topology, ramp Ramp,
	retryPolicy RetryPolicy, reportTiming ReportTiming) *Director {
	return &Director{
		random: newPCG(seed),
		rungs:  rungs{ladder, tariffs},
		load: loadEstimate{topology: topology, reportDelay: reportTiming.Delay, freshFor: reportTiming.Interval + 2*reportTiming.Delay,
			directors: float64(max(1, peers.Directors)), middleRate: ladder.Rates[len(ladder.Rates)/2],
			racks: make([]rack, max(1, topology.Racks)), linkBaseline: baseline{mean: defaultLoad}, uplinkBaseline: baseline{mean: defaultLoad}},
		zone:           peers.Zone,
		slowStart:      slowStart{ramp: ramp, peers: peers},
		retries:        retryBudget{policy: retryPolicy},
		maxBackoff:     reportTiming.MaxBackoff,
		pollInterval:   ramp.PollWithin / 2,
		index:          newIndex(topology.Cells),
		sessionIndexes: newIndexMap[uint64](),
		nodeIndexes:    newIndexMap[string](),
		seats:          map[seatKey]int{},
	}
}

// Step handles an event that occurred at the given time and returns the resulting actions. The slice is valid
// until the next call.
func (d *Director) Step(now time.Duration, event Event) []Action {
	d.now, d.load.now, d.actions = now, now, d.actions[:0]
	if !d.started {
		d.started = true
		d.tick()
	}
	switch e := event.(type) {
	case Request:
		d.request(e)
	case Accepted:
		d.legAccepted(e.ID)
	case SessionMoved:
		d.moveSession(e)
	case LegResult:
		d.legResult(e)
	case Measurement:
		d.measurement(e)
	case ClientGone:
		if i, ok := d.sessionIndexes.find(e.ID); ok {
			d.sessions[i].ended = true
			d.releaseEnded(i)
		}
	case ServerList:
		d.serverList(e)
	case TimerFired:
		d.tick()
	}
	return d.actions
}

func (d *Director) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Director) log(format string, args ...any) { d.emit(Log{fmt.Sprintf(format, args...)}) }

// request starts a session for a new request, or adopts a session that is already playing.
func (d *Director) request(e Request) {
	i, grown := d.sessionIndexes.assign(e.ID)
	if grown {
		d.sessions = append(d.sessions, session{})
	}
	t := &d.rungs.tariffs[e.Tariff]
	d.sessions[i] = session{Request: e, inUse: true, receivedAt: d.now, node: -1, rung: t.Floor}
	d.retries.recordRequest(d.now)
	if e.PlayingOn == "" {
		d.place(i)
		return
	}
	s := &d.sessions[i]
	s.sentAt = d.now
	d.takeSeat(s)
	d.startPlaying(s)
	s.adopted, s.scoredAt = true, d.now-rescoreEvery
	if n, ok := d.nodeIndexes.find(e.PlayingOn); ok {
		s.node = n
		d.slowStart.adopted = true
		d.countLeg(&d.nodes[n], 1)
		d.bookRung(s, s.rung)
	}
}

// moveSession books a playing session at the node that has replaced its node.
func (d *Director) moveSession(e SessionMoved) {
	i, ok := d.sessionIndexes.find(e.ID)
	if !ok || d.sessions[i].phase != playing || d.sessions[i].node < 0 {
		return
	}
	next, ok := d.nodeIndexes.find(e.Node)
	if !ok {
		return
	}
	s := &d.sessions[i]
	previous := s.node
	d.bookRung(s, -1)
	d.countLeg(&d.nodes[previous], -1)
	s.node = next
	d.countLeg(&d.nodes[next], 1)
	d.bookRung(s, s.rung)
	d.dropNode(previous)
}

// giveUp answers a request whose session can't be set up. The answer is a Nack unless a leg of an
// at-most-once tariff may have run.
func (d *Director) giveUp(i int) {
	s := &d.sessions[i]
	if e, ok := d.nodeIndexes.find(s.firstErrorNode); ok {
		d.unconfirmedError(&d.nodes[e], s)
	}
	if s.mayHaveRun && d.rungs.tariffs[s.Tariff].AtMostOnce {
		d.emit(Fail{s.ID})
	} else {
		d.emit(Nack{s.ID, min(d.maxBackoff, d.rungs.tariffs[s.Tariff].GoalTime)})
	}
	s.ended = true
	d.releaseEnded(i)
}

func (d *Director) legAccepted(id uint64) {
	i, ok := d.sessionIndexes.find(id)
	if !ok || d.sessions[i].phase != settingUp {
		return
	}
	s := &d.sessions[i]
	d.startPlaying(s)
	n := &d.nodes[s.node]
	n.setups--
	n.unconfirmedErrors = 0
	if e, ok := d.nodeIndexes.find(s.firstErrorNode); ok { // another node accepted the session, so the node that failed is to blame
		d.recordFailure(&d.nodes[e], s, Errored)
	}
	if n.suspectedAt >= 0 { // the node runs; its slow start ends at the latest one warm-up from now
		n.suspectedAt, n.slowStartEnd = -1, d.now+d.slowStart.ramp.Warmup
	}
	if n.health.legSucceeded() {
		d.log("node %s is healthy again", n.name)
	}
}

// startPlaying sets a session's times when it starts to play. Its first switch does not wait for switchEvery.
func (d *Director) startPlaying(s *session) {
	s.phase, s.startedAt, s.scoredAt, s.switchedAt = playing, d.now, d.now, d.now-switchEvery
	s.meanRung = float64(s.rung)
}

func (d *Director) legResult(e LegResult) {
	i, ok := d.sessionIndexes.find(e.ID)
	if !ok || d.sessions[i].phase == waiting {
		return
	}
	s := &d.sessions[i]
	phase := s.phase
	if s.node >= 0 {
		n := &d.nodes[s.node]
		d.bookRung(s, -1)
		d.countLeg(n, -1)
		if phase == settingUp {
			n.setups--
		}
		e.Load.Streams = min(e.Load.Streams, maxReportMultiple*d.slowStart.capacity(n))
		d.load.recordReport(n, e.Load)
		switch e.Outcome {
		case Served, Cancelled, NeverStarted:
		case Errored:
			d.legErrored(n, s)
		default:
			d.recordFailure(n, s, e.Outcome)
		}
		s.triedNodes = append(s.triedNodes, s.node)
		d.dropNode(s.node)
		s.node = -1
	}
	s.phase = waiting
	d.releaseSeat(s)
	s.mayHaveRun = s.mayHaveRun || e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != NeverStarted
	switch {
	case e.Final || s.ended || phase == playing:
		s.ended = true
		d.releaseEnded(i)
	case s.mayHaveRun && d.rungs.tariffs[s.Tariff].AtMostOnce:
		d.giveUp(i)
	default:
		d.place(i)
	}
}

// tick is the periodic evaluation: it polls the list if necessary, places waiting sessions, records overdue
// set-ups, scores playing sessions again and drops unlisted nodes.
func (d *Director) tick() {
	d.emit(SetTimer{d.now + tickInterval})
	if d.pollInterval > 0 && d.now >= d.nextPollAt {
		d.nextPollAt = d.now + d.pollInterval
		d.emit(PollServerList{})
	}
	for i := range d.sessions {
		s := &d.sessions[i]
		switch {
		case !s.inUse || s.ended:
		case s.phase == waiting:
			d.place(i)
		case s.phase == settingUp:
			if !s.failureRecorded && d.now-s.sentAt > legTimeout(d.rungs.tariffs[s.Tariff].GoalTime) {
				d.recordFailure(&d.nodes[s.node], s, TimedOut)
			}
		case d.now-s.scoredAt >= rescoreEvery || d.scoringIsDue(s):
			d.rescore(s)
		}
	}
	d.index.unlistedNodes = slices.DeleteFunc(d.index.unlistedNodes, func(i int) bool {
		d.dropNode(i)
		n := &d.nodes[i]
		n.queuedUnlisted = n.listed == Removed && n.name != ""
		return !n.queuedUnlisted
	})
}

// countLeg adds to the number of this director's legs at a node.
func (d *Director) countLeg(n *node, delta int) {
	d.settleFairRates(n.rack)
	n.legs += delta
	d.load.legs += delta
}

// measurement handles a measurement of a session, of its node's link or of its rack's uplink.
func (d *Director) measurement(e Measurement) {
	i, ok := d.sessionIndexes.find(e.ID)
	if !ok || d.sessions[i].node < 0 {
		return
	}
	s := &d.sessions[i]
	n := &d.nodes[s.node]
	if n.name != e.Node {
		return
	}
	d.settleFairRates(n.rack)
	switch e.Kind {
	case CurrentRung:
		d.bookRung(s, max(0, min(int(e.Value), len(d.rungs.ladder.Rates)-1))) // a rung off the ladder counts as the ladder's nearest end
		s.meanRung = float64(s.rung)
	case DeliveredShare:
		// A shortfall counts as load of the uplink if that is reported, has more load than the link and is near
		// its capacity, otherwise as load of the link. Without any uplink report it counts as neither.
		if e.Value < shortfallThreshold {
			n.shortfallAt = d.now
			link, uplink := d.load.projected(n, 0, 0)
			if demand := 1 / max(e.Value, 0.1); d.load.uplinkReported && uplink > link && uplink > raiseThreshold {
				d.load.recordUplink(n, min(demand, 1/dropThreshold), d.now-d.load.reportDelay)
			} else if d.load.uplinkReported {
				d.load.recordLink(n, demand, d.now-d.load.reportDelay)
			}
			d.noteOverload(n)
		} else { // the shortfall has ended: there is capacity again
			n.shortfallAt = -rescoreEvery
			r, until := &d.load.racks[n.rack], d.now-d.load.reportDelay
			n.linkLoad.observe(min(d.load.linkUse(n), raiseThreshold), n.linkCapacity, 1, until)
			r.uplinkLoad.observe(min(d.load.uplinkUse(n.rack), raiseThreshold), d.load.topology.Uplink, 1, until)
		}
		floor := d.rungs.tariffs[s.Tariff].Floor
		if e.Value < dropThreshold && s.phase == playing && s.rung > floor {
			d.stepRung(s, floor, (1-e.Value)*n.ownLoad/(s.bookedRate-d.rungs.rate(s, floor)))
		}
	case LinkLoad, UplinkLoad:
		delay := d.load.reportDelay
		if s.phase == settingUp || d.now == s.startedAt { // a measurement made at the set-up describes the present
			delay = 0
		}
		if e.Kind == LinkLoad {
			d.load.recordLink(n, e.Value, d.now-delay)
			if s.startedAt < n.suspectedAt { // the session is older than the suspicion, so the node has not gone down
				n.suspectedAt = -1
			}
		} else {
			d.load.recordUplink(n, e.Value, d.now-delay)
		}
		d.updateFairRates(n.rack)
		d.noteOverload(n)
	}
}
