package director

import "fordusher/internal/timerqueue"

// A timerKind says what happens when a timer fires.
type timerKind int

const (
	timerPolicy      timerKind = iota // the decider gets the TimerFired that it asked for
	timerLeg                          // a leg has reached its deadline
	timerAnswer                       // a session has reached its deadline
	timerLinger                       // a session ends whose client has not reconnected
	timerConnector                    // the connector gets the TimerFired that it asked for
	timerPing                         // a node connection is probed
	timerIdle                         // a node connection is checked for being idle
	timerShutdown                     // the next step of the shutdown
	timerUndelivered                  // undelivered endings go to any client
	timerRejected                     // a rejected client connection is closed
	timerClosingLink                  // a closed link is no longer read
)

// A timer is an entry of timerQueue: its kind, and the id of the session, leg or connection that it is for.
// Each session, leg and link has only a few; they are cancelled when their owner ends.
type timer struct {
	kind timerKind
	id   uint64
}

type timerQueue = timerqueue.Queue[timer]
