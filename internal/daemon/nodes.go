package daemon

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// maxSetupWriteDelay is how long a set-up may wait to be written. A set-up states how long its client still waits,
// measured when the set-up was made. The figure may be up to 0.15 s out of date on arrival at the node; the part of
// this beyond the write delay is for the network.
const maxSetupWriteDelay = 100 * time.Millisecond

// connect dials a node and reports a failure to the loop; nodeHandler.Opened reports the success.
func (d *Daemon) connect(o director.Connect) {
	h := &nodeHandler{d: d, node: o.Node, peer: peer{id: o.Link}}
	if _, err := d.protocol.DialNode(o.Address, o.Timeout, h); err != nil {
		d.inbox.put(item{input: director.LinkFailed{Node: o.Node, Link: o.Link, Refused: errors.Is(err, syscall.ECONNREFUSED),
			ResourceExhausted: transport.IsLocalError(err)}})
	}
}

// A nodeHandler receives the events of one connection to a node, which is a streaming server.
type nodeHandler struct {
	d    *Daemon
	node string
	peer peer
}

func (h *nodeHandler) Opened(c *transport.Conn) {
	h.peer.conn = c
	h.d.inbox.put(item{input: director.LinkConnected{Node: h.node, Link: h.peer.id}, conn: c})
}

// Expired tells the loop that a leg's set-up was not written in time and never will be.
func (h *nodeHandler) Expired(_ *transport.Conn, leg uint64) {
	h.d.inbox.put(item{input: director.Withdrawn{Leg: leg}})
}

func (h *nodeHandler) Message(c *transport.Conn, raw []byte) {
	in, reply, err := h.d.protocol.DecodeNode(raw)
	if err != nil {
		h.d.malformed(c, 1, fmt.Errorf("node %s: %w", h.node, err))
		return
	}
	if reply != nil {
		c.Send(reply, 0)
	}
	if in.Message.Type == "" {
		return
	}
	in.Link = h.peer.id
	i := item{input: in, peer: &h.peer, held: messageCost(len(raw))}
	if in.Message.Type != wire.Measurement {
		i.receivedAt = time.Now().Add(-c.ReadIdleTime())
	}
	h.d.enqueueBounded(c, i)
}

func (h *nodeHandler) Closed(_ *transport.Conn, reason error, unsent []uint64) {
	h.d.inbox.put(item{input: director.LinkLost{Link: h.peer.id, Unsent: unsent,
		Aborted: errors.Is(reason, transport.ErrClosedLocally), Reason: truncate(reason.Error())}})
}
