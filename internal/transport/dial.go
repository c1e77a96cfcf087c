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

// Dial connects to a server and returns when the handshake is complete or the time-out has expired. If it returns no
// error, the handler's Opened has been called; if it returns an error, the handler is never called. The connection's
// user data is set before Opened is called, unless userData is nil.
func Dial(address, protocol string, timeout time.Duration, limits Limits, handler Handler, userData any) (*Conn, error) {
	return DialFrom(netip.Addr{}, address, protocol, timeout, limits, handler, userData)
}

// DialFrom is Dial from a given address of this machine; for the zero Addr the system chooses one.
func DialFrom(from netip.Addr, address, protocol string, timeout time.Duration, limits Limits, handler Handler,
	userData any) (*Conn, error) {
	start := time.Now()
	np, err := dialWithRetry(timeout, func(remaining time.Duration) (netpoll.Connection, error) {
		return dialTCPFrom(from, address, remaining)
	})
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	np.SetReadTimeout(max(time.Millisecond, timeout-time.Since(start)))
	d := ws.Dialer{Protocols: []string{protocol}}
	br, hs, err := d.Upgrade(np, &url.URL{Scheme: "ws", Host: address, Path: "/"})
	if err == nil && hs.Protocol != protocol {
		err = fmt.Errorf("server did not select sub-protocol %s", protocol)
	}
	if err != nil {
		np.Close()
		return nil, fmt.Errorf("connect to %s: %w: %v", address, ErrHandshake, err)
	}
	np.SetReadTimeout(0)
	c := &Conn{raw: newSocket(np), handler: handler, limits: limits, client: true,
		established: true, handshakeDone: true, usable: true}
	c.lastRead.Store(int64(monotonic()))
	if userData != nil {
		c.SetUserData(userData)
	}
	if br != nil {
		c.partial = bufferedBytes(br)
		ws.PutReader(br)
	}
	in := c.partial
	c.partial = nil
	c.start(np, in)
	return c, nil
}

// start connects a dialed connection to its handler and to netpoll, and handles the input that was already received.
func (c *Conn) start(np netpoll.Connection, in []byte) {
	np.AddCloseCallback(c.markUnusable) // Opened may close the connection
	c.handler.Opened(c)
	np.AddCloseCallback(c.onClosed)
	c.handleInput(in)
	np.SetOnRequest(c.read)
	if !np.IsActive() { // it closed before the callback was added: netpoll does not clean up such a connection
		np.Close()
		c.onClosed(np)
	}
}

func dialTCPFrom(from netip.Addr, address string, timeout time.Duration) (netpoll.Connection, error) {
	if !from.IsValid() {
		return netpoll.DialConnection("tcp", address, timeout)
	}
	to, err := netpoll.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return netpoll.DialTCP(ctx, "tcp", &netpoll.TCPAddr{TCPAddr: net.TCPAddr{IP: from.AsSlice()}}, to)
}

// bufferedBytes returns what the reader of a handshake response has read past its end.
func bufferedBytes(br *bufio.Reader) []byte {
	rest, _ := br.Peek(br.Buffered())
	return bytes.Clone(rest)
}
