package transport

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Initial and maximum delay between attempts to accept while the system lacks a descriptor, buffer or memory for a
// connection. The delay doubles with each attempt. It is short because clients wait in the listener's backlog
// meanwhile.
const (
	initialAcceptDelay = time.Millisecond
	maxAcceptDelay     = 20 * time.Millisecond
)

// A listener accepts connections for netpoll, which calls Accept whenever the socket is readable until no connection is
// waiting. When accepting fails for lack of a local resource, netpoll stops watching the socket and calls Accept from a
// goroutine of its own with delays of up to a second. Accept delays and retries itself instead, so that the delays are
// shorter.
//
// The listener owns its descriptor and closes it once. Netpoll's own listener closes the number twice, and the second
// close may hit a file that was opened in between.
type listener struct {
	file       *os.File // owns the descriptor
	descriptor int
	address    net.Addr
	calls      *systemCalls
	retrying   atomic.Bool // Accept is called from netpoll's retry goroutine
	closed     atomic.Bool
}

func listen(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	file, err := ln.(*net.TCPListener).File() // a duplicate, which listens on after ln is closed
	if err := errors.Join(err, ln.Close()); err != nil {
		return nil, err
	}
	l := &listener{file: file, descriptor: int(file.Fd()), address: ln.Addr(), calls: currentCalls.Load()}
	if err := unix.SetNonblock(l.descriptor, true); err != nil { // Fd may have set it to blocking
		file.Close()
		return nil, err
	}
	return l, nil
}

// Addr returns the address at which the listener listens.
func (l *listener) Addr() net.Addr { return l.address }

// Fd returns the descriptor, which netpoll watches.
func (l *listener) Fd() int { return l.descriptor }

// Accept returns a connection, or neither a connection nor an error if none is waiting.
func (l *listener) Accept() (net.Conn, error) {
	delay := initialAcceptDelay
	for {
		descriptor, peer, err := l.calls.accept(l.descriptor)
		switch err {
		case nil:
			return newAccepted(descriptor, l.address, peer), nil
		case unix.EAGAIN:
			l.retrying.Store(false)
			return nil, nil
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM:
			if !l.retrying.Swap(true) {
				return nil, unix.ENFILE // the error after which netpoll retries in a goroutine; netpoll also logs it
			}
			internalErrors.Add(1)
		default: // the connection was aborted, or a signal arrived: the next call may succeed
			internalErrors.Add(1)
			if !l.retrying.Load() {
				return nil, nil // netpoll calls Accept again while the socket is readable
			}
		}
		if l.closed.Load() {
			// Netpoll's retry goroutine has no other way to end. It would go on to watch the descriptor, which may
			// belong to another file by now.
			runtime.Goexit()
		}
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

// Close closes the descriptor once: netpoll's shutdown may call it again when the descriptor already belongs to another
// file.
func (l *listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.file.Close()
}

// acceptedSocket is the descriptor and the addresses of a new connection, as netpoll expects them.
type acceptedSocket struct {
	net.Conn   // nil: only the methods below are called
	descriptor int
	local      net.Addr
	peer       net.Addr
}

func newAccepted(descriptor int, local net.Addr, peer unix.Sockaddr) *acceptedSocket {
	// Without the option the connection is slower but correct, so an error is ignored.
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &acceptedSocket{descriptor: descriptor, local: local, peer: tcpAddress(peer)}
}

func (a *acceptedSocket) Fd() int              { return a.descriptor }
func (a *acceptedSocket) LocalAddr() net.Addr  { return a.local }
func (a *acceptedSocket) RemoteAddr() net.Addr { return a.peer }

func tcpAddress(address unix.Sockaddr) *net.TCPAddr {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return &net.TCPAddr{}
}
