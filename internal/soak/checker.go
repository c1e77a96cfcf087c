package soak

import (
	"fmt"
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
)

// An attempt is a set-up of a request that has reached a server.
type attempt struct {
	server      string
	startedAt   time.Time
	outstanding bool
	endedAt     time.Time
	mayRun      bool // false once the server has answered that it never ran
}

// A request is a client's request, with its answers and attempts.
type request struct {
	director      *director
	generation    int // number of the director's process
	paid          bool
	sentAt        time.Time
	wait          time.Duration
	answers       int
	served        bool
	serverEndedAt time.Time // its server has released the session or was killed
	released      bool
	cancelledAt   time.Time // its client has cancelled it or closed its connection
	void          bool      // its director was killed, or it was not sent whole
	attempts      []*attempt
	violated      bool // a violation of it is recorded
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
func (c *checker) recordMessage(id uint64, kind byte, ownConn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return // of a client that sends malformed data
	}
	switch kind {
	case kindAnswer:
		if r.answers > 0 {
			c.addViolation(id, r, "a second answer, that the session plays")
		}
		r.answers++
		r.served = true
	case kindRelease:
		if r.served || !ownConn {
			r.released = true
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
func (c *checker) recordSetup(id uint64, server string, drainSentTime func(*director) time.Time, answerTimeout time.Duration) *attempt {
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
	slack := r.director.pausedSince(r.sentAt)
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
	a := &attempt{server: server, startedAt: now, outstanding: true, mayRun: true}
	r.attempts = append(r.attempts, a)
	return a
}

// checkOverlap records a violation if an attempt is still outstanding some time after the start of another.
func (c *checker) checkOverlap(id uint64, a *attempt, other string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.outstanding {
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

// recordServerEnd records that a server has released a session that played, or was killed.
func (c *checker) recordServerEnd(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && r.serverEndedAt.IsZero() {
		r.serverEndedAt = time.Now()
	}
}

// markKilled records that a director's process was killed. Its requests without an answer or a release are void.
func (c *checker) markKilled(d *director, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.director == d && r.generation == generation {
			r.void = r.void || r.answers == 0 || !r.released
		}
	}
}

// recordClose records that a director has closed a client's connection, whose requests must have been answered.
func (c *checker) recordClose(ids []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if r := c.requests[id]; r.answers == 0 && r.cancelledAt.IsZero() && !r.void {
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
			if !r.serverEndedAt.IsZero() && !r.released {
				c.addViolation(id, r, "its session ended %v ago and the client has no release", time.Since(r.serverEndedAt))
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
