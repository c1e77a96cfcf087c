// Package wheel is a hierarchical timing wheel for timers that are many, often moved and seldom due: one
// or two for each connection. It reads no clock. Setting, moving and taking off cost the same however many
// there are, and what falls due together can be worked off in slices.
package wheel

import (
	"math/bits"
	"time"
)

const (
	levels   = 4
	slotBits = 8
	slots    = 1 << slotBits
	none     = -1
)

// Timer names a timer that is set; the zero value names none.
type Timer int32

type entry struct {
	id         uint64
	due        int64 // in ticks
	next, prev int32
	slot       int16 // level*slots + slot; none: not set
}

// Wheel holds timers. It is not for use by several goroutines at once.
type Wheel struct {
	tick    time.Duration
	now     int64 // the tick that is being worked on
	entries []entry
	free    int32 // list of entries that are not set
	heads   [levels * slots]int32
	marks   [levels][slots / 64]uint64 // slots that are not empty
	count   int
}

// New starts at a time with no timers. Timers are due on whole ticks, never early.
func New(start, tick time.Duration) *Wheel {
	w := &Wheel{tick: tick, now: int64(start / tick), free: none}
	for i := range w.heads {
		w.heads[i] = none
	}
	return w
}

// Len counts the timers that are set.
func (w *Wheel) Len() int { return w.count }

// Add sets a timer; the id comes back when it is due. No timer is due more than 49 days ahead at a tick of
// a millisecond; a later one comes then.
func (w *Wheel) Add(at time.Duration, id uint64) Timer {
	i := w.free
	if i == none {
		i = int32(len(w.entries))
		w.entries = append(w.entries, entry{})
	} else {
		w.free = w.entries[i].next
	}
	e := &w.entries[i]
	e.id, e.due = id, w.ticks(at)
	w.insert(i)
	w.count++
	return Timer(i + 1)
}

// Move sets a timer to another time. It says false where the timer is not set (any more).
func (w *Wheel) Move(t Timer, at time.Duration) bool {
	i := int32(t) - 1
	if i < 0 || w.entries[i].slot == none {
		return false
	}
	w.unlink(i)
	w.entries[i].due = w.ticks(at)
	w.insert(i)
	return true
}

// Cancel takes a timer off. A timer that came due is off already; its name must not be used again.
func (w *Wheel) Cancel(t Timer) {
	if i := int32(t) - 1; i >= 0 && w.entries[i].slot != none {
		w.unlink(i)
		w.release(i)
	}
}

func (w *Wheel) release(i int32) {
	w.entries[i].slot = none
	w.entries[i].next, w.free = w.free, i
	w.count--
}

// ticks rounds up, so that nothing is due early.
func (w *Wheel) ticks(at time.Duration) int64 { return int64((at + w.tick - 1) / w.tick) }

func (w *Wheel) insert(i int32) {
	e := &w.entries[i]
	due := max(e.due, w.now)
	ahead := due - w.now
	level := 0
	for level < levels-1 && ahead >= 1<<(slotBits*(level+1)) {
		level++
	}
	if ahead >= 1<<(slotBits*levels) {
		due = w.now + 1<<(slotBits*levels) - 1
	}
	slot := int(due>>(slotBits*level)) & (slots - 1)
	e.slot = int16(level*slots + slot)
	head := &w.heads[e.slot]
	e.next, e.prev = *head, none
	if *head != none {
		w.entries[*head].prev = i
	}
	*head = i
	w.marks[level][slot/64] |= 1 << (slot % 64)
}

func (w *Wheel) unlink(i int32) {
	e := &w.entries[i]
	if e.prev != none {
		w.entries[e.prev].next = e.next
	} else {
		w.heads[e.slot] = e.next
		if e.next == none {
			level, slot := int(e.slot)/slots, int(e.slot)%slots
			w.marks[level][slot/64] &^= 1 << (slot % 64)
		}
	}
	if e.next != none {
		w.entries[e.next].prev = e.prev
	}
}

// first finds the first marked slot of a level from one on, without turning round.
func (w *Wheel) first(level, from int) (int, bool) {
	for word := from / 64; word < slots/64; word++ {
		m := w.marks[level][word]
		if word == from/64 {
			m &= ^uint64(0) << (from % 64)
		}
		if m != 0 {
			return word*64 + bits.TrailingZeros64(m), true
		}
	}
	return 0, false
}

// Next is a time before which nothing is due; ok is false where no timer is set.
func (w *Wheel) Next() (at time.Duration, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return time.Duration(w.nextTick(w.now)) * w.tick, true
}

// nextTick is the first tick from one on in which there is something to do: a timer, or a slot of an upper
// level to be dealt out.
func (w *Wheel) nextTick(from int64) int64 {
	best := int64(-1)
	for level := range levels {
		shift := slotBits * level
		// The slot that holds the tick itself was dealt out when it began, unless it begins with it.
		at := from >> shift
		if level > 0 && from&(1<<shift-1) != 0 {
			at++
		}
		base, slot := at&^(slots-1), int(at&(slots-1))
		s, found := w.first(level, slot)
		if !found {
			if s, found = w.first(level, 0); !found {
				continue
			}
			base += slots
		}
		if t := max(from, (base+int64(s))<<shift); best < 0 || t < best {
			best = t
		}
	}
	return best
}

// Expire hands over the ids of timers that are due by now, earlier ticks before later ones, and takes them
// off. It stops after so many steps (a step is one timer handed over or dealt out to a lower level) and
// says whether more is due; the next call goes on there. The function may set, move and cancel timers.
func (w *Wheel) Expire(now time.Duration, steps int, due func(id uint64)) (more bool) {
	until := int64(now / w.tick)
	for w.count > 0 {
		t := w.nextTick(w.now)
		if t > until {
			break
		}
		w.now = t
		for level := levels - 1; level > 0; level-- {
			if t&(1<<(slotBits*level)-1) != 0 {
				continue
			}
			head := &w.heads[level*slots+int(t>>(slotBits*level))&(slots-1)]
			for *head != none {
				if steps--; steps < 0 {
					return true
				}
				i := *head
				w.unlink(i)
				w.insert(i)
			}
		}
		head := &w.heads[int(t)&(slots-1)]
		for *head != none {
			i := *head
			if w.entries[i].due > t { // put to the farthest slot there is, and not due yet
				w.unlink(i)
				w.insert(i)
				continue
			}
			if steps--; steps < 0 {
				return true
			}
			id := w.entries[i].id
			w.unlink(i)
			w.release(i)
			due(id)
		}
		if t == until {
			return false
		}
		w.now = t + 1
	}
	w.now = max(w.now, until)
	return false
}
