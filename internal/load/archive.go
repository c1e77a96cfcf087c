package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fordusher/internal/resultarchive"
)

// An ArchiveHeader begins an archive.
type ArchiveHeader struct {
	Scenario *Scenario `json:"scenario"`
	Cores    int       `json:"cores"` // of the machine
	At       string    `json:"at"`
}

// An ArchiveRow is one second of one run: of a part, or of a director where Part is empty.
type ArchiveRow struct {
	Run    string `json:"run"` // "with", "without"
	Repeat int    `json:"repeat,omitempty"`
	Sample
	Director int           `json:"director,omitempty"`
	Usage    *ProcessUsage `json:"used,omitempty"`
	h        *hdrhistogram.Histogram
}

// ProcessUsage is what a director's process used.
type ProcessUsage struct {
	CPU          float64 `json:"cpu"`    // cores, in this second
	RSS          float64 `json:"rss"`    // bytes
	Heap         float64 `json:"heap"`   // bytes
	SocketMemory float64 `json:"kernel"` // bytes that the machine's TCP sockets hold, all processes'
	Conns        float64 `json:"conns"`  // players connected
	LoopDelay    float64 `json:"late"`   // seconds, the loop's greatest lateness
	OverloadMode float64 `json:"mode"`
}

// An Archive is a scenario's results, every second of them.
type Archive struct {
	Header ArchiveHeader
	Rows   []ArchiveRow
}

// Save writes an archive to a compressed file.
func (a *Archive) Save(file string) error { return resultarchive.Save(file, a.Header, a.Rows) }

// LoadArchive reads what Save wrote; a cut or foreign file is an error that names it.
func LoadArchive(file string) (*Archive, error) {
	head, rows, err := resultarchive.Load[ArchiveHeader, ArchiveRow](file)
	switch {
	case err != nil:
		return nil, err
	case head.Scenario == nil:
		return nil, fmt.Errorf("%s: not a load's results", file)
	}
	for i := range rows {
		if r := &rows[i]; len(r.Latency) > 0 {
			if r.h, err = hdrhistogram.Decode(r.Latency); err != nil {
				return nil, fmt.Errorf("%s: row %d: %w", file, i+1, err)
			}
		}
	}
	return &Archive{head, rows}, nil
}

// A Summary is one part over the measured seconds of all repeats of one run.
type Summary struct {
	Run string
	Sample
	h *hdrhistogram.Histogram
}

// Percentile is a quantile's latency, in ms.
func (s *Summary) Percentile(q float64) float64 { return float64(s.h.ValueAtQuantile(q)) / 1000 }

// runs are the runs of an archive, in their order of coming.
func (a *Archive) runs() (names []string) {
	seen := map[string]bool{}
	for _, r := range a.Rows {
		if !seen[r.Run] {
			seen[r.Run] = true
			names = append(names, r.Run)
		}
	}
	return names
}

// Summaries adds up the measured seconds, by run and part.
func (a *Archive) Summaries() (all []*Summary) {
	warm := int(a.Header.Scenario.Warmup / time.Second)
	for _, run := range a.runs() {
		for _, p := range a.Header.Scenario.Parts {
			s := &Summary{Run: run, Sample: Sample{Part: p.Name}, h: newHistogram()}
			seen := false
			for _, r := range a.Rows {
				if r.Run != run || r.Part != p.Name || r.Second < warm {
					continue
				}
				seen = true
				s.add(&r.Sample)
				s.Open = r.Open
				if r.h != nil {
					s.h.Merge(r.h)
				}
			}
			if seen {
				all = append(all, s)
			}
		}
	}
	return all
}
