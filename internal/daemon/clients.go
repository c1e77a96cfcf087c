package daemon

import (
	"net/netip"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// rejectRequest answers a request for which there is no room in the inbox. The loop never hears of it, so it has never run.
func (d *Daemon) rejectRequest(c *transport.Conn, in director.ClientReceived) {
	d.inboxFullRejects.Add(1)
	c.Send(d.protocol.EncodeClient(director.SendClient{Message: wire.SessionMessage{
		Type: wire.Nack, ID: in.Message.ID, BackoffMS: d.config.Queue.MaxRetryAfter.Milliseconds(), Reason: "too many requests at once"}}), 0)
}

type clientHandler struct{ d *Daemon }

func (h clientHandler) Connecting(c *transport.Conn) {
	p := &peer{id: h.d.lastConnID.Add(1)}
	c.SetUserData(p)
	var from netip.Addr
	if a, ok := c.RemoteAddr().(interface{ AddrPort() netip.AddrPort }); ok {
		from = a.AddrPort().Addr().Unmap()
	} else if a, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		from = a.Addr().Unmap()
	}
	p.pending.Add(1)
	h.d.inbox.enqueueClient(item{input: director.ClientConnecting{Conn: p.id, Address: from}, conn: c, peer: p})
}

func (h clientHandler) Opened(c *transport.Conn) {
	h.d.inbox.put(item{input: director.ClientAccepted{Conn: c.UserData().(*peer).id}})
}

func (h clientHandler) Message(c *transport.Conn, raw []byte) {
	p := c.UserData().(*peer)
	in, reply, err := h.d.protocol.DecodeClient(raw)
	if err != nil {
		h.d.malformed(c, 0, err)
		return
	}
	if reply != nil {
		c.Send(reply, 0)
	}
	if in.Message.Type == "" {
		return
	}
	if isNewRequest(in) && int(p.pending.Load()) >= h.d.config.ConnectionLimits.InboxSize {
		h.d.rejectRequest(c, in)
		return
	}
	if !h.d.reserveInboxSlot(c, p) {
		return
	}
	in.Conn = p.id
	if i := (item{input: in, peer: p}); in.Message.Type == wire.Cancel && h.d.config.ProtocolOptions.Linger == 0 {
		h.d.inbox.cancel(i, in.Message.ID)
	} else {
		h.d.inbox.enqueueClient(i)
	}
}

// InputEnded says that nothing more is read from a player's connection. The loop closes it once it owes nothing on it.
func (h clientHandler) InputEnded(c *transport.Conn, why error) {
	p, ok := c.UserData().(*peer)
	if !ok { // it has not knocked
		c.Close(closeInvalidData, why.Error())
		return
	}
	h.d.inputEndedCount.Add(1)
	p.pending.Add(1)
	h.d.inbox.enqueueClient(item{input: director.ClientInputEnded{Conn: p.id, Reason: truncate(why.Error())}, peer: p})
}

func (h clientHandler) Closed(c *transport.Conn, why error, _ []uint64) {
	if p, ok := c.UserData().(*peer); ok {
		p.disconnected.Store(true)
		h.d.inbox.disconnect(item{input: director.ClientLost{Conn: p.id, Reason: truncate(why.Error())}, peer: p}, h.d.config.ProtocolOptions.Linger > 0)
	}
}
