package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/gopkg/concurrency/gopool"
)

// internalErrors counts failed accepts, failures of the poller and panics of handlers.
var internalErrors atomic.Int64

// ErrorCount returns the number of failed accepts, failures of the poller and handler panics so far.
func ErrorCount() int64 { return internalErrors.Load() }

// countPanic counts a panic that recoverPanic did not see, such as that of a handler's Closed.
func countPanic(context.Context, any) { internalErrors.Add(1) }

// The goroutines that handle input are kept for the next input. A goroutine started for each would grow its stack, with
// a copy each time, while a message is decoded.
const (
	maxIdleReaders   = 16        // goroutines that wait for input; while they are all busy, more are started
	readerMaxAge     = time.Hour // the pool wakes a waiting goroutine 100 times in this time to check its age
	maxQueuedReaders = 1000      // inputs that wait for a goroutine; beyond it each starts one of its own
)

// inputReaders runs the handling of input. Its goroutines take no place from each other: however many handlers are busy, the
// next input is handled.
var inputReaders = newReaders()

func newReaders() *gopool.GoPool {
	pool := gopool.NewGoPool("readers", &gopool.Option{MaxIdleWorkers: maxIdleReaders, WorkerMaxAge: readerMaxAge,
		TaskChanBuffer: maxQueuedReaders})
	pool.SetPanicHandler(countPanic)
	return pool
}

// readBufferBytes is how much is read from a connection at a time. It is small because a connection whose input waits
// keeps the unhandled rest of one read.
const readBufferBytes = 4 << 10

// readBuffers holds the buffers that no read uses. An idle connection has none.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}
