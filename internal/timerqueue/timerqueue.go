// Package timerqueue holds times at which something is due: one or two for each connection, session, leg and link, a
// million and more at a time, each of which can be moved or called off. It reads no clock.
//
// It is a binary heap. A hierarchical wheel stood here for the timers of connections: moving one of a million cost it
// 437 ns, a heap 494, and a set-up among a million connections the same (docs/hardening-review.md).
package timerqueue

import (
	"container/heap"
	"time"
)

// Handle names an alarm. One that has rung or was called off names nothing any more, whoever got its place; the zero
// value never did.
type Handle uint64

type entry[T any] struct {
	at   time.Duration
	seq  uint64 // those due together ring in the order in which they were set
	heapIndex int32  // in the heap; under 0: not set
	value T
}

// Queue is a set of them. It is not for use by several goroutines at once.
type Queue[T any] struct {
	entries []entry[T] // as many as were set at one time
	free    []int32    // places of entries that are not set
	timers   timerHeap[T]
	seq     uint64
}

// Len counts the alarms that are set.
func (a *Queue[T]) Len() int { return len(a.timers.order) }

// Add sets an alarm.
func (a *Queue[T]) Add(at time.Duration, what T) Handle {
	i := int32(len(a.entries))
	if n := len(a.free); n > 0 {
		i, a.free = a.free[n-1], a.free[:n-1]
	} else {
		a.entries = append(a.entries, entry[T]{})
	}
	a.seq++
	q := &a.timers
	q.entries = a.entries
	a.entries[i] = entry[T]{at, a.seq, int32(len(q.order)), what}
	q.order = append(q.order, i)
	heap.Fix(q, len(q.order)-1)
	return Handle(a.seq<<32 | uint64(i+1))
}

// find is the place of an alarm that is set.
func (a *Queue[T]) find(h Handle) (i int32, ok bool) {
	i = int32(h&(1<<32-1)) - 1
	ok = i >= 0 && a.entries[i].heapIndex >= 0 && uint32(a.entries[i].seq) == uint32(h>>32)
	return i, ok
}

// Reschedule sets an alarm to another time. It says false where it is not set any more.
func (a *Queue[T]) Reschedule(h Handle, at time.Duration) bool {
	i, ok := a.find(h)
	if ok {
		a.entries[i].at = at
		heap.Fix(&a.timers, int(a.entries[i].heapIndex))
	}
	return ok
}

// Cancel calls an alarm off.
func (a *Queue[T]) Cancel(h Handle) {
	if i, ok := a.find(h); ok {
		a.remove(a.entries[i].heapIndex)
	}
}

// NextDeadline is when the next alarm rings; ok is false where none is set.
func (a *Queue[T]) NextDeadline() (at time.Duration, ok bool) {
	if a.Len() == 0 {
		return 0, false
	}
	return a.entries[a.timers.order[0]].at, true
}

// Pop takes the next alarm off, which there must be.
func (a *Queue[T]) Pop() T {
	what := a.entries[a.timers.order[0]].value
	a.remove(0)
	return what
}

func (a *Queue[T]) remove(spot int32) {
	q, last := &a.timers, len(a.timers.order)-1
	q.Swap(int(spot), last)
	i := q.order[last]
	q.order = q.order[:last]
	a.entries[i] = entry[T]{heapIndex: -1}
	a.free = append(a.free, i)
	if int(spot) < last {
		heap.Fix(q, int(spot))
	}
}

// A timerHeap is the heap's order of the entries.
type timerHeap[T any] struct {
	entries []entry[T]
	order   []int32
}

func (q *timerHeap[T]) Len() int { return len(q.order) }

func (q *timerHeap[T]) Less(i, j int) bool {
	x, y := &q.entries[q.order[i]], &q.entries[q.order[j]]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}

func (q *timerHeap[T]) Swap(i, j int) {
	q.order[i], q.order[j] = q.order[j], q.order[i]
	q.entries[q.order[i]].heapIndex, q.entries[q.order[j]].heapIndex = int32(i), int32(j)
}

// Push and Pop are for heap.Interface alone: adding and taking off go by Fix, which boxes nothing.
func (q *timerHeap[T]) Push(any) { panic("timerqueue: not used") }

// Pop is not used; see Push.
func (q *timerHeap[T]) Pop() any { panic("timerqueue: not used") }
