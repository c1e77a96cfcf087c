package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// setLinger makes the close of a socket a reset.
func setLinger(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
}

// setUserTimeout bounds how long the kernel goes on sending to a peer that takes nothing, also after the close: else what
// is unsent would wait for minutes, and the peer would not hear of its connection's end.
func setUserTimeout(fd int, most time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(most.Milliseconds()))
}
