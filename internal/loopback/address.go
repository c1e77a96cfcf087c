// Package loopback reserves TCP addresses on the loopback interface, also for the time between two listeners.
//
// An address that was found by listening at port 0 and closing the listener is not reserved: the system may assign its
// port to the next outgoing connection of any process, and a later listener at the address fails with EADDRINUSE.
package loopback

import (
	"fmt"
	"net"
	"strconv"

	"golang.org/x/sys/unix"
)

// A ReservedAddress is a TCP address that the system assigns to no outgoing connection until Close. Any process may
// listen at it with SO_REUSEADDR, which package net sets. Without a listener, connections to it are refused.
type ReservedAddress struct {
	descriptor int
	port       int
}

// Reserve reserves 127.0.0.1 with a port that is not in use.
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

// bind binds a socket to a free port. Other sockets may bind the port with SO_REUSEADDR as long as this socket does
// not listen.
func bind(descriptor int) (port int, err error) {
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, fmt.Errorf("SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, fmt.Errorf("bind: %w", err)
	}
	address, err := unix.Getsockname(descriptor)
	if err != nil {
		return 0, fmt.Errorf("getsockname: %w", err)
	}
	return address.(*unix.SockaddrInet4).Port, nil
}

// String returns the address as host:port.
func (a *ReservedAddress) String() string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(a.port)) }

// Close ends the reservation. A listener at the address is not affected.
func (a *ReservedAddress) Close() error { return unix.Close(a.descriptor) }
