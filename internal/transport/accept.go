package transport

import (
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
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

// maxFailuresAtOnce is the number of accept calls in a row that may fail for another reason without a delay. One that
// fails because a peer reset its connection has removed that connection, so the next call is made at once; an error
// that persists must not take a whole core.
const maxFailuresAtOnce = 64

// noDescriptor takes the place of a descriptor that there is not.
const noDescriptor = -1

// A listener accepts connections on a goroutine of its own. The standard library watches its socket, and keeps a close
// from happening during a call on the descriptor, whose number belongs to another file after the close. netpoll's
// listener is not used: it closes its descriptor's number twice, and netpoll goes on to use the number after a close.
type listener struct {
	address net.Addr
	calls   *systemCalls
	file    *os.File // the listening socket
	raw     syscall.RawConn
	once    sync.Once
	closed  chan struct{}

	// Only the accepting goroutine uses these.
	delay    time.Duration // the last one while a resource is lacking
	failures int           // in a row, for other reasons
}

func listen(address string) (*listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	file, err := ln.(*net.TCPListener).File() // a copy of its own, which goes on to listen
	if err != nil {
		return nil, err
	}
	return newListener(file, ln.Addr())
}

// newListener takes over the file. It fails if the file cannot be watched.
func newListener(file *os.File, address net.Addr) (*listener, error) {
	raw, err := file.SyscallConn()
	if err == nil {
		err = file.SetReadDeadline(time.Time{}) // fails for a file that is not watched
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return &listener{address: address, calls: currentCalls.Load(), file: file, raw: raw, closed: make(chan struct{})}, nil
}

// serve passes each accepted connection to the handler until the listener is closed.
func (l *listener) serve(handle func(descriptor int, peer net.Addr)) {
	for {
		descriptor, peer, err := l.accept()
		if err == nil {
			l.delay, l.failures = 0, 0
			handle(descriptor, tcpAddress(peer))
			runtime.Gosched() // input of the connections accepted so far is read between accepts
			continue
		}
		select {
		case <-l.closed:
			return
		default:
		}
		internalErrors.Add(1)
		time.Sleep(l.delayAfter(err))
	}
}

// accept waits for a connection. After Close it returns an error.
func (l *listener) accept() (descriptor int, peer unix.Sockaddr, err error) {
	watchErr := l.raw.Read(func(fd uintptr) (done bool) {
		descriptor, peer, err = l.calls.accept(int(fd))
		return err != unix.EAGAIN
	})
	if watchErr != nil {
		return noDescriptor, nil, watchErr
	}
	return descriptor, peer, err
}

// delayAfter returns how long to wait after an error of accept.
func (l *listener) delayAfter(err error) time.Duration {
	switch err {
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM:
		l.delay = min(max(2*l.delay, initialAcceptDelay), maxAcceptDelay)
		return l.delay
	}
	// The connection was aborted, or a signal arrived: the next call may succeed.
	if l.failures++; l.failures < maxFailuresAtOnce {
		return 0
	}
	l.failures = 0
	return initialAcceptDelay
}

// Close closes the socket, after an accept call that is under way has returned. The system refuses connections from
// then on.
func (l *listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		err = l.file.Close()
	})
	return err
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
