package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"
)

// Dial connects to a server and returns once the handshake is done or the time is up. The handler's
// Opened has been called when it returns without an error; without one nothing of it is ever called.
func Dial(address, protocol string, within time.Duration, bounds Limits, handler Handler, cookie any) (*Conn, error) {
	return DialFrom(netip.Addr{}, address, protocol, within, bounds, handler, cookie)
}

// DialFrom is Dial from an address of this machine; without one the system chooses.
func DialFrom(from netip.Addr, address, protocol string, within time.Duration, bounds Limits, handler Handler, cookie any) (*Conn, error) {
	began := time.Now()
	np, err := dialAgain(within, func(within time.Duration) (netpoll.Connection, error) { return dial(from, address, within) })
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	np.SetReadTimeout(max(time.Millisecond, within-time.Since(began)))
	d := ws.Dialer{Protocols: []string{protocol}}
	br, hs, err := d.Upgrade(np, &url.URL{Scheme: "ws", Host: address, Path: "/"})
	if err == nil && hs.Protocol != protocol {
		err = fmt.Errorf("sub-protocol %s not agreed", protocol)
	}
	if err != nil {
		np.Close()
		return nil, fmt.Errorf("connect to %s: %w: %v", address, ErrHandshake, err)
	}
	np.SetReadTimeout(0)
	c := &Conn{np: newSocket(np), handler: handler, bounds: bounds, client: true, open: true, shook: true, usable: true}
	c.heard.Store(int64(monotonic()))
	if cookie != nil {
		c.SetUserData(cookie)
	}
	if br != nil {
		c.partial = leftover(br)
		ws.PutReader(br)
	}
	in := c.partial
	c.partial = nil
	c.stand(np, in)
	return c, nil
}

// stand puts a connection that was dialled into use; the peer may have said something by then.
func (c *Conn) stand(np netpoll.Connection, in []byte) {
	c.handler.Opened(c)
	np.AddCloseCallback(c.closed)
	c.feed(in)
	np.SetOnRequest(c.read)
	if !np.IsActive() { // it ended before the callback was there: netpoll leaves such a connection to its user
		np.Close()
		c.closed(np)
	}
}

func dial(from netip.Addr, address string, within time.Duration) (netpoll.Connection, error) {
	if !from.IsValid() {
		return netpoll.DialConnection("tcp", address, within)
	}
	to, err := netpoll.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return netpoll.DialTCP(ctx, "tcp", &netpoll.TCPAddr{TCPAddr: net.TCPAddr{IP: from.AsSlice()}}, to)
}

// leftover is what a handshake's reader has read past its end.
func leftover(br *bufio.Reader) []byte {
	rest, _ := br.Peek(br.Buffered())
	return bytes.Clone(rest)
}
