package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fordusher/internal/director"
	"fordusher/internal/wire"
)

// answerDelayBuckets are the upper bounds of the histogram of answerDelay, in seconds. 0.3 ms is the target for the
// median, 1 ms that for the 99th percentile.
var answerDelayBuckets = []float64{50e-6, 100e-6, 200e-6, 300e-6, 500e-6, 1e-3, 2e-3, 5e-3, 10e-3, 20e-3, 50e-3, 100e-3}

// answerDelay measures the time from the read of a node's message to the write of the final answer that it leads to.
// A node may release the session meanwhile, and the client that is still to hear of the session has lost it then.
type answerDelay struct {
	histogram prometheus.Histogram
	readAt    time.Time // when the message that the loop handles was read; zero: it is not a node's; used by the loop only
}

func newAnswerDelay() answerDelay {
	return answerDelay{histogram: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "fordusher_answer_forward_seconds",
		Help:    "time from reading a node's message to writing the client's final answer that it leads to",
		Buckets: answerDelayBuckets})}
}

// answerWritten records that a message to a client was written, or queued behind others. Only a final answer that a
// node's message led to is measured.
func (d *Daemon) answerWritten(o director.SendClient) {
	if d.answerDelay.readAt.IsZero() {
		return
	}
	switch o.Message.Type {
	case wire.Playing, wire.Nack, wire.Errored:
		delay := time.Since(d.answerDelay.readAt)
		d.answerDelay.histogram.Observe(delay.Seconds())
		d.log.Debug().Str("request", o.Message.ID).Uint64("client_connection", o.Conn).Int64("forward_us", delay.Microseconds()).
			Msg("answer written")
	}
}
