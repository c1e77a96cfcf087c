// Package wire defines the messages of the program's three protocols: between clients and directors (the session API),
// between directors and nodes, and between directors and discovery. Each message is a JSON object in one WebSocket
// text message; the key "t" holds its type. Unknown keys are ignored, so that a protocol version can add keys; unknown
// types are an error. docs/session-api.md and docs/director.md describe the messages in full.
package wire

import (
	"fmt"
	"unicode/utf8"

	"github.com/mailru/easyjson"
)

// The WebSocket sub-protocols, each with its version. A handshake that does not offer the listener's sub-protocol is
// rejected.
const (
	SessionProtocol   = "fordusher.session.v1"
	NodeProtocol      = "fordusher.node.v1"
	DiscoveryProtocol = "fordusher.list.v1"
)

// The largest message of each protocol, in bytes.
const (
	MaxSessionMessageBytes   = 4 << 10
	MaxNodeMessageBytes      = 16 << 10
	MaxDiscoveryMessageBytes = 8 << 20
)

// The longest identifier (an id, a key, a name) and reason in bytes, and the highest value of "top".
const (
	maxIdentifierBytes = 128
	maxReasonBytes     = 256
	maxRungLimit       = 1 << 15
)

// The messages of the session API.
const (
	Request      = "want"    // client: requests a session
	Cancel       = "leave"   // client: cancels a request or ends its session
	Report       = "report"  // client: playback quality
	Playing      = "plays"   // director: final answer, the session plays
	Nack         = "nack"    // director: final answer, no session; the request may safely be repeated
	Errored      = "errored" // director: final answer, no session; it does not say whether one ran
	Rung         = "rung"    // director: to a client, the rung has changed; to a node, change the rung
	SessionEnded = "over"    // director: a playing session has ended
)

// SessionMessage is a message between a client and a director. Each comment names the types that use the field, as the
// values of Type.
type SessionMessage struct {
	Type           string  `json:"t"`
	ID             string  `json:"id"`                   // the client's identifier of the request, unique on its connection
	Tariff         string  `json:"tariff,omitempty"`     // want
	Title          string  `json:"title,omitempty"`      // want
	Key            string  `json:"key,omitempty"`        // want: the client's secret, by which its session is resumed
	MaxRung        *int    `json:"top,omitempty"`        // want: highest rung that the client can use; absent: any
	WaitMS         int64   `json:"wait_ms,omitempty"`    // want: how long the client waits for the answer
	LengthMS       int64   `json:"length_ms,omitempty"`  // want: approximate length of the session
	Retry          bool    `json:"again,omitempty"`      // want: not the client's first attempt
	Session        string  `json:"session,omitempty"`    // answers: the director's identifier of the session
	Node           string  `json:"node,omitempty"`       // plays
	Address        string  `json:"address,omitempty"`    // plays: address at which the node serves the session
	Ticket         string  `json:"ticket,omitempty"`     // plays: credential that the client presents to the node
	Rung           int     `json:"rung,omitempty"`       // plays, rung, report
	BackoffMS      int64   `json:"backoff_ms,omitempty"` // nack, over: time to wait before the next request
	Reason         string  `json:"why,omitempty"`        // nack, errored, over
	BufferSeconds  float64 `json:"buffer_s,omitempty"`   // report: seconds of media in the client's buffer
	StalledSeconds float64 `json:"stalled_s,omitempty"`  // report: seconds of stalled playback since the last report
}

// The messages between directors and nodes.
const (
	Hello       = "hello"    // director: its name; node: its incarnation and load; each side sends one at first
	Setup       = "setup"    // director: start a session
	End         = "end"      // director: cancel a leg, or end its session
	Accepted    = "accepted" // node: the session plays
	Full        = "full"     // node: refused before the set-up began; the leg never ran
	Failed      = "failed"   // node: the set-up failed; the leg may have run
	Unsent      = "unsent"   // in a node's name, by the platform's protocol only: the set-up was not sent to the node; the leg never ran
	Ended       = "ended"    // node: the session has ended
	Measurement = "note"     // node: a measurement of a session, by kind
)

// Values of NodeMessage.Reason, besides "done" for a session that has played its whole length.
const (
	Lost      = "lost"       // the node or the connection to it was lost
	Cancelled = "called off" // the client cancelled it, or it was moved
)

// NodeMessage is a message between a director and a node.
type NodeMessage struct {
	Type             string    `json:"t"`
	Leg              uint64    `json:"leg,omitempty"`       // the director's identifier of the leg
	Director         string    `json:"director,omitempty"`  // hello
	Session          string    `json:"session,omitempty"`   // setup: also the client's ticket
	Tariff           string    `json:"tariff,omitempty"`    // setup
	Title            string    `json:"title,omitempty"`     // setup
	Rung             int       `json:"rung,omitempty"`      // setup, rung
	RateKB           float64   `json:"rate_kb,omitempty"`   // setup, rung: requested rate in kB/s
	StartWithinMS    int64     `json:"within_ms,omitempty"` // setup: the node must not start the session later than this after receipt
	LengthMS         int64     `json:"length_ms,omitempty"` // setup: the session ends by itself after this time
	Load             *NodeLoad `json:"load,omitempty"`      // hello, answers
	Incarnation      uint64    `json:"start,omitempty"`     // hello of a node: a different number at each start
	UptimeMS         int64     `json:"age_ms,omitempty"`    // hello of a node: time since it started
	MeasurementKind  int       `json:"kind,omitempty"`      // note: 1 delivered share, 2 rung, 3 link load, 4 uplink load
	MeasurementValue float64   `json:"value,omitempty"`     // note
	Reason           string    `json:"why,omitempty"`       // ended: "done", "called off", "lost"
}

// NodeLoad is the load that a node reports; a value that it does not report is absent.
type NodeLoad struct {
	Streams *float64 `json:"streams,omitempty"` // streams that are running or being set up
	Link    *float64 `json:"link,omitempty"`    // requested rate divided by the link's capacity
	Uplink  *float64 `json:"uplink,omitempty"`  // requested rate divided by the capacity of the rack's uplink
}

// The messages between directors and discovery.
const (
	Subscribe   = "listen" // director: its name; discovery sends the server list and its changes from now on
	Acknowledge = "heard"  // director: it has applied the server list with this serial number
	Snapshot    = "whole"  // discovery: the full server list; a node that is not in it is removed
	Update      = "update" // discovery: the changes of the server list
)

// DiscoveryMessage is a message between a director and discovery.
type DiscoveryMessage struct {
	Type     string           `json:"t"`
	Director string           `json:"director,omitempty"`
	Serial   uint64           `json:"serial,omitempty"`
	Nodes    []NodeEntry      `json:"nodes,omitempty"`
	Titles   []TitlePlacement `json:"titles,omitempty"`
}

// The states of a node in the server list.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// NodeEntry describes a node in the server list.
type NodeEntry struct {
	Node        string  `json:"node"`
	Address     string  `json:"address,omitempty"`
	State       string  `json:"state"`
	MachineKind string  `json:"kind,omitempty"` // kind of machine
	Zone        string  `json:"zone,omitempty"`
	Incarnation uint64  `json:"start,omitempty"`  // a different number at each start of the node
	UptimeMS    int64   `json:"age_ms,omitempty"` // time since the node last started; 0: long ago or unknown
	Weight      float64 `json:"weight,omitempty"` // capacity of the node's link
	Cell        int     `json:"cell,omitempty"`   // the node's position in the fleet, by which titles are placed
}

// TitlePlacement says which nodes hold a title: those of Copies consecutive cells from FirstCell on.
type TitlePlacement struct {
	Title     string `json:"title"`
	FirstCell int    `json:"base"`
	Copies    int    `json:"copies"` // 0: the title is removed
}

//go:generate go run github.com/mailru/easyjson/easyjson -all -output_filename codec_gen.go wire.go

// Encode returns a message of any protocol as JSON. It cannot fail for the types of this package if their numbers are
// finite; a number that is not finite is a bug in the program, so Encode panics.
func Encode(message easyjson.Marshaler) []byte {
	out, err := easyjson.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("wire: %v", err))
	}
	return out
}

// DecodeSessionMessage parses and validates a message of the session API, from either side.
func DecodeSessionMessage(raw []byte) (m SessionMessage, err error) {
	if err = easyjson.Unmarshal(raw, &m); err != nil {
		return m, syntaxError(err)
	}
	if err = checkIdentifiers(m.Type, m.ID, m.Tariff, m.Title, m.Key, m.Session, m.Node, m.Address, m.Ticket); err != nil {
		return m, err
	}
	if len(m.Reason) > maxReasonBytes {
		return m, fmt.Errorf("why is longer than %d bytes", maxReasonBytes)
	}
	if m.ID == "" {
		return m, fmt.Errorf("%q has no id", m.Type)
	}
	switch m.Type {
	case Request:
		switch {
		case m.Tariff == "" || m.Title == "" || m.Key == "":
			err = fmt.Errorf("want needs tariff, title and key")
		case m.WaitMS <= 0 || m.WaitMS > 3_600_000:
			err = fmt.Errorf("wait_ms %d is not within 1 to 3600000", m.WaitMS)
		case m.LengthMS < 0 || m.LengthMS > 86_400_000:
			err = fmt.Errorf("length_ms %d is not within 0 to 86400000", m.LengthMS)
		case m.MaxRung != nil && (*m.MaxRung < 0 || *m.MaxRung > maxRungLimit):
			err = fmt.Errorf("top %d is no rung", *m.MaxRung)
		}
	case Report:
		if !(m.BufferSeconds >= 0 && m.BufferSeconds < 1e6 && m.StalledSeconds >= 0 && m.StalledSeconds < 1e6) {
			err = fmt.Errorf("report: buffer_s and stalled_s are not within 0 to 1000000")
		}
	case Cancel, Playing, Nack, Errored, Rung, SessionEnded:
	default:
		err = fmt.Errorf("unknown message %q", m.Type)
	}
	return m, err
}

// DecodeNodeMessage parses and validates a message of the node protocol, from either side.
func DecodeNodeMessage(raw []byte) (m NodeMessage, err error) {
	if err = easyjson.Unmarshal(raw, &m); err != nil {
		return m, syntaxError(err)
	}
	if err = checkIdentifiers(m.Type, m.Director, m.Session, m.Tariff, m.Title, m.Reason); err != nil {
		return m, err
	}
	switch m.Type {
	case Hello:
	case Setup, End, Accepted, Full, Failed, Ended, Rung, Measurement:
		if m.Leg == 0 {
			return m, fmt.Errorf("%q has no leg", m.Type)
		}
	default:
		return m, fmt.Errorf("unknown message %q", m.Type)
	}
	if m.Rung < 0 || m.RateKB < 0 || m.StartWithinMS < 0 || m.LengthMS < 0 || m.UptimeMS < 0 ||
		m.MeasurementKind < 0 || m.MeasurementKind > 4 {
		return m, fmt.Errorf("%q has a figure out of range", m.Type)
	}
	if m.Type == Measurement && (m.MeasurementKind == 0 || m.MeasurementValue < 0 || m.MeasurementValue > 1e6) {
		return m, fmt.Errorf("note of kind %d with value %g", m.MeasurementKind, m.MeasurementValue)
	}
	if l := m.Load; l != nil {
		for _, value := range []*float64{l.Streams, l.Link, l.Uplink} {
			if value != nil && (*value < 0 || *value > 1e6) {
				return m, fmt.Errorf("load of %g", *value)
			}
		}
	}
	return m, nil
}

// DecodeDiscoveryMessage parses and validates a message of the discovery protocol, from either side. It does not limit
// cells: their users take them modulo the number of cells of the fleet.
func DecodeDiscoveryMessage(raw []byte) (m DiscoveryMessage, err error) {
	if err = easyjson.Unmarshal(raw, &m); err != nil {
		return m, syntaxError(err)
	}
	switch m.Type {
	case Subscribe, Acknowledge, Snapshot, Update:
	default:
		return m, fmt.Errorf("unknown message %q", m.Type)
	}
	for _, e := range m.Nodes {
		if err = checkIdentifiers(e.Node, e.Address, e.MachineKind, e.Zone); err != nil {
			return m, err
		}
		switch {
		case e.Node == "":
			return m, fmt.Errorf("a node without a name")
		case e.State != Up && e.State != Draining && e.State != Removed:
			return m, fmt.Errorf("node %s: unknown state %q", e.Node, e.State)
		case e.State == Up && e.Address == "":
			return m, fmt.Errorf("node %s is up without an address", e.Node)
		case e.Cell < 0 || e.UptimeMS < 0 || e.Weight < 0 || e.Weight > 1e9:
			return m, fmt.Errorf("node %s has a figure out of range", e.Node)
		}
	}
	for _, t := range m.Titles {
		if err = checkIdentifiers(t.Title); err != nil {
			return m, err
		}
		if t.Title == "" || t.FirstCell < 0 || t.Copies < 0 {
			return m, fmt.Errorf("title %q has a figure out of range", t.Title)
		}
	}
	return m, nil
}

func syntaxError(err error) error { return fmt.Errorf("not a message: %w", err) }

// checkIdentifiers checks the length and encoding of each identifier.
func checkIdentifiers(identifiers ...string) error {
	for _, s := range identifiers {
		if len(s) > maxIdentifierBytes {
			return fmt.Errorf("%.16q... is longer than %d bytes", s, maxIdentifierBytes)
		}
		if !utf8.ValidString(s) {
			return fmt.Errorf("%.16q is not UTF-8", s)
		}
	}
	return nil
}
