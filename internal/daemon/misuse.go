package daemon

import (
	"errors"
	"strings"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// enqueueBounded puts a message of a node or of the list into the inbox, unless too many of its wait there.
func (d *Daemon) enqueueBounded(c *transport.Conn, p *peer, in director.Input) {
	if d.reserveInboxSlot(c, p) {
		d.inbox.put(item{input: in, peer: p})
	}
}

// reserveInboxSlot counts one more message of a peer that waits, and closes the peer's connection where that is too
// many.
func (d *Daemon) reserveInboxSlot(c *transport.Conn, p *peer) bool {
	if p.pending.Add(1) <= int32(d.config.ConnectionLimits.InboxSize) {
		return true
	}
	p.pending.Add(-1)
	d.floodCloses.Add(1)
	c.EndInput(errFlood, closePolicy)
	return false
}

const (
	closePolicy      = 1008
	closeInvalidData = 1007
	closeGoingAway   = 1001
)

// malformedLogInterval is how often a malformed message of each kind of peer is told of; in between they are counted.
const malformedLogInterval = 10 * time.Second

func (d *Daemon) malformed(c *transport.Conn, who int, err error) {
	n := d.malformedCounts[who].Add(1)
	d.malformedLogLimits[who].Do(func() {
		d.log.Warn().Str("peer", c.RemoteAddr().String()).Str("from", [...]string{"player", "node", "list"}[who]).Int64("so_far", n).
			Str("error", truncate(err.Error())).Msg("a malformed message")
	})
	c.EndInput(err, closeInvalidData)
}

// errFlood ends the input of a peer of which too much waits for the loop.
var errFlood = errors.New("too many messages at once")

// truncate bounds what a peer can put into a line; the writer escapes it.
func truncate(text string) string {
	const most = 200
	if len(text) > most {
		text = text[:most] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}
