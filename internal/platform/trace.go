package platform

import (
	"fmt"
	"io"
	"sync"
	"time"

	"fordusher/internal/daemon"
	"fordusher/internal/director"
	"fordusher/internal/wire"
)

// TraceLevel is the level of detail of a trace of a protocol's messages.
type TraceLevel int

// The levels: the kind and session of each message that starts or ends something, or the bytes of every message.
const (
	TraceKinds TraceLevel = iota
	TraceBytes
)

// A tracer is a protocol that logs the messages that it decodes and encodes, one per line: the Unix time in seconds,
// the sender or receiver, and the content. The trace allows the director's state to be compared with the socket
// traffic. Lines are written by a goroutine of their own, so the goroutines that add lines never wait for the reader
// of the trace.
type tracer struct {
	daemon.Protocol
	level TraceLevel
	out   io.Writer
	now   func() time.Time

	mu      sync.Mutex
	pending []byte // lines that wait to be written
	dropped int    // lines left out since the last write
}

const (
	traceFlushInterval = 100 * time.Millisecond
	maxPendingTrace    = 1 << 20 // bytes; later lines are left out until some have been written
)

// NewTracer returns a protocol that traces p's messages to out, written every 0.1 s, until stop is closed.
func NewTracer(p daemon.Protocol, level TraceLevel, out io.Writer, now func() time.Time, stop <-chan struct{}) daemon.Protocol {
	t := &tracer{Protocol: p, level: level, out: out, now: now}
	go func() {
		var written []byte
		for ended := false; !ended; {
			select {
			case <-stop:
				ended = true
			case <-time.After(traceFlushInterval):
			}
			written = t.takePending(written)
			t.out.Write(written) // write errors only cost trace lines
		}
	}()
	return t
}

// takePending returns the lines to write now. Later lines reuse the slice that the caller passes, the last lines
// returned.
func (t *tracer) takePending(written []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := t.pending
	t.pending = written[:0]
	if t.dropped > 0 {
		lines = fmt.Appendf(lines, "%d lines of the trace were left out\n", t.dropped)
		t.dropped = 0
	}
	return lines
}

func (t *tracer) printf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxPendingTrace {
		t.dropped++
		return
	}
	t.pending = fmt.Appendf(t.pending, "%.6f ", float64(t.now().UnixMicro())/1e6)
	t.pending = append(fmt.Appendf(t.pending, format, args...), '\n')
}

func (t *tracer) DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	in, reply, err = t.Protocol.DecodeClient(raw)
	switch {
	case t.level == TraceBytes:
		t.printf("viewer> %s %.300q %v", in.Message.ID, raw, err)
	case in.Message.Type != "":
		t.printf("viewer> %s %s", in.Message.ID, in.Message.Type)
	}
	return in, reply, err
}

func (t *tracer) DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	in, reply, err = t.Protocol.DecodeNode(raw)
	switch {
	case t.level == TraceBytes:
		t.printf("node> %s %.400q %v", in.Message.Session, raw, err)
	case err != nil:
		t.printf("node> %.100q %v", raw, err)
	case in.Message.Type != "" && in.Message.Type != wire.Measurement:
		t.printf("node> %s %s %s", in.Message.Session, in.Message.Type, in.Message.Reason)
	}
	return in, reply, err
}

func (t *tracer) DecodeDiscovery(raw []byte) (m wire.DiscoveryMessage, err error) {
	m, err = t.Protocol.DecodeDiscovery(raw)
	if t.level == TraceBytes {
		t.printf("board> %d %+v %v", m.Serial, m.Nodes, err)
	} else if m.Type != "" {
		t.printf("board> %d %s %d", m.Serial, m.Type, len(m.Nodes))
	}
	return m, err
}

func (t *tracer) EncodeClient(o director.SendClient) []byte {
	raw := t.Protocol.EncodeClient(o)
	if t.level == TraceBytes {
		t.printf(">viewer %s on %d %s %s %.200q", o.Message.ID, o.Conn, o.Message.Type, o.Message.Reason, raw)
	} else if raw != nil {
		t.printf(">viewer %s on %d %s %s", o.Message.ID, o.Conn, o.Message.Type, o.Message.Reason)
	}
	return raw
}

func (t *tracer) EncodeNode(o director.SendNode) []byte {
	raw := t.Protocol.EncodeNode(o)
	if t.level == TraceBytes {
		t.printf(">node %s on %d %.300q", o.Message.Session, o.Link, raw)
	} else if o.Message.Type != wire.Rung {
		t.printf(">node %s on %d %s", o.Message.Session, o.Link, o.Message.Type)
	}
	return raw
}
