// Package platform implements the protocols of the operators' platform: the binary messages of clients, the RTSP
// messages of nodes and the frames of the discovery service. Protocol translates between these bytes and the messages
// of the director's loop. StartConfig holds a director's start configuration and yields the configuration of the loop
// and the daemon. NewTracer wraps a protocol so that it also writes a trace of its messages.
//
// The codecs do no I/O. Protocol opens sockets for package daemon, and ReadStartConfig reads the environment and a
// file. The package makes no placement decisions. docs/platform.md describes the design.
package platform

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"fordusher/internal/transport"
)

// maxMessageSize is the size limit for messages of clients and nodes, in bytes.
const maxMessageSize = 16 << 10

// A client message consists of length:2 type:1 session:8 and parameters of code:1 length:2 value (sizes in bytes). Each
// length counts the bytes that follow it. Numbers are big-endian.
const (
	lengthSize      = 2
	headerSize      = lengthSize + 1 + 8
	paramHeaderSize = 1 + 2
)

// The types of client messages.
const (
	kindSetup      = 1
	kindProgress   = 6
	kindAnswer     = 9
	kindRelease    = 12
	kindAck        = 16
	kindNote       = 44
	kindMove       = 51
	kindProbe      = 52
	kindProbeReply = 53
	kindRung       = 60
)

// The parameter codes.
const (
	codeClass       = 33
	codeWait        = 36
	codeTitle       = 45
	codePlacement   = 48
	codeLengthHint  = 63
	codeCause       = 75
	codeDescription = 78
)

// The causes of releases. The director sends a release to reject a request or to report the end of a session, and a
// client sends one to cancel its request or end its session. A cause that calls a retry harmless claims that nothing
// ran.
const (
	causeEnded   = 16 // the session has ended normally; before the answer: the client gave up
	causeMoved   = 31 // the session was moved, or ended by its client
	causeLost    = 41 // the session was interrupted
	causeNacked  = 42 // a retry is harmless
	causeErrored = 47 // no claim whether the session ran
	causeInvalid = 95 // the request is invalid; no claim whether the session ran
)

// A clientMessage is a message to or from a client, with its parameters not parsed yet.
type clientMessage struct {
	kind    byte
	session uint64
	params  []byte
}

var errMessageLength = errors.New("invalid message length")

// splitClientMessage returns the size of the client message at the start of the input, or 0 if the message is
// incomplete.
func splitClientMessage(in []byte) (int, error) {
	if len(in) < lengthSize {
		return 0, nil
	}
	size := lengthSize + int(binary.BigEndian.Uint16(in))
	if size < headerSize || size > maxMessageSize {
		return 0, &transport.InvalidMessage{Size: size, Err: fmt.Errorf("%w: %d", errMessageLength, size-lengthSize)}
	}
	if len(in) < size {
		return 0, nil
	}
	return size, nil
}

var _ transport.SplitFunc = splitClientMessage

func parseClientMessage(raw []byte) (clientMessage, error) {
	if size, err := splitClientMessage(raw); err != nil || size != len(raw) {
		return clientMessage{}, errMessageLength
	}
	return clientMessage{raw[lengthSize], binary.BigEndian.Uint64(raw[lengthSize+1:]), raw[headerSize:]}, nil
}

// eachParam calls f for every parameter. It fails if the parameters do not fill the message exactly or one occurs
// twice.
func (m clientMessage) eachParam(f func(code byte, value []byte) error) error {
	var seen [256]bool
	for in := m.params; len(in) > 0; {
		if len(in) < paramHeaderSize {
			return errors.New("truncated parameter header")
		}
		code, size := in[0], int(binary.BigEndian.Uint16(in[1:]))
		if len(in) < paramHeaderSize+size {
			return fmt.Errorf("parameter %d is truncated", code)
		}
		if seen[code] {
			return fmt.Errorf("parameter %d occurs twice", code)
		}
		seen[code] = true
		if err := f(code, in[paramHeaderSize:paramHeaderSize+size]); err != nil {
			return fmt.Errorf("parameter %d: %w", code, err)
		}
		in = in[paramHeaderSize+size:]
	}
	return nil
}

// A clientWriter builds a client message.
type clientWriter []byte

func newClientMessage(kind byte, session uint64) clientWriter {
	w := make(clientWriter, headerSize, 64)
	w[lengthSize] = kind
	binary.BigEndian.PutUint64(w[lengthSize+1:], session)
	return w
}

func (w clientWriter) param(code byte, value []byte) clientWriter {
	w = append(w, code, byte(len(value)>>8), byte(len(value)))
	return append(w, value...)
}

func (w clientWriter) finish() []byte {
	binary.BigEndian.PutUint16(w, uint16(len(w)-lengthSize))
	return w
}

func releaseMessage(session uint64, cause byte) []byte {
	return newClientMessage(kindRelease, session).param(codeCause, []byte{cause}).finish()
}

// A setup is the content of a client's set-up message: its request for a session.
type setup struct {
	class, title               string // class is the platform's name for a tariff
	wait                       int64  // ms
	lengthHint                 float64
	firstCell, copies, maxRung int
	playingNode                string // the node, if the session is already playing
	description                []byte
	hasWait, hasPlacement      bool
}

// The bounds of the numbers and names in a set-up. A value beyond them is an error of the sender.
const (
	maxWaitMillis       = 3_600_000 // ms
	maxLengthHintMillis = 1e9       // ms
	maxCells            = 1 << 16
	maxTopRung          = 1 << 8
	maxNameLength       = 128
)

// parseSetup parses a set-up. On an error it also returns the fields parsed before the error.
func parseSetup(m clientMessage) (s setup, err error) {
	err = m.eachParam(func(code byte, value []byte) error {
		switch code {
		case codeClass:
			s.class = string(value)
			return checkName(s.class)
		case codeTitle:
			s.title = string(value)
			return checkHexID(s.title)
		case codeWait:
			s.hasWait = true
			s.wait, err = parseBoundedInt(string(value), 1, math.MaxInt64)
			return err
		case codeLengthHint:
			s.lengthHint, err = strconv.ParseFloat(string(value), 64)
			if err != nil || math.IsNaN(s.lengthHint) || s.lengthHint < 0 || s.lengthHint > maxLengthHintMillis {
				return errors.New("invalid session length")
			}
		case codePlacement:
			s.hasPlacement = true
			return s.parsePlacement(string(value))
		case codeDescription:
			s.description = value
		}
		return nil
	})
	switch {
	case err != nil:
	case s.class == "" || s.title == "" || !s.hasPlacement:
		err = errors.New("class, title or placement is missing")
	case s.playingNode == "" && (s.description == nil || !s.hasWait):
		err = errors.New("description or wait is missing")
	// The wait of a playing session is not checked: it waits for no answer, and its client may send any number.
	case s.playingNode == "" && s.wait > maxWaitMillis:
		err = errors.New("wait is too long")
	}
	return s, err
}

// parsePlacement parses the placement parameter: values of the request and its client as key:value pairs, separated by
// semicolons. The value of the viewer key, the client's id, is checked and not used.
func (s *setup) parsePlacement(text string) (err error) {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ";") {
		key, value, ok := strings.Cut(part, ":")
		if !ok || seen[key] {
			return fmt.Errorf("%q", part)
		}
		seen[key] = true
		var n int64
		switch key {
		case "home":
			n, err = parseBoundedInt(value, 0, maxCells)
			s.firstCell = int(n)
		case "copies":
			n, err = parseBoundedInt(value, 1, maxCells)
			s.copies = int(n)
		case "top":
			n, err = parseBoundedInt(value, 0, maxTopRung)
			s.maxRung = int(n)
		case "viewer":
			err = checkHexID(value)
		case "at":
			s.playingNode, err = value, checkName(value)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	if !seen["home"] || !seen["copies"] || !seen["top"] {
		return errors.New("home, copies or top is missing")
	}
	return nil
}

func parseBoundedInt(text string, lowest, highest int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < lowest || n > highest {
		return 0, fmt.Errorf("not a number from %d to %d", lowest, highest)
	}
	return n, nil
}

func checkName(text string) error {
	if len(text) == 0 || len(text) > maxNameLength {
		return errors.New("name is empty, too long or not printable ASCII")
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return errors.New("name is empty, too long or not printable ASCII")
		}
	}
	return nil
}

// idSize is the number of hex digits of an id.
const idSize = 16

func checkHexID(text string) error {
	if len(text) != idSize {
		return errors.New("not 16 hex digits")
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return errors.New("not 16 hex digits")
		}
	}
	return nil
}

func sessionID(session uint64) string {
	var number [idSize / 2]byte
	binary.BigEndian.PutUint64(number[:], session)
	var digits [idSize]byte
	hex.Encode(digits[:], number[:])
	return string(digits[:])
}

// parseSessionID is the inverse of sessionID; it returns 0 for any other text.
func parseSessionID(text string) uint64 {
	if checkHexID(text) != nil {
		return 0
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0
	}
	return n
}
