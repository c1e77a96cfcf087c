package day

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fordusher/internal/rulecheck"
)

// A Result is the outcome of a day.
type Result struct {
	Seed       uint64             `json:"seed"`
	Clients    int                `json:"viewers"`
	Received   int                `json:"taken"` // requests that directors received
	Played     int                `json:"played"`
	Nacked     int                `json:"nacked"`
	Errored    int                `json:"errored"`
	Abandoned  int                `json:"gone"` // the client cancelled or left, or its director was killed, before an answer
	Unanswered int                `json:"unanswered"`
	Retries    int                `json:"again"` // received requests that were not their client's first
	P50        float64            `json:"p50_ms"`
	P99        float64            `json:"p99_ms"`
	MaxLatency float64            `json:"max_ms"`
	Credit     float64            `json:"credit"` // of sessions that started within the goal time, over the credit requested at the best rung
	Legs       int                `json:"legs"`
	Rules      rulecheck.Findings `json:"rules"`

	Limits  rulecheck.Limits   `json:"-"`
	Records []rulecheck.Record `json:"-"`
}

// Passed reports whether no rule was violated and every request ended in exactly one way.
func (r *Result) Passed() bool { return r.Rules.Passed() && r.Unanswered == 0 }

func (h *harness) result() (*Result, error) {
	tolerance := h.opt.Tolerance
	if tolerance == 0 {
		tolerance = 100 * time.Millisecond
	}
	r := &Result{Seed: h.opt.Seed, Limits: RuleLimits(h.firstConfig, tolerance), Records: h.recorder.Records()}
	more, err := h.nodes.Records()
	if err != nil {
		return nil, err
	}
	r.Records = append(r.Records, more...)
	rulecheck.Sort(r.Records)
	r.check()
	r.Clients = h.clients.ClientCount
	r.Summarize(h.clients.Latency, h.clients.StartedInTime, h.clients.RequestedValue)
	return r, nil
}

// Summarize computes the latencies and the credit. It takes the latencies from request to playing, the sessions that
// started within the goal time, and the requested seconds by tariff, weighted by the value of the best rung.
func (r *Result) Summarize(latency []time.Duration, startedInTime map[string]bool, requestedValue map[string]float64) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, d := range latency {
		h.RecordValue(max(1, d.Microseconds()))
	}
	r.P50, r.P99, r.MaxLatency = ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
	var credit, requested float64
	for _, x := range r.Records {
		if x.Kind == rulecheck.SessionEarned && startedInTime[x.Session] {
			credit += r.Limits.Tariffs[x.Tariff].Credit * x.Seconds
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Limits.Tariffs)) {
		requested += r.Limits.Tariffs[name].Credit * requestedValue[name]
	}
	if requested > 0 {
		r.Credit = credit / requested
	}
}

func ms(us int64) float64 { return float64(us) / 1000 }

// check counts the outcomes and checks the rules, from the records alone.
func (r *Result) check() {
	r.Rules = rulecheck.Check(r.Limits, r.Records)
	counts := rulecheck.CountOutcomes(r.Records)
	r.Received, r.Played, r.Nacked, r.Errored = counts.Received, counts.Played, counts.Nacked, counts.Errored
	r.Abandoned, r.Unanswered, r.Retries, r.Legs = counts.Abandoned, counts.Unanswered, counts.Retries, counts.Legs
}

// CheckRecords returns a result that is derived from records alone, without latencies and credit.
func CheckRecords(limits rulecheck.Limits, records []rulecheck.Record) *Result {
	r := &Result{Limits: limits, Records: records}
	r.check()
	return r
}

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\nrequests   received %d: played %d, nacked %d, errored %d, abandoned %d, unanswered %d\n",
		r.Received, r.Played, r.Nacked, r.Errored, r.Abandoned, r.Unanswered)
	fmt.Fprintf(w, "           %d of them retries; %d legs\n", r.Retries, r.Legs)
	if r.Clients > 0 {
		fmt.Fprintf(w, "set-up     p50 %.1f ms, p99 %.1f ms, longest %.1f ms\n", r.P50, r.P99, r.MaxLatency)
		fmt.Fprintf(w, "credit     %.3f within the goal time, of %d clients\n", r.Credit, r.Clients)
	}
	fmt.Fprintf(w, "\n%-16s %9s %7s\n", "rule", "checked", "broken")
	for _, name := range rulecheck.Rules {
		f := r.Rules[name]
		fmt.Fprintf(w, "%-16s %9d %7d\n", name, f.Checked, f.Violations)
		for _, e := range f.Examples {
			fmt.Fprintf(w, "    %s\n", e)
		}
	}
	if r.Passed() {
		fmt.Fprintln(w, "\nall rules kept")
	} else {
		fmt.Fprintln(w, "\nA RULE WAS BROKEN")
	}
}
