package connector

import (
	"math/rand/v2"
	"time"
)

// CallPolicy sets how discovery is called. A call is a connection on which the events after the last one received are
// requested; its answer is a stream of messages.
type CallPolicy struct {
	InitialBackoff, MaxBackoff time.Duration // after a call that failed or ended unanswered; doubles up to the maximum
	// Silence is how long the answered call may send nothing before another one is made beside it.
	Silence time.Duration
	// FirstWait and FurtherWait are how long the first call after the last answer, and each further one, may stay
	// unanswered before another one is made beside it.
	FirstWait, FurtherWait time.Duration
	MaxCalls               int           // most calls at one time
	GiveUp                 time.Duration // the oldest call is given up after this time without a message, if there are others
}

// DefaultCallPolicy returns a policy for discovery that sends a message each second.
func DefaultCallPolicy(reconnect ReconnectPolicy, silence time.Duration) CallPolicy {
	return CallPolicy{InitialBackoff: reconnect.InitialBackoff, MaxBackoff: reconnect.MaxBackoff, Silence: silence,
		FirstWait: 1200 * time.Millisecond, FurtherWait: 2500 * time.Millisecond, MaxCalls: 3, GiveUp: 15 * time.Second}
}

// waitJitter is the part of FurtherWait by which it is shortened at random, so that directors that lost discovery at the
// same time do not go on calling it at the same time.
const waitJitter = 0.1

// minStreamLifetime is how long an answered call must last for the next one to be made at once.
const minStreamLifetime = time.Second

// A CallEvent is something that happened to a call, or the time that a plan asked for.
type CallEvent struct {
	Call uint64
	Kind CallEventKind
}

// CallEventKind is the kind of a CallEvent.
type CallEventKind int

// The events. CallTimer and AddressChanged apply to no particular call.
const (
	CallTimer      CallEventKind = iota // the time in CallPlan.NextTimer has come
	CallAnswered                        // a whole message was received on the call
	CallEnded                           // the call failed, or its connection ended
	AddressChanged                      // discovery has another address
)

// CallPlan is what the caller has to do after an event.
type CallPlan struct {
	Start     uint64        // the call to make now; 0: none
	Close     []uint64      // the calls to close
	NextTimer time.Duration // time of the next CallTimer; 0: none is needed
}

// DiscoveryCalls decides when a director calls discovery. A call that is not answered soon is not given up; another one
// is made beside it, and the first of them that is answered stays. So an answer may take long, and a call may stay
// unanswered for good, while the number of calls at one time and in any span of time stays bounded. It does no I/O and
// has no clock.
type DiscoveryCalls struct {
	policy     CallPolicy
	random     *rand.Rand
	calls      []discoveryCall // those not closed, the oldest first; an answered one that is not silent is alone
	lastCall   uint64
	unanswered int           // calls made since the last message
	failures   int           // consecutive calls that failed or ended unanswered
	notBefore  time.Duration // earliest time of the next call
	wait       time.Duration // for the newest call to be answered
	made       uint64
	givenUp    uint64
}

type discoveryCall struct {
	id        uint64
	startedAt time.Duration
	lastHeard time.Duration // when its last message was received, or when it was made
	answered  bool
}

// NewDiscoveryCalls returns a DiscoveryCalls without a call. The first CallTimer starts one.
func NewDiscoveryCalls(seed uint64, policy CallPolicy) *DiscoveryCalls {
	return &DiscoveryCalls{policy: policy, random: rand.New(rand.NewPCG(seed, 1))}
}

// Counts returns how many calls were made, and how many of them were closed unanswered.
func (d *DiscoveryCalls) Counts() (made, givenUp uint64) { return d.made, d.givenUp }

// Open reports whether a call was made and has neither ended nor been closed.
func (d *DiscoveryCalls) Open(call uint64) bool { return d.index(call) >= 0 }

// Step processes an event that happened at now and returns what to do.
func (d *DiscoveryCalls) Step(now time.Duration, e CallEvent) (plan CallPlan) {
	switch i := d.index(e.Call); {
	case e.Kind == AddressChanged:
		plan.Close = d.closeAllBut(noCall)
		d.failures, d.unanswered, d.notBefore = 0, 0, now
	case i < 0: // a timer, or a call that was closed
	case e.Kind == CallAnswered:
		c := &d.calls[i]
		c.answered, c.lastHeard = true, now
		d.unanswered = 0
		plan.Close = d.closeAllBut(e.Call)
	case e.Kind == CallEnded:
		d.ended(now, d.calls[i])
		d.remove(i)
	}
	d.startIfDue(now, &plan)
	return plan
}

// noCall is the id of no call.
const noCall = 0

func (d *DiscoveryCalls) index(call uint64) int {
	for i := range d.calls {
		if d.calls[i].id == call {
			return i
		}
	}
	return -1
}

func (d *DiscoveryCalls) remove(i int) { d.calls = append(d.calls[:i], d.calls[i+1:]...) }

// ended sets the backoff after the end of a call.
func (d *DiscoveryCalls) ended(now time.Duration, c discoveryCall) {
	if c.answered && now-c.startedAt >= minStreamLifetime {
		d.failures, d.notBefore = 0, now
		return
	}
	d.failures++
	d.notBefore = now + backoffTime(d.random, d.policy.InitialBackoff, d.policy.MaxBackoff, d.failures)
}

// closeAllBut closes every call but one and returns them.
func (d *DiscoveryCalls) closeAllBut(kept uint64) (closed []uint64) {
	for i := len(d.calls) - 1; i >= 0; i-- {
		if d.calls[i].id != kept {
			closed = append(closed, d.closeCall(i))
		}
	}
	return closed
}

func (d *DiscoveryCalls) closeCall(i int) uint64 {
	c := d.calls[i]
	if !c.answered {
		d.givenUp++
	}
	d.remove(i)
	return c.id
}

// startIfDue starts the next call if it is due, and otherwise sets the timer for it.
func (d *DiscoveryCalls) startIfDue(now time.Duration, plan *CallPlan) {
	due := d.notBefore
	if n := len(d.calls); n > 0 {
		newest := d.calls[n-1]
		wait := d.wait
		if newest.answered {
			wait = d.policy.Silence
		}
		due = max(due, newest.lastHeard+wait)
	}
	if now < due {
		plan.NextTimer = due
		return
	}
	plan.Close = append(plan.Close, d.makeRoom(now)...)
	d.lastCall++
	d.made++
	d.unanswered++
	d.wait = d.policy.FirstWait
	if d.unanswered > 1 {
		d.wait = time.Duration(float64(d.policy.FurtherWait) * (1 - waitJitter*d.random.Float64()))
	}
	d.calls = append(d.calls, discoveryCall{id: d.lastCall, startedAt: now, lastHeard: now})
	plan.Start, plan.NextTimer = d.lastCall, now+d.wait
}

// makeRoom closes calls so that another one can be made. The oldest one stays longest, for an answer that takes longer
// than the time between calls; the next one goes first.
func (d *DiscoveryCalls) makeRoom(now time.Duration) (closed []uint64) {
	if len(d.calls) > 1 && now-d.calls[0].lastHeard >= d.policy.GiveUp {
		closed = append(closed, d.closeCall(0))
	}
	for len(d.calls) >= max(2, d.policy.MaxCalls) {
		closed = append(closed, d.closeCall(1))
	}
	return closed
}
