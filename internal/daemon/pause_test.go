package daemon

import (
	"testing"
	"time"
)

// A message read during a pause or just after it may have waited since the pause began. For any other message the
// detector returns the time at which it was read.
func TestPauseDetectorEarliestSent(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p pauseDetector
	p.observe(at(0), at(100), maxLoopWait)
	p.observe(at(100), at(240), maxLoopWait) // late by no more than on a busy machine
	if got := p.earliestSent(at(230)); got != at(230) {
		t.Fatalf("a slightly overlong wait counts as a pause: earliest sent time %v", got.Sub(start))
	}
	p.observe(at(240), at(900), maxLoopWait)
	for read, want := range map[int]int{200: 200, 890: 240, 900: 240, 940: 240, 960: 960} {
		if got := p.earliestSent(at(read)); got != at(want) {
			t.Errorf("read at %d ms: earliest sent time %v, want %d ms", read, got.Sub(start), want)
		}
	}
}
