// Package shutdown decides how a director that is asked to stop ends its sessions. New requests are no longer
// accepted, every owed answer is sent first, and the playing sessions are ended in batches that double, so that their
// clients do not all connect to the other directors at the same time. The director stops when every end has been sent
// and has had time to be read. The package does no I/O and has no clock.
package shutdown

import "time"

// Policy sets how long a shutdown may take and how it proceeds.
type Policy struct {
	Timeout       time.Duration // from the start until the last session has ended and no answer is owed
	BatchInterval time.Duration // time between two batches of ended sessions
	MinDuration   time.Duration // shortest duration of a shutdown: until then, clients that still connect get an answer
	SettleTime    time.Duration // from the last end that was sent until client connections are closed: an end on a connection that is lost is sent again
	CloseTimeout  time.Duration // longest time to close the client connections, once nothing else remains
	ExitTime      time.Duration // from the start until the process has to exit, whatever is still being written; 0: no limit
}

// Remaining is what a director still has. An answer is owed for each request until its final answer is sent.
type Remaining struct {
	Owed, Playing int           // answers, and sessions that play
	Ends          int           // ends of sessions that wait for a connection to a client or to a node
	LastEndSentAt time.Duration // when the last end was sent to a client; 0: none was
	Clients       int           // client connections
}

// Plan is what the director has to do now.
type Plan struct {
	EndSessions     int           // number of playing sessions to end
	AbandonRequests bool          // give up the owed answers
	CloseClients    bool          // close the client connections on which no answer is owed
	Done            bool          // the shutdown is complete
	NextStep        time.Duration // when to call Step again
}

// closePollInterval is the time between two checks of client connections that are still open.
const closePollInterval = 10 * time.Millisecond

// Sequence is the state of one shutdown.
type Sequence struct {
	policy         Policy
	startedAt      time.Duration
	batch          int           // size of the next batch
	nextBatch      time.Duration // time of the next batch
	closeStartedAt time.Duration // when closing of the client connections started; 0: not yet
}

// Start begins a shutdown at now.
func Start(now time.Duration, policy Policy) *Sequence {
	return &Sequence{policy: policy, startedAt: now, batch: 1, nextBatch: now}
}

// Step takes what remains at now and returns what to do. The batches double; where doubling would not end all sessions
// within the timeout, the rest is spread evenly over the batches that remain.
func (s *Sequence) Step(now time.Duration, remaining Remaining) Plan {
	if remaining.Owed == 0 && remaining.Playing == 0 {
		if next := s.earliestClose(now, remaining); now < next {
			return Plan{NextStep: next}
		}
		return s.closeClients(now, remaining)
	}
	deadline := s.startedAt + s.policy.Timeout
	if now >= deadline {
		return Plan{EndSessions: remaining.Playing, AbandonRequests: true, NextStep: now + s.policy.BatchInterval}
	}
	plan := Plan{NextStep: max(now+1, min(s.nextBatch, deadline))}
	if now < s.nextBatch {
		return plan
	}
	batches := max(1, int((deadline-now)/s.policy.BatchInterval))
	even := (remaining.Playing + batches - 1) / batches
	if doubled := s.batch * (1<<min(batches, 30) - 1); doubled >= remaining.Playing {
		even = 0
	}
	plan.EndSessions = min(remaining.Playing, max(s.batch, even))
	s.batch = max(s.batch, plan.EndSessions) * 2
	s.nextBatch = now + s.policy.BatchInterval
	plan.NextStep = min(s.nextBatch, deadline)
	return plan
}

// earliestClose returns when client connections may be closed, or when to ask again: not before MinDuration, nor before
// every end has been sent and has had SettleTime to be read, unless that takes longer than Timeout.
func (s *Sequence) earliestClose(now time.Duration, remaining Remaining) time.Duration {
	if s.closeStartedAt > 0 {
		return now
	}
	earliest, deadline := s.startedAt+s.policy.MinDuration, s.startedAt+s.policy.Timeout
	if remaining.Ends > 0 {
		earliest = max(earliest, min(now+closePollInterval, deadline))
	}
	if remaining.LastEndSentAt > 0 {
		earliest = max(earliest, min(remaining.LastEndSentAt+s.policy.SettleTime, deadline))
	}
	return earliest
}

// closeClients closes the client connections. The shutdown is done once none is left or CloseTimeout has passed.
func (s *Sequence) closeClients(now time.Duration, remaining Remaining) Plan {
	if s.closeStartedAt == 0 {
		s.closeStartedAt = max(1, now)
	}
	if remaining.Clients == 0 || now >= s.closeStartedAt+s.policy.CloseTimeout {
		return Plan{CloseClients: true, Done: true}
	}
	return Plan{CloseClients: true, NextStep: min(now+closePollInterval, s.closeStartedAt+s.policy.CloseTimeout)}
}
