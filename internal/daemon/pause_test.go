package daemon

import (
	"testing"
	"time"
)

// What was read during a pause or just after it may have waited since the pause began; all else is as it was read.
func TestWhatIsReadAfterAPauseMayHaveWaited(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p pauseDetector
	p.observe(at(0), at(100), maxLoopWait)
	p.observe(at(100), at(240), maxLoopWait) // late, as a busy machine is
	if got := p.earliestSent(at(230)); got != at(230) {
		t.Fatalf("a wait that was a little late counts as a pause: %v", got.Sub(start))
	}
	p.observe(at(240), at(900), maxLoopWait)
	for read, want := range map[int]int{200: 200, 890: 240, 900: 240, 940: 240, 960: 960} {
		if got := p.earliestSent(at(read)); got != at(want) {
			t.Errorf("read at %d ms: may have waited since %v, wanted %d ms", read, got.Sub(start), want)
		}
	}
}
