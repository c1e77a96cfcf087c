package transport

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// systemCalls are the calls to the system whose failures decide something here. Tests put others in their place.
type systemCalls struct {
	accept func(descriptor int) (accepted int, peer unix.Sockaddr, err error)
	write  func(descriptor int, p []byte) (int, error)
	dial   func(address string, within time.Duration) (net.Conn, error)
}

var realCalls = systemCalls{
	accept: func(descriptor int) (int, unix.Sockaddr, error) {
		return unix.Accept4(descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	},
	write: unix.Write,
	dial: func(address string, within time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", address, within)
	},
}

// system is what connections that begin now call.
var system atomic.Pointer[systemCalls]

func init() { system.Store(&realCalls) }

// momentary tells whether an error of a system call says nothing of the peer or the connection, so that the same call
// may succeed a moment later.
func momentary(err error) bool {
	for _, e := range []syscall.Errno{unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// IsLocalError tells whether an error of a dial is trouble of this machine (descriptors, memory, ports, its own network) and so
// says nothing of the peer.
func IsLocalError(err error) bool {
	for _, e := range []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.ENETUNREACH, unix.ENETDOWN,
		unix.ECONNABORTED, unix.EPERM, unix.EACCES} {
		if errors.Is(err, e) {
			return true
		}
	}
	return momentary(err)
}

// For so long a dial that fails by trouble of this machine is tried again, with pauses that double between these. It is
// short: who waits for the connection may be served by another peer.
const (
	localTroubleMost = 100 * time.Millisecond
	firstDialPause   = time.Millisecond
	mostDialPause    = 20 * time.Millisecond
)

// dialAgain dials until it succeeds, the peer fails, or trouble of this machine has lasted too long.
func dialAgain[C any](within time.Duration, dial func(within time.Duration) (C, error)) (C, error) {
	began, pause := time.Now(), firstDialPause
	for {
		c, err := dial(within - time.Since(began))
		if err == nil || !IsLocalError(err) || time.Since(began)+pause > min(within, localTroubleMost) {
			return c, err
		}
		time.Sleep(pause)
		pause = min(2*pause, mostDialPause)
	}
}
