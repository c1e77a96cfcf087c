package daemon

import "time"

// minPause is by how much a wait must run over its time to be taken for a pause of the process: less is a busy machine.
const minPause = 50 * time.Millisecond

// maxLoopWait is how often the loop wakes at least. A pause that falls wholly between two looks is not seen, so it is below the
// slack of 0.15 s that a deadline passed on may have.
const maxLoopWait = 100 * time.Millisecond

// pauseDetector notices that the process did not run for a time (it was stopped, or its machine was), from waits that ran over.
// What came meanwhile waited in the kernel, and was read after: nothing else tells how long ago it was sent.
type pauseDetector struct {
	pauseStart time.Time // the last pause began no sooner
	pauseEnd   time.Time // and was noticed then
}

// observe takes a wait that was to last so long at most.
func (p *pauseDetector) observe(from, to time.Time, most time.Duration) {
	if to.Sub(from) > most+minPause {
		p.pauseStart, p.pauseEnd = from, to
	}
}

// earliestSent is the moment since which what was read at a time may have waited: the beginning of a pause that it was read
// after, else the time itself.
func (p *pauseDetector) earliestSent(read time.Time) time.Time {
	if read.After(p.pauseStart) && read.Before(p.pauseEnd.Add(minPause)) {
		return p.pauseStart
	}
	return read
}
