package transport

import (
	"net"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// acceptDelay is the delay after a call of accept that failed because the system lacks a descriptor, buffer or memory
// for a connection. It is short because netpoll's poller waits for it, which also reads from all connections.
const acceptDelay = time.Millisecond

// maxFailuresAtOnce is the number of accept calls in a row that may fail for another reason without a delay. One that
// fails because a peer reset its connection has removed that connection, so the next call is made at once; an error
// that persists must not take a whole core.
const maxFailuresAtOnce = 64

// noDescriptor takes the place of a descriptor that there is not.
const noDescriptor = -1

// A listener accepts connections for netpoll, whose poller calls Accept whenever the socket is readable. It owns its
// descriptor: netpoll's listener closes the number twice. Accept returns no errors, because netpoll would go on with a
// goroutine that uses the number, also after a close.
type listener struct {
	address net.Addr
	calls   *systemCalls
	known   chan struct{} // closed when netpoll asks for the descriptor
	once    sync.Once

	mu       sync.Mutex // held during accept and close, so that no accept is on the number of a closed descriptor
	socket   int
	failures int // in a row, for other reasons than a lack of resources
}

func listen(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer ln.Close() // the copy goes on to listen
	socket, err := duplicate(ln.(*net.TCPListener))
	if err != nil {
		return nil, err
	}
	return newListener(socket, ln.Addr()), nil
}

func newListener(socket int, address net.Addr) *listener {
	return &listener{address: address, calls: currentCalls.Load(), known: make(chan struct{}), socket: socket}
}

// Addr returns the address at which the listener listens.
func (l *listener) Addr() net.Addr { return l.address }

// Fd returns the descriptor that netpoll is to watch. netpoll calls it once.
func (l *listener) Fd() int {
	l.once.Do(func() { close(l.known) })
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket
}

// Accept returns a connection, or neither a connection nor an error if none can be accepted now: netpoll calls it again
// while the socket is readable.
func (l *listener) Accept() (net.Conn, error) {
	conn, delay := l.tryAccept()
	if conn == nil {
		time.Sleep(delay)
		return nil, nil
	}
	return conn, nil
}

func (l *listener) tryAccept() (conn *acceptedSocket, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == noDescriptor {
		return nil, 0
	}
	descriptor, peer, err := l.calls.accept(l.socket)
	switch err {
	case nil:
		l.failures = 0
		return newAccepted(descriptor, l.address, peer), 0
	case unix.EAGAIN:
		l.failures = 0
		return nil, 0
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM:
		internalErrors.Add(1)
		return nil, acceptDelay
	}
	// The connection was aborted, or a signal arrived: the next call may succeed.
	internalErrors.Add(1)
	if l.failures++; l.failures < maxFailuresAtOnce {
		return nil, 0
	}
	l.failures = 0
	return nil, acceptDelay
}

// Close closes the descriptor once. The system refuses connections from then on.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	socket := l.socket
	l.socket = noDescriptor
	if socket == noDescriptor {
		return nil
	}
	return unix.Close(socket)
}

// A watchedListener is a listener as netpoll knows it.
type watchedListener struct{ *listener }

// Close is called by netpoll's shutdown when it no longer watches the descriptor. It ends the goroutine: netpoll would
// go on to close the connections too.
func (w watchedListener) Close() error {
	_ = w.listener.Close()
	runtime.Goexit()
	return nil
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
