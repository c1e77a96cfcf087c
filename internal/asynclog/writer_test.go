package asynclog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// A blockingOutput is what a reader has of the lines; until it is let go, it does not read.
type blockingOutput struct {
	mu   sync.Mutex
	text strings.Builder
	unblocked chan struct{}
}

func (p *blockingOutput) Write(b []byte) (int, error) {
	<-p.unblocked
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *blockingOutput) waitFor(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		text := p.text.String()
		p.mu.Unlock()
		if strings.Contains(text, want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no %q in %.300s", want, text)
		}
	}
}

// A storm of lines to a reader that stands still: nobody waits, the first lines are kept, and once somebody reads it
// is told how many are missing.
func TestLogStormWithBlockedReader(t *testing.T) {
	p := &blockingOutput{unblocked: make(chan struct{})}
	h := New(p, DefaultRate)
	const lines = 100_000
	began := time.Now()
	for i := range lines {
		fmt.Fprintf(h, "line %d.\n", i)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatal("writers waited", took)
	}
	left := h.Dropped()
	if left < uint64(lines-DefaultRate.Burst-1000) || left > uint64(lines-DefaultRate.Burst) {
		t.Fatal(left, "left out")
	}
	close(p.unblocked)
	p.waitFor(t, "line 0.\n")
	p.waitFor(t, fmt.Sprintf("line %d.\n", DefaultRate.Burst-1))
	p.waitFor(t, fmt.Sprintf("%d since the start", left))
	h.Close(time.Second)
}

// What was written before the end is there after it, and an end does not wait for a reader that never reads.
func TestCloseFlushesWithinTimeout(t *testing.T) {
	p := &blockingOutput{unblocked: make(chan struct{})}
	h := New(p, DefaultRate)
	fmt.Fprintln(h, "last")
	h.Close(10 * time.Millisecond)
	close(p.unblocked)
	p.waitFor(t, "last")
}
