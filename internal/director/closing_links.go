package director

import "time"

// closingLinkTimeout is how long what a node sends is read after the director has closed its side of a connection. A
// running node closes its own side as soon as it reads the director's.
const closingLinkTimeout = 2 * time.Second

// closeLink closes a connection to a node. In detached mode, messages of the node that cross the close are still read,
// unless the reason excludes that: the node may send the end of a session on this connection and on no other.
func (l *Loop) closeLink(n *node, link uint64, reason closeReason) {
	l.event(Event{Kind: ServerDisconnected, Server: n.name, Link: link, Reason: string(reason)})
	if !l.options.Detached || !reason.readsOn() {
		l.emit(CloseLink{Link: link})
		return
	}
	for _, g := range sorted(n.legs) {
		if g.phase == legSent && g.link == link { // the node need not notice the close at once
			l.cancelLeg(g)
		}
	}
	l.closingLinks[link] = n
	l.timers.Add(l.now+closingLinkTimeout, timer{timerClosingLink, link})
	l.emit(CloseLink{Link: link, ReadOn: closingLinkTimeout})
}

// closingLinkLost handles the end of a connection that the director has closed. If the node has not closed its side in
// time, an end that it has sent there is lost. The node repeats its ends on the next connection, so another one is made.
func (l *Loop) closingLinkLost(e LinkLost) {
	n := l.closingLinks[e.Link]
	delete(l.closingLinks, e.Link)
	if n == nil || !e.Aborted {
		return
	}
	if n = l.nodes[n.name]; n != nil && n.playingSince(l.now) < l.now {
		l.probeSuspectLink(n, n.link)
	}
}

// A closeReason is why the director closes a connection to a node, for logs.
type closeReason string

const (
	closedAsIdle         closeReason = "idle"
	closedForDescriptors closeReason = "its descriptor is needed for another server connection"
	closedAsUnknown      closeReason = "the connection was not expected"
	closedAsUnlisted     closeReason = "the server is no longer on the list"
	closedAsMoved        closeReason = "the server has another address"
	closedAsTaken        closeReason = "another server has its address now"
	closedAsProbeFailed  closeReason = "the connection attempt to probe it failed"
	closedAsUnresponsive closeReason = "nothing was received"
	closedAsRestarted    closeReason = "the server has restarted"
	closedAsReplaced     closeReason = "replaced by the connection made to probe it"
	closedAsSuperseded   closeReason = "its replacement has been replaced"
)

// readsOn reports whether messages that cross the close are still read. They are not where the descriptor is needed at
// once, or where another process than the node may be at the other end.
func (r closeReason) readsOn() bool {
	switch r {
	case closedAsIdle, closedAsTaken, closedAsProbeFailed, closedAsReplaced, closedAsSuperseded, closedAsUnlisted:
		return true
	}
	return false
}
