package soak

import (
	"fmt"
	"sync"
	"time"
)

// What the rules allow beyond their own figures: for answers by the protocol's page, for the rest what a busy machine
// takes between a write and the read of it.
const (
	answerSlack   = 500 * time.Millisecond
	releaseSlack  = 1500 * time.Millisecond
	leftSlack     = 250 * time.Millisecond // an attempt may begin so long after its client has left
	drainSlack    = 250 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	overlapSlack  = 100 * time.Millisecond
)

// An attempt is a set-up that has reached a server.
type attempt struct {
	server string
	began  time.Time
	out    bool
	ended  time.Time
	mayRun bool // false once the server has said that it never ran
}

// A request is one that a client has asked.
type request struct {
	director  *director
	life      int // of the director's processes
	paid      bool
	sent      time.Time
	wait      time.Duration
	answers   int
	stood     bool
	over      time.Time // its server said that it is over
	released  bool
	left      time.Time // its client has cancelled it, or closed its connection
	void      bool      // its director was killed
	attempts  []*attempt
	condemned bool // a violation of it is noted already
}

// A ledger holds what crossed the sockets, and judges the rules from it. Its methods may be called by any goroutine.
type ledger struct {
	mu         sync.Mutex
	requests   map[uint64]*request
	violations []string
	attempts   int
	next       uint64
}

func newLedger() *ledger { return &ledger{requests: map[uint64]*request{}} }

// violate notes a violation, one for each request.
func (l *ledger) violate(id uint64, r *request, format string, figures ...any) {
	if r != nil && r.condemned {
		return
	}
	if r != nil {
		r.condemned = true
	}
	l.violations = append(l.violations, fmt.Sprintf("request %016x: %s", id, fmt.Sprintf(format, figures...)))
}

// fault notes a violation of no request.
func (l *ledger) fault(format string, figures ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, figures...))
}

// ask notes a request before it is written and returns its id.
func (l *ledger) ask(d *director, paid bool, wait time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	id := l.next<<8 | 0xa5
	l.requests[id] = &request{director: d, life: d.currentLife(), paid: paid, sent: time.Now(), wait: wait}
	return id
}

// unsent takes a request back that could not be written whole.
func (l *ledger) unsent(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.void = true
	}
}

// leave notes that a request's client goes.
func (l *ledger) leave(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil && r.left.IsZero() {
		r.left = time.Now()
	}
}

// told notes a message of a director to a client, and whether it came on the connection of its request: what comes on
// another may overtake it.
func (l *ledger) told(id uint64, kind byte, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return // of a client that means harm
	}
	switch kind {
	case kindAnswer:
		if r.answers > 0 {
			l.violate(id, r, "a second answer, that it stands")
		}
		r.answers++
		r.stood = true
	case kindRelease:
		if r.stood || !own {
			r.released = true
			return
		}
		if r.answers > 0 {
			l.violate(id, r, "a second answer, a refusal")
		}
		r.answers++
	}
}

// setup notes that a set-up has reached a server, and returns its attempt; nil where no client has asked for it.
func (l *ledger) setup(id uint64, server string, drainingSince func(*director) time.Time, within time.Duration) *attempt {
	l.mu.Lock()
	l.attempts++
	r, now := l.requests[id], time.Now()
	l.mu.Unlock()
	if r == nil {
		return nil
	}
	since := drainingSince(r.director) // a server's lock is taken before the ledger's
	l.mu.Lock()
	defer l.mu.Unlock()
	slack := r.director.pausedSince(r.sent)
	if !r.left.IsZero() && now.Sub(r.left) > leftSlack+slack {
		l.violate(id, r, "an attempt at %s begins %v after its client has left", server, now.Sub(r.left))
	}
	if !since.IsZero() && now.Sub(since) > drainSlack+slack {
		l.violate(id, r, "an attempt begins at %s, which drains since %v", server, now.Sub(since))
	}
	if left := r.sent.Add(r.wait).Sub(now); within > max(0, left)+deadlineSlack+slack {
		l.violate(id, r, "%s is told to answer within %v, the client has %v left", server, within, left)
	}
	for _, a := range r.attempts {
		if r.paid && a.mayRun {
			l.violate(id, r, "a paid request that may have run at %s is sent to %s", a.server, server)
		}
		if a.out && now.Sub(a.began) > overlapSlack {
			time.AfterFunc(overlapSlack+slack, func() { l.overlaps(id, a, server) })
		}
	}
	a := &attempt{server: server, began: now, out: true, mayRun: true}
	r.attempts = append(r.attempts, a)
	return a
}

// overlaps notes a violation if an attempt was still out some time after another had begun.
func (l *ledger) overlaps(id uint64, a *attempt, other string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.out {
		l.violate(id, l.requests[id], "an attempt is out at %s and at %s", a.server, other)
	}
}

// end notes that an attempt is out no more, and whether it may have run.
func (l *ledger) end(a *attempt, mayRun bool) {
	if a == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a.out, a.ended = false, time.Now()
	a.mayRun = a.mayRun && mayRun
}

// over notes that a server has said that a session which stood is over.
func (l *ledger) over(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil && r.over.IsZero() {
		r.over = time.Now()
	}
}

// died notes that a director's process was killed: what it had is void.
func (l *ledger) died(d *director, life int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.director == d && r.life == life {
			r.void = r.void || r.answers == 0 || !r.released
		}
	}
}

// closed notes that a director has ended a client's connection on which requests were asked.
func (l *ledger) closed(ids []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if r := l.requests[id]; r.answers == 0 && r.left.IsZero() && !r.void {
			l.violate(id, r, "its connection ended without an answer, %v after it was asked", time.Since(r.sent))
		}
	}
}

// result judges what is left at the end of a run.
func (l *ledger) result(seed uint64, faults int) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := Result{Seed: seed, Requests: len(l.requests), Attempts: l.attempts, Faults: faults}
	for id, r := range l.requests {
		switch {
		case r.void:
			result.Void++
		case !r.left.IsZero():
			result.Cancelled++
		case r.stood:
			result.Served++
			if !r.over.IsZero() && !r.released {
				l.violate(id, r, "it is over since %v and its client was not told", time.Since(r.over))
			}
		case r.answers > 0:
			result.Refused++
		default:
			l.violate(id, r, "no final answer in %v of %v, %d attempts", time.Since(r.sent), r.wait, len(r.attempts))
		}
	}
	result.Violations = l.violations
	return result
}

// late notes a violation if a request has no answer by its time.
func (l *ledger) late(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r.answers > 0 || !r.left.IsZero() || r.void {
		return
	}
	if slack := r.director.pausedSince(r.sent); time.Since(r.sent) > r.wait+answerSlack+slack {
		l.violate(id, r, "no final answer in its time, %v of %v, %d attempts", time.Since(r.sent), r.wait, len(r.attempts))
	}
}
