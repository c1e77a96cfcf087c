package haproxy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// parseDuration parses a duration (section 2.4 of the manual): a whole number with an optional unit. Without a
// unit the number counts milliseconds.
func parseDuration(text string) (time.Duration, error) {
	digits := len(text) - len(strings.TrimLeft(text, "0123456789"))
	if digits == 0 {
		return 0, fmt.Errorf("%q is no duration", text)
	}
	units := map[string]time.Duration{"": time.Millisecond, "us": time.Microsecond, "ms": time.Millisecond, "s": time.Second,
		"m": time.Minute, "h": time.Hour, "d": 24 * time.Hour}
	unit, known := units[text[digits:]]
	if !known {
		return 0, fmt.Errorf("%q has an unknown unit; the units are us, ms, s, m, h, d", text)
	}
	n, err := strconv.ParseInt(text[:digits], 10, 64)
	if err != nil || n > int64(math.MaxInt32)*int64(time.Millisecond)/int64(unit) {
		return 0, fmt.Errorf("%q is longer than HAProxy accepts (2147483647 ms)", text)
	}
	d := time.Duration(n) * unit
	if d > 0 && d < time.Millisecond {
		return 0, fmt.Errorf("%q is shorter than HAProxy accepts (1 ms)", text)
	}
	return d, nil
}

// parseInt parses a whole number from lower to upper, both included.
func parseInt(text string, lower, upper int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%q is no whole number", text)
	}
	if n < lower || n > upper {
		return 0, fmt.Errorf("%q is not within %d to %d", text, lower, upper)
	}
	return n, nil
}

// An Address is the address of a server or a listener, as far as the configuration text determines it.
type Address struct {
	Host      string
	FirstPort int    // the port, or the first port of a range; 0: none
	LastPort  int    // the last port of a range; equal to FirstPort for a single port
	Kind      string // empty for a host with a port; otherwise one of the constants below
}

// The kinds of addresses whose text does not determine both host and port. They are worded for reports.
const (
	LocalSocket = "a local socket"
	PortOffset  = "the port depends on the client's port"
	NoPort      = "no port: HAProxy uses the port to which the client connected"
	OtherFamily = "an address of an unsupported family"
)

// parseAddress parses host:port in the forms of section 11 of the manual (address formats): family prefixes,
// IPv6 with and without brackets, port ranges and offsets, and local sockets.
func parseAddress(text string) (a Address, err error) {
	for _, prefix := range []string{"ipv4@", "ipv6@", "tcp@", "tcp4@", "tcp6@", "stream+ipv4@", "stream+ipv6@"} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			text = rest
			break
		}
	}
	switch {
	case strings.HasPrefix(text, "/"), hasAnyPrefix(text, "unix@", "abns@", "abnsz@", "fd@", "sockpair@", "rev@", "rhttp@"):
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
	first, last, isRange := strings.Cut(port, "-")
	if a.FirstPort, err = parseInt(first, 1, 65535); err != nil {
		return a, fmt.Errorf("port %w", err)
	}
	a.LastPort = a.FirstPort
	if isRange {
		if a.LastPort, err = parseInt(last, a.FirstPort, 65535); err != nil {
			return a, fmt.Errorf("port %w", err)
		}
	}
	return a, nil
}

func hasAnyPrefix(text string, prefixes ...string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(text, p) {
			return true
		}
	}
	return false
}
