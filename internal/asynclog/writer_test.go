package asynclog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// A blockingOutput collects what is written to it. Writes block until unblocked is closed.
type blockingOutput struct {
	mu        sync.Mutex
	text      strings.Builder
	unblocked chan struct{}
}

func (out *blockingOutput) Write(b []byte) (int, error) {
	<-out.unblocked
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.text.Write(b)
}

func (out *blockingOutput) waitFor(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		out.mu.Lock()
		text := out.text.String()
		out.mu.Unlock()
		if strings.Contains(text, want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no %q in %.300s", want, text)
		}
	}
}

// Guards against a burst of lines to a blocked output that blocks the goroutines that log, replaces the first lines by
// later ones, or leaves the number of dropped lines unreported.
func TestBurstWithBlockedOutput(t *testing.T) {
	out := &blockingOutput{unblocked: make(chan struct{})}
	w := New(out, DefaultRate)
	const lines = 100_000
	start := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %d.\n", i)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Fatal("writing blocked for", elapsed)
	}
	dropped := w.Dropped()
	if dropped < uint64(lines-DefaultRate.Burst-1000) || dropped > uint64(lines-DefaultRate.Burst) {
		t.Fatal(dropped, "lines were dropped")
	}
	close(out.unblocked)
	out.waitFor(t, "line 0.\n")
	out.waitFor(t, fmt.Sprintf("line %d.\n", DefaultRate.Burst-1))
	out.waitFor(t, fmt.Sprintf("%d since the start", dropped))
	w.Close(time.Second)
}

// Guards against a Close that loses queued lines or waits for a blocked output beyond its time-out.
func TestCloseFlushesWithinTimeout(t *testing.T) {
	out := &blockingOutput{unblocked: make(chan struct{})}
	w := New(out, DefaultRate)
	fmt.Fprintln(w, "last")
	w.Close(10 * time.Millisecond)
	close(out.unblocked)
	out.waitFor(t, "last")
}
