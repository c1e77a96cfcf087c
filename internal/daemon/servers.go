package daemon

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// setUpWaitsMost is how long a set-up may wait to be written. It tells a server how long its client waits, as of when it was
// made, and the rest of the slack of 0.15 s is for its way.
const setUpWaitsMost = 100 * time.Millisecond

func (d *Daemon) connect(o director.Connect) {
	h := &link{d: d, node: o.Node, peer: peer{number: o.Link}}
	if _, err := d.front.DialNode(o.Address, o.Timeout, h); err != nil {
		d.inbox.put(item{in: director.LinkFailed{Node: o.Node, Link: o.Link, Refused: errors.Is(err, syscall.ECONNREFUSED),
			ResourceExhausted: transport.IsLocal(err)}})
	}
}

type link struct {
	d    *Daemon
	node string
	peer peer
}

func (h *link) Opened(c *transport.Conn) {
	h.d.inbox.put(item{in: director.LinkConnected{Node: h.node, Link: h.peer.number}, conn: c})
}

// Expired says that a set-up was not written in time, and never will be.
func (h *link) Expired(_ *transport.Conn, attempt uint64) {
	h.d.inbox.put(item{in: director.Withdrawn{Leg: attempt}})
}

func (h *link) Message(c *transport.Conn, raw []byte) {
	in, reply, err := h.d.front.FromNode(raw)
	if err != nil {
		h.d.malformed(c, 1, fmt.Errorf("node %s: %w", h.node, err))
		return
	}
	if reply != nil {
		c.Send(reply, 0)
	}
	if in.Message.Type != "" {
		in.Link = h.peer.number
		h.d.hand(c, &h.peer, in)
	}
}

func (h *link) Closed(_ *transport.Conn, why error, unsent []uint64) {
	h.d.inbox.put(item{in: director.LinkLost{Link: h.peer.number, Unsent: unsent, Reason: clip(why.Error())}})
}
