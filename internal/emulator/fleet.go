package emulator

import (
	"fmt"
	"math"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/director"
	"fordusher/internal/emulated/client"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

// A Fleet is a day that measures how the needs of directors grow with the size of their fleet. The traffic of a director
// and the capacity of all nodes together, counted for each director, do not depend on the size. Each director connects
// to nodes on demand. During the day a tenth of the nodes restarts at once, and while these are in slow start all
// directors are killed and restarted, a third at a time, and forget what they sent; then a tenth of the nodes is
// replaced, with a notice, in steps.
type Fleet struct {
	Directors, Nodes int
	RequestRate      float64 // of a director, requests per second; it also sets the capacity
	Length           time.Duration
	Seed             uint64
	Workers          int
	NewDecider       func(config *conf.Config, seed uint64) director.Decider // nil: the policy module
}

// DefaultRequestRate is the request rate with which the most nodes, 3,200 for 300 directors, carry three sessions each at
// the middle rung's rate, the least that a node of package day carries.
const DefaultRequestRate = 6.4

// The parts of a fleet's day that do not depend on its size.
const (
	fleetRackSize    = 7
	fleetCopyShare   = 0.03 // part of the nodes that holds each title, so that a title's holders have the same part of the capacity
	minFleetCopies   = 3
	fleetTitles      = 500
	fleetLoad        = 0.6 // of the links, at the middle rung's rate
	fleetMeanLength  = 3 * time.Second
	fleetIdleTimeout = 4 * time.Second // of connections to nodes
	minFleetLength   = 10 * time.Second
	minNodeSessions  = 3 // at the middle rung's rate; see day.NewLayout
)

// script returns the script of a fleet's day.
func (f *Fleet) script() *day.Script {
	return &day.Script{
		Length: max(f.Length, minFleetLength), Directors: f.Directors, Nodes: f.Nodes, Racks: max(1, f.Nodes/fleetRackSize),
		Requests: max(1, int(f.RequestRate*float64(f.Directors)*max(f.Length, minFleetLength).Seconds())),
		Titles:   fleetTitles, Load: fleetLoad, MeanLength: fleetMeanLength,
		Behavior: client.Behavior{RetryShare: 0.88, MinRetryDelay: 200 * time.Millisecond, MaxRetryDelay: 1200 * time.Millisecond,
			HonorsBackoffShare: 0.8, CancelShare: 0.04, DuplicateShare: 0.02, DisconnectShare: 0.03},
		MinListDelay: 200 * time.Millisecond, MaxListDelay: 900 * time.Millisecond, SilentNodeListDelay: 3 * time.Second,
		Incidents: []day.Incident{
			{Kind: "crash", At: 2 * time.Second, Duration: 400 * time.Millisecond, Share: 0.1},
			{Kind: "balancer_roll", At: 2600 * time.Millisecond, Duration: 1500 * time.Millisecond, Share: 0.34, Size: 0.5},
			{Kind: "deploy", At: 5 * time.Second, Duration: 3 * time.Second, Share: 0.1, Size: 0.5},
		},
	}
}

// Run runs the fleet's day.
func (f *Fleet) Run() (*Result, error) {
	most := int(f.RequestRate*float64(f.Directors)*fleetMeanLength.Seconds()/fleetLoad/minNodeSessions + 0.5)
	if f.Nodes > most {
		return nil, fmt.Errorf("the capacity for %d directors with %g requests a second each is that of at most %d nodes, not %d", f.Directors,
			f.RequestRate, most, f.Nodes)
	}
	script := f.script()
	layout := day.NewLayout(script, f.Seed)
	config, _, err := layout.DirectorConfig(0, "127.0.0.1:1")
	if err != nil {
		return nil, err
	}
	config.ReconnectPolicy.OnDemand, config.ReconnectPolicy.IdleTimeout = true, fleetIdleTimeout
	config.Nodes = layout.Entries
	for i := range config.Nodes {
		config.Nodes[i].Address = fmt.Sprint("10.0.0.1:", 1+i)
	}
	for _, title := range layout.Titles {
		title.Copies = min(f.Nodes, max(minFleetCopies, int(fleetCopyShare*float64(f.Nodes))))
		config.Titles = append(config.Titles, title)
	}
	return Run(script, f.Seed, Options{Workers: f.Workers, Config: config, SparseLists: true,
		NewDecider: f.NewDecider})
}

// restartScript is a day on which half of a few overloaded nodes crash and restart and all directors are restarted, a
// third at a time, while these nodes are in slow start.
const restartScript = `{"length": "9s", "requests": 5000, "directors": 1, "nodes": 12, "racks": 3,
 "titles": 12, "load": 2, "viewers": {"mean_length": "400ms"}, "list": {"notice_low": "10ms", "notice_high": "300ms", "silent_notice": "1s"},
 "troubles": [{"kind": "crash", "at": "2s", "for": "400ms", "share": 0.5},
  {"kind": "balancer_roll", "at": "2600ms", "for": "1500ms", "share": 0.34, "size": 1}]}`

// RunRestarts runs a day that strains the slow-start budget with the given number of directors.
func RunRestarts(directors int, seed uint64, opt Options) (*Result, error) {
	s, err := day.ParseScript("restarts.jsonc", []byte(restartScript))
	if err != nil {
		return nil, err
	}
	s.Directors = directors
	return Run(s, seed, opt)
}

// Overloaded returns the number of nodes that failed from overload.
func (r *Result) Overloaded() (n int) {
	for _, x := range r.Records {
		if x.Kind == rulecheck.NodeExited && x.Reason == "pushed over" {
			n++
		}
	}
	return n
}

// SlowStartExcess returns by how many set-ups the fleet exceeded, at worst, what it may send to a node during the
// warm-up after a start; a negative value is the remaining margin. In any overload window the limit is the budget N of
// the node's ramp plus a random excess of 2*sqrt(N) + 2; with small set and N below 30 the excess is 3*sqrt(N) + 3.
// Early is the number of set-ups during warm-ups.
func SlowStartExcess(r *Result, small bool) (worst float64, early int) {
	limits := r.Limits
	worst = math.Inf(-1)
	sent := map[string][]time.Duration{}
	started, exited := map[string]rulecheck.Record{}, map[string]bool{}
	for _, x := range r.Records {
		switch x.Kind {
		case rulecheck.NodeExited:
			exited[x.Node] = true
			delete(started, x.Node)
		case rulecheck.NodeStarted:
			if exited[x.Node] { // nodes that run from the beginning of the day are warm
				started[x.Node], sent[x.Node] = x, nil
			}
		case wire.Setup:
			n, ok := started[x.Node]
			age := x.At - n.At
			if !ok || age > limits.Warmup {
				continue
			}
			early++
			recent := append(sent[x.Node], x.At)
			for len(recent) > 0 && recent[0] <= x.At-limits.OverloadWindow {
				recent = recent[1:]
			}
			sent[x.Node] = recent
			ramp := limits.InitialShare + (1-limits.InitialShare)*age.Seconds()/limits.Warmup.Seconds()
			budget := n.MaxStreams * limits.OverloadMultiple * ramp * limits.OverloadWindow.Seconds() / limits.Warmup.Seconds()
			excess := 2.0
			if small && budget < 30 {
				excess = 3
			}
			worst = max(worst, float64(len(recent))-(budget+excess*math.Sqrt(budget)+excess))
		}
	}
	return worst, early
}
