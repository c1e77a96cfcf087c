package daemon

import (
	"errors"
	"strings"
	"time"

	"fordusher/internal/transport"
)

// enqueueBounded puts a message of a node or of discovery into the inbox, unless too many items of the peer wait there.
func (d *Daemon) enqueueBounded(c *transport.Conn, i item) {
	if d.reserveInboxSlot(c, i.peer) {
		c.HoldInput(i.held)
		d.inbox.put(i)
	}
}

// maxSharedBacklog is how many messages may wait for the loop in detached mode while a peer exceeds its own bound. What
// peers send at once about playing sessions, such as the hand-overs after a start and the ends at a node's shutdown,
// can't be refused as a request can.
const maxSharedBacklog = 16 << 10

// reserveInboxSlot counts one more waiting message of a peer. If that exceeds the peer's bound and what peers share, it
// ends the connection's input and returns false.
func (d *Daemon) reserveInboxSlot(c *transport.Conn, p *peer) bool {
	if p.pending.Add(1) <= int32(d.config.ConnectionLimits.InboxSize) ||
		d.config.ProtocolOptions.Detached && d.inbox.length() < maxSharedBacklog {
		return true
	}
	p.pending.Add(-1)
	d.floodCloses.Add(1)
	c.EndInput(errFlood, closePolicy)
	return false
}

// WebSocket close codes (RFC 6455, section 7.4.1).
const (
	closePolicy      = 1008
	closeInvalidData = 1007
	closeGoingAway   = 1001
)

// malformedLogInterval is the shortest interval between two log lines on malformed messages from one kind of peer,
// after the first three. The messages in between are only counted.
const malformedLogInterval = 10 * time.Second

// malformed counts a malformed message and ends the connection's input. The kind of peer is 0 for a client, 1 for a node
// and 2 for discovery.
func (d *Daemon) malformed(c *transport.Conn, peerKind int, err error) {
	d.countMalformed(c, peerKind, err)
	c.EndInput(err, closeInvalidData)
}

// countMalformed counts a malformed message and logs it subject to the rate limit.
func (d *Daemon) countMalformed(c *transport.Conn, peerKind int, err error) {
	n := d.malformedCounts[peerKind].Add(1)
	d.malformedLogLimits[peerKind].Do(func() {
		d.log.Warn().Str("peer", c.RemoteAddr().String()).Str("from", [...]string{"player", "node", "list"}[peerKind]).Int64("so_far", n).
			Str("error", truncate(err.Error())).Msg("received a malformed message")
	})
}

// errFlood ends the input of a peer with too many messages waiting for the loop.
var errFlood = errors.New("too many messages at once")

// truncate bounds the length of text from a peer in a log line or close reason, and makes it valid UTF-8; the log
// writer escapes it.
func truncate(text string) string {
	const maxLength = 200
	if len(text) > maxLength {
		text = text[:maxLength] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}
