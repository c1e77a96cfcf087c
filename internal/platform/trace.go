package platform

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"

	"fordusher/internal/daemon"
	"fordusher/internal/director"
	"fordusher/internal/wire"
)

// TraceLevel is how much is written of each message that crosses a front.
type TraceLevel int

// The levels: the kind and the session of each message that begins or ends something, or the bytes of every message.
const (
	TraceKinds TraceLevel = iota
	TraceBytes
)

// traced is a front that writes down the messages that cross it, one a line: the Unix time in seconds, whom it is
// from or to, and what it says. By it one compares what the director believes with what passes on the sockets.
type traced struct {
	daemon.Protocol
	level TraceLevel
	mu    sync.Mutex
	out   *bufio.Writer
	now   func() time.Time
}

// Traced writes what crosses a front to out, in batches of a tenth of a second, until stop is closed.
func Traced(f daemon.Protocol, level TraceLevel, out io.Writer, now func() time.Time, stop <-chan struct{}) daemon.Protocol {
	t := &traced{Protocol: f, level: level, out: bufio.NewWriter(out), now: now}
	go func() {
		for ended := false; !ended; {
			select {
			case <-stop:
				ended = true
			case <-time.After(100 * time.Millisecond):
			}
			t.mu.Lock()
			t.out.Flush() // what can't be written is not traced
			t.mu.Unlock()
		}
	}()
	return t
}

func (t *traced) line(format string, what ...any) {
	t.mu.Lock()
	fmt.Fprintf(t.out, "%.3f "+format+"\n", append([]any{float64(t.now().UnixMilli()) / 1000}, what...)...)
	t.mu.Unlock()
}

func (t *traced) DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	in, reply, err = t.Protocol.DecodeClient(raw)
	switch {
	case t.level == TraceBytes:
		t.line("viewer> %s %.300q %v", in.Message.ID, raw, err)
	case in.Message.Type != "":
		t.line("viewer> %s %s", in.Message.ID, in.Message.Type)
	}
	return in, reply, err
}

func (t *traced) DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	in, reply, err = t.Protocol.DecodeNode(raw)
	switch {
	case t.level == TraceBytes:
		t.line("node> %s %.400q %v", in.Message.Session, raw, err)
	case err != nil:
		t.line("node> %.100q %v", raw, err)
	case in.Message.Type != "" && in.Message.Type != wire.Note:
		t.line("node> %s %s %s", in.Message.Session, in.Message.Type, in.Message.Why)
	}
	return in, reply, err
}

func (t *traced) DecodeDiscovery(raw []byte) (m wire.List, err error) {
	m, err = t.Protocol.DecodeDiscovery(raw)
	if t.level == TraceBytes {
		t.line("board> %d %+v %v", m.Serial, m.Nodes, err)
	} else if m.Type != "" {
		t.line("board> %d %s %d", m.Serial, m.Type, len(m.Nodes))
	}
	return m, err
}

func (t *traced) EncodeClient(o director.SendClient) []byte {
	raw := t.Protocol.EncodeClient(o)
	if t.level == TraceBytes {
		t.line(">viewer %s on %d %s %s %.200q", o.Message.ID, o.Conn, o.Message.Type, o.Message.Why, raw)
	} else if raw != nil {
		t.line(">viewer %s on %d %s %s", o.Message.ID, o.Conn, o.Message.Type, o.Message.Why)
	}
	return raw
}

func (t *traced) EncodeNode(o director.SendNode) []byte {
	raw := t.Protocol.EncodeNode(o)
	if t.level == TraceBytes {
		t.line(">node %s on %d %.300q", o.Message.Session, o.Link, raw)
	} else if o.Message.Type != wire.Rung {
		t.line(">node %s on %d %s", o.Message.Session, o.Link, o.Message.Type)
	}
	return raw
}
