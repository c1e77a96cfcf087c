package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"fordusher/internal/day"
	"fordusher/internal/rulecheck"
)

// tolerance is the time that the rule checker allows for messages in transit and for answers that cross them.
const tolerance = 50 * time.Millisecond

// A Result is the outcome of a day in virtual time.
type Result struct {
	*day.Result
	Hash     string        `json:"hash"` // of all records
	Duration time.Duration `json:"span"` // in virtual time

	Samples       []Sample           `json:"-"`
	Incidents     []IncidentInterval `json:"-"`          // input of RecoveryTime
	MinMarginRule string             `json:"least_rule"` // the rule with the least margin
	MinMargin     float64            `json:"least"`      // that margin, as a share of what the rule allows
	Usage         Usage              `json:"-"`
}

// Usage is what all directors of a day used together.
type Usage struct {
	Connections int   // made to nodes
	Descriptors int   // the most connections that each director held at one time, looked at each second, added up
	ListBytes   int64 // that discovery sent
}

// An IncidentInterval is the time span of one incident.
type IncidentInterval struct {
	Kind  string
	Begin time.Duration
	End   time.Duration
}

func (sim *simulation) result() *Result {
	r := &Result{Result: day.CheckRecords(day.RuleLimits(sim.config, tolerance), sim.records)}
	r.Seed, r.Clients = sim.layout.Seed, sim.clients.arrived
	r.Summarize(sim.clients.latencies, sim.clients.startedInTime, sim.clients.requestedValue)
	h := sha256.New()
	e := json.NewEncoder(h)
	for i := range sim.records {
		e.Encode(&sim.records[i]) // a write to a hash never fails
	}
	r.Hash = hex.EncodeToString(h.Sum(nil)[:8])
	if n := len(sim.records); n > 0 {
		r.Duration = sim.records[n-1].At
	}
	rulecheck.Sort(r.Records)
	r.Samples, r.Usage = sim.samples, sim.usage
	for _, d := range sim.directors {
		r.Usage.Descriptors += d.descriptors
	}
	for _, t := range sim.script.Incidents {
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

// recoveredShare is the share of the earnings before an incident that counts as recovered.
const recoveredShare = 0.95

// RecoveryTime returns the time from an incident's end until earnings, as a share of the maximum, were back at 95%
// of their mean over the five seconds before the incident. It returns false if nothing was earned before the
// incident, or if earnings did not recover within the day.
func (r *Result) RecoveryTime(incident IncidentInterval) (took time.Duration, ok bool) {
	share := func(p Sample) float64 {
		if p.MaxEarning == 0 {
			return 0
		}
		return p.Earning / p.MaxEarning
	}
	begin, end := int(incident.Begin/time.Second), int((incident.End+time.Second-1)/time.Second)
	before, n := 0.0, 0
	for _, p := range r.Samples {
		if p.Second >= begin-5 && p.Second < begin {
			before += share(p)
			n++
		}
	}
	if n == 0 || before == 0 {
		return 0, false
	}
	for _, p := range r.Samples {
		if p.Second >= end && share(p) >= recoveredShare*before/float64(n) {
			return time.Duration(p.Second)*time.Second - incident.End, true
		}
	}
	return 0, false
}
