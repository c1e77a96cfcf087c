// Package asynclog writes log lines so that they are never the trouble themselves: whoever logs does not wait for
// whoever reads, and a storm of lines is cut to its first ones and a pace, with what was left out counted and said.
//
// zerolog's own diode does not wait either, but it overwrites the oldest lines, and those of an event's beginning are
// the ones that tell what happened; its samplers drop without a count.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimit is what is written at most: so many lines at once, and so many a second from then on.
type RateLimit struct{ Burst, PerSecond int }

// The paces of a log that tells of changes of mode, and of one that tells of each request.
var (
	DefaultRate = RateLimit{Burst: 200, PerSecond: 10}
	VerboseRate = RateLimit{Burst: 20_000, PerSecond: 5000}
)

// maxQueuedLines is how many lines that wait for a reader are kept, the first ones; the later ones are left out.
const maxQueuedLines = 1024

// Writer is a writer of lines. Its methods may be called by any goroutine.
type Writer struct {
	out  io.Writer
	done chan struct{}

	mu     sync.Mutex
	limiter   *rate.Limiter
	queue  [][]byte // emptied as they are written
	wake   chan struct{}
	dropped   uint64 // lines left out
	reported   uint64 // of these, the ones that a line has told of
	closed bool
}

// New starts writing to out, which may be slow, or stand still for ever, at a pace.
func New(out io.Writer, pace RateLimit) *Writer {
	h := &Writer{out: out, done: make(chan struct{}), limiter: rate.NewLimiter(rate.Limit(pace.PerSecond), pace.Burst), wake: make(chan struct{}, 1)}
	go h.run()
	return h
}

// Write takes a line, or leaves it out and counts it. It never waits and never fails.
func (h *Writer) Write(line []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(h.queue) >= maxQueuedLines || !h.limiter.AllowN(time.Now(), 1) {
		h.dropped++
		return len(line), nil
	}
	h.queue = append(h.queue, bytes.Clone(line))
	h.signal()
	return len(line), nil
}

func (h *Writer) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Dropped is how many lines were left out so far.
func (h *Writer) Dropped() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dropped
}

// dropReportInterval is how often it is said how many lines were left out.
const dropReportInterval = time.Second

func (h *Writer) run() {
	defer close(h.done)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.wake:
		case <-tick.C:
		}
		lines, ended := h.takeBatch()
		for _, line := range lines {
			h.out.Write(line) // there is nowhere to tell of an error
		}
		if ended {
			return
		}
	}
}

// takeBatch is what is to be written now, with a line on what was left out since the last one.
func (h *Writer) takeBatch() (lines [][]byte, ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lines, h.queue = h.queue, nil
	if h.dropped > h.reported {
		lines = append(lines, fmt.Appendf(nil, `{"level":"warn","time":%q,"left_out":%d,"message":"%d log lines were left out, %d since the start"}`+"\n",
			time.Now().Format(time.RFC3339Nano), h.dropped-h.reported, h.dropped-h.reported, h.dropped))
		h.reported = h.dropped
	}
	return lines, h.closed
}

// Close writes what waits, for as long as that may take at most, and takes nothing more.
func (h *Writer) Close(within time.Duration) {
	h.mu.Lock()
	h.closed = true
	h.signal()
	h.mu.Unlock()
	select {
	case <-h.done:
	case <-time.After(within):
	}
}
