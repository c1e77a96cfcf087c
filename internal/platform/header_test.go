package platform

import (
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// referenceHeader parses a header in the plainest way, with a map, and returns the method, status, headers by lower-case
// name and length of the body. It is what parseHeader must agree with.
func referenceHeader(head string) (method string, status int, headers map[string]string, length int, err error) {
	lines := strings.Split(strings.TrimSuffix(head, "\r\n"), "\r\n")
	if len(lines) > maxHeaders {
		return "", 0, nil, 0, errHeader
	}
	for _, line := range lines {
		for _, c := range []byte(line) {
			if c < ' ' || c > '~' {
				return "", 0, nil, 0, errHeader
			}
		}
	}
	first := strings.SplitN(lines[0], " ", 3)
	switch {
	case len(first) < 2:
		return "", 0, nil, 0, errHeader
	case first[0] == rtspVersion:
		if status, err = strconv.Atoi(first[1]); err != nil || status < 100 || status > 599 || len(first[1]) != 3 {
			return "", 0, nil, 0, errHeader
		}
	case len(first) < 3 || first[2] != rtspVersion || !strings.HasPrefix(first[1], urlPrefix):
		return "", 0, nil, 0, errHeader
	default:
		method = first[0]
	}
	headers = map[string]string{}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		name = strings.ToLower(name)
		if _, duplicate := headers[name]; !ok || name == "" || strings.ContainsAny(name, " \t") || duplicate {
			return "", 0, nil, 0, errHeader
		}
		headers[name] = strings.TrimSpace(value)
	}
	text, ok := headers["content-length"]
	if !ok {
		return "", 0, nil, 0, errContentLength
	}
	n, err := parseBoundedInt(text, 0, maxMessageSize)
	if err != nil {
		return "", 0, nil, 0, errContentLength
	}
	return method, status, headers, int(n), nil
}

func checkHeaderAgainstReference(t interface{ Fatalf(string, ...any) }, head string) {
	method, status, headers, length, err := referenceHeader(head)
	m, gotLength, gotErr := parseHeader([]byte(head), nil)
	if gotErr != err {
		t.Fatalf("%q: error %v, want %v", head, gotErr, err)
	}
	if err != nil {
		return
	}
	if m.method != method || m.status != status || gotLength != length || len(m.headers) != len(headers) {
		t.Fatalf("%q: %+v, length %d; want method %q, status %d, %d headers, length %d", head, m, gotLength, method, status,
			len(headers), length)
	}
	for name, value := range headers {
		if got, ok := m.header(name); !ok || string(got) != value || m.text(strings.ToUpper(name)) != value {
			t.Fatalf("%q: header %s is %q, want %q", head, name, got, value)
		}
	}
}

// The parser accepts, refuses and reads the same headers as the plain one.
func TestHeadersAreParsedLikeTheReference(t *testing.T) {
	pieces := []string{"RTSP/1.0", "HTTP/1.1", " ", "  ", "200", "99", "600", "+20", "0200", "OK", "TEARDOWN", "rtsp://media/x", "rtsp://other/", "\r\n",
		"\r", "\n", "\t", ":", ": ", "Content-Length: 5", "content-length: 6", "Content-Length:-1", "Content-Length: 99999999",
		"CSeq: 1", "cseq: 2", "CSEQ:3", "Session: 9b1f03aa5c7e2d41", "X-Group: x0:12;x1:40", "X Y: 1", ":", "\x80", "K", "\u212a", "A: ", "\x00"}
	firstLines := []string{"RTSP/1.0 200 OK", "RTSP/1.0 200", "RTSP/1.0 200 OK more", "TEARDOWN rtsp://media/x RTSP/1.0",
		"ANNOUNCE rtsp://media/ RTSP/1.0", "OPTIONS rtsp://media/ping RTSP/1.1", "RTSP/1.0  200 OK", "RTSP/1.0"}
	rapid.Check(t, func(t *rapid.T) {
		head := ""
		if rapid.Bool().Draw(t, "plausible") {
			head = rapid.SampledFrom(firstLines).Draw(t, "first line") + "\r\n"
			if rapid.Bool().Draw(t, "length") {
				head += "Content-Length: 5\r\n"
			}
			for range rapid.IntRange(0, 70).Draw(t, "lines") {
				name := rapid.StringMatching(`[A-Za-z-]{1,3}`).Draw(t, "name")
				head += name + rapid.SampledFrom([]string{":", ": ", ":  x ", ": a:b", "", " : x"}).Draw(t, "value") + "\r\n"
			}
		} else {
			for range rapid.IntRange(1, 12).Draw(t, "pieces") {
				head += rapid.SampledFrom(pieces).Draw(t, "piece")
			}
		}
		checkHeaderAgainstReference(t, head)
	})
	for n := maxHeaders - 3; n < maxHeaders+2; n++ { // the greatest number of lines
		head := "RTSP/1.0 200 OK\r\nContent-Length: 0\r\n"
		for i := range n {
			head += "x" + strconv.Itoa(i) + ": 1\r\n"
		}
		checkHeaderAgainstReference(t, head)
	}
}

// The messages to nodes keep their bytes.
func TestMessagesToNodesKeepTheirBytes(t *testing.T) {
	for name, x := range map[string]struct{ got, want string }{
		"set-up": {string(newRequest(methodSetup, "7f3a9c21e0b4d655", seqSetup, "9b1f03aa5c7e2d41").header("X-Service", "paid").
			number("X-Setup-Ms", 1500).finish([]byte("body"))), "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\n" +
			"Session: 9b1f03aa5c7e2d41\r\nX-Service: paid\r\nX-Setup-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody"},
		"OK": {string(newOKResponse("2", "9b1f03aa5c7e2d41")),
			"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 0\r\n\r\n"},
		"id": {sessionID(0x1f03aa5c7e2d41), "001f03aa5c7e2d41"},
	} {
		if x.got != x.want {
			t.Errorf("%s: %q, want %q", name, x.got, x.want)
		}
	}
}
