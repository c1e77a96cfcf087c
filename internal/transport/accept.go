package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Initial and maximum delay between attempts to accept while the system lacks a descriptor, buffer or memory for a
// connection. The delay doubles with each attempt. It is short because clients wait in the listener's backlog
// meanwhile.
const (
	initialAcceptDelay = time.Millisecond
	maxAcceptDelay     = 20 * time.Millisecond
)

// maxFailuresAtOnce is the number of accept calls in a row that may fail for another reason without a delay. One that
// fails because a peer reset its connection has removed that connection, so the next call is made at once; an error
// that persists must not take a whole core.
const maxFailuresAtOnce = 64

// noDescriptor takes the place of a descriptor that has been closed.
const noDescriptor = -1

// A listener accepts connections for netpoll, which calls Accept whenever the descriptor of Fd is readable. netpoll
// goes on to use that descriptor's number after the server has stopped accepting, and gives up a listener whose Accept
// fails. So it is given an epoll descriptor of the listener's own, which contains the socket: the socket can be closed,
// and left unwatched for a while, without netpoll.
type listener struct {
	address net.Addr
	calls   *systemCalls
	watched chan struct{} // closed when netpoll has called Accept for the first time

	mu       sync.Mutex    // held during each system call on the descriptors, so that none is on a closed one's number
	epoll    int           // netpoll watches it from Serve to Shutdown, and it stays open for that time
	starter  int           // eventfd that makes epoll readable until the first Accept
	socket   int           // the listening socket
	delay    time.Duration // the last one while a resource is lacking
	failures int           // in a row, for other reasons
	resuming *time.Timer   // watches the socket again after a delay; nil: there was none so far
}

func listen(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	// The runtime's own descriptor and its registration end here. A copy is used instead of netpoll's listener, because
	// that closes its descriptor's number twice.
	defer ln.Close()
	socket, err := duplicate(ln.(*net.TCPListener))
	if err != nil {
		return nil, err
	}
	l := &listener{address: ln.Addr(), calls: currentCalls.Load(), watched: make(chan struct{}),
		epoll: noDescriptor, starter: noDescriptor, socket: socket}
	if err := l.openEpoll(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *listener) openEpoll() (err error) {
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return err
	}
	if l.starter, err = unix.Eventfd(1, unix.EFD_CLOEXEC); err != nil {
		return err
	}
	for _, descriptor := range []int{l.starter, l.socket} {
		if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, descriptor, &unix.EpollEvent{Events: unix.EPOLLIN}); err != nil {
			return err
		}
	}
	return nil
}

// Fd returns the descriptor that netpoll watches.
func (l *listener) Fd() int { return l.epoll }

// Addr returns the address at which the listener listens.
func (l *listener) Addr() net.Addr { return l.address }

// Accept returns a connection, or neither a connection nor an error if none can be accepted now. netpoll calls it again
// while its descriptor is readable.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starter != noDescriptor {
		closeDescriptor(&l.starter)
		close(l.watched)
		return nil, nil
	}
	if l.socket == noDescriptor {
		return nil, nil
	}
	descriptor, peer, err := l.calls.accept(l.socket)
	switch err {
	case nil:
		l.delay, l.failures = 0, 0
		return newAccepted(descriptor, l.address, peer), nil
	case unix.EAGAIN:
		l.delay, l.failures = 0, 0
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM:
		internalErrors.Add(1)
		l.delay = min(max(2*l.delay, initialAcceptDelay), maxAcceptDelay)
		l.pause(l.delay)
	default: // the connection was aborted, or a signal arrived: the next call may succeed
		internalErrors.Add(1)
		if l.failures++; l.failures == maxFailuresAtOnce {
			l.failures = 0
			l.pause(initialAcceptDelay)
		}
	}
	return nil, nil
}

// pause stops watching the socket for the delay. It is called with the lock held.
func (l *listener) pause(delay time.Duration) {
	if err := l.calls.watch(l.epoll, l.socket, 0); err != nil {
		return // netpoll calls Accept again at once
	}
	if l.resuming == nil {
		l.resuming = time.AfterFunc(delay, l.resume)
	} else {
		l.resuming.Reset(delay)
	}
}

// resume watches the socket again, or tries again later if the system does not allow it now.
func (l *listener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == noDescriptor {
		return
	}
	if err := l.calls.watch(l.epoll, l.socket, unix.EPOLLIN); err != nil {
		internalErrors.Add(1)
		l.resuming.Reset(maxAcceptDelay)
	}
}

// stop closes the socket, so that the system refuses connections. Later calls of Accept return none.
func (l *listener) stop() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resuming != nil {
		l.resuming.Stop()
	}
	return closeDescriptor(&l.socket)
}

// Close stops the listener and closes the descriptor that netpoll watches. netpoll calls it after its last use of the
// number.
func (l *listener) Close() error {
	err := l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(err, closeDescriptor(&l.starter), closeDescriptor(&l.epoll))
}

// closeDescriptor closes a descriptor once.
func closeDescriptor(descriptor *int) error {
	number := *descriptor
	*descriptor = noDescriptor
	if number == noDescriptor {
		return nil
	}
	return unix.Close(number)
}

// acceptedSocket is the descriptor and the addresses of a new connection, as netpoll expects them.
type acceptedSocket struct {
	net.Conn   // nil: only the methods below are called
	descriptor int
	local      net.Addr
	peer       net.Addr
}

var _ netpoll.Conn = (*acceptedSocket)(nil)

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
