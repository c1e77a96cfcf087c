package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"fordusher/internal/day"
	"fordusher/internal/rulecheck"
)

// slack is what the witness forgives: messages on their way, and answers that cross.
const slack = 50 * time.Millisecond

// A Result is how a day in virtual time went.
type Result struct {
	*day.Result
	Hash     string        `json:"hash"` // of all that was recorded
	Duration time.Duration `json:"span"` // of virtual time

	Samples       []Sample           `json:"-"`
	Incidents     []IncidentInterval `json:"-"`          // of troubles, for what recovering took
	MinMarginRule string             `json:"least_rule"` // that came nearest to being broken
	MinMargin     float64            `json:"least"`      // what part of what it allows was left over then
}

// IncidentInterval is a trouble that has ended.
type IncidentInterval struct {
	Kind  string
	Begin time.Duration
	End   time.Duration
}

func (w *world) result() *Result {
	r := &Result{Result: day.CheckRecords(day.RuleLimits(w.house, slack), w.records)}
	r.Seed, r.Clients = w.layout.Seed, w.crowd.came
	r.Summarize(w.crowd.latency, w.crowd.inTime, w.crowd.asked)
	h := sha256.New()
	e := json.NewEncoder(h)
	for i := range w.records {
		e.Encode(&w.records[i]) // a hash takes all that it is given
	}
	r.Hash = hex.EncodeToString(h.Sum(nil)[:8])
	if n := len(w.records); n > 0 {
		r.Duration = w.records[n-1].At
	}
	rulecheck.Sort(r.Records)
	r.Samples = w.points
	for _, t := range w.script.Incidents {
		r.Incidents = append(r.Incidents, IncidentInterval{t.Kind, t.At, t.At + t.Duration})
	}
	r.MinMargin = 1
	for _, rule := range rulecheck.Rules {
		if x := r.Rules[rule].MinMargin; x < r.MinMargin {
			r.MinMargin, r.MinMarginRule = x, rule
		}
	}
	return r
}

// back is the part of the credit before a trouble that counts as recovered.
const back = 0.95

// RecoveryTime is how long it took from a trouble's end until credit was back at 95% of what it was in the five
// seconds before the trouble, as a part of what was wanted; ok is false where there is no such time: nothing was
// earned before, or it did not come back while the day lasted.
func (r *Result) RecoveryTime(e IncidentInterval) (took time.Duration, ok bool) {
	part := func(p Sample) float64 {
		if p.MaxEarning == 0 {
			return 0
		}
		return p.Earning / p.MaxEarning
	}
	begin, end := int(e.Begin/time.Second), int((e.End+time.Second-1)/time.Second)
	before, n := 0.0, 0
	for _, p := range r.Samples {
		if p.Second >= begin-5 && p.Second < begin {
			before += part(p)
			n++
		}
	}
	if n == 0 || before == 0 {
		return 0, false
	}
	for _, p := range r.Samples {
		if p.Second >= end && part(p) >= back*before/float64(n) {
			return time.Duration(p.Second)*time.Second - e.End, true
		}
	}
	return 0, false
}
