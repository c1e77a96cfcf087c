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

// A timer is the purpose of an entry in timerQueue: its kind, and the id of the session, leg or connection concerned.
// Each session, leg and link has only a few; they are cancelled when their owner ends.
type timer struct {
	kind timerKind
	id   uint64
}

type timerQueue = timerqueue.Queue[timer]
