package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
)

// The kinds and parameters of viewers' messages that the cases use.
const (
	kindSetup     = 1
	kindProgress  = 6
	kindAnswer    = 9
	kindRelease   = 12
	kindAck       = 16
	kindTest      = 52
	kindTestReply = 53

	codeClass       = 33
	codeWait        = 36
	codeTitle       = 45
	codePlacement   = 48
	codeHint        = 63
	codeCause       = 75
	codeDescription = 78
)

type param struct {
	code  byte
	value string
}

func clientMessage(kind byte, session uint64, params ...param) []byte {
	m := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, session)
	for _, p := range params {
		m = append(m, p.code, byte(len(p.value)>>8), byte(len(p.value)))
		m = append(m, p.value...)
	}
	binary.BigEndian.PutUint16(m, uint16(len(m)-2))
	return m
}

type receivedMessage struct {
	kind    byte
	session uint64
	params  map[byte]string
}

func readClientMessage(in *bufio.Reader) (m receivedMessage, err error) {
	var length [2]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return m, err
	}
	body := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(in, body); err != nil {
		return m, err
	}
	if len(body) < 9 {
		return m, fmt.Errorf("a message of %d bytes", len(body))
	}
	m = receivedMessage{body[0], binary.BigEndian.Uint64(body[1:]), map[byte]string{}}
	for rest := body[9:]; len(rest) > 0; {
		if len(rest) < 3 || len(rest) < 3+int(binary.BigEndian.Uint16(rest[1:])) {
			return m, fmt.Errorf("a parameter that is cut off")
		}
		n := int(binary.BigEndian.Uint16(rest[1:]))
		m.params[rest[0]] = string(rest[3 : 3+n])
		rest = rest[3+n:]
	}
	return m, nil
}

// cause returns the cause of a release, or 0.
func (m receivedMessage) cause() int {
	if c := m.params[codeCause]; len(c) == 1 {
		return int(c[0])
	}
	return 0
}

// An rtspMessage is a message between the director and a media node.
type rtspMessage struct {
	first   string // its first line
	headers map[string]string
	body    string
}

func readRTSP(in *bufio.Reader) (m rtspMessage, err error) {
	m.headers = map[string]string{}
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return m, err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if first {
			m.first = line
			continue
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		m.headers[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	n, err := strconv.Atoi(m.headers["content-length"])
	if err != nil || n < 0 {
		return m, fmt.Errorf("no content length")
	}
	body := make([]byte, n)
	_, err = io.ReadFull(in, body)
	m.body = string(body)
	return m, err
}

// method returns the method of a request, or "" for a response.
func (m rtspMessage) method() string {
	method, _, _ := strings.Cut(m.first, " ")
	if strings.HasPrefix(method, "RTSP/") {
		return ""
	}
	return method
}

func rtspText(first, body string, headers ...string) []byte {
	return []byte(first + "\r\n" + strings.Join(headers, "\r\n") + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// The states of a media node in discovery's frames, and the kinds of frames.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2

	frameNothing = 0
	frameChanges = 2
)

// A change is discovery's record of a media node.
type change struct {
	id      uint32
	address string
	state   byte
	cell    int
	started int64 // Unix milliseconds
}

func (c change) encode() []byte {
	address := netip.MustParseAddrPort(c.address)
	ip := address.Addr().As4()
	b := binary.BigEndian.AppendUint32(nil, c.id)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, address.Port())
	b = append(b, c.state, 0, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(c.cell))
	b = binary.BigEndian.AppendUint32(b, nodeWeight*1000)
	return binary.BigEndian.AppendUint64(b, uint64(c.started))
}

func frame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}
