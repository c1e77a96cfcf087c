package limits

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// QueuePolicy sets how long new requests may wait in the queue of an event loop that is behind.
type QueuePolicy struct {
	MaxWait       time.Duration // if every request of an interval waits longer, the queue is overloaded
	MaxRetryAfter time.Duration // longest retry delay of rejected requests
	MaxHeldBytes  int64         // memory of the requests that wait for their answers; 0: unlimited
	MaxPlaying    int           // sessions that play, beyond which none is handed over; 0: unlimited
}

// MaxQueueWait returns a wait for the loop that leaves three quarters of the shortest goal time for the set-up of a
// session: a quarter of that goal time, and 250 ms at most.
func MaxQueueWait(goals []time.Duration) time.Duration {
	wait := 250 * time.Millisecond
	for _, g := range goals {
		if g > 0 {
			wait = min(wait, g/4)
		}
	}
	return wait
}

// RequestQueue decides which requests that waited for the event loop are still admitted. It considers how long they
// waited and not how many there are: a burst that is processed within an interval is no reason to reject requests, a
// standing queue is.
//
//	calm        every request is admitted; if even the shortest wait of an interval exceeds MaxWait, the queue becomes
//	            overloaded
//	overloaded  a request that waited longer than half of MaxWait is rejected at once, while its client still has time
//	            to retry; if the shortest wait of an interval is at most half of MaxWait, the queue becomes calm
//
// Only requests that have not been worked on yet pass through this queue. Answers, session ends and messages of nodes
// never wait behind them: the caller keeps those in a separate queue.
type RequestQueue struct {
	policy         QueuePolicy
	random         *rand.Rand
	overloaded     bool
	intervalEnd    time.Duration
	shortestWait   time.Duration // in the interval
	requests       int           // in the interval
	admitted       int           // in the interval
	lastAdmitted   int           // in the previous interval, one at least
	rejected       int           // since loggedAt
	overloadLogged bool          // the overload is logged and its end is not: the state may change many times a second
	loggedAt       time.Duration // when the overload was logged
	lastOverloaded time.Duration // end of the last overloaded interval
}

// Decision is the answer to one request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // if not admitted: delay before the client retries
	Log        string        // log line for the start or end of an overload; "": none
}

// queueInterval is the length of an interval. The end of an overload is logged once the queue has been calm for
// calmLogDelay.
const (
	queueInterval = 100 * time.Millisecond
	calmLogDelay  = time.Second
)

// NewRequestQueue returns a queue that is calm.
func NewRequestQueue(seed uint64, policy QueuePolicy) *RequestQueue {
	return &RequestQueue{policy: policy, random: rand.New(rand.NewPCG(seed, 11))}
}

// Overloaded reports whether long-waiting requests are rejected.
func (q *RequestQueue) Overloaded() bool { return q.overloaded }

// Step decides on a request that reaches the head of the queue at now, after it has waited.
func (q *RequestQueue) Step(now, waited time.Duration) (d Decision) {
	if now >= q.intervalEnd {
		d.Log = q.endInterval(now)
	}
	if q.requests == 0 || waited < q.shortestWait {
		q.shortestWait = waited
	}
	q.requests++
	d.Admit = !q.overloaded || waited <= q.policy.MaxWait/2
	if d.Admit {
		q.admitted++
		return d
	}
	q.rejected++
	d.RetryAfter = q.retryDelay()
	return d
}

// HasRoom reports whether a request may be admitted beside others, given the memory of all of them in bytes.
func (q *RequestQueue) HasRoom(heldBytes int64) bool {
	return q.policy.MaxHeldBytes == 0 || heldBytes <= q.policy.MaxHeldBytes
}

// MayAdopt reports whether one more session may be handed over beside those that play.
func (q *RequestQueue) MayAdopt(playing int) bool {
	return q.policy.MaxPlaying == 0 || playing < q.policy.MaxPlaying
}

// Reject counts a request that is rejected for lack of room, and returns the decision.
func (q *RequestQueue) Reject() Decision {
	q.rejected++
	return Decision{RetryAfter: q.retryDelay()}
}

// endInterval evaluates the interval that has ended and begins the next. It returns a log line, or "".
func (q *RequestQueue) endInterval(now time.Duration) (log string) {
	empty := now >= q.intervalEnd+queueInterval // a whole interval passed without a request, so the queue is empty
	switch {
	case !q.overloaded && !empty && q.requests > 1 && q.shortestWait > q.policy.MaxWait:
		q.overloaded = true
		if !q.overloadLogged {
			q.overloadLogged, q.rejected, q.loggedAt = true, 0, now
			log = fmt.Sprintf(
				"requests: overloaded: each of %d waited %v or longer for the loop in %v; requests that waited over %v are rejected",
				q.requests, q.shortestWait.Round(time.Millisecond), queueInterval, q.policy.MaxWait/2)
		}
	case q.overloaded && (empty || q.shortestWait <= q.policy.MaxWait/2):
		q.overloaded = false
	}
	if q.overloaded {
		q.lastOverloaded = now
	} else if q.overloadLogged && now >= q.lastOverloaded+calmLogDelay {
		q.overloadLogged = false
		log = fmt.Sprintf("requests: overload ended after %v, %d rejected", (now - q.loggedAt).Round(time.Millisecond), q.rejected)
	}
	q.lastAdmitted = max(1, q.admitted)
	q.intervalEnd, q.requests, q.admitted = now+queueInterval, 0, 0
	return log
}

// retryDelay spreads the retries of rejected requests over the time that admitting them would take at the current rate.
// The delay is random, so that the clients do not retry together.
func (q *RequestQueue) retryDelay() time.Duration {
	wait := max(time.Second, time.Duration(q.rejected/max(1, q.lastAdmitted))*queueInterval)
	wait = min(wait, q.policy.MaxRetryAfter/2)
	return wait + time.Duration(q.random.Int64N(int64(wait)+1))
}
