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

// Result is how a day went.
type Result struct {
	Seed       uint64             `json:"seed"`
	Clients    int                `json:"viewers"`
	Received   int                `json:"taken"` // requests that a director got
	Played     int                `json:"played"`
	Nacked     int                `json:"nacked"`
	Errored    int                `json:"errored"`
	Abandoned  int                `json:"gone"` // the viewer left, or its director was killed, before an answer
	Unanswered int                `json:"unanswered"`
	Retries    int                `json:"again"` // of the requests taken, not their viewer's first
	P50        float64            `json:"p50_ms"`
	P99        float64            `json:"p99_ms"`
	MaxLatency float64            `json:"max_ms"`
	Credit     float64            `json:"credit"` // of sessions that played within the goal time, over what was asked for at the best rung
	Legs       int                `json:"legs"`
	Rules      rulecheck.Findings `json:"rules"`

	Limits  rulecheck.Limits   `json:"-"`
	Records []rulecheck.Record `json:"-"`
}

// Passed tells whether every rule was kept and every request ended in exactly one way.
func (r *Result) Passed() bool { return r.Rules.Passed() && r.Unanswered == 0 }

func (g *rig) result() (*Result, error) {
	slack := g.opt.Tolerance
	if slack == 0 {
		slack = 100 * time.Millisecond
	}
	r := &Result{Seed: g.opt.Seed, Limits: RuleLimits(g.first, slack), Records: g.record.Records()}
	more, err := g.fleet.Records()
	if err != nil {
		return nil, err
	}
	r.Records = append(r.Records, more...)
	rulecheck.Sort(r.Records)
	r.judge()
	r.Clients = g.crowd.Clients
	r.Summarize(g.crowd.Latency, g.crowd.StartedInTime, g.crowd.RequestedValue)
	return r, nil
}

// Summarize works out latencies and credit: from request to playing, the sessions that played within the goal time,
// and seconds asked for by tariff, at the worth of the best rung.
func (r *Result) Summarize(latency []time.Duration, inTime map[string]bool, wanted map[string]float64) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, d := range latency {
		h.RecordValue(max(1, d.Microseconds()))
	}
	r.P50, r.P99, r.MaxLatency = ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())
	var credit, asked float64
	for _, x := range r.Records {
		if x.Kind == rulecheck.SessionEarned && inTime[x.Session] {
			credit += r.Limits.Tariffs[x.Tariff].Credit * x.Seconds
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Limits.Tariffs)) {
		asked += r.Limits.Tariffs[name].Credit * wanted[name]
	}
	if asked > 0 {
		r.Credit = credit / asked
	}
}

func ms(us int64) float64 { return float64(us) / 1000 }

// judge counts the endings and checks the rules, from the records alone.
func (r *Result) judge() {
	r.Rules = rulecheck.Check(r.Limits, r.Records)
	t := rulecheck.CountOutcomes(r.Records)
	r.Received, r.Played, r.Nacked, r.Errored = t.Received, t.Played, t.Nacked, t.Errored
	r.Abandoned, r.Unanswered, r.Retries, r.Legs = t.Abandoned, t.Unanswered, t.Retries, t.Legs
}

// CheckRecords checks records again that were kept.
func CheckRecords(terms rulecheck.Limits, records []rulecheck.Record) *Result {
	r := &Result{Limits: terms, Records: records}
	r.judge()
	return r
}

// Print writes the table.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\nrequests   taken %d: played %d, nacked %d, errored %d, gone %d, unanswered %d\n",
		r.Received, r.Played, r.Nacked, r.Errored, r.Abandoned, r.Unanswered)
	fmt.Fprintf(w, "           of them %d came again; %d legs\n", r.Retries, r.Legs)
	if r.Clients > 0 {
		fmt.Fprintf(w, "set-up     p50 %.1f ms, p99 %.1f ms, longest %.1f ms\n", r.P50, r.P99, r.MaxLatency)
		fmt.Fprintf(w, "credit     %.3f within the goal time, of %d viewers\n", r.Credit, r.Clients)
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
