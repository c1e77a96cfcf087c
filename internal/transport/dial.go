package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"syscall"
	"time"

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
	dialed, err := dialWithRetry(timeout, func(remaining time.Duration) (net.Conn, error) {
		return dialFrom(from, address, remaining)
	})
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	_ = dialed.SetDeadline(start.Add(max(timeout, time.Since(start)+time.Millisecond))) // fails only on a closed connection
	in, err := requestUpgrade(dialed, address, protocol)
	if err != nil {
		dialed.Close()
		return nil, fmt.Errorf("connect to %s: %w: %v", address, ErrHandshake, err)
	}
	c := &Conn{handler: handler, limits: limits, budget: limits.Input, client: true,
		established: true, handshakeDone: true, usable: true}
	if userData != nil {
		c.SetUserData(userData)
	}
	if err := c.start(dialed, in); err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return c, nil
}

// requestUpgrade carries out the WebSocket handshake, and returns the input that was read past its end.
func requestUpgrade(dialed net.Conn, address, protocol string) (in []byte, err error) {
	d := ws.Dialer{Protocols: []string{protocol}}
	br, hs, err := d.Upgrade(dialed, &url.URL{Scheme: "ws", Host: address, Path: "/"})
	if err == nil && hs.Protocol != protocol {
		err = fmt.Errorf("server did not select sub-protocol %s", protocol)
	}
	if br != nil {
		in = bufferedBytes(br)
		ws.PutReader(br)
	}
	return in, err
}

// start takes over the descriptor of a dialed connection, passes the connection to its handler, handles the input that
// was already received, and begins to read. If it returns an error, the handler was not called.
func (c *Conn) start(dialed net.Conn, in []byte) error {
	descriptor, err := duplicate(dialed.(syscall.Conn))
	peer := dialed.RemoteAddr()
	dialed.Close()
	if err != nil {
		return err
	}
	socket := newSocket(descriptor, peer)
	socket.conn, c.raw = c, socket
	c.lastRead.Store(int64(monotonic()))
	c.input.running = true // nothing is read, and no end is reported, before Opened has returned
	c.handler.Opened(c)
	if len(in) > 0 {
		c.handleRecovering(in)
	}
	c.beginReading(socket)
	c.runInput(readBuffers.Get().(*[readBufferBytes]byte), 0, nil) // what the poller has reported meanwhile
	return nil
}

// beginReading has the poller watch a socket. A connection that cannot be watched is ended.
func (c *Conn) beginReading(socket *socketConn) {
	if err := socket.watch(); err != nil {
		internalErrors.Add(1)
		c.closeNow(fmt.Errorf("%w: %w", ErrClosedLocally, err))
	}
}

func dialFrom(from netip.Addr, address string, timeout time.Duration) (net.Conn, error) {
	if !from.IsValid() {
		return currentCalls.Load().dial(address, timeout)
	}
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	return d.Dial("tcp", address)
}

// bufferedBytes returns what the reader of a handshake response has read past its end.
func bufferedBytes(br *bufio.Reader) []byte {
	rest, _ := br.Peek(br.Buffered())
	return bytes.Clone(rest)
}
