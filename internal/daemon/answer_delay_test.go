package daemon

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fordusher/internal/wire"
)

// answerDelays returns the number and the sum of the delays in the histogram, as a reader of the metrics gets them.
func answerDelays(t *testing.T, d *Daemon) (count uint64, sum float64) {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(d)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "fordusher_answer_forward_seconds" {
			h := family.GetMetric()[0].GetHistogram()
			return h.GetSampleCount(), h.GetSampleSum()
		}
	}
	t.Fatal("the histogram is missing")
	return 0, 0
}

// Each final answer that a node's message leads to is measured once. An answer that the director gives by itself is
// not, and neither are measurements of playing sessions.
func TestAnswerDelayIsMeasuredForAnswersOfNodes(t *testing.T) {
	p := newFixture(t, 3)
	c, in := dial(t, p.d.Address())
	if count, _ := answerDelays(t, p.d); count != 0 {
		t.Fatal(count, "answers were measured before the first request")
	}
	sentAt := time.Now()
	c.Send(requestMessage("1", "exam"), 0)
	if m := in.answer(t); m.Type != wire.Playing {
		t.Fatal(m)
	}
	c.Send(wire.Encode(wire.SessionMessage{Type: wire.Request, ID: "2", Key: "k2", Tariff: "clip", Title: "none", WaitMS: 2000}), 0)
	if m := in.answer(t); m.Type == wire.Playing {
		t.Fatal(m)
	}
	waited := time.Since(sentAt) // the second answer shows that the loop has measured the first
	count, sum := answerDelays(t, p.d)
	if count != 1 || sum <= 0 || sum > waited.Seconds() {
		t.Fatalf("%d answers with %v s in sum were measured, want one with at most %v", count, sum, waited)
	}
}
