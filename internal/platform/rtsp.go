package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The RTSP methods in use.
const (
	methodSetup    = "SETUP"
	methodTeardown = "TEARDOWN"
	methodOptions  = "OPTIONS"
	methodAnnounce = "ANNOUNCE"
	methodRedirect = "REDIRECT"
	methodRung     = "SET_PARAMETER"
)

const (
	rtspVersion = "RTSP/1.0"
	urlPrefix   = "rtsp://media/"
	headerEnd   = "\r\n\r\n"
	maxHeaders  = 64
)

// The sequence numbers of the director's requests. A response's sequence number shows which kind of request it answers;
// requests of other kinds carry seqOther.
const (
	seqSetup    = 1
	seqTeardown = 2
	seqOptions  = 3
	seqOther    = 4
)

// An rtspMessage is a message to or from a node: a request with a method, or a response with a status.
type rtspMessage struct {
	method  string // empty for a response
	status  int
	headers map[string]string // by lower-case name
	body    []byte
}

// messagePrefixes are the possible beginnings of a message.
var messagePrefixes = []string{rtspVersion + " ", methodTeardown + " ", methodOptions + " ", methodAnnounce + " ", methodRedirect + " ",
	methodSetup + " ", methodRung + " "}

// hasMessagePrefix reports whether the input can be the beginning of a message.
func hasMessagePrefix(in []byte) bool {
	for _, s := range messagePrefixes {
		n := min(len(s), len(in))
		if string(in[:n]) == s[:n] {
			return true
		}
	}
	return false
}

var (
	errMessageStart  = errors.New("not the beginning of an RTSP message")
	errHeader        = errors.New("invalid RTSP header")
	errContentLength = errors.New("invalid RTSP content length")
)

// splitRTSP returns the size of the message at the start of the input, or 0 if the message is incomplete. It validates
// the whole header, so invalid input ends the connection before any part of it is used. It also rejects a message that
// is followed by bytes that cannot begin another one: a content length that is too small leaves the rest of the body
// there.
func splitRTSP(in []byte) (int, error) {
	if !hasMessagePrefix(in) {
		return 0, errMessageStart
	}
	end := bytes.Index(in, []byte(headerEnd))
	if end < 0 {
		if len(in) > maxMessageSize {
			return 0, errHeader
		}
		return 0, nil
	}
	_, length, err := parseHeader(in[:end+2])
	if err != nil {
		return 0, err
	}
	size := end + len(headerEnd) + length
	if size > maxMessageSize {
		return 0, errContentLength
	}
	if len(in) < size {
		return 0, nil
	}
	if !hasMessagePrefix(in[size:]) {
		return 0, errMessageStart
	}
	return size, nil
}

func parseRTSP(raw []byte) (rtspMessage, error) {
	end := bytes.Index(raw, []byte(headerEnd))
	if end < 0 {
		return rtspMessage{}, errHeader
	}
	m, length, err := parseHeader(raw[:end+2])
	if err == nil && end+len(headerEnd)+length != len(raw) {
		err = errContentLength
	}
	m.body = raw[end+len(headerEnd):]
	return m, err
}

// parseHeader parses a header whose lines all end in CR LF, and returns the length of the body.
func parseHeader(head []byte) (m rtspMessage, length int, err error) {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n"), "\r\n")
	if len(lines) > maxHeaders {
		return m, 0, errHeader
	}
	for _, line := range lines {
		for _, c := range []byte(line) {
			if c < ' ' || c > '~' {
				return m, 0, errHeader
			}
		}
	}
	first := strings.SplitN(lines[0], " ", 3)
	if len(first) < 2 {
		return m, 0, errHeader
	}
	if first[0] == rtspVersion {
		if m.status, err = strconv.Atoi(first[1]); err != nil || m.status < 100 || m.status > 599 || len(first[1]) != 3 {
			return m, 0, errHeader
		}
	} else {
		if len(first) < 3 || first[2] != rtspVersion || !strings.HasPrefix(first[1], urlPrefix) {
			return m, 0, errHeader
		}
		m.method = first[0]
	}
	m.headers = make(map[string]string, len(lines)-1)
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		name = strings.ToLower(name)
		if _, duplicate := m.headers[name]; !ok || name == "" || strings.ContainsAny(name, " \t") || duplicate {
			return m, 0, errHeader
		}
		m.headers[name] = strings.TrimSpace(value)
	}
	text, ok := m.headers["content-length"]
	if !ok {
		return m, 0, errContentLength
	}
	n, err := parseBoundedInt(text, 0, maxMessageSize)
	if err != nil {
		return m, 0, errContentLength
	}
	return m, int(n), nil
}

// seq returns a message's sequence number, or 0 if it has none.
func (m rtspMessage) seq() int {
	n, err := strconv.Atoi(m.headers["cseq"])
	if err != nil {
		return 0
	}
	return n
}

// session returns a message's session id, or an empty string if it has no valid one.
func (m rtspMessage) session() string {
	id := m.headers["session"]
	if checkHexID(id) != nil {
		return ""
	}
	return id
}

// cause returns the cause in a message's Reason header, or 0 if there is none.
func (m rtspMessage) cause() int {
	text, ok := strings.CutPrefix(m.headers["reason"], "cause=")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// An rtspWriter builds a message.
type rtspWriter struct{ bytes.Buffer }

func newRequest(method, address string, seq int, session string) *rtspWriter {
	w := &rtspWriter{}
	fmt.Fprintf(w, "%s %s%s %s\r\nCSeq: %d\r\nSession: %s\r\n", method, urlPrefix, address, rtspVersion, seq, session)
	return w
}

func newOKResponse(seq string, session string) []byte {
	w := &rtspWriter{}
	fmt.Fprintf(w, "%s 200 OK\r\nCSeq: %s\r\nSession: %s\r\n", rtspVersion, seq, session)
	return w.finish(nil)
}

func (w *rtspWriter) header(name, value string) { fmt.Fprintf(w, "%s: %s\r\n", name, value) }

func (w *rtspWriter) finish(body []byte) []byte {
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(body))
	w.Write(body)
	return w.Bytes()
}
