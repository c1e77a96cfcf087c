package transport

import (
	"sync/atomic"

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

// readBufferBytes is the size of the read buffer that netpoll keeps for each connection, idle or not. The buffer grows
// when more input arrives at once.
const readBufferBytes = 256

// netpoll must be configured before any of its pollers runs, so this is done in init.
func init() {
	netpoll.LinkBufferCap = readBufferBytes
	if err := netpoll.Configure(netpoll.Config{BufferSize: readBufferBytes, LoggerOutput: errorCounter{}}); err != nil {
		panic(err) // impossible: Configure rejects only a number of pollers
	}
}
