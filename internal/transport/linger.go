package transport

import "golang.org/x/sys/unix"

// setLinger makes the close of a socket a reset.
func setLinger(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
}
