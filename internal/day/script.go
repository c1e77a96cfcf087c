// Package day runs a scripted day on loopback: directors, stand-in nodes, list and players, troubles that
// overlap, and the verdict from what crossed the sockets.
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
var badDay []byte

//go:embed quarter.jsonc
var badQuarter []byte

// IncidentKinds are the troubles that a script may name.
var IncidentKinds = []string{"ageing", "answer_lost", "balancer_roll", "burst", "crash", "deploy", "discovery_stale", "fast_errors",
	"hang", "hot_key", "origin_slow", "preempt", "shared_slow", "vanish"}

// Incident is one thing that goes wrong.
type Incident struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Share    float64
	Size     float64
}

// Script is a day.
type Script struct {
	Length              time.Duration
	Requests            int // viewers who come; those who come again are on top
	Directors           int
	Nodes               int
	Racks               int
	Titles              int
	Load                float64 // of the links at the middle rate
	MeanLength          time.Duration
	Behavior            client.Behavior
	MinListDelay        time.Duration
	MaxListDelay        time.Duration
	SilentNodeListDelay time.Duration
	Incidents           []Incident
	Seed                uint64 // what chance is drawn from where nobody says otherwise; 0: 1
}

// DefaultScript is the script that ships with the program.
func DefaultScript() *Script {
	s, err := ParseScript("bad.jsonc", badDay)
	if err != nil {
		panic(fmt.Sprintf("the script that ships with the program: %v", err))
	}
	return s
}

// LoadScript reads a script's file, or the one that ships under the name bad-quarter; what is wrong with it comes
// back as conf.Problems.
func LoadScript(file string) (*Script, error) {
	if file == "bad-quarter" {
		return ParseScript("quarter.jsonc", badQuarter)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseScript(file, text)
}

// ParseScript reads a script from its text.
func ParseScript(file string, text []byte) (*Script, error) {
	r, o := conf.Parse(file, text)
	if err := r.Err(); err != nil {
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
		r.AddProblem(o.OffsetOf("racks"), "there are %d racks for %d nodes", s.Racks, s.Nodes)
	}
	v := o.Object("viewers", false)
	s.MeanLength = v.Duration("mean_length", 3*time.Second, 100*time.Millisecond, time.Hour, false)
	s.Behavior = client.Behavior{
		RetryShare:         v.Number("returns", 0.88, 0, 1, false),
		MinRetryDelay:      v.Duration("pause_low", 200*time.Millisecond, 0, time.Hour, false),
		MaxRetryDelay:      v.Duration("pause_high", 1200*time.Millisecond, 0, time.Hour, false),
		HonorsBackoffShare: v.Number("heeds", 0.8, 0, 1, false),
		CancelShare:        v.Number("hasty", 0.04, 0, 1, false),
		DuplicateShare:     v.Number("repeats", 0.02, 0, 1, false),
		DisconnectShare:    v.Number("drops", 0.03, 0, 1, false),
	}
	if s.Behavior.MinRetryDelay > s.Behavior.MaxRetryDelay {
		r.AddProblem(v.OffsetOf("pause_low"), "pause_low is %v, longer than pause_high, which is %v", s.Behavior.MinRetryDelay, s.Behavior.MaxRetryDelay)
	}
	v.ReportUnknownKeys()
	l := o.Object("list", false)
	s.MinListDelay = l.Duration("notice_low", 200*time.Millisecond, 0, time.Hour, false)
	s.MaxListDelay = l.Duration("notice_high", 900*time.Millisecond, 0, time.Hour, false)
	s.SilentNodeListDelay = l.Duration("silent_notice", 3*time.Second, 0, time.Hour, false)
	if s.MinListDelay > s.MaxListDelay {
		r.AddProblem(l.OffsetOf("notice_low"), "notice_low is %v, longer than notice_high, which is %v", s.MinListDelay, s.MaxListDelay)
	}
	l.ReportUnknownKeys()
	o.Objects("troubles", false, func(_ int, t *conf.Object) {
		x := Incident{
			Kind:     t.Text("kind", "", true),
			At:       t.Duration("at", 0, 0, time.Hour, true),
			Duration: t.Duration("for", time.Second, time.Millisecond, time.Hour, false),
			Share:    t.Number("share", 0.1, 0, 1, false),
			Size:     t.Number("size", defaultSize(t.Text("kind", "", false)), 0, 1000, false),
		}
		if x.Kind != "" && !slices.Contains(IncidentKinds, x.Kind) {
			r.AddProblem(t.OffsetOf("kind"), "unknown trouble %q; the troubles are %s", x.Kind, strings.Join(IncidentKinds, ", "))
		}
		if x.At >= s.Length {
			r.AddProblem(t.OffsetOf("at"), "%s begins at %v, but the day ends at %v", x.Kind, x.At, s.Length)
		}
		t.ReportUnknownKeys()
		s.Incidents = append(s.Incidents, x)
	})
	o.ReportUnknownKeys()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Format writes a script as a file that Read reads.
func (s *Script) Format(comment string) []byte {
	var b strings.Builder
	if comment != "" {
		fmt.Fprintf(&b, "// %s\n", strings.ReplaceAll(comment, "\n", "\n// "))
	}
	h := s.Behavior
	fmt.Fprintf(&b, "{\n  \"seed\": %d, \"length\": \"%v\", \"requests\": %d, \"directors\": %d, \"nodes\": %d, \"racks\": %d, \"titles\": %d, \"load\": %g,\n", s.Seed,
		s.Length, s.Requests, s.Directors, s.Nodes, s.Racks, s.Titles, s.Load)
	fmt.Fprintf(&b, "  \"viewers\": {\"mean_length\": \"%v\", \"returns\": %g, \"pause_low\": \"%v\", \"pause_high\": \"%v\", \"heeds\": %g, \"hasty\": %g, \"repeats\": %g, \"drops\": %g},\n",
		s.MeanLength, h.RetryShare, h.MinRetryDelay, h.MaxRetryDelay, h.HonorsBackoffShare, h.CancelShare, h.DuplicateShare, h.DisconnectShare)
	fmt.Fprintf(&b, "  \"list\": {\"notice_low\": \"%v\", \"notice_high\": \"%v\", \"silent_notice\": \"%v\"},\n  \"troubles\": [\n", s.MinListDelay, s.MaxListDelay, s.SilentNodeListDelay)
	for _, t := range s.Incidents {
		fmt.Fprintf(&b, "    {\"kind\": \"%s\", \"at\": \"%v\", \"for\": \"%v\", \"share\": %g, \"size\": %g},\n", t.Kind, t.At, t.Duration, t.Share, t.Size)
	}
	b.WriteString("  ],\n}\n")
	return []byte(b.String())
}

// defaultSize is what a trouble's size is where the script does not say.
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
