package daemon

import "time"

// pauseLeast is by how much a wait must run over its time to be taken for a pause of the process: less is a busy machine.
const pauseLeast = 50 * time.Millisecond

// lookMost is how often the loop wakes at least. A pause that falls wholly between two looks is not seen, so it is below the
// slack of 0.15 s that a deadline passed on may have.
const lookMost = 100 * time.Millisecond

// pauses notices that the process did not run for a time (it was stopped, or its machine was), from waits that ran over.
// What came meanwhile waited in the kernel, and was read after: nothing else tells how long ago it was sent.
type pauses struct {
	began time.Time // the last pause began no sooner
	ended time.Time // and was noticed then
}

// waited takes a wait that was to last so long at most.
func (p *pauses) waited(from, to time.Time, most time.Duration) {
	if to.Sub(from) > most+pauseLeast {
		p.began, p.ended = from, to
	}
}

// sent is the moment since which what was read at a time may have waited: the beginning of a pause that it was read
// after, else the time itself.
func (p *pauses) sent(read time.Time) time.Time {
	if read.After(p.began) && read.Before(p.ended.Add(pauseLeast)) {
		return p.began
	}
	return read
}
