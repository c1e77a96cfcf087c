package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/gopkg/concurrency/gopool"
	"github.com/cloudwego/netpoll"
)

// internalErrors counts the log lines of netpoll, which would otherwise go to standard error (mostly failed accepts),
// further failed accepts, and panics of handlers.
var internalErrors atomic.Int64

// ErrorCount returns the number of errors that netpoll has logged, failed accepts and handler panics so far.
func ErrorCount() int64 { return internalErrors.Load() }

// errorCounter counts the lines written to it in internalErrors.
type errorCounter struct{}

func (errorCounter) Write(line []byte) (int, error) {
	internalErrors.Add(1)
	return len(line), nil
}

// countPanic counts a panic that recoverPanic did not see, such as that of a handler's Closed.
func countPanic(context.Context, any) { internalErrors.Add(1) }

// readBufferBytes is the size of the read buffer that netpoll keeps for each connection, idle or not. The buffer grows
// when more input arrives at once.
const readBufferBytes = 256

// The goroutines that handle input are kept for the next input. The pool that netpoll uses by default starts a goroutine
// for each, whose stack then grows, with a copy each time, while a message is decoded.
const (
	maxIdleReaders   = 16        // goroutines that wait for input; while they are all busy, more are started
	readerMaxAge     = time.Hour // the pool wakes a waiting goroutine 100 times in this time to check its age
	maxQueuedReaders = 1000      // inputs that wait for a goroutine; beyond it each starts one of its own
)

// netpoll must be configured before any of its pollers runs, so this is done in init.
func init() {
	netpoll.LinkBufferCap = readBufferBytes
	readers := gopool.NewGoPool("readers", &gopool.Option{MaxIdleWorkers: maxIdleReaders, WorkerMaxAge: readerMaxAge,
		TaskChanBuffer: maxQueuedReaders})
	readers.SetPanicHandler(countPanic)
	if err := netpoll.Configure(netpoll.Config{BufferSize: readBufferBytes, LoggerOutput: errorCounter{},
		Runner: readers.CtxGo}); err != nil {
		panic(err) // impossible: Configure rejects only a number of pollers
	}
}
