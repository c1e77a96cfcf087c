// Package asynclog writes log lines without blocking the goroutines that log. It limits a burst of lines to the first
// ones and a rate from then on, and counts and reports the lines that it drops.
//
// The diode of zerolog does not block either, but it overwrites the oldest lines, and the lines from the beginning of
// an event are the ones that show what happened. The samplers of zerolog drop lines without counting them.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimit limits the lines written: Burst lines at once, and PerSecond lines a second from then on.
type RateLimit struct{ Burst, PerSecond int }

// The limits for a log with a line for each change of mode, and for a log with lines for each request.
var (
	DefaultRate = RateLimit{Burst: 200, PerSecond: 10}
	VerboseRate = RateLimit{Burst: 20_000, PerSecond: 5000}
)

// maxQueuedLines is the largest number of lines that wait for the output. Later lines are dropped, so that the first
// ones are kept.
const maxQueuedLines = 1024

// Writer writes log lines asynchronously. Its methods may be called from any goroutine.
type Writer struct {
	out  io.Writer
	done chan struct{}

	mu       sync.Mutex
	limiter  *rate.Limiter
	queue    [][]byte // lines that wait for the output
	wake     chan struct{}
	dropped  uint64 // number of dropped lines
	reported uint64 // of these, the number that was reported in the log
	closed   bool
}

// New starts a writer to out, which may be slow or block forever, with a rate limit.
func New(out io.Writer, limit RateLimit) *Writer {
	w := &Writer{out: out, done: make(chan struct{}), limiter: rate.NewLimiter(rate.Limit(limit.PerSecond), limit.Burst),
		wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line, or drops and counts it. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue) >= maxQueuedLines || !w.limiter.AllowN(time.Now(), 1) {
		w.dropped++
		return len(line), nil
	}
	w.queue = append(w.queue, bytes.Clone(line))
	w.signal()
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// dropReportInterval is the interval at which dropped lines are reported in the log.
const dropReportInterval = time.Second

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.wake:
		case <-tick.C:
		}
		lines, closed := w.takeBatch()
		for _, line := range lines {
			w.out.Write(line) // there is no place to report an error
		}
		if closed {
			return
		}
	}
}

// takeBatch returns the lines to write now, with a line that reports the lines dropped since the last report.
func (w *Writer) takeBatch() (lines [][]byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.queue = w.queue, nil
	if w.dropped > w.reported {
		lines = append(lines, fmt.Appendf(nil,
			`{"level":"warn","time":%q,"left_out":%d,"message":"%d log lines were left out, %d since the start"}`+"\n",
			time.Now().Format(time.RFC3339Nano), w.dropped-w.reported, w.dropped-w.reported, w.dropped))
		w.reported = w.dropped
	}
	return lines, w.closed
}

// Close writes the queued lines, waiting for that no longer than the time-out. Lines written after Close are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
