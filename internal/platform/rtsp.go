package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The methods of RTSP that cross the sockets.
const (
	methodSetup    = "SETUP"
	methodTeardown = "TEARDOWN"
	methodOptions  = "OPTIONS"
	methodAnnounce = "ANNOUNCE"
	methodRedirect = "REDIRECT"
	methodRung     = "SET_PARAMETER"
)

const (
	version    = "RTSP/1.0"
	addresses  = "rtsp://media/"
	headEnd    = "\r\n\r\n"
	headersMax = 64
)

// The sequence numbers that tell an answer's kind. Other messages of ours carry the last.
const (
	seqSetup    = 1
	seqTeardown = 2
	seqOptions  = 3
	seqOther    = 4
)

// An rtspMessage is a message of media nodes: a request with a method, or an answer with a status.
type rtspMessage struct {
	method  string // empty: an answer
	status  int
	headers map[string]string // by lower-case name
	body    []byte
}

// starts are how a message can begin.
var starts = []string{version + " ", methodTeardown + " ", methodOptions + " ", methodAnnounce + " ", methodRedirect + " ",
	methodSetup + " ", methodRung + " "}

// begins tells whether bytes can be the beginning of a message.
func begins(in []byte) bool {
	for _, s := range starts {
		n := min(len(s), len(in))
		if string(in[:n]) == s[:n] {
			return true
		}
	}
	return false
}

var (
	errBegins = errors.New("not the beginning of a message")
	errHead   = errors.New("a head that can't be read")
	errBody   = errors.New("a length that can't be")
)

// splitRTSP finds a message at the beginning of what has come. It reads the head whole, so what is not a message ends
// the connection before anything of it is believed; and so does what follows a message and is none: a length that is
// too small leaves the rest of the body there.
func splitRTSP(in []byte) (int, error) {
	if !begins(in) {
		return 0, errBegins
	}
	end := bytes.Index(in, []byte(headEnd))
	if end < 0 {
		if len(in) > messageMost {
			return 0, errHead
		}
		return 0, nil
	}
	_, length, err := readHead(in[:end+2])
	if err != nil {
		return 0, err
	}
	size := end + len(headEnd) + length
	if size > messageMost {
		return 0, errBody
	}
	if len(in) < size {
		return 0, nil
	}
	if !begins(in[size:]) {
		return 0, errBegins
	}
	return size, nil
}

func readRTSP(raw []byte) (rtspMessage, error) {
	end := bytes.Index(raw, []byte(headEnd))
	if end < 0 {
		return rtspMessage{}, errHead
	}
	m, length, err := readHead(raw[:end+2])
	if err == nil && end+len(headEnd)+length != len(raw) {
		err = errBody
	}
	m.body = raw[end+len(headEnd):]
	return m, err
}

// readHead reads a head of lines that all end in CR LF, and the length of the body.
func readHead(head []byte) (m rtspMessage, length int, err error) {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n"), "\r\n")
	if len(lines) > headersMax {
		return m, 0, errHead
	}
	for _, line := range lines {
		for _, c := range []byte(line) {
			if c < ' ' || c > '~' {
				return m, 0, errHead
			}
		}
	}
	first := strings.SplitN(lines[0], " ", 3)
	if len(first) < 2 {
		return m, 0, errHead
	}
	if first[0] == version {
		if m.status, err = strconv.Atoi(first[1]); err != nil || m.status < 100 || m.status > 599 || len(first[1]) != 3 {
			return m, 0, errHead
		}
	} else {
		if len(first) < 3 || first[2] != version || !strings.HasPrefix(first[1], addresses) {
			return m, 0, errHead
		}
		m.method = first[0]
	}
	m.headers = make(map[string]string, len(lines)-1)
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		name = strings.ToLower(name)
		if _, twice := m.headers[name]; !ok || name == "" || strings.ContainsAny(name, " \t") || twice {
			return m, 0, errHead
		}
		m.headers[name] = strings.TrimSpace(value)
	}
	text, ok := m.headers["content-length"]
	if !ok {
		return m, 0, errBody
	}
	n, err := whole(text, 0, messageMost)
	if err != nil {
		return m, 0, errBody
	}
	return m, int(n), nil
}

// seq is a message's sequence number, 0 where it has none.
func (m rtspMessage) seq() int {
	n, err := strconv.Atoi(m.headers["cseq"])
	if err != nil {
		return 0
	}
	return n
}

// session is a message's session, empty where it has none that can be read.
func (m rtspMessage) session() string {
	id := m.headers["session"]
	if hexID(id) != nil {
		return ""
	}
	return id
}

// cause is what a release gives as its reason; 0 where it gives none.
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

// rtspWriter makes a message.
type rtspWriter struct{ bytes.Buffer }

func request(method, address string, seq int, session string) *rtspWriter {
	w := &rtspWriter{}
	fmt.Fprintf(w, "%s %s%s %s\r\nCSeq: %d\r\nSession: %s\r\n", method, addresses, address, version, seq, session)
	return w
}

func heard(seq string, session string) []byte {
	w := &rtspWriter{}
	fmt.Fprintf(w, "%s 200 OK\r\nCSeq: %s\r\nSession: %s\r\n", version, seq, session)
	return w.done(nil)
}

func (w *rtspWriter) header(name, value string) { fmt.Fprintf(w, "%s: %s\r\n", name, value) }

func (w *rtspWriter) done(body []byte) []byte {
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(body))
	w.Write(body)
	return w.Bytes()
}
