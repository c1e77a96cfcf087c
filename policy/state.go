package policy

import (
	"slices"
	"time"
)

// The state that a director keeps between events. The decisions that use it are in the other files,
// starting with policy.go.

type phase int

const (
	waiting phase = iota // received; no leg is running
	settingUp
	playing
)

// A session is a request and the state of its legs.
type session struct {
	Request
	inUse           bool // the slot in Director.sessions holds a session
	phase           phase
	ended           bool // the client has its final answer or is gone; only the end of a leg may be outstanding
	mayHaveRun      bool // an earlier leg may have run
	receivedAt      time.Duration
	node            int   // index in Director.nodes; negative: none
	triedNodes      []int // nodes of earlier legs; at most RetryPolicy.MaxLegs
	sentAt          time.Duration
	startedAt       time.Duration
	adopted         bool   // it was playing when this director received it, and its rung has not been switched since
	failureRecorded bool   // a failure of the current leg has been recorded against its node
	hadError        bool   // a leg has ended with an error
	firstErrorNode  string // node of the first such leg, until another node confirms or refutes the error
	rung            int
	switchedAt      time.Duration
	scoredAt        time.Duration
	meanRung        float64
	bookedRate      float64 // rate booked at the node, kB a second
}

// A rack holds the load of one rack's uplink.
type rack struct {
	uplinkLoad     resourceLoad
	ownLoad        float64       // rate booked by this director, kB a second
	baselineAt     time.Duration // when its load last entered the uplink baseline
	fullReporter   string        // node that last reported a full uplink; empty: none has
	fullUntil      time.Duration // when that report expires
	confirmedUntil time.Duration // when the confirmation by a second node expires
	listChange     uint64        // the list change that its nodes' fair rates include; see fair.go
}

// recordUplinkReport records a node's report of the rack's uplink load if it says that the uplink is
// full. The record expires after validFor.
func (r *rack) recordUplinkReport(node string, load float64, now, validFor time.Duration) {
	if load <= fullThreshold {
		return
	}
	if r.fullReporter != node && now < r.fullUntil {
		r.confirmedUntil = now + validFor
	}
	r.fullReporter, r.fullUntil = node, now+validFor
}

// fullByOneReport reports whether the only evidence of a full uplink is the report of a single other node.
func (r *rack) fullByOneReport(node string, now time.Duration) bool {
	return r.fullReporter != node && now < r.fullUntil && now >= r.confirmedUntil
}

// A resourceLoad is the last observed load of a link or uplink, as a part of its capacity, and this
// director's changes since, in kB a second. A change is dropped once a later observation covers it. Changes
// old enough for any later observation to cover them are merged into one.
type resourceLoad struct {
	observed   float64
	known      bool
	observedAt time.Duration // the time that the observation describes, not its arrival
	changes    []change
}

type change struct {
	at   time.Duration
	rate float64
}

// observe records a load that includes all changes up to the time until. Of its deviation from the expected load
// only the part given by weight is adopted.
func (r *resourceLoad) observe(load, capacity, weight float64, until time.Duration) {
	if r.known {
		expected := r.observed
		for _, c := range r.changes {
			if c.at <= until {
				expected += c.rate / capacity
			}
		}
		load = expected + (load-expected)*weight
	}
	r.observed, r.known, r.observedAt = load, true, until
	r.changes = dropChangesUntil(r.changes, until)
}

func dropChangesUntil(changes []change, until time.Duration) []change {
	return slices.DeleteFunc(changes, func(c change) bool { return c.at <= until })
}

func (r *resourceLoad) add(at, reportDelay time.Duration, rate float64) {
	r.changes = append(r.changes, change{at, rate})
	for len(r.changes) > 1 && r.changes[1].at <= at-reportDelay {
		r.changes[1].rate += r.changes[0].rate
		r.changes = slices.Delete(r.changes, 0, 1)
	}
}

func (r *resourceLoad) changeSum() (rate float64) {
	for _, c := range r.changes {
		rate += c.rate
	}
	return rate
}

// A node is a streaming server as this director sees it.
type node struct {
	name              string // empty: the slot is free
	listed            NodeState
	queuedUnlisted    bool // it is in index.unlistedNodes
	zone              string
	cell              int
	rack              int
	kind              int
	startedAt         time.Duration
	linkCapacity      float64 // kB a second
	legs              int     // running legs of this director, set-ups and playing sessions
	setups            int     // those of them that are set-ups
	unconfirmedErrors int     // errors not confirmed or refuted by another node, since it last accepted a session
	ownLoad           float64 // rate booked by this director, kB a second
	linkLoad          resourceLoad
	baselineAt        time.Duration // when its load last entered the link baseline
	reportedStreams   float64       // streams in its last report; negative: none reported yet
	legsAtReport      int
	reportedAt        time.Duration
	streams           float64 // stream count for the fair rate
	fairRate          float64
	shortfallAt       time.Duration // when a measurement last showed a delivery shortfall
	overloadedAt      time.Duration // when a report last showed an overload of its link or uplink; negative: none has
	health            health
	sentTimes         []time.Duration // start times of set-ups within slowStart.fillTime; older ones are dropped
	suspectedAt       time.Duration   // when a failure was last observed; negative: the node is not suspect
	slowStartEnd      time.Duration   // end of the slow start assumed after a failure
}

// A retryBudget holds the times of requests and retries; those older than the policy's window are dropped.
type retryBudget struct {
	policy   RetryPolicy
	requests []time.Duration
	retries  []time.Duration
}

func (r *retryBudget) recordRequest(now time.Duration) {
	if r.policy.Window > 0 {
		r.requests = append(recent(r.requests, now-r.policy.Window), now)
	}
}

func (r *retryBudget) recordRetry(now time.Duration) {
	if r.policy.Window > 0 {
		r.retries = append(r.retries, now)
	}
}

func recent(times []time.Duration, after time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(at time.Duration) bool { return at <= after })
}

// A seatKey identifies the seats of one title and tariff. A seat is the right of one session to run
// under a tariff that limits the concurrent sessions of a title.
type seatKey struct {
	title  uint64
	tariff int
}

// takeSeat takes a seat for a session that leaves the waiting phase, if its tariff limits seats.
// releaseSeat returns it.
func (d *Director) takeSeat(s *session) {
	if d.rungs.tariffs[s.Tariff].Seats > 0 {
		d.seats[seatKey{s.Title, s.Tariff}]++
	}
}

func (d *Director) releaseSeat(s *session) {
	key := seatKey{s.Title, s.Tariff}
	if d.seats[key]--; d.seats[key] <= 0 {
		delete(d.seats, key)
	}
}

// seatsTaken counts the sessions that hold a seat of the given session's title and tariff.
func (d *Director) seatsTaken(s *session) int { return d.seats[seatKey{s.Title, s.Tariff}] }

// sharesStream reports whether another session at the same node already runs the session's title in the
// same tariff and rung.
func (d *Director) sharesStream(s *session) bool {
	for i := range d.sessions {
		o := &d.sessions[i]
		if o != s && o.inUse && o.node == s.node && o.Title == s.Title && o.Tariff == s.Tariff &&
			o.rung == s.rung {
			return true
		}
	}
	return false
}

// health is the health state of a node. A legLimit of 0 means healthy. After a failure the node is set
// aside for a pause; from then on it gets at most legLimit concurrent set-ups, and the limit doubles with
// each set-up that succeeds.
type health struct {
	legLimit int
	pause    time.Duration
	until    time.Duration // end of the pause
}

// slowStart limits the set-ups of nodes that may have just started; see slowstart.go.
type slowStart struct {
	ramp  Ramp
	peers Peers
	// adopted: a playing session was adopted at a listed node, so at the start the list and the sessions arrived in
	// order.
	adopted bool
}

// baseline is a running mean of load reports.
type baseline struct {
	mean      float64
	updatedAt time.Duration
}

// add adds a value to the mean over about the given number of values. It returns the value's deviation
// from the new mean.
func (b *baseline) add(value, samples float64, now time.Duration) (deviation float64) {
	b.mean += (value - b.mean) / samples
	b.updatedAt = now
	return value - b.mean
}

// A loadEstimate estimates the demand on links and uplinks; see load_estimate.go.
type loadEstimate struct {
	topology       Topology
	now            time.Duration
	reportDelay    time.Duration
	freshFor       time.Duration // greatest age of the last observation of a node that reports regularly
	directors      float64
	middleRate     float64 // rate of the middle rung
	racks          []rack
	linkBaseline   baseline // recent mean demand of other directors on links, as a part of their capacity
	uplinkBaseline baseline // the same for uplinks
	linkDeviation  float64  // mean deviation of link reports from linkBaseline
	uplinkReported bool     // nodes report the load of their uplinks
	ownLoad        float64  // rate booked by this director at all nodes, kB a second
	legs           int      // running legs of this director at all nodes
}

// releaseEnded frees the slot and index of an ended session once none of its legs is running.
func (d *Director) releaseEnded(i int) {
	s := &d.sessions[i]
	if s.phase == waiting {
		d.sessionIndexes.release(s.ID)
		*s = session{}
	}
}

// dropNode frees the slot and index of a node that is off the list and has no legs left. A node is kept
// while its recent set-ups, its pause after a failure, its slow start or its suspicion would still count if
// the list named it again.
func (d *Director) dropNode(i int) {
	n := &d.nodes[i]
	if n.sentTimes = recent(n.sentTimes, d.now-d.slowStart.fillTime()); len(n.sentTimes) > 0 || d.now < max(n.health.until, n.slowStartEnd) ||
		n.suspectedAt >= 0 && d.now < n.suspectedAt+d.slowStart.ramp.Warmup {
		return
	}
	if n.listed == Removed && n.legs == 0 {
		d.settleFairRates(n.rack)
		d.nodeIndexes.release(n.name)
		d.index.remove(i, n)
		*n = node{}
	}
}
