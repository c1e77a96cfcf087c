package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// setResetOnClose makes closing the socket send a TCP reset.
func setResetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
}

// shutdownWrite ends the sending side of the socket. What the peer sends can still be read.
func shutdownWrite(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) }

// unreadBytes returns how many bytes wait in the kernel to be read, or 0 if the kernel does not say.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// setReceiveBuffer bounds how many unread bytes the kernel keeps for each connection of a listener. By default the buffer
// grows to megabytes for a peer that sends much. On an error it keeps its default. It has to be set before connections are
// made: one with a smaller buffer than its peer has been told of drops what it can't keep, and waits for that to be sent
// again.
func setReceiveBuffer(fd, size int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
}

// setUserTimeout limits how long the kernel tries to send to a peer that acknowledges nothing, also after the close.
// Otherwise unsent bytes would stay in the kernel for minutes, and the peer would not learn of the close.
func setUserTimeout(fd int, timeout time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}
