// Package simwire reads and writes the simulator's protocol: JSON, one value per line, in batches called frames. A
// Reader turns the simulator's input into frames of events, and a Writer turns the actions of directors into replies.
// Config holds a director's settings and converts messages to the events of package policy. I/O is done on the given
// reader and writer only.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"fordusher/policy"
)

// A Frame is a batch of events that occur at one time.
type Frame struct {
	Time   time.Duration // by the simulator's clock
	Number uint64
	Events []Message
}

// A Message is one line of a frame; which fields are used depends on Kind. An instance is one run of a director.
type Message struct {
	Kind            string          `json:"t"`
	Instance        string          `json:"i"`
	Seed            json.Number     `json:"entropy"`
	Config          json.RawMessage `json:"conf"`
	ListID          int             `json:"list"`
	Entries         []NodeEntry     `json:"entries"`
	ListKind        string          `json:"kind"`
	ID              uint64          `json:"txn"`
	Class           string          `json:"cls"`
	Title           uint64          `json:"programme"`
	ValidUntil      float64         `json:"valid_until_s"`
	FirstCell       float64         `json:"base"`
	Copies          float64         `json:"cells_in_row"`
	MaxRung         float64         `json:"top_rung"`
	Node            string          `json:"node"`
	OutcomeCode     int             `json:"reason"`
	Final           bool            `json:"final"`
	Report          []float64       `json:"report"`
	Value           float64         `json:"x"`
	MeasurementKind int             `json:"sort"`

	// These fields belong to the line that begins a frame.
	Time   *float64 `json:"t_s"`
	Number *uint64  `json:"frame"`
}

// A NodeEntry is a node in a registered list.
type NodeEntry struct {
	State     string  `json:"stage_state"`
	Node      string  `json:"node"`
	Kind      string  `json:"generation_hw"`
	Zone      string  `json:"area"`
	StartedAt float64 `json:"born_s"`
	Weight    float64 `json:"scale"`
	Cell      int     `json:"position"`
}

// The event kinds of the wire. ProbeResult and Whisper have no counterpart in package policy.
const (
	Boot             = "boot"
	Register         = "register"
	ServerListChange = "roster_change"
	RequestEvent     = "demand"
	ProbeResult      = "probe_result"
	TimerEvent       = "ring"
	AdoptedEvent     = "already_open"
	ResultEvent      = "result"
	AcceptedEvent    = "accepted"
	Killed           = "killed"
	Whisper          = "whisper"
	ClientGoneEvent  = "gone"
	MeasurementEvent = "hint_update"
)

var eventKinds = map[string]bool{
	Boot: true, Register: true, ServerListChange: true, RequestEvent: true, ProbeResult: true,
	TimerEvent: true, AdoptedEvent: true, ResultEvent: true, AcceptedEvent: true, Killed: true,
	Whisper: true, ClientGoneEvent: true, MeasurementEvent: true,
}

var outcomesByCode = map[int]policy.Outcome{
	0: policy.Served, 255: policy.Errored, 254: policy.Full, 253: policy.TimedOut,
	252: policy.ConnectFailed, 251: policy.Reset, 250: policy.Cancelled, 249: policy.NeverStarted,
}

// Outcome converts an outcome code.
func Outcome(code int) (policy.Outcome, error) {
	o, ok := outcomesByCode[code]
	if !ok {
		return 0, fmt.Errorf("unknown outcome code %d", code)
	}
	return o, nil
}

// A Reader reads frames.
type Reader struct {
	in         *bufio.Reader
	lastNumber uint64 // number of the last frame whose first line was read
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// readLine returns the next line. The slice is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	var long []byte
	for {
		part, err := r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			long = append(long, part...)
			continue
		}
		if err == io.EOF && len(long)+len(part) > 0 {
			return nil, errors.New("the last line has no line end")
		}
		if err != nil {
			return nil, err
		}
		if long != nil {
			return append(long, part...), nil
		}
		return part, nil
	}
}

// Next reads one frame. It returns io.EOF if the input ended between frames.
func (r *Reader) Next() (Frame, error) {
	var f Frame
	begun := false
	for {
		line, err := r.readLine()
		if err != nil {
			if err == io.EOF && !begun {
				return f, io.EOF
			}
			if err == io.EOF {
				err = errors.New("the input ends inside the frame")
			}
			return f, fmt.Errorf("frame %d: %w", r.lastNumber, err)
		}
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			return f, fmt.Errorf("frame %d, line %.80q: %w", r.lastNumber, line, err)
		}
		switch {
		case m.Kind == "tick" && !begun:
			if m.Time == nil || m.Number == nil {
				return f, fmt.Errorf("after frame %d: a tick without time or number", r.lastNumber)
			}
			begun, r.lastNumber = true, *m.Number
			f.Time, f.Number = SecondsToDuration(*m.Time), *m.Number
		case !begun:
			return f, fmt.Errorf("after frame %d: %q instead of a tick", r.lastNumber, m.Kind)
		case m.Kind == "go":
			return f, nil
		case !eventKinds[m.Kind]:
			return f, fmt.Errorf("frame %d: unknown event kind %q", r.lastNumber, m.Kind)
		default:
			f.Events = append(f.Events, m)
		}
	}
}

// SecondsToDuration converts the wire's seconds to a duration, rounded to microseconds.
func SecondsToDuration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds*1e6)) * time.Microsecond
}

func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d.Microseconds())/1e6, 'f', -1, 64)
}

// A Writer writes replies. It buffers a reply until Finish, so that the output never ends with a partial reply.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

func (w *Writer) begin(kind, instance string) {
	w.buf = append(w.buf, `{"t":"`...)
	w.buf = append(w.buf, kind...)
	w.buf = append(w.buf, `","i":`...)
	w.text(instance)
}

func (w *Writer) text(s string) {
	quoted, _ := json.Marshal(s) // a string always marshals
	w.buf = append(w.buf, quoted...)
}

func (w *Writer) key(name string) {
	w.buf = append(w.buf, `,"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, `":`...)
}

func (w *Writer) txn(id uint64) {
	w.key("txn")
	w.buf = strconv.AppendUint(w.buf, id, 10)
}

// Action adds an action of an instance that started at the given time on the simulator's clock.
func (w *Writer) Action(instance string, start time.Duration, action policy.Action) {
	switch a := action.(type) {
	case policy.Dispatch:
		w.begin("dispatch", instance)
		w.txn(a.ID)
		w.key("within_s")
		w.buf = appendSeconds(w.buf, a.Timeout)
		w.key("node")
		w.text(a.Node)
	case policy.SetRung:
		w.begin("rate", instance)
		w.txn(a.ID)
		w.key("grade")
		w.buf = strconv.AppendInt(w.buf, int64(a.Rung), 10)
	case policy.Nack:
		w.begin("refuse", instance)
		w.txn(a.ID)
		if a.Backoff > 0 {
			w.key("backoff_s")
			w.buf = appendSeconds(w.buf, a.Backoff)
		}
	case policy.Fail:
		w.begin("fail", instance)
		w.txn(a.ID)
	case policy.SetTimer:
		w.begin("schedule", instance)
		w.key("time_s")
		w.buf = appendSeconds(w.buf, start+a.At)
		w.key("token")
		w.buf = append(w.buf, '0')
	case policy.PollServerList:
		w.begin("listen", instance)
		w.key("enable")
		w.buf = append(w.buf, "true"...)
	case policy.Log:
		w.begin("log", instance)
		w.key("words")
		w.text(a.Message)
	}
	w.buf = append(w.buf, "}\n"...)
}

// ReportPanic adds the message that an instance has panicked.
func (w *Writer) ReportPanic(instance, message string) {
	w.begin("panic", instance)
	w.key("words")
	w.text(message)
	w.buf = append(w.buf, "}\n"...)
}

// Finish ends the reply to a frame and writes it out.
func (w *Writer) Finish(number uint64) error {
	w.buf = append(w.buf, `{"t":"ack","frame":`...)
	w.buf = strconv.AppendUint(w.buf, number, 10)
	w.buf = append(w.buf, "}\n"...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}
