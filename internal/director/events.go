package director

// An EventKind says what an Event is about.
type EventKind int

// The kinds of events.
const (
	RequestTaken     EventKind = iota // a final answer is owed from now on
	RequestAnswered                   // the final answer was passed to the client's connection
	RequestRefused                    // the director refused it without starting a session
	RequestAbandoned                  // no answer is owed any more, and none was given
	AttemptStarted                    // a node was chosen
	AttemptSent                       // the set-up was passed to the node's connection
	AttemptEnded                      // the leg has ended
	AttemptMoved                      // the leg plays at the node that has taken the address of the node it was sent to
	ClientConnected
	ClientClosed       // the director closes a client connection
	ClientDisconnected // it has ended, whichever side closed it
	ServerConnected
	ServerDisconnected // a connection to a node has ended, or the director closes it
	SessionAdopted     // a client has handed over a session that already plays
	SessionEnded       // the end of a playing session was passed to a client's connection, or waits for one
	EndKept            // the end of a session that the loop does not have is kept for its hand-over
	MessageDropped     // the loop does nothing with a peer's message
)

var eventNames = [...]string{"request taken", "request answered", "request refused", "request abandoned", "attempt started",
	"attempt sent", "attempt ended", "attempt moved", "client connected", "client connection closed by the director",
	"client disconnected", "server connected", "server disconnected",
	"session adopted", "session ended", "end kept", "message dropped"}

func (k EventKind) String() string { return eventNames[k] }

// An Event is a change of state of a request, an attempt or a connection, for logs. Logs call a leg an attempt and a
// node a server. Fields that do not apply are zero.
type Event struct {
	Kind    EventKind
	Request string // the client's id for it
	Attempt uint64
	Server  string
	Conn    uint64 // the client connection
	Link    uint64 // the connection to the server
	Reason  string
}

// Observe sets the function that receives every event. The function must not call the loop. Observe is called before
// the first Step.
func (l *Loop) Observe(observer func(Event)) { l.observer = observer }

func (l *Loop) event(e Event) {
	if l.observer != nil {
		l.observer(e)
	}
}

// requestEvent reports an event of a session's request, with its leg if one is in progress.
func (l *Loop) requestEvent(kind EventKind, s *session, reason string) {
	if l.observer == nil {
		return
	}
	e := Event{Kind: kind, Request: s.request, Conn: s.originConn, Reason: reason}
	if s.leg != nil {
		e.Attempt, e.Server, e.Link = s.leg.id, s.leg.node.name, s.leg.link
	}
	l.observer(e)
}

func (l *Loop) attemptEvent(kind EventKind, g *leg, reason string) {
	if l.observer != nil {
		l.observer(Event{Kind: kind, Request: g.session.request, Attempt: g.id, Server: g.node.name, Conn: g.session.originConn,
			Link: g.link, Reason: reason})
	}
}
