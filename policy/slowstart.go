package policy

import (
	"slices"
	"time"
)

// The slow start: how many set-ups a node that may have just started can take.

// allows reports whether this director may send another set-up to a node. It keeps the set-ups of all directors
// together within the overload budget of a node that may be in slow start:
//
//   - A node that started recently according to the list is in slow start for all directors. Each has an equal
//     share of the budget. If that share is less than one set-up, a single director, chosen by a hash of the
//     node's name, has the whole budget.
//   - A failure that this director observed was observed by at most as many directors as the node has streams.
//     With one set-up each per fillTime they stay within the budget on average, though not at every moment.
//   - A director that has just started can't know which nodes its predecessor saw fail. It sends each node its
//     share of the budget, or one set-up.
func (s *slowStart) allows(n *node, now time.Duration) bool {
	listedStart := n.startedAt != UnknownStart && now < n.startedAt+s.ramp.Warmup
	observedFailure := n.suspectedAt >= 0 || now < n.slowStartEnd
	newDirector := now < s.ramp.Warmup && !s.adopted
	if !listedStart && !observedFailure && !newDirector {
		return true
	}
	if now < s.ramp.OverloadWindow && newDirector && n.startedAt != UnknownStart {
		return false // a predecessor of this director may just have used its share
	}
	capacity, fill := s.capacity(n), s.fillTime()
	n.sentTimes = recent(n.sentTimes, now-fill)
	recentSetups := len(recent(slices.Clone(n.sentTimes), now-s.ramp.OverloadWindow-1))
	budget := capacity * s.ramp.OverloadWindow.Seconds() / max(fill, time.Millisecond).Seconds()
	directors := max(1, s.peers.Directors)
	switch share := int(budget / float64(directors)); {
	case recentSetups < share:
		return true
	case listedStart:
		return share == 0 && directorByHash(n.name, directors) == s.peers.Index && recentSetups < int(budget)
	case observedFailure:
		return len(n.sentTimes) == 0
	default:
		return recentSetups == 0
	}
}

// capacity is the largest number of streams that a node runs. For a node of unknown kind it is 1, the smallest
// possible.
func (s *slowStart) capacity(n *node) float64 {
	if n.kind < len(s.ramp.MaxStreams) {
		return s.ramp.MaxStreams[n.kind]
	}
	return 1
}

// fillTime is the time in which the overload budget adds up to all streams of a node, at least OverloadWindow.
func (s *slowStart) fillTime() time.Duration {
	return max(s.ramp.OverloadWindow, time.Duration(float64(s.ramp.Warmup)/max(s.ramp.OverloadMultiple*s.ramp.InitialShare, 0.01)))
}

// moveSetups counts the set-ups that were sent to a node since another one started at its address as set-ups of that one.
func (s *slowStart) moveSetups(previous, next *node) {
	kept := previous.sentTimes[:0]
	for _, at := range previous.sentTimes {
		if next.startedAt != UnknownStart && at >= next.startedAt {
			next.sentTimes = append(next.sentTimes, at)
		} else {
			kept = append(kept, at)
		}
	}
	previous.sentTimes = kept
	slices.Sort(next.sentTimes)
}

func (s *slowStart) recordSetup(n *node, now time.Duration) {
	n.sentTimes = append(recent(n.sentTimes, now-s.fillTime()), now)
}
