package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Kinds and parameters of the messages between clients and directors, and causes of releases, as in the protocol's
// specification. A release ends a session: a client's release cancels its request, and a director's release refuses a
// request or reports that a session that played has ended.
const (
	kindSetup   = 1
	kindAnswer  = 9
	kindRelease = 12
	kindAck     = 16
	kindTest    = 52
	kindTested  = 53

	codeClass, codeWait, codeTitle, codePlacement, codeHint, codeCause, codeDescription = 33, 36, 45, 48, 63, 75, 78

	causeEnded, causeMoved, causeLost = 16, 31, 41
)

// clientMessage is a message of a client with pairs of parameter codes and values.
func clientMessage(kind byte, session uint64, parameters ...any) []byte {
	raw := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, session)
	for i := 0; i < len(parameters); i += 2 {
		value := parameters[i+1].(string)
		raw = append(raw, byte(parameters[i].(int)), byte(len(value)>>8), byte(len(value)))
		raw = append(raw, value...)
	}
	binary.BigEndian.PutUint16(raw, uint16(len(raw)-2))
	return raw
}

// requestMessage is a client's request for a session at a server of one of the consecutive cells from firstCell on, as
// many as copies.
func requestMessage(session uint64, class string, wait time.Duration, firstCell, copies int) []byte {
	return clientMessage(kindSetup, session, codeClass, class, codeWait, strconv.FormatInt(wait.Milliseconds(), 10), codeTitle,
		fmt.Sprintf("%016x", session%64), codeHint, "1000.0", codePlacement,
		fmt.Sprintf("home:%d;copies:%d;top:1;viewer:%016x", firstCell, copies, session), codeDescription, "there\r\n")
}

// handOverMessage hands over to a director a session that plays at a server.
func handOverMessage(session uint64, class, server string) []byte {
	return clientMessage(kindSetup, session, codeClass, class, codeWait, "1500", codeTitle, fmt.Sprintf("%016x", session%64),
		codeHint, "1000.0", codePlacement, fmt.Sprintf("home:0;copies:1;top:1;viewer:%016x;at:%s", session, server),
		codeDescription, "there\r\n")
}

// cancelMessage is a client's cancellation of its request.
func cancelMessage(session uint64) []byte {
	return clientMessage(kindRelease, session, codeCause, string([]byte{causeEnded}))
}

// A directorMessage is a message of a director to a client.
type directorMessage struct {
	kind    byte
	session uint64
	server  string // of an answer that a session stands: the server, which names itself in its description
}

// readClientMessage reads one message of a director to a client.
func readClientMessage(r io.Reader) (m directorMessage, err error) {
	const fixed = 1 + 8 // type and session
	head := make([]byte, 2)
	if _, err := io.ReadFull(r, head); err != nil {
		return m, err
	}
	raw := make([]byte, binary.BigEndian.Uint16(head))
	if _, err := io.ReadFull(r, raw); err != nil {
		return m, err
	}
	if len(raw) < fixed {
		return m, fmt.Errorf("message of %d bytes is too short", len(raw))
	}
	m.kind, m.session = raw[0], binary.BigEndian.Uint64(raw[1:])
	if m.kind == kindAnswer {
		const parameterHead = 1 + 2 // code and length of the only parameter
		m.server = strings.TrimSpace(string(raw[min(len(raw), fixed+parameterHead):]))
	}
	return m, nil
}

// A serverRequest is a director's request to a server.
type serverRequest struct {
	method        string
	session       uint64
	answerTimeout time.Duration
	cseq          string
}

// readServerRequest reads one message of a director to a server.
func readServerRequest(r *textproto.Reader) (req serverRequest, err error) {
	first, err := r.ReadLine()
	if err != nil {
		return req, err
	}
	head, err := r.ReadMIMEHeader()
	if err != nil {
		return req, err
	}
	length, _ := strconv.Atoi(head.Get("Content-Length"))
	if _, err := io.CopyN(io.Discard, r.R, int64(length)); err != nil {
		return req, err
	}
	req.method, _, _ = strings.Cut(first, " ")
	req.cseq = head.Get("CSeq")
	req.session, _ = strconv.ParseUint(head.Get("Session"), 16, 64)
	ms, _ := strconv.Atoi(head.Get("X-Setup-Ms"))
	req.answerTimeout = time.Duration(ms) * time.Millisecond
	return req, nil
}

// rtspReader reads RTSP messages from a connection.
func rtspReader(r io.Reader) *textproto.Reader { return textproto.NewReader(bufio.NewReader(r)) }

// serverAnswer is a server's answer to a set-up.
func serverAnswer(session uint64, status int, body string) string {
	return fmt.Sprintf("RTSP/1.0 %d X\r\nCSeq: 1\r\nSession: %016x\r\nContent-Length: %d\r\n\r\n%s", status, session, len(body), body)
}

// serverRelease is a server's release of a session.
func serverRelease(session uint64, cause int) string {
	return fmt.Sprintf("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %016x\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n",
		session, cause)
}

// acknowledgement is a server's answer to a request that needs no other.
func acknowledgement(req serverRequest) string {
	return fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: %s\r\nSession: %016x\r\nContent-Length: 0\r\n\r\n", req.cseq, req.session)
}

// discoveryFrame is an event with the states of servers, or a heartbeat if there are none.
func discoveryFrame(number uint64, records []serverRecord) []byte {
	const recordSize, headSize = 27, 9
	raw := binary.BigEndian.AppendUint32(nil, uint32(headSize+len(records)*recordSize))
	raw = binary.BigEndian.AppendUint64(raw, number)
	kind := byte(0)
	if len(records) > 0 {
		kind = 2
	}
	raw = append(raw, kind)
	for _, x := range records {
		raw = binary.BigEndian.AppendUint32(raw, x.id)
		raw = append(raw, 127, 0, 0, 1)
		raw = binary.BigEndian.AppendUint16(raw, uint16(x.port))
		raw = append(raw, x.state, 0, 0)
		raw = binary.BigEndian.AppendUint16(raw, uint16(x.cell))
		raw = binary.BigEndian.AppendUint32(raw, 1000)
		raw = binary.BigEndian.AppendUint64(raw, uint64(x.startedMilli))
	}
	return raw
}

// States of a server in discovery.
const (
	stateReady, stateDraining, stateGone = 0, 1, 2
	stateUnlisted                        = 255 // discovery does not have it yet
)

// A serverRecord is a server as discovery sends it.
type serverRecord struct {
	id           uint32
	port, cell   int
	state        byte
	startedMilli int64
}
