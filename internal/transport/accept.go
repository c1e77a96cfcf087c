package transport

import (
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// How long accepting rests at first, and at most, while the system has no descriptor, buffer or memory for a connection.
// The rest doubles while it goes on. Clients wait in the listener's queue meanwhile, so it is short.
const (
	firstAcceptRest = time.Millisecond
	mostAcceptRest  = 20 * time.Millisecond
)

// A listener accepts connections for netpoll, which calls Accept whenever the socket is readable, until it says that none
// waits any more. Where accepting fails for want of something here, netpoll lets the socket be and calls Accept again from
// a goroutine of its own, with rests of up to a second; the rests are taken in Accept instead, which are shorter.
type listener struct {
	netpoll.Listener
	calls   *systemCalls
	resting atomic.Bool // Accept is called from netpoll's goroutine for retries
	closed  atomic.Bool
}

func listen(address string) (*listener, error) {
	ln, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: ln, calls: system.Load()}, nil
}

// Accept returns a connection, or none and no error where none waits.
func (l *listener) Accept() (net.Conn, error) {
	rest := firstAcceptRest
	for {
		descriptor, peer, err := l.calls.accept(l.Fd())
		switch err {
		case nil:
			return newAccepted(descriptor, l.Addr(), peer), nil
		case unix.EAGAIN:
			l.resting.Store(false)
			return nil, nil
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM:
			if !l.resting.Swap(true) {
				return nil, unix.ENFILE // the one that netpoll goes on after in a goroutine, and complains of
			}
			complaints.Add(1)
		default: // the connection's own end, a signal: the next one may be right
			complaints.Add(1)
			if !l.resting.Load() {
				return nil, nil // called again while the socket is readable
			}
		}
		if l.closed.Load() {
			// Netpoll's goroutine knows no other end, and would watch a descriptor that may be another file's by now.
			runtime.Goexit()
		}
		time.Sleep(rest)
		rest = min(2*rest, mostAcceptRest)
	}
}

// Close may be called again by netpoll's shutdown, when the descriptor may be another file's.
func (l *listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.Listener.Close()
}

// accepted is what netpoll takes a new connection from: its descriptor and addresses.
type accepted struct {
	net.Conn   // nothing of it is called
	descriptor int
	local      net.Addr
	peer       net.Addr
}

func newAccepted(descriptor int, local net.Addr, peer unix.Sockaddr) *accepted {
	// An error leaves it slower, not wrong.
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &accepted{descriptor: descriptor, local: local, peer: tcpAddress(peer)}
}

func (a *accepted) Fd() int              { return a.descriptor }
func (a *accepted) LocalAddr() net.Addr  { return a.local }
func (a *accepted) RemoteAddr() net.Addr { return a.peer }

func tcpAddress(address unix.Sockaddr) *net.TCPAddr {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return &net.TCPAddr{}
}
