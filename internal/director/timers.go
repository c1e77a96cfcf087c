package director

import "fordusher/internal/alarm"

type timerKind int

const (
	timerRing timerKind = iota
	timerLeg
	timerAnswer
	timerLinger
	timerReach
	timerPing
	timerIdle
	timerClose
	timerUntold
	timerTurned
)

// A due is what a timer is for. There are no more than a few for each session, leg and link: each is taken off with
// its owner.
type due struct {
	kind timerKind
	id   uint64
}

type timers = alarm.Alarms[due]
