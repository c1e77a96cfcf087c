// Package day runs a scripted day on loopback sockets: directors with emulated nodes, discovery and clients, and
// incidents that overlap. A Script and a seed go in. A Result comes out: counts, latencies, and the findings of a rule
// checker, which judges the day from the messages that crossed the sockets. Scripts, layouts and timelines do no I/O
// apart from reading script files; package emulator runs the same ones in virtual time.
package day

import (
	_ "embed"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/emulated/client"
)

//go:embed bad.jsonc
var defaultScriptText []byte

//go:embed quarter.jsonc
var quarterScriptText []byte

// IncidentKinds are the kinds of incidents that a script may contain.
var IncidentKinds = []string{"ageing", "answer_lost", "balancer_roll", "burst", "crash", "deploy", "discovery_stale", "fast_errors",
	"hang", "hot_key", "origin_slow", "preempt", "shared_slow", "vanish"}

// An Incident is a fault, a change of load, or a rollout during a day. docs/day-scripts.md explains for each kind what
// Share and Size stand for.
type Incident struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Share    float64
	Size     float64
}

// A Script describes a day: one run of a fleet with its clients and incidents.
type Script struct {
	Length              time.Duration
	Requests            int // clients that arrive; their retries are not counted
	Directors           int
	Nodes               int
	Racks               int
	Titles              int
	Load                float64 // of the links, at the middle rung's rate; 1: all links full
	MeanLength          time.Duration
	Behavior            client.Behavior
	MinListDelay        time.Duration
	MaxListDelay        time.Duration
	SilentNodeListDelay time.Duration
	Incidents           []Incident
	Seed                uint64 // used unless the command line gives a seed; 0: 1
}

// DefaultScript returns the script that ships with the program.
func DefaultScript() *Script {
	s, err := ParseScript("bad.jsonc", defaultScriptText)
	if err != nil {
		panic(fmt.Sprintf("the embedded default script: %v", err))
	}
	return s
}

// LoadScript reads a script from a file; the name bad-quarter selects the embedded one. Mistakes in the file are
// returned as conf.Problems.
func LoadScript(file string) (*Script, error) {
	if file == "bad-quarter" {
		return ParseScript("quarter.jsonc", quarterScriptText)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseScript(file, text)
}

// ParseScript parses a script.
func ParseScript(file string, text []byte) (*Script, error) {
	parser, o := conf.Parse(file, text)
	if err := parser.Err(); err != nil {
		return nil, err
	}
	s := &Script{
		Length:    o.Duration("length", 20*time.Second, time.Second, time.Hour, false),
		Requests:  o.Int("requests", 2000, 1, 10_000_000, false),
		Directors: o.Int("directors", 3, 1, 300, false),
		Nodes:     o.Int("nodes", 24, 1, 1000, false),
		Racks:     o.Int("racks", 4, 1, 1000, false),
		Titles:    o.Int("titles", 40, 1, 100_000, false),
		Load:      o.Number("load", 0.85, 0.01, 10, false),
		Seed:      uint64(o.Int("seed", 0, 0, 1<<53, false)),
	}
	if s.Racks > s.Nodes {
		parser.AddProblem(o.OffsetOf("racks"), "there are %d racks for %d nodes", s.Racks, s.Nodes)
	}
	clients := o.Object("viewers", false)
	s.MeanLength = clients.Duration("mean_length", 3*time.Second, 100*time.Millisecond, time.Hour, false)
	s.Behavior = client.Behavior{
		RetryShare:         clients.Number("returns", 0.88, 0, 1, false),
		MinRetryDelay:      clients.Duration("pause_low", 200*time.Millisecond, 0, time.Hour, false),
		MaxRetryDelay:      clients.Duration("pause_high", 1200*time.Millisecond, 0, time.Hour, false),
		HonorsBackoffShare: clients.Number("heeds", 0.8, 0, 1, false),
		CancelShare:        clients.Number("hasty", 0.04, 0, 1, false),
		DuplicateShare:     clients.Number("repeats", 0.02, 0, 1, false),
		DisconnectShare:    clients.Number("drops", 0.03, 0, 1, false),
	}
	if s.Behavior.MinRetryDelay > s.Behavior.MaxRetryDelay {
		parser.AddProblem(clients.OffsetOf("pause_low"), "pause_low is %v, longer than pause_high, which is %v",
			s.Behavior.MinRetryDelay, s.Behavior.MaxRetryDelay)
	}
	clients.ReportUnknownKeys()
	list := o.Object("list", false)
	s.MinListDelay = list.Duration("notice_low", 200*time.Millisecond, 0, time.Hour, false)
	s.MaxListDelay = list.Duration("notice_high", 900*time.Millisecond, 0, time.Hour, false)
	s.SilentNodeListDelay = list.Duration("silent_notice", 3*time.Second, 0, time.Hour, false)
	if s.MinListDelay > s.MaxListDelay {
		parser.AddProblem(list.OffsetOf("notice_low"), "notice_low is %v, longer than notice_high, which is %v", s.MinListDelay, s.MaxListDelay)
	}
	list.ReportUnknownKeys()
	o.Objects("troubles", false, func(_ int, incident *conf.Object) {
		x := Incident{
			Kind:     incident.Text("kind", "", true),
			At:       incident.Duration("at", 0, 0, time.Hour, true),
			Duration: incident.Duration("for", time.Second, time.Millisecond, time.Hour, false),
			Share:    incident.Number("share", 0.1, 0, 1, false),
			Size:     incident.Number("size", defaultSize(incident.Text("kind", "", false)), 0, 1000, false),
		}
		if x.Kind != "" && !slices.Contains(IncidentKinds, x.Kind) {
			parser.AddProblem(incident.OffsetOf("kind"), "unknown trouble %q; the troubles are %s", x.Kind, strings.Join(IncidentKinds, ", "))
		}
		if x.At >= s.Length {
			parser.AddProblem(incident.OffsetOf("at"), "%s begins at %v, but the day ends at %v", x.Kind, x.At, s.Length)
		}
		incident.ReportUnknownKeys()
		s.Incidents = append(s.Incidents, x)
	})
	o.ReportUnknownKeys()
	if err := parser.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Format returns the script as text that ParseScript accepts, under an optional comment.
func (s *Script) Format(comment string) []byte {
	var b strings.Builder
	if comment != "" {
		fmt.Fprintf(&b, "// %s\n", strings.ReplaceAll(comment, "\n", "\n// "))
	}
	behavior := s.Behavior
	fmt.Fprintf(&b, "{\n  \"seed\": %d, \"length\": \"%v\", \"requests\": %d, \"directors\": %d, \"nodes\": %d, \"racks\": %d, \"titles\": %d, \"load\": %g,\n", s.Seed,
		s.Length, s.Requests, s.Directors, s.Nodes, s.Racks, s.Titles, s.Load)
	fmt.Fprintf(&b, "  \"viewers\": {\"mean_length\": \"%v\", \"returns\": %g, \"pause_low\": \"%v\", \"pause_high\": \"%v\", \"heeds\": %g, \"hasty\": %g, \"repeats\": %g, \"drops\": %g},\n",
		s.MeanLength, behavior.RetryShare, behavior.MinRetryDelay, behavior.MaxRetryDelay, behavior.HonorsBackoffShare,
		behavior.CancelShare, behavior.DuplicateShare, behavior.DisconnectShare)
	fmt.Fprintf(&b, "  \"list\": {\"notice_low\": \"%v\", \"notice_high\": \"%v\", \"silent_notice\": \"%v\"},\n  \"troubles\": [\n",
		s.MinListDelay, s.MaxListDelay, s.SilentNodeListDelay)
	for _, x := range s.Incidents {
		fmt.Fprintf(&b, "    {\"kind\": \"%s\", \"at\": \"%v\", \"for\": \"%v\", \"share\": %g, \"size\": %g},\n", x.Kind, x.At,
			x.Duration, x.Share, x.Size)
	}
	b.WriteString("  ],\n}\n")
	return []byte(b.String())
}

// defaultSize returns the size of incidents of a kind if the script gives none.
func defaultSize(kind string) float64 {
	switch kind {
	case "ageing":
		return 10
	case "answer_lost":
		return 0.25
	case "fast_errors":
		return 0.7
	case "hot_key":
		return 0.25
	case "origin_slow":
		return 3
	case "balancer_roll":
		return 0.8
	case "burst", "shared_slow":
		return 1.6
	}
	return 1
}
