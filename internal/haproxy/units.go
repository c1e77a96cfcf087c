package haproxy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// span reads a time (section 2.4 of the manual): a whole number and a unit, milliseconds without one.
func span(text string) (time.Duration, error) {
	digits := len(text) - len(strings.TrimLeft(text, "0123456789"))
	if digits == 0 {
		return 0, fmt.Errorf("%q is no time", text)
	}
	units := map[string]time.Duration{"": time.Millisecond, "us": time.Microsecond, "ms": time.Millisecond, "s": time.Second,
		"m": time.Minute, "h": time.Hour, "d": 24 * time.Hour}
	unit, known := units[text[digits:]]
	if !known {
		return 0, fmt.Errorf("%q has no unit that there is: us, ms, s, m, h, d", text)
	}
	n, err := strconv.ParseInt(text[:digits], 10, 64)
	if err != nil || n > int64(math.MaxInt32)*int64(time.Millisecond)/int64(unit) {
		return 0, fmt.Errorf("%q is longer than HAProxy takes (2147483647 ms)", text)
	}
	d := time.Duration(n) * unit
	if d > 0 && d < time.Millisecond {
		return 0, fmt.Errorf("%q is shorter than HAProxy takes (1 ms)", text)
	}
	return d, nil
}

// whole reads a whole number within bounds.
func whole(text string, least, most int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%q is no whole number", text)
	}
	if n < least || n > most {
		return 0, fmt.Errorf("%q is not within %d to %d", text, least, most)
	}
	return n, nil
}

// An Address is a server's or a listener's, as far as its text tells.
type Address struct {
	Host      string
	FirstPort int // port; 0: none
	LastPort  int // of a range; Low where there is none
	Kind      string
}

// The kinds of addresses that are no host and port known by their text.
const (
	LocalSocket = "a socket of the machine"
	PortOffset  = "a port that depends on the client's"
	NoPort      = "no port: the port on which the client came is used"
	OtherFamily = "an address of another family"
)

// address reads host:port in the forms of section 11 (address formats): family prefixes, IPv6 with and
// without brackets, port ranges and offsets, sockets of the machine.
func address(text string) (a Address, err error) {
	for _, p := range []string{"ipv4@", "ipv6@", "tcp@", "tcp4@", "tcp6@", "stream+ipv4@", "stream+ipv6@"} {
		if rest, ok := strings.CutPrefix(text, p); ok {
			text = rest
			break
		}
	}
	switch {
	case strings.HasPrefix(text, "/"), hasFamily(text, "unix@", "abns@", "abnsz@", "fd@", "sockpair@", "rev@", "rhttp@"):
		return Address{Kind: LocalSocket}, nil
	case strings.ContainsRune(text, '@'):
		return Address{Kind: OtherFamily}, nil
	}
	colon := strings.LastIndexByte(text, ':')
	if end := strings.LastIndexByte(text, ']'); end > colon {
		colon = -1
	}
	if colon < 0 {
		a.Host, a.Kind = strings.Trim(text, "[]"), NoPort
		return a, nil
	}
	a.Host = strings.Trim(text[:colon], "[]")
	port := text[colon+1:]
	switch {
	case port == "":
		a.Kind = NoPort
		return a, nil
	case port[0] == '+' || port[0] == '-':
		a.Kind = PortOffset
		return a, nil
	}
	low, high, isRange := strings.Cut(port, "-")
	if a.FirstPort, err = whole(low, 1, 65535); err != nil {
		return a, fmt.Errorf("port %w", err)
	}
	a.LastPort = a.FirstPort
	if isRange {
		if a.LastPort, err = whole(high, a.FirstPort, 65535); err != nil {
			return a, fmt.Errorf("port %w", err)
		}
	}
	return a, nil
}

func hasFamily(text string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(text, p) {
			return true
		}
	}
	return false
}
