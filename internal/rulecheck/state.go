package rulecheck

import "time"

type requestKey struct {
	conn uint64
	id   string
}

// A request is a client's request for a session, with its answer.
type request struct {
	Record
	answeredAt time.Duration // 0: no answer yet
	answer     string
	waivedAt   time.Duration // no answer is required from then on; 0: one is required
	duplicates int
	session    string
}

type legKey struct {
	node string
	conn uint64
	leg  uint64
}

// A leg is one attempt of a session at a node.
type leg struct {
	Record
	endedAt       time.Duration // 0: not yet
	neverRan      bool          // the node answered full before anything else, so the set-up never ran
	accepted      bool
	acceptedCount int
}

// A checker holds the state that is built up while records are processed in order of time.
type checker struct {
	limits             Limits
	findings           Findings
	requests           map[requestKey]*request
	requestOrder       []*request
	unservedBySession  map[string]*request // answered with a nack or an error, by session name
	legsByKey          map[legKey]*leg
	sentLegs           []*leg
	legsBySession      map[string][]*leg                 // in the order of their records, then of their numbers
	listStates         map[[2]string]listState           // by director and node
	pendingDrainChecks map[[2]string][]pendingDrainCheck // by director and node
	nodeStarts         map[string]Record                 // of nodes that run since a recorded start
	recentSetups       map[string][]Record               // set-ups within the overload window, of nodes in slow start
	requestsByConn     map[uint64][]*request             // by client connection
	outstandingLegs    map[string][]*leg                 // by node
	killedDirectors    map[string]bool                   // killed and not started again
	end                time.Duration                     // time of the last record
}

// A pendingDrainCheck is a set-up to a draining node after the grace time. The director may already have received that
// the node is up again, since its acknowledgement may be recorded after the set-up. Then the set-up is no violation.
type pendingDrainCheck struct {
	at      time.Duration
	example string
}

// A listState is a node's state that a director has acknowledged, with the time of the first acknowledgement.
type listState struct {
	at    time.Duration
	state string
}

func (c *checker) endLeg(l *leg, at time.Duration) {
	if l.endedAt == 0 {
		l.endedAt = at
	}
}

// legEnd is when a leg is no longer outstanding: when its node reports its end, when the director ends it, when its
// connection or node ends, or when its start time-out expires before it is accepted.
func (c *checker) legEnd(l *leg) time.Duration {
	end := l.endedAt
	if end == 0 {
		end = 1 << 62
	}
	if !l.accepted && l.StartTimeout > 0 {
		end = min(end, l.At+l.StartTimeout)
	}
	return end
}
