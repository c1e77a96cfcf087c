package transport

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// acceptDelay is the delay after a call of accept that failed because the system lacks a descriptor, buffer or memory
// for a connection. It is short because the poller waits for it, which also reads from all connections.
const acceptDelay = time.Millisecond

// maxFailuresAtOnce is the number of accept calls in a row that may fail for another reason without a delay. One that
// fails because a peer reset its connection has removed that connection, so the next call is made at once; an error
// that persists must not take a whole core.
const maxFailuresAtOnce = 64

// noDescriptor takes the place of a descriptor that there is not.
const noDescriptor = -1

// A listener accepts connections when the poller finds its socket readable. It owns its descriptor.
type listener struct {
	address net.Addr
	calls   *systemCalls

	mu       sync.Mutex // held during accept and close, so that no accept is on the number of a closed descriptor
	socket   int
	token    uint64 // registration in the poller; 0: not watched
	failures int    // in a row, for other reasons than a lack of resources
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
	return &listener{address: address, calls: currentCalls.Load(), socket: socket}
}

// Addr returns the address at which the listener listens.
func (l *listener) Addr() net.Addr { return l.address }

// Fd returns the descriptor, or noDescriptor if it is closed.
func (l *listener) Fd() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket
}

// watch has the poller call the watcher whenever a connection can be accepted.
func (l *listener) watch(w watcher) error {
	p, err := defaultPoller()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == noDescriptor {
		return nil
	}
	l.token, err = p.add(l.socket, w)
	return err
}

// accept returns the descriptor of a new connection, or noDescriptor and the delay after which another call is worth
// making. The poller calls again while the socket is readable.
func (l *listener) accept() (descriptor int, peer net.Addr, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == noDescriptor {
		return noDescriptor, nil, 0
	}
	descriptor, address, err := l.calls.accept(l.socket)
	switch err {
	case nil:
		l.failures = 0
		// Without the option the connection is slower but correct, so an error is ignored.
		_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		return descriptor, tcpAddress(address), 0
	case unix.EAGAIN:
		l.failures = 0
		return noDescriptor, nil, 0
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM:
		internalErrors.Add(1)
		return noDescriptor, nil, acceptDelay
	}
	// The connection was aborted, or a signal arrived: the next call may succeed.
	internalErrors.Add(1)
	if l.failures++; l.failures < maxFailuresAtOnce {
		return noDescriptor, nil, 0
	}
	l.failures = 0
	return noDescriptor, nil, acceptDelay
}

// acceptPause is how long new connections wait in the kernel where none may take the place of another.
const acceptPause = 2 * time.Millisecond

// pause has the poller call the watcher no more for acceptPause.
func (l *listener) pause(w watcher) {
	p, _ := defaultPoller()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == noDescriptor || l.token == 0 {
		return
	}
	p.remove(l.socket, l.token)
	l.token = 0
	time.AfterFunc(acceptPause, func() {
		if err := l.watch(w); err != nil {
			internalErrors.Add(1)
		}
	})
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
	if l.token != 0 {
		p, _ := defaultPoller()
		p.remove(socket, l.token)
	}
	return unix.Close(socket)
}

func tcpAddress(address unix.Sockaddr) *net.TCPAddr {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return &net.TCPAddr{}
}
