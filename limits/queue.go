package limits

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// QueuePolicy is how long new requests may stand in line for a loop that is behind.
type QueuePolicy struct {
	MaxWait       time.Duration // longer than this for a whole interval: the line presses, and who waited so long is turned away
	MaxRetryAfter time.Duration // longest time that they are told to stay away
}

// MaxQueueWait is a wait for the loop that leaves three quarters of the shortest goal time to the set-up.
func MaxQueueWait(goals []time.Duration) time.Duration {
	wait := 250 * time.Millisecond
	for _, g := range goals {
		if g > 0 {
			wait = min(wait, g/4)
		}
	}
	return wait
}

// RequestQueue decides which of the requests that wait for the loop are still taken. It looks at how long they
// have waited and not at how many there are: a burst that is worked off within an interval is no reason to
// turn anybody away, a line that stands is.
//
//	calm      all are taken; where even the shortest wait of an interval was over Wait, the line presses
//	pressing  who has waited for half of Wait is turned away at once, while there is still time to come
//	          again; where the shortest wait of an interval was under that, the line no longer stands: calm
//
// Only requests that nothing was done for yet come here. Answers, endings and what nodes say never wait
// behind them: the caller keeps those in a lane of their own.
type RequestQueue struct {
	queue    QueuePolicy
	chance   *rand.Rand
	pressing bool
	ends     time.Duration // of the interval
	shortest time.Duration // wait in it
	seen     int
	taken    int           // in the interval
	pace     int           // taken in the last one
	turned   int           // since began
	told     bool          // that it presses: it may calm down and press again many times a second
	began    time.Duration // when that was told
	pressed  time.Duration // when it pressed last
}

// Decision is what becomes of one request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // where it is not taken: when to come back
	Log        string        // one line for a change of mode
}

// queueInterval is an interval; the line is told to be calm once it has been for calmFor.
const (
	queueInterval = 100 * time.Millisecond
	calmFor       = time.Second
)

// NewRequestQueue starts calm.
func NewRequestQueue(seed uint64, queue QueuePolicy) *RequestQueue {
	return &RequestQueue{queue: queue, chance: rand.New(rand.NewPCG(seed, 11))}
}

// Overloaded tells whether requests are being turned away.
func (l *RequestQueue) Overloaded() bool { return l.pressing }

// Step takes a request that comes to its turn at a time, after it has waited for so long.
func (l *RequestQueue) Step(now, waited time.Duration) (w Decision) {
	if now >= l.ends {
		w.Log = l.turnInterval(now)
	}
	if l.seen == 0 || waited < l.shortest {
		l.shortest = waited
	}
	l.seen++
	w.Admit = !l.pressing || waited <= l.queue.MaxWait/2
	if w.Admit {
		l.taken++
		return w
	}
	l.turned++
	w.RetryAfter = l.retry()
	return w
}

// turnInterval judges the interval that has ended and begins the next.
func (l *RequestQueue) turnInterval(now time.Duration) (log string) {
	quiet := now >= l.ends+queueInterval // a whole interval without a request: the line is empty
	switch {
	case !l.pressing && !quiet && l.seen > 1 && l.shortest > l.queue.MaxWait:
		l.pressing = true
		if !l.told {
			l.told, l.turned, l.began = true, 0, now
			log = fmt.Sprintf("requests: pressing: none of %d waited under %v for the loop in %v; who waited over %v is turned away", l.seen,
				l.shortest.Round(time.Millisecond), queueInterval, l.queue.MaxWait/2)
		}
	case l.pressing && (quiet || l.shortest <= l.queue.MaxWait/2):
		l.pressing = false
	}
	if l.pressing {
		l.pressed = now
	} else if l.told && now >= l.pressed+calmFor {
		l.told = false
		log = fmt.Sprintf("requests: calm after %v, %d turned away", (now - l.began).Round(time.Millisecond), l.turned)
	}
	l.pace = max(1, l.taken)
	l.ends, l.seen, l.taken = now+queueInterval, 0, 0
	return log
}

// retry spreads those who are turned away over the time that taking them would need at the pace at which
// requests are taken now; drawn, so that they do not come back together.
func (l *RequestQueue) retry() time.Duration {
	wait := max(time.Second, time.Duration(l.turned/l.pace)*queueInterval)
	wait = min(wait, l.queue.MaxRetryAfter/2)
	return wait + time.Duration(l.chance.Int64N(int64(wait)+1))
}
