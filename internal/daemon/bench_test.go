package daemon

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// A floodClient responds to each answer with another request. If cancels is set, it cancels the answered request first.
type floodClient struct {
	cancels  bool
	requests atomic.Int64
}

func (f *floodClient) Opened(*transport.Conn)                  {}
func (f *floodClient) Closed(*transport.Conn, error, []uint64) {}

func (f *floodClient) Message(c *transport.Conn, raw []byte) {
	if m, err := wire.DecodeSessionMessage(raw); err == nil && m.Type != wire.Rung && m.Type != wire.SessionEnded {
		if f.cancels {
			c.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: m.ID}), 0)
		}
		c.Send(f.nextRequest(), 0)
	}
}

func (f *floodClient) nextRequest() []byte {
	n, title := f.requests.Add(1), "none"
	if f.cancels {
		title = "t"
	}
	return wire.Encode(wire.SessionMessage{Type: wire.Request, ID: fmt.Sprint(n), Tariff: "clip", Title: title,
		Key: fmt.Sprintf("%p-%d", f, n), WaitMS: 2000})
}

// The benchmark measures how long one client waits for its answers beside connections that each keep 400 requests open,
// or that each cancel a request as soon as it is answered and send another.
func BenchmarkAnswerLatencyUnderLoad(b *testing.B) {
	for _, x := range []struct {
		load  string
		conns int
		open  int
	}{{"alone", 0, 0}, {"requesting", 10, 400}, {"requesting", 50, 400}, {"cancelling", 5, 1}, {"cancelling", 20, 1}} {
		b.Run(fmt.Sprint(x.load, "=", x.conns), func(b *testing.B) {
			p := newFixture(b, 20, `"inbox": 64`, `"inbox": 512`)
			for range x.conns {
				g := &floodClient{cancels: x.load == "cancelling"}
				c, err := transport.Dial(p.d.Address(), wire.SessionProtocol, 2*time.Second,
					transport.Limits{MaxMessageBytes: 1 << 20, MaxQueuedBytes: 1 << 22, WriteTimeout: 5 * time.Second}, g, nil)
				if err != nil {
					b.Fatal(err)
				}
				for range x.open {
					c.Send(g.nextRequest(), 0)
				}
			}
			time.Sleep(300 * ms)
			c, in := dial(b, p.d.Address())
			var latencies []time.Duration
			for i := 0; b.Loop(); i++ {
				sentAt := time.Now()
				c.Send(requestMessage(fmt.Sprint("m", i), "clip"), 0)
				in.answer(b)
				latencies = append(latencies, time.Since(sentAt))
				c.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: fmt.Sprint("m", i)}), 0)
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms-p50")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "ms-p99")
			p.d.Kill()
		})
	}
}
