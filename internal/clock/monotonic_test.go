package clock

import (
	"testing"
	"time"
)

// Guards against a time of day that follows steps of the wall clock, forward or back, instead of the elapsed time.
func TestWallClockStepsHaveNoEffect(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	wall := start
	c := NewMonotonicClock(func() time.Time { return wall })
	startedAt := time.Now()
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour, 5 * time.Second} {
		wall = wall.Add(step)
		minElapsed := time.Since(startedAt)
		elapsed := c.Now().Sub(start)
		if maxElapsed := time.Since(startedAt) + time.Second; elapsed < minElapsed || elapsed > maxElapsed {
			t.Fatalf("after a step of %v the clock has advanced by %v, want %v to %v", step, elapsed, minElapsed, maxElapsed)
		}
	}
}
