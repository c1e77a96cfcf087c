package platform

import (
	"bytes"
	"errors"
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
	maxHeaders  = 64 // lines of a header, with the first
)

var lineEnd = []byte("\r\n")

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
	headers []rtspHeader
	body    []byte
}

// An rtspHeader is a line of a message's header. It refers to the bytes of the message.
type rtspHeader struct{ name, value []byte }

// usualHeaders is at least the number of headers in the messages that nodes usually send. More are parsed as well.
const usualHeaders = 8

// header returns the value of the header with a name, in any case of letters, and whether there is one.
func (m rtspMessage) header(name string) (value []byte, ok bool) {
	for _, h := range m.headers {
		if len(h.name) == len(name) && strings.EqualFold(string(h.name), name) {
			return h.value, true
		}
	}
	return nil, false
}

// text returns the value of the header with a name, or an empty string if there is none.
func (m rtspMessage) text(name string) string {
	value, _ := m.header(name)
	return string(value)
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
	var headers [usualHeaders]rtspHeader
	_, length, err := parseHeader(in[:end+2], headers[:0])
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

// parseRTSP parses a whole message. It appends the headers to the slice that it is given, which may be on the caller's
// stack.
func parseRTSP(raw []byte, headers []rtspHeader) (rtspMessage, error) {
	end := bytes.Index(raw, []byte(headerEnd))
	if end < 0 {
		return rtspMessage{}, errHeader
	}
	m, length, err := parseHeader(raw[:end+2], headers)
	if err == nil && end+len(headerEnd)+length != len(raw) {
		err = errContentLength
	}
	m.body = raw[end+len(headerEnd):]
	return m, err
}

// parseHeader parses a header whose lines all end in CR LF, and returns the length of the body. It appends the headers
// to the slice that it is given.
func parseHeader(head []byte, headers []rtspHeader) (m rtspMessage, length int, err error) {
	first, rest, more := bytes.Cut(bytes.TrimSuffix(head, lineEnd), lineEnd)
	if !isPrintable(first) {
		return m, 0, errHeader
	}
	if m.method, m.status, err = parseFirstLine(first); err != nil {
		return m, 0, err
	}
	m.headers = headers
	for more {
		var line []byte
		line, rest, more = bytes.Cut(rest, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !isPrintable(line) || !ok || len(name) == 0 || bytes.IndexByte(name, ' ') >= 0 || len(m.headers) >= maxHeaders-1 {
			return m, 0, errHeader
		}
		if _, duplicate := m.header(string(name)); duplicate {
			return m, 0, errHeader
		}
		m.headers = append(m.headers, rtspHeader{name, bytes.TrimSpace(value)})
	}
	text, ok := m.header("content-length")
	if !ok {
		return m, 0, errContentLength
	}
	n, err := parseBoundedInt(string(text), 0, maxMessageSize)
	if err != nil {
		return m, 0, errContentLength
	}
	return m, int(n), nil
}

// isPrintable reports whether a line consists of printable ASCII characters and spaces only.
func isPrintable(line []byte) bool {
	for _, c := range line {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseFirstLine parses the first line of a message: a response's status, or a request's method.
func parseFirstLine(line []byte) (method string, status int, err error) {
	first, rest, ok := bytes.Cut(line, []byte(" "))
	second, third, hasThird := bytes.Cut(rest, []byte(" "))
	if !ok {
		return "", 0, errHeader
	}
	if string(first) == rtspVersion {
		if status, err = strconv.Atoi(string(second)); err != nil || status < 100 || status > 599 || len(second) != 3 {
			return "", 0, errHeader
		}
		return "", status, nil
	}
	if !hasThird || string(third) != rtspVersion || !bytes.HasPrefix(second, []byte(urlPrefix)) {
		return "", 0, errHeader
	}
	return string(first), 0, nil
}

// seq returns a message's sequence number, or 0 if it has none.
func (m rtspMessage) seq() int {
	n, err := strconv.Atoi(m.text("cseq"))
	if err != nil {
		return 0
	}
	return n
}

// session returns a message's session id, or an empty string if it has no valid one.
func (m rtspMessage) session() string {
	id := m.text("session")
	if checkHexID(id) != nil {
		return ""
	}
	return id
}

// cause returns the cause in a message's Reason header, or 0 if there is none.
func (m rtspMessage) cause() int {
	text, ok := strings.CutPrefix(m.text("reason"), "cause=")
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
type rtspWriter []byte

// usualMessageBytes is the size that a message without a body rarely exceeds.
const usualMessageBytes = 192

func newRequest(method, address string, seq int, session string) rtspWriter {
	w := append(make(rtspWriter, 0, usualMessageBytes), method...)
	w = append(append(w, ' '), urlPrefix...)
	w = append(append(append(w, address...), ' '), rtspVersion...)
	return append(w, lineEnd...).number("CSeq", int64(seq)).header("Session", session)
}

func newOKResponse(seq string, session string) []byte {
	w := append(make(rtspWriter, 0, usualMessageBytes), rtspVersion+" 200 OK\r\n"...)
	return w.header("CSeq", seq).header("Session", session).finish(nil)
}

func (w rtspWriter) header(name, value string) rtspWriter {
	w = append(append(append(w, name...), ": "...), value...)
	return append(w, lineEnd...)
}

func (w rtspWriter) number(name string, value int64) rtspWriter {
	w = strconv.AppendInt(append(append(w, name...), ": "...), value, 10)
	return append(w, lineEnd...)
}

func (w rtspWriter) finish(body []byte) []byte {
	return append(append(w.number("Content-Length", int64(len(body))), lineEnd...), body...)
}
