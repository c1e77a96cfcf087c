package director

import (
	"container/heap"
	"time"
)

type timerKind int

const (
	timerRing timerKind = iota
	timerLeg
	timerAnswer
	timerLinger
	timerReach
	timerPing
	timerClose
)

// A timer is due at a time; those due together come in the order in which they were set.
type timer struct {
	at   time.Duration
	seq  uint64
	kind timerKind
	id   uint64
	spot int // in the heap; -1: off it
}

// timers holds no more than a few for each session, leg and link there is: each is taken off with its owner.
type timers struct {
	heap byTime
	seq  uint64
}

func (t *timers) add(at time.Duration, kind timerKind, id uint64) *timer {
	t.seq++
	x := &timer{at: at, seq: t.seq, kind: kind, id: id}
	heap.Push(&t.heap, x)
	return x
}

// first is the timer that is due next, nil where there is none.
func (t *timers) first() *timer {
	if len(t.heap) == 0 {
		return nil
	}
	return t.heap[0]
}

func (t *timers) pop() *timer { return heap.Pop(&t.heap).(*timer) }

func (t *timers) remove(x *timer) {
	if x != nil && x.spot >= 0 {
		heap.Remove(&t.heap, x.spot)
	}
}

type byTime []*timer

func (t byTime) Len() int { return len(t) }
func (t byTime) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t byTime) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].spot, t[j].spot = i, j
}
func (t *byTime) Push(x any) { x.(*timer).spot = len(*t); *t = append(*t, x.(*timer)) }
func (t *byTime) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	last.spot = -1
	return last
}
