// Package platform has the protocol of the operators' platform: viewers' binary messages, media nodes' RTSP and the
// notice board's frames, as pure codecs; what a director is told at its start; and the translation of all three into
// the words of the director's loop and back (Front). It decides nothing. docs/platform.md has the design.
package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"fordusher/internal/transport"
)

// maxMessageSize is the largest message of viewers and media nodes, in bytes.
const maxMessageSize = 16 << 10

// A viewers' message is length:2 type:1 session:8 and parameters of code:1 length:2 value; the length counts all that
// follows it. Numbers are big-endian.
const (
	lengthSize      = 2
	headerSize      = lengthSize + 1 + 8
	paramHeaderSize = 1 + 2
)

// The types of viewers' messages.
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

// The codes of parameters.
const (
	codeClass       = 33
	codeWait        = 36
	codeTitle       = 45
	codePlacement   = 48
	codeLengthHint  = 63
	codeCause       = 75
	codeDescription = 78
)

// The causes of releases. Those that say that trying again is harmless claim that nothing ran.
const (
	causeEnded   = 16 // the session has come to its end; before the answer: given up
	causeMoved   = 31 // moved, or ended by its viewer
	causeLost    = 41 // the session was cut
	causeNacked  = 42 // trying again is harmless
	causeErrored = 47 // nothing is claimed
	causeInvalid = 95 // nothing is claimed: the request can't be used
)

// A clientMessage is a message of viewers, its parameters not looked at.
type clientMessage struct {
	kind    byte
	session uint64
	params  []byte
}

var errMessageLength = errors.New("a length that no message has")

// splitClientMessage finds a viewers' message at the beginning of what has come.
func splitClientMessage(in []byte) (int, error) {
	if len(in) < lengthSize {
		return 0, nil
	}
	size := lengthSize + int(binary.BigEndian.Uint16(in))
	if size < headerSize || size > maxMessageSize {
		return 0, fmt.Errorf("%w: %d", errMessageLength, size-lengthSize)
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

// eachParam calls f for every parameter; it fails where they do not fill the message exactly, or one comes twice.
func (m clientMessage) eachParam(f func(code byte, value []byte) error) error {
	var seen [256]bool
	for in := m.params; len(in) > 0; {
		if len(in) < paramHeaderSize {
			return errors.New("a parameter is cut off")
		}
		code, size := in[0], int(binary.BigEndian.Uint16(in[1:]))
		if len(in) < paramHeaderSize+size {
			return fmt.Errorf("parameter %d is cut off", code)
		}
		if seen[code] {
			return fmt.Errorf("parameter %d comes twice", code)
		}
		seen[code] = true
		if err := f(code, in[paramHeaderSize:paramHeaderSize+size]); err != nil {
			return fmt.Errorf("parameter %d: %w", code, err)
		}
		in = in[paramHeaderSize+size:]
	}
	return nil
}

// clientWriter makes a viewers' message.
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

// A setup is what a viewer's set-up says.
type setup struct {
	class, title               string
	wait                       int64 // ms
	lengthHint                 float64
	firstCell, copies, maxRung int
	playingNode                string // the media node, where it plays already
	description                []byte
	hasWait, hasPlacement      bool
}

// The bounds of a set-up's figures: what lies beyond is a fault of its sender.
const (
	maxWaitMillis       = 3_600_000 // ms
	maxLengthHintMillis = 1e9       // ms
	maxCells            = 1 << 16
	maxTopRung          = 1 << 8
	maxNameLength       = 128
)

// parseSetup reads a set-up. On an error it holds what was read before.
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
				return errors.New("no length of a session")
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
		err = errors.New("class, title and place are not all there")
	case s.playingNode == "" && (s.description == nil || !s.hasWait):
		err = errors.New("there is no description, or it is not said how long the viewer waits")
	case s.playingNode == "" && s.wait > maxWaitMillis: // a session that plays waits for nothing, and may say any number
		err = errors.New("no viewer waits so long")
	}
	return s, err
}

// parsePlacement reads the figures of the request and its viewer: key:value, separated by semicolons.
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
		return errors.New("home, copies and top are not all there")
	}
	return nil
}

func parseBoundedInt(text string, least, most int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < least || n > most {
		return 0, fmt.Errorf("not a number from %d to %d", least, most)
	}
	return n, nil
}

func checkName(text string) error {
	if len(text) == 0 || len(text) > maxNameLength {
		return errors.New("no name")
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return errors.New("no name")
		}
	}
	return nil
}

// idSize is how many hex digits an id has.
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

func sessionID(session uint64) string { return fmt.Sprintf("%016x", session) }

// parseSessionID reads what sessionID has written; 0 where it is something else.
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
