package director

// EventKind is what an Event tells of.
type EventKind int

// The kinds of events.
const (
	RequestTaken     EventKind = iota // a final answer is owed from now on
	RequestAnswered                   // the final answer was handed to the client's connection
	RequestRefused                    // it was refused without having been taken
	RequestAbandoned                  // no answer is owed any more, and none was given
	AttemptStarted                    // a server was chosen
	AttemptSent                       // the set-up was handed to the server's connection
	AttemptEnded                      // it is out no longer
	ClientConnected
	ClientClosed       // a client's connection is to be closed by the director
	ClientDisconnected // it has ended, whoever ended it
	ServerConnected
	ServerDisconnected // a server's connection has ended, or is closed by the director
)

var eventNames = [...]string{"request taken", "request answered", "request refused", "request abandoned", "attempt started",
	"attempt sent", "attempt ended", "client connected", "client connection closed here", "client disconnected", "server connected", "server disconnected"}

func (k EventKind) String() string { return eventNames[k] }

// An Event is one change of state of a request, an attempt or a connection, for logs: what happened, to which, and why.
// Fields that do not apply are zero.
type Event struct {
	Kind    EventKind
	Request string // the client's id of it
	Attempt uint64
	Server  string
	Conn    uint64 // the client's connection
	Link    uint64 // the server's connection
	Reason  string
}

// Observe has every event handed to a function, which must not call the loop. It is called before the first Step.
func (l *Loop) Observe(observer func(Event)) { l.observer = observer }

func (l *Loop) event(e Event) {
	if l.observer != nil {
		l.observer(e)
	}
}

// requestEvent tells of a session's request, and of its attempt where one is out.
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

// closeLink asks for a server's connection to be closed.
func (l *Loop) closeLink(n *node, link uint64, reason closeReason) {
	l.event(Event{Kind: ServerDisconnected, Server: n.name, Link: link, Reason: string(reason)})
	l.emit(CloseLink{link})
}

// closeReason is why the director closes a server's connection.
type closeReason string

const (
	closedAsIdle         closeReason = "idle"
	closedForDescriptors closeReason = "descriptors are needed"
	closedAsUnknown      closeReason = "it was made for a server that is not waited for"
	closedAsUnlisted     closeReason = "the server is off the list"
	closedAsMoved        closeReason = "the server has another address"
	closedAsProbeFailed  closeReason = "the connection made to check it failed"
	closedAsUnresponsive closeReason = "nothing was heard"
	closedAsRestarted    closeReason = "the server has started anew"
	closedAsReplaced     closeReason = "replaced by the connection made to check it"
	closedAsSuperseded   closeReason = "a second replacement came"
)
