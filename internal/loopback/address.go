// Package loopback gives TCP addresses on the loopback interface that stay the caller's between two listeners.
//
// An address found by listening at port 0 and closing again is free for anybody: the system may give its port to the
// next outgoing connection of any process, and a later listener at it fails with EADDRINUSE.
package loopback

import (
	"fmt"
	"net"
	"strconv"

	"golang.org/x/sys/unix"
)

// A ReservedAddress is a TCP address at which anybody may listen with SO_REUSEADDR, as package net does, and which the system
// gives to no outgoing connection until Close. While nobody listens at it, connections to it are refused.
type ReservedAddress struct {
	descriptor int
	port       int
}

// Reserve takes an address of 127.0.0.1 with a port that nobody uses.
func Reserve() (*ReservedAddress, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve an address: socket: %w", err)
	}
	port, err := bind(descriptor)
	if err != nil {
		unix.Close(descriptor)
		return nil, fmt.Errorf("reserve an address: %w", err)
	}
	return &ReservedAddress{descriptor, port}, nil
}

// bind binds a socket to a free port, which others may bind with SO_REUSEADDR as long as the socket does not listen.
func bind(descriptor int) (port int, err error) {
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, fmt.Errorf("SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, fmt.Errorf("bind: %w", err)
	}
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		return 0, fmt.Errorf("getsockname: %w", err)
	}
	return name.(*unix.SockaddrInet4).Port, nil
}

// String returns the address as host:port.
func (a *ReservedAddress) String() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(a.port)) }

// Close gives the address back. Who listens at it is not affected.
func (a *ReservedAddress) Close() error { return unix.Close(a.descriptor) }
