package director

import "fordusher/internal/timerqueue"

type timerKind int

const (
	timerPolicy timerKind = iota
	timerLeg
	timerAnswer
	timerLinger
	timerConnector
	timerPing
	timerIdle
	timerShutdown
	timerUndelivered
	timerRejected
)

// A timer is what a timer is for. There are no more than a few for each session, leg and link: each is taken off with
// its owner.
type timer struct {
	kind timerKind
	id   uint64
}

type timerQueue = timerqueue.Queue[timer]
