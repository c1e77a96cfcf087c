package daemon

import "time"

// minPause is how far a wait must exceed its time limit to count as a pause of the process. A shorter excess is usual
// on a busy machine.
const minPause = 50 * time.Millisecond

// maxLoopWait is the longest wait of the loop between two wake-ups. A pause that lies wholly within one wait is not
// detected. The wait is therefore shorter than the 0.15 s by which a deadline that is passed on to a node may be late.
const maxLoopWait = 100 * time.Millisecond

// pauseDetector detects from overlong waits that the process did not run for a time, because it or its machine was
// stopped. Messages that arrive during a pause wait in the kernel and are read after it; nothing else shows how long
// ago they were sent.
type pauseDetector struct {
	pauseStart time.Time // earliest possible start of the last pause
	pauseEnd   time.Time // when that pause was detected
}

// observe records a wait from one time to another that was limited to maxWait.
func (p *pauseDetector) observe(from, to time.Time, maxWait time.Duration) {
	if to.Sub(from) > maxWait+minPause {
		p.pauseStart, p.pauseEnd = from, to
	}
}

// earliestSent returns the earliest time since which a message may have waited in the kernel, given the time at which
// it was read. That is the start of the last pause if the message was read during or just after it, else the read time.
func (p *pauseDetector) earliestSent(read time.Time) time.Time {
	if read.After(p.pauseStart) && read.Before(p.pauseEnd.Add(minPause)) {
		return p.pauseStart
	}
	return read
}
