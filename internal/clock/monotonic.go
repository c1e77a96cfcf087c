// Package clock gives the time of day for comparison with times that other machines report. It is not affected by
// steps of the machine's wall clock.
package clock

import "time"

// MonotonicClock derives the time of day from a single reading of the wall clock and the monotonic time elapsed since.
// A step of the wall clock after that reading does not affect it.
type MonotonicClock struct {
	wallAtStart time.Time // the reading
	startedAt   time.Time // the moment of the reading, on the monotonic clock
}

// NewMonotonicClock reads the wall clock once, with the given function; a program passes time.Now.
func NewMonotonicClock(wall func() time.Time) *MonotonicClock {
	return &MonotonicClock{wallAtStart: wall().Round(0), startedAt: time.Now()} // Round(0) strips the monotonic reading
}

// Now returns the time of day.
func (c *MonotonicClock) Now() time.Time { return c.wallAtStart.Add(time.Since(c.startedAt)) }
