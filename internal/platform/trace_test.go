package platform

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/wire"
)

// A stuckWriter reports the first write and then blocks until it is released. It passes on what is written.
type stuckWriter struct {
	begun   chan struct{}
	release chan struct{}
	lines   chan string
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	if len(p) > 0 {
		select {
		case w.begun <- struct{}{}:
		default:
		}
		<-w.release
		w.lines <- string(p)
	}
	return len(p), nil
}

func tracedAnswer(session uint64) director.SendClient {
	return director.SendClient{Conn: 3, Message: wire.SessionMessage{Type: wire.Playing, ID: sessionID(session)}}
}

// A reader that does not read the trace holds up no message: lines wait up to a bound, later ones are left out, and the
// trace says how many.
func TestTraceNeverWaitsForItsReader(t *testing.T) {
	out := &stuckWriter{begun: make(chan struct{}, 1), release: make(chan struct{}), lines: make(chan string, 16)}
	stop := make(chan struct{})
	defer close(stop)
	protocol := NewTracer(&Protocol{}, TraceKinds, out, time.Now, stop)
	protocol.EncodeClient(tracedAnswer(1))
	<-out.begun // the goroutine that writes stands still from here on
	lineLength := len("1796354129.210832 >viewer 0000000000000001 on 3 plays \n")
	sent := maxPendingTrace/lineLength + 1000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range sent {
			protocol.EncodeClient(tracedAnswer(uint64(i)))
		}
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("messages wait for the reader of the trace")
	}
	close(out.release)
	if first := <-out.lines; !regexp.MustCompile(`^\d+\.\d{6} >viewer 0000000000000001 on 3 plays \n$`).MatchString(first) {
		t.Fatalf("%q", first)
	}
	second := <-out.lines
	kept := strings.Count(second, ">viewer")
	if len(second) > maxPendingTrace+2*lineLength || kept < 1000 || kept > sent-1000+1 {
		t.Fatalf("%d lines, %d bytes, of %d", kept, len(second), sent)
	}
	var left int
	if m := regexp.MustCompile(`(?m)^(\d+) lines of the trace were left out\n$`).FindStringSubmatch(second); m != nil {
		left = int(must(parseBoundedInt(m[1], 0, 1<<30)))
	}
	if left != sent-kept {
		t.Fatalf("%d lines are said to be left out, %d are", left, sent-kept)
	}
}

func must(n int64, err error) int64 {
	if err != nil {
		panic(err)
	}
	return n
}

// Lines come whole and in the order of the messages.
func TestTraceKeepsTheOrder(t *testing.T) {
	out := &stuckWriter{begun: make(chan struct{}, 1), release: make(chan struct{}), lines: make(chan string, 1<<10)}
	close(out.release)
	stop := make(chan struct{})
	protocol := NewTracer(&Protocol{}, TraceKinds, out, time.Now, stop)
	const messages = 10_000 // under maxPendingTrace in all
	for i := range uint64(messages) {
		protocol.EncodeClient(tracedAnswer(i))
		if i == messages/2 {
			time.Sleep(2 * traceFlushInterval) // more than one write
		}
	}
	close(stop)
	text := ""
	for deadline := time.After(testTimeout); strings.Count(text, "\n") < messages; {
		select {
		case lines := <-out.lines:
			text += lines
		case <-deadline:
			t.Fatal(strings.Count(text, "\n"), "lines were written")
		}
	}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if !strings.Contains(line, " >viewer "+sessionID(uint64(i))+" on 3 plays") {
			t.Fatalf("line %d: %q", i, line)
		}
	}
}
