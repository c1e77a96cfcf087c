package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fordusher/internal/resultarchive"
)

// An ArchiveHeader is the first entry of an archive.
type ArchiveHeader struct {
	Scenario *Scenario `json:"scenario"`
	Cores    int       `json:"cores"` // of the machine that ran the load
	At       string    `json:"at"`
}

// An ArchiveRow is one second of one run, either of a part, or, if Part is empty, of a director.
type ArchiveRow struct {
	Run    string `json:"run"` // "with", "without"
	Repeat int    `json:"repeat,omitempty"`
	Sample
	Director  int           `json:"director,omitempty"`
	Usage     *ProcessUsage `json:"used,omitempty"`
	histogram *hdrhistogram.Histogram
}

// ProcessUsage holds the resources that a director's process used in one second.
type ProcessUsage struct {
	CPU          float64 `json:"cpu"`    // cores
	RSS          float64 `json:"rss"`    // bytes
	Heap         float64 `json:"heap"`   // bytes
	SocketMemory float64 `json:"kernel"` // bytes held by the TCP sockets of all processes of the machine
	Conns        float64 `json:"conns"`  // connected clients
	LoopDelay    float64 `json:"late"`   // maximum delay of the director's loop, in seconds
	OverloadMode float64 `json:"mode"`   // the fordusher_room_mode metric
}

// An Archive holds the results of a scenario for each second.
type Archive struct {
	Header ArchiveHeader
	Rows   []ArchiveRow
}

// Save writes an archive to a compressed file.
func (a *Archive) Save(file string) error { return resultarchive.Save(file, a.Header, a.Rows) }

// LoadArchive reads a file that Save wrote. For a truncated or foreign file it returns an error with the file's name.
func LoadArchive(file string) (*Archive, error) {
	header, rows, err := resultarchive.Load[ArchiveHeader, ArchiveRow](file)
	switch {
	case err != nil:
		return nil, err
	case header.Scenario == nil:
		return nil, fmt.Errorf("%s: not the results of a load scenario", file)
	}
	for i := range rows {
		if r := &rows[i]; len(r.Latency) > 0 {
			if r.histogram, err = hdrhistogram.Decode(r.Latency); err != nil {
				return nil, fmt.Errorf("%s: row %d: %w", file, i+1, err)
			}
		}
	}
	return &Archive{header, rows}, nil
}

// A Summary adds up one part over the measured seconds of all repeats of one run.
type Summary struct {
	Run string
	Sample
	histogram *hdrhistogram.Histogram
}

// Percentile returns the latency at a percentile, in ms.
func (s *Summary) Percentile(q float64) float64 {
	return float64(s.histogram.ValueAtQuantile(q)) / 1000
}

// runNames returns the names of the archive's runs in the order of their rows.
func (a *Archive) runNames() (names []string) {
	seen := map[string]bool{}
	for _, r := range a.Rows {
		if !seen[r.Run] {
			seen[r.Run] = true
			names = append(names, r.Run)
		}
	}
	return names
}

// Summaries returns a Summary for each run and part. Seconds of the warm-up are left out.
func (a *Archive) Summaries() (all []*Summary) {
	warmup := int(a.Header.Scenario.Warmup / time.Second)
	for _, run := range a.runNames() {
		for _, p := range a.Header.Scenario.Parts {
			s := &Summary{Run: run, Sample: Sample{Part: p.Name}, histogram: newHistogram()}
			found := false
			for _, r := range a.Rows {
				if r.Run != run || r.Part != p.Name || r.Second < warmup {
					continue
				}
				found = true
				s.add(&r.Sample)
				s.Open = r.Open
				if r.histogram != nil {
					s.histogram.Merge(r.histogram)
				}
			}
			if found {
				all = append(all, s)
			}
		}
	}
	return all
}
