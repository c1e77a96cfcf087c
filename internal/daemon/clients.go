package daemon

import (
	"net/netip"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// refuse answers a request for which there is no room in the inbox. The loop never hears of it, so it has never run.
func (d *Daemon) refuse(c *transport.Conn, in director.ClientReceived) {
	d.overfull.Add(1)
	c.Send(d.front.ToPlayer(director.SendClient{Message: wire.Session{
		Type: wire.Nack, ID: in.Message.ID, Backoff: d.house.Queue.MaxRetryAfter.Milliseconds(), Why: "too many requests at once"}}), 0)
}

type players struct{ d *Daemon }

func (h players) Connecting(c *transport.Conn) {
	p := &peer{number: h.d.lastConn.Add(1)}
	c.SetCookie(p)
	var from netip.Addr
	if a, ok := c.Peer().(interface{ AddrPort() netip.AddrPort }); ok {
		from = a.AddrPort().Addr().Unmap()
	} else if a, err := netip.ParseAddrPort(c.Peer().String()); err == nil {
		from = a.Addr().Unmap()
	}
	p.pending.Add(1)
	h.d.inbox.stand(item{in: director.ClientConnecting{Conn: p.number, Address: from}, conn: c, peer: p})
}

func (h players) Opened(c *transport.Conn) {
	h.d.inbox.put(item{in: director.ClientAccepted{Conn: c.Cookie().(*peer).number}})
}

func (h players) Message(c *transport.Conn, raw []byte) {
	p := c.Cookie().(*peer)
	in, reply, err := h.d.front.FromPlayer(raw)
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
	if asks(in) && int(p.pending.Load()) >= h.d.house.Door.Inbox {
		h.d.refuse(c, in)
		return
	}
	if !h.d.bound(c, p) {
		return
	}
	in.Conn = p.number
	if i := (item{in: in, peer: p}); in.Message.Type == wire.Leave && h.d.house.Manners.Linger == 0 {
		h.d.inbox.cancel(i, in.Message.ID)
	} else {
		h.d.inbox.stand(i)
	}
}

// InputEnded says that nothing more is read from a player's connection. The loop closes it once it owes nothing on it.
func (h players) InputEnded(c *transport.Conn, why error) {
	p, ok := c.Cookie().(*peer)
	if !ok { // it has not knocked
		c.Close(closeData, why.Error())
		return
	}
	h.d.deafened.Add(1)
	p.pending.Add(1)
	h.d.inbox.stand(item{in: director.ClientInputEnded{Conn: p.number, Reason: clip(why.Error())}, peer: p})
}

func (h players) Closed(c *transport.Conn, why error, _ []uint64) {
	if p, ok := c.Cookie().(*peer); ok {
		p.left.Store(true)
		h.d.inbox.close(item{in: director.ClientLost{Conn: p.number, Reason: clip(why.Error())}, peer: p}, h.d.house.Manners.Linger > 0)
	}
}
