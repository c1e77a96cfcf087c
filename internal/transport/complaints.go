package transport

import (
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// complaints counts the lines that netpoll would write to standard error: failed accepts, above all.
var complaints atomic.Int64

// Complaints is how often netpoll has complained so far.
func Complaints() int64 { return complaints.Load() }

type counter struct{}

func (counter) Write(line []byte) (int, error) {
	complaints.Add(1)
	return len(line), nil
}

// netpoll asks to be set up before any of its pollers runs, so it is done here.
func init() { netpoll.SetLoggerOutput(counter{}) }
