package transport

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// A socketConn is a rawConn over TCP. Its methods may be called by several goroutines; those that use the descriptor do
// so under the lock that the close takes, so that they never reach another file with the same number.
type socketConn struct {
	conn  *Conn
	calls *systemCalls
	peer  net.Addr

	mu         sync.Mutex
	descriptor int    // noDescriptor once it is closed
	token      uint64 // registration in the poller; 0: not watched
	events     uint32 // for which it is watched
}

func newSocket(descriptor int, peer net.Addr) *socketConn {
	return &socketConn{calls: currentCalls.Load(), peer: peer, descriptor: descriptor}
}

func (s *socketConn) RemoteAddr() net.Addr { return s.peer }

// watch begins to pass the socket's input to its connection. It has no effect on a socket that is closed already.
func (s *socketConn) watch() error {
	p, err := defaultPoller()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor == noDescriptor || s.token != 0 {
		return nil
	}
	s.events = inputEvents
	s.token, err = p.add(s.descriptor, s)
	return err
}

// watchFor changes the events for which the socket is watched; 0 ends the watching.
func (s *socketConn) watchFor(events uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor == noDescriptor || s.token == 0 || s.events == events {
		return
	}
	p, _ := defaultPoller()
	s.events = events
	if events == 0 {
		p.remove(s.descriptor, s.token)
		s.token = 0
		return
	}
	_ = p.set(s.descriptor, s.token, events) // fails only for lack of memory that is not needed here
}

// ready is called by the poller.
func (s *socketConn) ready(events uint32) { s.conn.inputReady(events) }

// Close closes the descriptor at once. The connection's handler is notified when it handles no input any more.
func (s *socketConn) Close() error {
	s.mu.Lock()
	descriptor := s.descriptor
	s.descriptor = noDescriptor
	var err error
	if descriptor != noDescriptor {
		if s.token != 0 {
			p, _ := defaultPoller()
			p.remove(descriptor, s.token)
			s.token = 0
		}
		err = unix.Close(descriptor)
	}
	s.mu.Unlock()
	s.conn.onClosed()
	return err
}

// read returns 0 and no error if there is nothing to read now.
func (s *socketConn) read(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor == noDescriptor {
		return 0, net.ErrClosed
	}
	n, err = s.calls.read(s.descriptor, p)
	switch {
	case err == unix.ENOBUFS || err == unix.ENOMEM:
		time.Sleep(readRetryDelay) // the poller calls again at once
		return 0, nil
	case err != nil && isTransient(err):
		return 0, nil
	case err != nil:
		return 0, err
	case n == 0:
		return 0, errPeerEnded
	}
	return n, nil
}

func (s *socketConn) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor == noDescriptor {
		return 0, net.ErrClosed
	}
	n, err := s.calls.write(s.descriptor, p)
	if err != nil && isTransient(err) {
		err = nil
	}
	return max(0, n), err
}

// control calls f with the descriptor, unless it is closed.
func (s *socketConn) control(f func(descriptor int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptor != noDescriptor {
		f(s.descriptor)
	}
}

func (s *socketConn) unread() (n int) {
	s.control(func(descriptor int) { n = unreadBytes(descriptor) })
	return n
}

func (s *socketConn) closeWrite() { s.control(shutdownWrite) }

func (s *socketConn) resetOnClose() { s.control(setResetOnClose) }

func (s *socketConn) setCloseTimeout(timeout time.Duration) {
	s.control(func(descriptor int) { setUserTimeout(descriptor, timeout) })
}
