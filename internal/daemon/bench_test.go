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

// A floodClient answers each answer with what it does for ever: another request, or leaving and coming again.
type floodClient struct {
	cancels bool
	n       atomic.Int64
}

func (g *floodClient) Opened(*transport.Conn)                  {}
func (g *floodClient) Closed(*transport.Conn, error, []uint64) {}

func (g *floodClient) Message(c *transport.Conn, raw []byte) {
	if m, err := wire.DecodeSessionMessage(raw); err == nil && m.Type != wire.Rung && m.Type != wire.SessionEnded {
		if g.cancels {
			c.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: m.ID}), 0)
		}
		c.Send(g.nextRequest(), 0)
	}
}

func (g *floodClient) nextRequest() []byte {
	n, title := g.n.Add(1), "none"
	if g.cancels {
		title = "t"
	}
	return wire.Encode(wire.SessionMessage{Type: wire.Request, ID: fmt.Sprint(n), Tariff: "clip", Title: title, Key: fmt.Sprintf("%p-%d", g, n), WaitMS: 2000})
}

// What a modest player waits beside connections that each keep 400 requests open, or ask and leave at once, for ever.
func BenchmarkBesideOthers(b *testing.B) {
	for _, x := range []struct {
		what  string
		conns int
		open  int
	}{{"alone", 0, 0}, {"greedy", 10, 400}, {"greedy", 50, 400}, {"leaving", 5, 1}, {"leaving", 20, 1}} {
		b.Run(fmt.Sprint(x.what, "=", x.conns), func(b *testing.B) {
			p := newFixture(b, 20, `"inbox": 64`, `"inbox": 512`)
			for range x.conns {
				g := &floodClient{cancels: x.what == "leaving"}
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
			var took []time.Duration
			for i := 0; b.Loop(); i++ {
				began := time.Now()
				c.Send(requestMessage(fmt.Sprint("m", i), "clip"), 0)
				in.answer(b)
				took = append(took, time.Since(began))
				c.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: fmt.Sprint("m", i)}), 0)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-p50")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "ms-p99")
			p.d.Kill()
		})
	}
}
