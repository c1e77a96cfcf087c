package clock

import (
	"testing"
	"time"
)

// Steps of the wall clock, either way, change nothing of what is told; real time does.
func TestWallClockStepsHaveNoEffect(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	wall := start
	s := NewMonotonicClock(func() time.Time { return wall })
	began := time.Now()
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour, 5 * time.Second} {
		wall = wall.Add(step)
		least := time.Since(began)
		told := s.Now().Sub(start)
		if most := time.Since(began) + time.Second; told < least || told > most {
			t.Fatalf("after a step of %v it tells %v since the start; from %v to %v had passed", step, told, least, most)
		}
	}
}
