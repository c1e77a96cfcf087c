package policy

import (
	"slices"
	"time"
)

// What the director keeps between events; what is done with it is in policy.go.

type phase int

const (
	waiting phase = iota // taken, no leg out
	settingUp
	playing
)

type session struct {
	Request
	used       bool // the place is taken
	phase      phase
	ended      bool // the viewer has its answer or has left; only a leg's end is awaited
	ran        bool // some earlier leg may have run
	receivedAt time.Duration
	node       int
	tried      []int // nodes of earlier legs; at most Legs.Most
	sent       time.Duration
	started    time.Duration
	adopted    bool   // handed over while it played, and not switched since
	suspected  bool   // this leg has already been held against its node
	erred      bool   // a leg of it has ended with an error
	errorAt    string // the node of the first that did, until there is a second word on it
	rung       int
	switched   time.Duration
	scored     time.Duration
	mean       float64
	booked     float64 // kB a second booked at the node
}

type rack struct {
	use         resourceLoad
	ownLoad     float64       // kB a second booked by this director
	baselineAt  time.Duration // when its figure last counted in what is usual
	fullBy      string        // the node that last told of a full uplink; empty: none has
	fullUntil   time.Duration // how long its word holds
	agreedUntil time.Duration // how long the word of two nodes holds
}

// reportUplink takes a node's word on the rack's uplink, which holds for a time.
func (r *rack) reportUplink(node string, figure float64, now, holds time.Duration) {
	if figure <= fullThreshold {
		return
	}
	if r.fullBy != node && now < r.fullUntil {
		r.agreedUntil = now + holds
	}
	r.fullBy, r.fullUntil = node, now+holds
}

// singleReport tells whether the uplink is full for a node by the word of one other node alone.
func (r *rack) singleReport(node string, now time.Duration) bool {
	return r.fullBy != node && now < r.fullUntil && now >= r.agreedUntil
}

// A resourceLoad is a figure heard and what this director has changed since, kB a second. Changes are
// dropped once a later figure covers them, and folded once any later figure will.
type resourceLoad struct {
	observed   float64
	known      bool
	observedAt time.Duration // what the figure tells of
	changes    []change
}

type change struct {
	at time.Duration
	kB float64
}

// observe takes a figure that covers what was changed until a time; so much of what the count did not
// expect is believed.
func (m *resourceLoad) observe(figure, size, weight float64, until time.Duration) {
	if m.known {
		expected := m.observed
		for _, c := range m.changes {
			if c.at <= until {
				expected += c.kB / size
			}
		}
		figure = expected + (figure-expected)*weight
	}
	m.observed, m.known, m.observedAt = figure, true, until
	m.changes = cut(m.changes, until)
}

func cut(changes []change, until time.Duration) []change {
	return slices.DeleteFunc(changes, func(c change) bool { return c.at <= until })
}

func (m *resourceLoad) add(at, late time.Duration, kB float64) {
	m.changes = append(m.changes, change{at, kB})
	for len(m.changes) > 1 && m.changes[1].at <= at-late {
		m.changes[1].kB += m.changes[0].kB
		m.changes = slices.Delete(m.changes, 0, 1)
	}
}

func (m *resourceLoad) since() (kB float64) {
	for _, c := range m.changes {
		kB += c.kB
	}
	return kB
}

type node struct {
	name        string // empty: the place is free
	listed      NodeState
	leaving     bool // it is among those that were taken off the list
	zone        string
	cell        int
	rack        int
	kind        int
	startedAt   time.Duration
	size        float64 // link, kB a second
	legs        int     // of this director, set-ups and sessions
	setups      int     // of these, set-ups
	errors      int     // that no other node had a word on, since it last accepted a session
	ownLoad     float64 // kB a second booked by this director
	use         resourceLoad
	baselineAt  time.Duration // when its figure last counted in what is usual
	reported    float64       // streams last reported; under 0: never
	legsThen    int
	reportedAt  time.Duration
	streams     float64 // as counted for the fair rate
	fair        float64
	shortAt     time.Duration // when a share note last told of short delivery
	health      health
	sends       []time.Duration // emptied as they grow older than the time that the fall budget takes to fill the places
	suspectedAt time.Duration   // when its failure was last witnessed; under 0: not
	warmAt      time.Duration
}

type retryBudget struct {
	legs  RetryPolicy
	taken []time.Duration // both are emptied as they grow older than the span
	spent []time.Duration
}

func (r *retryBudget) recordRequest(now time.Duration) {
	if r.legs.Window > 0 {
		r.taken = append(recent(r.taken, now-r.legs.Window), now)
	}
}

func (r *retryBudget) recordRetry(now time.Duration) {
	if r.legs.Window > 0 {
		r.spent = append(r.spent, now)
	}
}

func recent(times []time.Duration, after time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(at time.Duration) bool { return at <= after })
}

// A seatKey is what seats are counted by.
type seatKey struct {
	title  uint64
	tariff int
}

// takeSeat takes a seat for a session that leaves the held phase, where its tariff has seats; stand gives it back.
func (d *Director) takeSeat(s *session) {
	if d.rungs.tariffs[s.Tariff].Seats > 0 {
		d.seats[seatKey{s.Title, s.Tariff}]++
	}
}

func (d *Director) releaseSeat(s *session) {
	h := seatKey{s.Title, s.Tariff}
	if d.seats[h]--; d.seats[h] <= 0 {
		delete(d.seats, h)
	}
}

// seated counts the sessions that hold a seat of this one's title and tariff.
func (d *Director) seated(s *session) int { return d.seats[seatKey{s.Title, s.Tariff}] }

// sharesStream tells whether a live title's stream already runs where the session is.
func (d *Director) sharesStream(s *session) bool {
	for i := range d.sessions {
		o := &d.sessions[i]
		if o != s && o.used && o.node == s.node && o.Title == s.Title && o.Tariff == s.Tariff &&
			o.rung == s.rung {
			return true
		}
	}
	return false
}

// health is a node's standing: 0 trickle is a node in good health, else it is set aside until a
// time and then gets so many legs at once, twice as many after each that goes well.
type health struct {
	trickle int
	pause   time.Duration
	until   time.Duration
}

type slowStart struct {
	ramp    Ramp
	peers   Peers
	adopted bool // sessions were handed over at the start, so the first list came in order with them
}

// baseline is a mean of the last so many figures.
type baseline struct {
	mean float64
	at   time.Duration // when the last one came
}

// add adds a figure and tells how far off the mean it lies.
func (u *baseline) add(figure, last float64, now time.Duration) (off float64) {
	u.mean += (figure - u.mean) / last
	u.at = now
	return figure - u.mean
}

type loadEstimate struct {
	fleet          Fleet
	now            time.Duration
	late           time.Duration
	fresh          time.Duration // how old a figure is at most where nodes tell of themselves
	directors      float64
	middle         float64 // the middle rung's rate
	usual          float64 // a stream's usual rate
	racks          []rack
	links          baseline // what others ask of links lately, as a part of them
	uplinks        baseline
	spread         float64 // how far figures of links lie from it
	uplinkReported bool    // uplink figures are told here
	ownLoad        float64 // kB a second booked by this director, at all nodes
	legs           int     // of this director, at all nodes
}

// settle lets an ended session go once no leg of it is out.
func (d *Director) settle(i int) {
	s := &d.sessions[i]
	if s.phase == waiting {
		d.ids.release(s.ID)
		*s = session{}
	}
}

// dropNode forgets a node that is off the list once none of its sessions is left, and nothing that would still
// count if the list named it again: what was sent there lately, its pause after a fault, its doubt.
func (d *Director) dropNode(i int) {
	n := &d.nodes[i]
	if n.sends = recent(n.sends, d.now-d.slowStart.fill()); len(n.sends) > 0 || d.now < max(n.health.until, n.warmAt) ||
		n.suspectedAt >= 0 && d.now < n.suspectedAt+d.slowStart.ramp.Warmup {
		return
	}
	if n.listed == Removed && n.legs == 0 {
		d.names.release(n.name)
		d.index.remove(i, n)
		*n = node{}
	}
}
