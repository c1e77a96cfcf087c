package transport

import (
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// complaints counts the lines that netpoll would write to standard error (failed accepts, above all) and the handlers
// that have panicked.
var complaints atomic.Int64

// InternalErrors is how often netpoll has complained so far.
func InternalErrors() int64 { return complaints.Load() }

type counter struct{}

func (counter) Write(line []byte) (int, error) {
	complaints.Add(1)
	return len(line), nil
}

// readBuffer is what netpoll keeps for each connection, idle or not, to read into; it grows where much
// comes at once.
const readBuffer = 256

// netpoll asks to be set up before any of its pollers runs, so it is done here.
func init() {
	netpoll.LinkBufferCap = readBuffer
	if err := netpoll.Configure(netpoll.Config{BufferSize: readBuffer, LoggerOutput: counter{}}); err != nil {
		panic(err) // nothing in it can be refused but a number of pollers
	}
}
