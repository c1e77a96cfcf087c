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

// traced is a front that writes down every message that crosses it, one a line: the Unix time in seconds, whom it is
// from or to, and what it says. By it one compares what the director believes with what passes on the sockets.
type traced struct {
	daemon.Front
	mu  sync.Mutex
	out *bufio.Writer
	now func() time.Time
}

// Traced writes what crosses a front to out, in batches of a tenth of a second, until stop is closed.
func Traced(f daemon.Front, out io.Writer, now func() time.Time, stop <-chan struct{}) daemon.Front {
	t := &traced{Front: f, out: bufio.NewWriter(out), now: now}
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

func (t *traced) FromPlayer(raw []byte) (in director.PlayerSaid, reply []byte, err error) {
	in, reply, err = t.Front.FromPlayer(raw)
	t.line("viewer> %s %.300q %v", in.Message.ID, raw, err)
	return in, reply, err
}

func (t *traced) FromNode(raw []byte) (in director.LinkSaid, reply []byte, err error) {
	in, reply, err = t.Front.FromNode(raw)
	t.line("node> %s %.400q %v", in.Message.Session, raw, err)
	return in, reply, err
}

func (t *traced) FromList(raw []byte) (m wire.List, err error) {
	m, err = t.Front.FromList(raw)
	t.line("board> %d %+v %v", m.Serial, m.Nodes, err)
	return m, err
}

func (t *traced) ToPlayer(o director.TellPlayer) []byte {
	raw := t.Front.ToPlayer(o)
	t.line(">viewer %s on %d %s %s %.200q", o.Message.ID, o.Conn, o.Message.Type, o.Message.Why, raw)
	return raw
}

func (t *traced) ToNode(o director.TellNode) []byte {
	raw := t.Front.ToNode(o)
	t.line(">node %s on %d %.300q", o.Message.Session, o.Link, raw)
	return raw
}
