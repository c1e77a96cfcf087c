package daemon

import (
	"errors"
	"strings"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// hand puts a message of a node or of the list into the inbox, unless too many of its wait there.
func (d *Daemon) hand(c *transport.Conn, p *peer, in director.Input) {
	if d.bound(c, p) {
		d.inbox.put(item{in: in, peer: p})
	}
}

// bound counts one more message of a peer that waits, and closes the peer's connection where that is too
// many.
func (d *Daemon) bound(c *transport.Conn, p *peer) bool {
	if p.pending.Add(1) <= int32(d.house.Door.Inbox) {
		return true
	}
	p.pending.Add(-1)
	d.flooded.Add(1)
	c.EndInput(errFlood, closePolicy)
	return false
}

const (
	closePolicy = 1008
	closeData   = 1007
	closeGoing  = 1001
)

// complainEvery is how often a malformed message of each kind of peer is told of; in between they are counted.
const complainEvery = 10 * time.Second

func (d *Daemon) malformed(c *transport.Conn, who int, err error) {
	n := d.refused[who].Add(1)
	d.complain[who].Do(func() {
		d.log.Warn().Str("peer", c.Peer().String()).Str("from", [...]string{"player", "node", "list"}[who]).Int64("so_far", n).
			Str("error", clip(err.Error())).Msg("a malformed message")
	})
	c.EndInput(err, closeData)
}

// errFlood ends the input of a peer of which too much waits for the loop.
var errFlood = errors.New("too many messages at once")

// clip bounds what a peer can put into a line; the writer escapes it.
func clip(text string) string {
	const most = 200
	if len(text) > most {
		text = text[:most] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}
