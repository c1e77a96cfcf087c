package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// systemCalls are the system calls whose failures the package handles. Tests replace them to inject failures.
type systemCalls struct {
	accept func(descriptor int) (accepted int, peer unix.Sockaddr, err error)
	read   func(descriptor int, p []byte) (int, error)
	write  func(descriptor int, p []byte) (int, error)
	dial   func(address string, timeout time.Duration) (net.Conn, error)
}

var realCalls = systemCalls{
	accept: func(descriptor int) (int, unix.Sockaddr, error) {
		return unix.Accept4(descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	},
	read:  unix.Read,
	write: unix.Write,
	dial: func(address string, timeout time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", address, timeout)
	},
}

// currentCalls holds the system calls that new listeners and connections use.
var currentCalls atomic.Pointer[systemCalls]

func init() { currentCalls.Store(&realCalls) }

// isTransient reports whether an error of a system call has nothing to do with the peer or the connection, so that the
// same call may succeed a moment later.
func isTransient(err error) bool {
	for _, e := range []syscall.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// IsLocalError reports whether a dial failed because of this machine (descriptors, memory, ports, its own network), so
// that the error is no evidence about the peer.
func IsLocalError(err error) bool {
	for _, e := range []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.ENETUNREACH, unix.ENETDOWN,
		unix.ECONNABORTED, unix.EPERM, unix.EACCES} {
		if errors.Is(err, e) {
			return true
		}
	}
	return isTransient(err)
}

// A dial that fails with a local error is retried for maxLocalRetryTime, with a delay that doubles from the initial to
// the maximum value. The time is short because the request that waits for the connection may be served by another
// peer.
const (
	maxLocalRetryTime = 100 * time.Millisecond
	initialDialDelay  = time.Millisecond
	maxDialDelay      = 20 * time.Millisecond
)

// dialWithRetry dials until it succeeds, fails with an error that is not local, or local errors have lasted too long.
func dialWithRetry[C any](timeout time.Duration, dial func(remaining time.Duration) (C, error)) (C, error) {
	start, delay := time.Now(), initialDialDelay
	for {
		c, err := dial(timeout - time.Since(start))
		if err == nil || !IsLocalError(err) || time.Since(start)+delay > min(timeout, maxLocalRetryTime) {
			return c, err
		}
		time.Sleep(delay)
		delay = min(2*delay, maxDialDelay)
	}
}
