package daemon

import (
	"errors"
	"net/netip"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// rejectRequest answers a request that exceeds its peer's inbox bound with a nack. The loop never receives the request,
// so it has never run.
func (d *Daemon) rejectRequest(c *transport.Conn, in director.ClientReceived) {
	d.inboxFullRejects.Add(1)
	c.Send(d.protocol.EncodeClient(director.SendClient{Message: wire.SessionMessage{
		Type: wire.Nack, ID: in.Message.ID, BackoffMS: d.config.Queue.MaxRetryAfter.Milliseconds(),
		Reason: "too many requests at once"}}), 0)
}

// A clientHandler receives the events of client connections and puts them into the inbox.
type clientHandler struct{ d *Daemon }

func (h clientHandler) Connecting(c *transport.Conn) {
	p := &peer{id: h.d.lastConnID.Add(1), conn: c}
	c.SetUserData(p)
	p.disconnected.Store(c.Departed()) // if so, Departed found no peer
	var address netip.Addr
	if a, ok := c.RemoteAddr().(interface{ AddrPort() netip.AddrPort }); ok {
		address = a.AddrPort().Addr().Unmap()
	} else if a, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		address = a.Addr().Unmap()
	}
	p.pending.Add(1)
	h.d.inbox.enqueueClient(item{input: director.ClientConnecting{Conn: p.id, Address: address}, conn: c, peer: p})
}

func (h clientHandler) Opened(c *transport.Conn) {
	h.d.inbox.put(item{input: director.ClientAccepted{Conn: c.UserData().(*peer).id}})
}

func (h clientHandler) Message(c *transport.Conn, raw []byte) {
	p := c.UserData().(*peer)
	in, reply, err := h.d.protocol.DecodeClient(raw)
	if err != nil {
		h.InvalidMessage(c, err)
		return
	}
	if reply != nil {
		c.Send(reply, 0)
	}
	if in.Message.Type == "" {
		return
	}
	if in.StartsSession() && p.disconnected.Load() && h.d.config.ProtocolOptions.Linger == 0 {
		return // the client has left, so no answer is owed
	}
	if in.StartsSession() && int(p.pending.Load()) >= h.d.config.ConnectionLimits.InboxSize {
		h.d.rejectRequest(c, in)
		return
	}
	if !h.d.reserveInboxSlot(c, p) {
		return
	}
	in.Conn = p.id
	i := item{input: in, peer: p, receivedAt: c.EarliestArrival(), held: messageCost(len(raw))}
	c.HoldInput(i.held)
	if in.Message.Type == wire.Cancel && h.d.config.ProtocolOptions.Linger == 0 {
		h.d.inbox.cancel(i, in.Message.ID)
	} else {
		h.d.inbox.enqueueClient(i)
	}
}

// InputEnded tells the loop that nothing more is read from a client's connection. The loop closes the connection once
// all its requests are answered.
func (h clientHandler) InputEnded(c *transport.Conn, reason error) {
	p, ok := c.UserData().(*peer)
	if !ok { // Connecting was not called, so the loop does not know the connection.
		c.Close(closeInvalidData, reason.Error())
		return
	}
	h.d.inputEndedCount.Add(1)
	p.pending.Add(1)
	h.d.inbox.enqueueClient(item{input: director.ClientInputEnded{Conn: p.id, Reason: truncate(reason.Error())}, peer: p})
}

// The input of a client connection with more than maxInvalidMessages invalid messages is held back by invalidMessageDelay
// for each further one, so that other clients are not held up.
const (
	maxInvalidMessages  = 16
	invalidMessageDelay = time.Millisecond
)

// InvalidMessage counts an invalid message and tells the loop, which closes the connection once nothing is owed on it.
// Other protocols than those that frame themselves end the input.
func (h clientHandler) InvalidMessage(c *transport.Conn, err error) {
	p, ok := c.UserData().(*peer)
	if !ok || !c.Framed() {
		h.d.malformed(c, 0, err)
		return
	}
	h.d.countMalformed(c, 0, err)
	switch n := p.invalidMessages.Add(1); {
	case n == 1:
		p.pending.Add(1)
		h.d.inbox.enqueueClient(item{input: director.ClientInputInvalid{Conn: p.id, Reason: truncate(err.Error())}, peer: p})
	case n > maxInvalidMessages:
		time.Sleep(invalidMessageDelay)
	}
}

// MessageStalled tells the loop that a message of the client has been incomplete for too long.
func (h clientHandler) MessageStalled(c *transport.Conn) {
	if p, ok := c.UserData().(*peer); ok {
		p.pending.Add(1)
		h.d.inbox.enqueueClient(item{input: director.ClientStalled{Conn: p.id}, peer: p})
	}
}

// Departed drops the requests of a client that has left while its input waits. Its other messages are still handled.
func (h clientHandler) Departed(c *transport.Conn) {
	if p, ok := c.UserData().(*peer); ok && h.d.config.ProtocolOptions.Linger == 0 {
		p.disconnected.Store(true)
		h.d.inbox.departed(p)
		h.d.inbox.put(item{input: director.ClientDeparted{Conn: p.id}})
	}
}

func (h clientHandler) Closed(c *transport.Conn, reason error, _ []uint64) {
	if p, ok := c.UserData().(*peer); ok {
		p.disconnected.Store(true)
		lost := director.ClientLost{Conn: p.id, Reason: truncate(reason.Error()), ClosedByClient: errors.Is(reason, transport.ErrClosedByPeer)}
		h.d.inbox.disconnect(item{input: lost, peer: p},
			h.d.config.ProtocolOptions.Linger > 0)
	}
}
