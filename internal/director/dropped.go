package director

import "fmt"

// A DropReason is why the loop does nothing with a peer's message, other than a refusal to the peer, or gives up an end
// that it has kept.
type DropReason int

// The reasons. dropReasonCount is their number.
const (
	DropEndOfUnknownSession     DropReason = iota // a node ends a session that the loop does not have; in detached mode: one that plays elsewhere
	DropMessageOfUnknownSession                   // any other message of a node about a session or leg that the loop does not have
	DropMessageOnUnknownLink                      // a node's message on a connection that has been given up
	DropCancelOfOtherRequest                      // a client cancels a request of another connection, which has no answer yet
	DropMessageOnUnknownConn                      // a client's message on a connection that has ended
	DropMessageOnClosingConn                      // a client's message on a connection that is being closed
	DropRepeatedEnd                               // a node repeats the end of a session
	DropUndeliveredEnd                            // an end for which no client connection came in time, or dropped to make room
	DropKeptEnd                                   // an end that was kept, dropped before its time to make room
	dropReasonCount
)

var dropReasonNames = [dropReasonCount]string{"end_of_unknown_session", "message_of_unknown_session", "message_on_unknown_link",
	"cancel_of_other_request", "message_on_unknown_connection", "message_on_closing_connection",
	"repeated_end", "undelivered_end", "kept_end"}

func (r DropReason) String() string { return dropReasonNames[r] }

// DroppedByReason returns the numbers of dropped messages, by reason.
func (c *Counts) DroppedByReason() map[string]uint64 {
	by := map[string]uint64{}
	for reason, n := range c.Dropped {
		by[DropReason(reason).String()] = n
	}
	return by
}

// dropNodeMessage counts and reports a node's message that the loop does nothing with. Server is empty if unknown.
func (l *Loop) dropNodeMessage(reason DropReason, server string, e LinkReceived) {
	l.counts.Dropped[reason]++
	if l.observer != nil {
		l.event(Event{Kind: MessageDropped, Request: e.Message.Session, Attempt: e.Message.Leg, Server: server, Link: e.Link,
			Reason: fmt.Sprintf("%v: %s %s", reason, e.Message.Type, e.Message.Reason)})
	}
}

// dropClientMessage counts and reports a client's message that the loop does nothing with.
func (l *Loop) dropClientMessage(reason DropReason, e ClientReceived) {
	l.counts.Dropped[reason]++
	if l.observer != nil {
		l.event(Event{Kind: MessageDropped, Request: e.Message.ID, Conn: e.Conn, Reason: fmt.Sprintf("%v: %s", reason, e.Message.Type)})
	}
}
