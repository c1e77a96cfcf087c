// Package wire has the message vocabularies that cross the program's sockets: players' (the session
// API), nodes' and the list's. Messages are JSON objects, one a WebSocket text message; the key "t" names
// the message. Unknown keys are skipped, so that a version may grow; unknown messages are an error.
// docs/session-api.md and docs/director.md describe them in full.
package wire

import (
	"fmt"
	"unicode/utf8"

	"github.com/mailru/easyjson"
)

// The sub-protocols, each with its version. A handshake that offers none of a listener's is turned away.
const (
	SessionProtocol   = "fordusher.session.v1"
	NodeProtocol      = "fordusher.node.v1"
	DiscoveryProtocol = "fordusher.list.v1"
)

// The largest message of each vocabulary, in bytes.
const (
	MaxSessionMessageBytes   = 4 << 10
	MaxNodeMessageBytes      = 16 << 10
	MaxDiscoveryMessageBytes = 8 << 20
)

// The longest word (an id, a key, a name) and sentence (a reason) in bytes.
const (
	maxIdentifierBytes     = 128
	maxReasonBytes = 256
	maxRungLimit      = 1 << 15
)

// The messages of the session API.
const (
	Request      = "want"    // player: a session, please
	Cancel       = "leave"   // player: no longer wanted
	Report       = "report"  // player: how it plays
	Playing      = "plays"   // director: final answer, it plays
	Nack         = "nack"    // director: final answer, coming again does no harm
	Errored      = "errored" // director: final answer, no claim
	Rung         = "rung"    // director: the rung changed; also to a node: change it
	SessionEnded = "over"    // director: a session that played has ended
)

// SessionMessage is a message between a player and a director. Which fields count goes by Type.
type SessionMessage struct {
	Type           string  `json:"t"`
	ID             string  `json:"id"`                   // the player's own name for the request, unique on its connection
	Tariff         string  `json:"tariff,omitempty"`     // want
	Title          string  `json:"title,omitempty"`      // want
	Key            string  `json:"key,omitempty"`        // want: the viewer's secret; a session is found again by it
	MaxRung        *int    `json:"top,omitempty"`        // want: best rung that the viewer can use; absent: any
	WaitMS         int64   `json:"wait_ms,omitempty"`    // want: how long the viewer waits for the answer
	LengthMS       int64   `json:"length_ms,omitempty"`  // want: how long the session will last, roughly
	Retry          bool    `json:"again,omitempty"`      // want: not the viewer's first try
	Session        string  `json:"session,omitempty"`    // answers: the director's name for the session
	Node           string  `json:"node,omitempty"`       // plays
	Address        string  `json:"address,omitempty"`    // plays: where the node serves
	Ticket         string  `json:"ticket,omitempty"`     // plays: what the player shows there
	Rung           int     `json:"rung,omitempty"`       // plays, rung, report
	BackoffMS      int64   `json:"backoff_ms,omitempty"` // nack, over: when to come back
	Reason         string  `json:"why,omitempty"`        // nack, errored, over
	BufferSeconds  float64 `json:"buffer_s,omitempty"`   // report: seconds of play in the player's buffer
	StalledSeconds float64 `json:"stalled_s,omitempty"`  // report: seconds stood still since the last report
}

// The messages between directors and nodes.
const (
	Hello       = "hello"    // director: who it is; node: its load, once
	Setup       = "setup"    // director: start a session
	End         = "end"      // director: call a leg off, or end its session
	Accepted    = "accepted" // node: it plays
	Full        = "full"     // node: turned away unseen; the leg never ran
	Failed      = "failed"   // node: the set-up failed; it may have run
	Unsent      = "unsent"   // node: the set-up never left for it; the leg never ran
	Ended       = "ended"    // node: the session has ended
	Measurement = "note"     // node: news of a session, by kind
)

// Why a session has ended, where more is to be said than that it has.
const (
	Lost     = "lost"       // its node or the connection to it
	Canceled = "called off" // by its viewer, or moved
)

// NodeMessage is a message between a director and a node.
type NodeMessage struct {
	Type             string    `json:"t"`
	Leg              uint64    `json:"leg,omitempty"`       // the director's number of the leg
	Director         string    `json:"director,omitempty"`  // hello
	Session          string    `json:"session,omitempty"`   // setup: also the player's ticket
	Tariff           string    `json:"tariff,omitempty"`    // setup
	Title            string    `json:"title,omitempty"`     // setup
	Rung             int       `json:"rung,omitempty"`      // setup, rung
	RateKB           float64   `json:"rate_kb,omitempty"`   // setup, rung: kB a second that are asked
	StartWithinMS    int64     `json:"within_ms,omitempty"` // setup: not to be started later than this after it came
	LengthMS         int64     `json:"length_ms,omitempty"` // setup: the session ends after this by itself
	Load             *NodeLoad `json:"load,omitempty"`      // hello, answers
	Incarnation      uint64    `json:"start,omitempty"`     // hello of a node: another number at each start
	UptimeMS         int64     `json:"age_ms,omitempty"`    // hello of a node: since it started
	MeasurementKind  int       `json:"kind,omitempty"`      // note: 1 share delivered, 2 rung, 3 link, 4 uplink
	MeasurementValue float64   `json:"value,omitempty"`     // note
	Reason           string    `json:"why,omitempty"`       // ended: "done", "called off", "lost"
}

// NodeLoad is what a node tells of itself; a figure that it does not tell is absent.
type NodeLoad struct {
	Streams *float64 `json:"streams,omitempty"` // streams that it runs or sets up
	Link    *float64 `json:"link,omitempty"`    // asked of its link over what that gives
	Uplink  *float64 `json:"uplink,omitempty"`  // the same of its rack's uplink
}

// The messages between directors and the list.
const (
	Subscribe   = "listen" // director: who it is; send changes from now on
	Acknowledge = "heard"  // director: it has taken the list of this serial
	Snapshot    = "whole"  // list: everything; who is not named is gone
	Update      = "update" // list: what changed
)

// DiscoveryMessage is a message between a director and the list.
type DiscoveryMessage struct {
	Type     string           `json:"t"`
	Director string           `json:"director,omitempty"`
	Serial   uint64           `json:"serial,omitempty"`
	Nodes    []NodeEntry      `json:"nodes,omitempty"`
	Titles   []TitlePlacement `json:"titles,omitempty"`
}

// The states of a node in the list.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// NodeEntry is a node in the list.
type NodeEntry struct {
	Node        string  `json:"node"`
	Address     string  `json:"address,omitempty"`
	State       string  `json:"state"`
	MachineKind string  `json:"kind,omitempty"` // of machine
	Zone        string  `json:"zone,omitempty"`
	Incarnation uint64  `json:"start,omitempty"`  // another number at each start of the node
	UptimeMS    int64   `json:"age_ms,omitempty"` // since it last started; 0: long ago or not known
	Weight      float64 `json:"weight,omitempty"` // size of its link
	Cell        int     `json:"cell,omitempty"`
}

// TitlePlacement is where a title lies: on the nodes of so many cells in a row.
type TitlePlacement struct {
	Title     string `json:"title"`
	FirstCell int    `json:"base"`
	Copies    int    `json:"copies"` // 0: taken off
}

//go:generate go run github.com/mailru/easyjson/easyjson -all -output_filename codec_gen.go wire.go

// Encode writes a message of any vocabulary. It can't fail on the types of this package as long as
// their numbers are finite; a message with one that is not is a fault of the program.
func Encode(message easyjson.Marshaler) []byte {
	out, err := easyjson.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("wire: %v", err))
	}
	return out
}

// DecodeSessionMessage reads and checks a message of the session API, from either side.
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

// DecodeNodeMessage reads and checks a message of the node vocabulary, from either side.
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
	if m.Rung < 0 || m.RateKB < 0 || m.StartWithinMS < 0 || m.LengthMS < 0 || m.UptimeMS < 0 || m.MeasurementKind < 0 || m.MeasurementKind > 4 {
		return m, fmt.Errorf("%q has a figure out of range", m.Type)
	}
	if m.Type == Measurement && (m.MeasurementKind == 0 || m.MeasurementValue < 0 || m.MeasurementValue > 1e6) {
		return m, fmt.Errorf("note of kind %d with value %g", m.MeasurementKind, m.MeasurementValue)
	}
	if l := m.Load; l != nil {
		for _, f := range []*float64{l.Streams, l.Link, l.Uplink} {
			if f != nil && (*f < 0 || *f > 1e6) {
				return m, fmt.Errorf("load of %g", *f)
			}
		}
	}
	return m, nil
}

// DecodeDiscoveryMessage reads and checks a message of the list, from either side. Cells are counted modulo the
// fleet's by whoever reads them.
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

func checkIdentifiers(all ...string) error {
	for _, w := range all {
		if len(w) > maxIdentifierBytes {
			return fmt.Errorf("%.16q... is longer than %d bytes", w, maxIdentifierBytes)
		}
		if !utf8.ValidString(w) {
			return fmt.Errorf("%.16q is not UTF-8", w)
		}
	}
	return nil
}
