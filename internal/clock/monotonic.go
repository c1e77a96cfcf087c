// Package clock gives the time of day to what compares it with times that others tell, in a way that steps of the
// machine's wall clock don't reach.
package clock

import "time"

// MonotonicClock tells the time of day from one reading of the wall clock and the monotonic clock since. A step of the wall
// clock after that reading changes nothing of what it tells.
type MonotonicClock struct {
	wallAtStart  time.Time // the reading
	startedAt time.Time // the same moment on the monotonic clock
}

// NewMonotonicClock reads the wall clock once. In a program wall is time.Now.
func NewMonotonicClock(wall func() time.Time) *MonotonicClock {
	return &MonotonicClock{wallAtStart: wall().Round(0), startedAt: time.Now()} // Round(0) leaves the wall clock's reading alone
}

// Now is the time of day.
func (s *MonotonicClock) Now() time.Time { return s.wallAtStart.Add(time.Since(s.startedAt)) }
