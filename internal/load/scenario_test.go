package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"

	_ "fordusher/internal/testseed"
)

// Every scenario that ships with the program parses and has its file's name.
func TestShippedScenarios(t *testing.T) {
	names := ScenarioNames()
	if len(names) < 5 {
		t.Fatal(names)
	}
	for _, name := range names {
		if s, err := LoadScenario(name); err != nil || s.Name != name {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The error for a mistake in a scenario names the mistake.
func TestScenarioErrors(t *testing.T) {
	for _, x := range []struct{ text, want string }{
		{`{"name": "a", "parts": [{"kind": "idel"}]}`, `s:1:34: unknown kind "idel"; the kinds are idle,`},
		{`{"name": "a", "parts": [{"kind": "set-ups"}]}`, `s:1:25: "rate" is missing`},
		{"{\"name\": \"a\", // why\n \"parts\": [{\"kind\": \"idle\"}], \"without\": [\"others\"]}", `s:2:42: there is no part "others"`},
		{`{"name": "a", "parts": [{"kind": "idle"}, {"kind": "idle"}]}`, `two parts are called "idle"`},
		{`{"name": "a", "parts": [], "nodes": 2, "racks": 3}`, `there are 3 racks for 2 nodes`},
		{`{"parts": [{"kind": "idle", "conections": 3}]}`, `"conections"`},
	} {
		_, err := ParseScenario("s", []byte(x.text))
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s\n got %v\nwant %s", x.text, err, x.want)
		}
	}
}

// The shares of all client processes add up to the part: no connection is lost or added, and the rates sum to the
// part's rate.
func TestPartShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Part{Connections: rapid.IntRange(1, 1000).Draw(t, "n"), Rate: rapid.Float64Range(0, 1e4).Draw(t, "rate")}
		clients := rapid.IntRange(1, 20).Draw(t, "clients")
		n, rate := 0, 0.0
		for i := range clients {
			x := p.share(i, clients)
			n += x.Connections
			rate += x.Rate
		}
		if n != p.Connections || rate < p.Rate*0.999 || rate > p.Rate*1.001 {
			t.Fatal(n, rate)
		}
	})
}

// A saved archive loads with all rows, its summaries leave out the warm-up, and the error for a truncated file names
// the file.
func TestArchive(t *testing.T) {
	s := &Scenario{Name: "x", Warmup: time.Second, Duration: 2 * time.Second, Parts: []Part{{Name: "p", Kind: KindSetups}}}
	a := &Archive{Header: ArchiveHeader{Scenario: s, Cores: 4}}
	for second := range 3 {
		h := newHistogram()
		h.RecordValue(int64(1000 * (second + 1)))
		raw, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			t.Fatal(err)
		}
		a.Rows = append(a.Rows, ArchiveRow{Run: "with", Sample: Sample{Second: second, Part: "p", Due: 10, Answered: 1, Latency: raw}},
			ArchiveRow{Run: "with", Sample: Sample{Second: second}, Usage: &ProcessUsage{CPU: 0.5, RSS: 1e6}})
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "a.zst")
	if err := a.Save(file); err != nil {
		t.Fatal(err)
	}
	b, err := LoadArchive(file)
	if err != nil || len(b.Rows) != 6 {
		t.Fatal(err)
	}
	sum := b.Summaries()
	if len(sum) != 1 || sum[0].Due != 20 || sum[0].Percentile(100) < 2.9 || sum[0].Percentile(0) < 1.9 {
		t.Fatalf("%+v", sum[0])
	}
	if !strings.Contains(b.Table(), "0.50 cores") {
		t.Fatal(b.Table())
	}
	drawn, err := b.DrawCharts(filepath.Join(dir, "x"), "svg")
	if err != nil || len(drawn) != 5 {
		t.Fatal(drawn, err)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	cut := filepath.Join(dir, "cut.zst")
	os.WriteFile(cut, raw[:len(raw)*2/3], 0o600)
	if _, err := LoadArchive(cut); err == nil || !strings.Contains(err.Error(), "cut.zst") {
		t.Fatal(err)
	}
}

// The heartbeat timers of 20,000 idle connections expire at once while set-ups and drains arrive. The work on the
// timers must not hold up other events so long that a set-up goes unanswered or reaches a node after its drain grace,
// or that a connection is lost. The load command measures the same with a million connections.
func TestIdleTimersAligned(t *testing.T) {
	x := InMemoryLoad{Connections: 20_000, Ping: time.Minute, Rate: 100, Duration: 1500 * time.Millisecond, Nodes: 10}
	var r *InMemoryResult
	for try := range 3 { // a stall of the machine delays a set-up too, but not three times in a row
		var err error
		if r, err = x.Run(t.Context(), t.Logf); err != nil {
			t.Fatal(err)
		}
		if r.MaxDrainDelay <= 250 {
			break
		}
		t.Logf("try %d: latest set-up after %.0f ms", try, r.MaxDrainDelay)
	}
	if r.Lost > 0 || r.Drains == 0 || r.MaxDrainDelay > 250 {
		t.Errorf("%d lost, %d drains, latest set-up after %.0f ms", r.Lost, r.Drains, r.MaxDrainDelay)
	}
	for _, part := range []*SetupResult{r.Before, r.WithIdle, r.TimersAligned} {
		if part.Due < 100 || part.Played+part.Nacked+part.Errored < int64(part.Due) {
			t.Errorf("%+v", part)
		}
	}
}
