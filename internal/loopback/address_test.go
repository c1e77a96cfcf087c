package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against a reserved address that an outgoing connection can use, also between two listeners, or that does not
// refuse connections while it has no listener.
func TestReservedAddressStaysFreeForListeners(t *testing.T) {
	address, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer address.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	local, err := net.ResolveTCPAddr("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		dialer := net.Dialer{LocalAddr: local}
		if c, err := dialer.Dial("tcp", other.Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("an outgoing connection used the address: %v, %v", c, err)
		}
		if _, err := net.Dial("tcp", address.String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("a connection without a listener was not refused: %v", err)
		}
		ln, err := net.Listen("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		ln.Close()
	}
}

// Guards against an address that is reserved twice at the same time.
func TestReservedAddressesAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer address.Close()
		if seen[address.String()] {
			t.Fatalf("%s was reserved twice", address)
		}
		seen[address.String()] = true
	}
}
