package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Tolerances of the checks. The one for answers is from the protocol's specification; the others are the time that a
// busy machine takes between a write and its read.
const (
	answerSlack   = 500 * time.Millisecond
	cancelSlack   = 250 * time.Millisecond // an attempt may begin so long after its client has cancelled
	drainSlack    = 250 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	overlapSlack  = 100 * time.Millisecond

	// A request that crosses the close of its connection, on which no other is open, within crossingTime is sent again.
	crossingTime  = 50 * time.Millisecond
	crossingSlack = 50 * time.Millisecond
)

// An attempt is a set-up of a request that has reached a server.
type attempt struct {
	server      string
	startedAt   time.Time
	outstanding bool
	heldBack    func() time.Duration // how long the director's messages to the server have been held back by the network
	endedAt     time.Time
	mayRun      bool // false once the server has answered that it never ran
}

// A request is a client's request, with its answers and attempts.
type request struct {
	director     *director
	generation   int // number of the director's process
	paid         bool
	sentAt       time.Time
	wait         time.Duration
	answers      int
	served       bool
	server       string                // at which it stands, once it does
	ends         map[string]*serverEnd // by server: more than one may have run it
	handedOverAt time.Time             // to the director's current process; zero: it was not
	releasedAt   time.Time             // by the director; zero: not yet
	cancelledAt  time.Time             // its client has cancelled it or closed its connection
	void         bool                  // its director was killed, or it was not sent whole
	attempts     []*attempt
	violated     bool // a violation of it is recorded
}

// A serverEnd is the end of a session at a server.
type serverEnd struct {
	at                time.Time
	how               string
	releaseWrittenAt  time.Time // the release was first passed to the kernel; zero: it was not
	releaseGeneration int       // on a connection of this process of the director
}

// end is the end of the session at the server where it stands; nil: it is not over.
func (r *request) end() *serverEnd {
	if end := r.ends[r.server]; end != nil && !end.at.IsZero() {
		return end
	}
	return nil
}

// endAt returns the record of the session's end at a server.
func (r *request) endAt(server string) *serverEnd {
	if r.ends == nil {
		r.ends = map[string]*serverEnd{}
	}
	if r.ends[server] == nil {
		r.ends[server] = &serverEnd{}
	}
	return r.ends[server]
}

// The times in which the end of a session that stood must be told to its client: after its server has written the
// release, or after the end where no release could be written. What is handed over counts handOverDelay later.
const (
	tellAfterRelease = time.Second
	tellAfterEnd     = 8 * time.Second
	handOverDelay    = 200 * time.Millisecond
	tellSlack        = 250 * time.Millisecond // the time that a busy machine takes between a write and its read
)

// tellBy is when the client of a session that stood must have been told that it is over; zero: it is not over, or the
// process that had it has ended.
func (r *request) tellBy() time.Time {
	end := r.end()
	if end == nil {
		return time.Time{}
	}
	after := func(t time.Time, d time.Duration) time.Time {
		if from := r.handedOverAt.Add(handOverDelay); !r.handedOverAt.IsZero() && from.After(t) {
			t = from
		}
		return t.Add(d + tellSlack + r.director.pausedSince(t))
	}
	by := after(end.at, tellAfterEnd)
	if end.releaseGeneration == r.generation && !end.releaseWrittenAt.IsZero() {
		if released := after(end.releaseWrittenAt, tellAfterRelease); released.Before(by) {
			by = released
		}
	}
	return by
}

// A checker records the messages on the sockets and checks the rules from them. Its methods can be called by several
// goroutines at once.
type checker struct {
	mu         sync.Mutex
	requests   map[uint64]*request
	violations []string
	attempts   int
	lastID     uint64
}

// newChecker returns a checker without requests.
func newChecker() *checker { return &checker{requests: map[uint64]*request{}} }

// addViolation records a violation, at most one for each request. Callers hold the lock.
func (c *checker) addViolation(id uint64, r *request, format string, args ...any) {
	if r != nil && r.violated {
		return
	}
	if r != nil {
		r.violated = true
	}
	c.violations = append(c.violations, fmt.Sprintf("request %016x: %s", id, fmt.Sprintf(format, args...)))
}

// addRunViolation records a violation that belongs to no request.
func (c *checker) addRunViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addRequest records a request before it is sent and returns its id.
func (c *checker) addRequest(d *director, paid bool, wait time.Duration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	id := c.lastID<<8 | 0xa5
	c.requests[id] = &request{director: d, generation: d.currentGeneration(), paid: paid, sentAt: time.Now(), wait: wait}
	return id
}

// markUnsent marks a request that was not sent whole; it needs no answer.
func (c *checker) markUnsent(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.void = true
	}
}

// markSent records that the last byte of a request has been written.
func (c *checker) markSent(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].sentAt = time.Now()
}

// markCancelled records that the client cancels a request or closes its connection.
func (c *checker) markCancelled(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && r.cancelledAt.IsZero() {
		r.cancelledAt = time.Now()
	}
}

// recordMessage records a message of a director to a client. A release counts as an answer only on the connection of
// the request: on another one it may overtake the answer that the session plays.
func (c *checker) recordMessage(m directorMessage, ownConn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := m.session
	r := c.requests[id]
	if r == nil {
		return // of a client that sends malformed data
	}
	switch m.kind {
	case kindAnswer:
		if r.answers > 0 {
			c.addViolation(id, r, "a second answer, that the session plays")
		}
		r.answers++
		r.served, r.server = true, m.server
	case kindRelease:
		if r.served || !ownConn {
			c.recordRelease(id, r)
			return
		}
		if r.answers > 0 {
			c.addViolation(id, r, "a second answer, that the request is refused")
		}
		r.answers++
	}
}

// recordSetup records that a set-up has reached a server and checks it. It returns the attempt; nil if there is no such
// request.
func (c *checker) recordSetup(id uint64, server string, drainSentTime func(*director) time.Time, answerTimeout time.Duration, heldBack func() time.Duration) *attempt {
	c.mu.Lock()
	c.attempts++
	r, now := c.requests[id], time.Now()
	c.mu.Unlock()
	if r == nil {
		return nil
	}
	since := drainSentTime(r.director) // takes the server's lock, which comes before the checker's in the lock order
	c.mu.Lock()
	defer c.mu.Unlock()
	slack := r.director.pausedSince(r.sentAt) + heldBack()
	if !r.cancelledAt.IsZero() && now.Sub(r.cancelledAt) > cancelSlack+slack {
		c.addViolation(id, r, "an attempt at %s begins %v after its client has cancelled", server, now.Sub(r.cancelledAt))
	}
	if !since.IsZero() && now.Sub(since) > drainSlack+slack {
		c.addViolation(id, r, "an attempt begins at %s, which has been draining for %v", server, now.Sub(since))
	}
	if remaining := r.sentAt.Add(r.wait).Sub(now); answerTimeout > max(0, remaining)+deadlineSlack+slack {
		c.addViolation(id, r, "%s has to answer within %v, but the client waits only %v more", server, answerTimeout, remaining)
	}
	for _, a := range r.attempts {
		if r.paid && a.mayRun {
			c.addViolation(id, r, "a paid request that may have run at %s is sent again to %s", a.server, server)
		}
		if a.outstanding && now.Sub(a.startedAt) > overlapSlack {
			time.AfterFunc(overlapSlack+slack, func() { c.checkOverlap(id, a, server) })
		}
	}
	a := &attempt{server: server, startedAt: now, outstanding: true, mayRun: true, heldBack: heldBack}
	r.attempts = append(r.attempts, a)
	return a
}

// checkOverlap records a violation if an attempt is still outstanding some time after the start of another.
func (c *checker) checkOverlap(id uint64, a *attempt, other string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.outstanding && a.heldBack() == 0 { // otherwise its end may be on the way
		c.addViolation(id, c.requests[id], "attempts are outstanding at %s and %s at once", a.server, other)
	}
}

// endAttempt records that an attempt is no longer outstanding, and whether it may have run.
func (c *checker) endAttempt(a *attempt, mayRun bool) {
	if a == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.outstanding, a.endedAt = false, time.Now()
	a.mayRun = a.mayRun && mayRun
}

// recordRelease records that a director has told a client that its session is over. Callers hold the lock.
func (c *checker) recordRelease(id uint64, r *request) {
	if !r.releasedAt.IsZero() {
		return // it may be repeated
	}
	r.releasedAt = time.Now()
	if by := r.tellBy(); !by.IsZero() && r.releasedAt.After(by) {
		c.addViolation(id, r, "the end of its session was told %v too late: %s", r.releasedAt.Sub(by), r.course())
	}
}

// course describes the end of a session.
func (r *request) course() string {
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return time.Since(t).Round(time.Millisecond).String() + " ago"
	}
	end := r.endAt(r.server)
	return fmt.Sprintf("at %s, ended %s (%s), its release written %s, handed over %s", r.server, since(end.at), end.how,
		since(end.releaseWrittenAt), since(r.handedOverAt))
}

// recordReleaseWritten records that a server's release was passed to the kernel on a connection of a director's process.
func (c *checker) recordReleaseWritten(id uint64, server string, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		if end := r.endAt(server); end.releaseWrittenAt.IsZero() || end.releaseGeneration < generation {
			end.releaseWrittenAt, end.releaseGeneration = time.Now(), generation
		}
	}
}

// addStanding records a session that plays before the run begins, and returns its id.
func (c *checker) addStanding(d *director, server string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	id := c.lastID<<8 | 0xa5
	c.requests[id] = &request{director: d, sentAt: time.Now(), answers: 1, served: true, server: server}
	return id
}

// handOver records that the sessions that stand, according to their clients, are handed over to the director's current
// process, and returns their ids.
func (c *checker) handOver(d *director, generation int) (ids []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.requests {
		if r.director == d && r.served && r.releasedAt.IsZero() && r.cancelledAt.IsZero() && !r.void {
			r.generation, r.handedOverAt = generation, time.Now()
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// randomStanding returns a session of a director that stands.
func (c *checker) randomStanding(d *director, choose func(int) int) (id uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []uint64
	for id, r := range c.requests {
		if r.director == d && r.served && r.releasedAt.IsZero() && r.cancelledAt.IsZero() && !r.void && r.end() == nil {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return ids[choose(len(ids))], true
}

// voidHandOver records that sessions were not handed over whole.
func (c *checker) voidHandOver(ids []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.requests[id].void = true
	}
}

// anyOwed reports whether one of the requests is owed an answer.
func (c *checker) anyOwed(ids []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(ids, func(id uint64) bool { return c.requests[id].answers == 0 && c.requests[id].cancelledAt.IsZero() })
}

// The names of the free and of the paid class in the directors' settings.
const freeClass, paidClass = "clip", "exam"

// serverOf is the name of the server at which a session stands.
func (c *checker) serverOf(id uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].server
}

// className is the class of a request.
func (c *checker) className(id uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id].paid {
		return paidClass
	}
	return freeClass
}

// unsettled reports whether an end or an answer is still owed to a client.
func (c *checker) unsettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		switch {
		case r.void || !r.cancelledAt.IsZero():
		case r.answers == 0, r.served && r.end() != nil && r.releasedAt.IsZero():
			return true
		}
	}
	return false
}

// recordServerEnd records that a server has ended a session that played, or that its process has ended.
func (c *checker) recordServerEnd(id uint64, server, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		if end := r.endAt(server); end.at.IsZero() {
			end.at, end.how = time.Now(), how
		}
	}
}

// markKilled records that a director's process was killed. Its requests without an answer are void, and so are its
// sessions, unless they are handed over to the next process.
func (c *checker) markKilled(d *director, generation int, handsOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.director == d && r.generation == generation {
			r.void = r.void || r.answers == 0 || !handsOver && r.releasedAt.IsZero()
		}
	}
}

// recordClose records that a director has closed a client's connection, whose requests must have been answered.
func (c *checker) recordClose(ids []uint64, closesIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		r := c.requests[id]
		if r.answers > 0 || !r.cancelledAt.IsZero() || r.void {
			continue
		}
		if crossed := time.Since(r.sentAt) < crossingTime+crossingSlack; closesIdle && crossed && len(r.attempts) == 0 {
			r.void = true // its client sends it again
		} else {
			c.addViolation(id, r, "its connection ended without an answer, %v after the request", time.Since(r.sentAt))
		}
	}
}

// result counts the requests by outcome at the end of a run and checks that each has an answer and each ended session a
// release.
func (c *checker) result(seed uint64, faults int) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := Result{Seed: seed, Requests: len(c.requests), Attempts: c.attempts, Faults: faults}
	for id, r := range c.requests {
		switch {
		case r.void:
			result.Void++
		case !r.cancelledAt.IsZero():
			result.Cancelled++
		case r.served:
			result.Served++
			if by := r.tellBy(); !by.IsZero() && r.releasedAt.IsZero() && time.Now().After(by) {
				c.addViolation(id, r, "its session is over and the client has no release: %s", r.course())
			}
		case r.answers > 0:
			result.Refused++
		default:
			c.addViolation(id, r, "no final answer %v after the request (wait %v, %d attempts)", time.Since(r.sentAt), r.wait, len(r.attempts))
		}
	}
	result.Violations = c.violations
	return result
}

// checkDeadline records a violation if a request has no answer by its deadline. Pauses of the director extend it.
func (c *checker) checkDeadline(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r.answers > 0 || !r.cancelledAt.IsZero() || r.void {
		return
	}
	if slack := r.director.pausedSince(r.sentAt); time.Since(r.sentAt) > r.wait+answerSlack+slack {
		c.addViolation(id, r, "no final answer in time, %v after the request (wait %v, %d attempts)", time.Since(r.sentAt), r.wait,
			len(r.attempts))
	}
}
