package emulator

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An experiment runs every point of its grid, survives saving and loading, and names mistakes in its file.
func TestExperiment(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	file("day.jsonc", `{"length": "6s", "requests": 300, "nodes": 8, "racks": 2, "titles": 10, "directors": 2,
		"troubles": [{"kind": "crash", "at": "2s", "for": "1s", "share": 0.3}]}`)
	x, err := LoadExperiment(file("x.jsonc", `{"name": "x", "script": "day.jsonc", "seeds": 3, "policies": ["module", "round-robin"], "directors": [1, 3]}`))
	if err != nil {
		t.Fatal(err)
	}
	result, err := x.Run(t.Context(), 4)
	if err != nil || len(result.Runs) != 12 {
		t.Fatal(len(result.Runs), err)
	}
	saved := filepath.Join(dir, "x.zst")
	if err := result.Save(saved); err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadExperimentResult(saved)
	if err != nil || loaded.FormatTable() != result.FormatTable() || !strings.Contains(result.FormatTable(), "round-robin") {
		t.Fatal(err, result.FormatTable())
	}
	if drawn, err := loaded.DrawCharts(filepath.Join(dir, "c"), "svg"); err != nil || len(drawn) != 2 {
		t.Fatal(drawn, err)
	}
	// Compared with itself, a result shows no difference.
	if text := result.FormatComparison(loaded); strings.Count(text, "+0.000 ± 0.000") != 4 {
		t.Error(text)
	}
	for _, d := range result.Runs {
		if d.Policy == DefaultPolicy && (d.Violations > 0 || d.Played < 200) {
			t.Errorf("%+v", d.GridPoint)
		}
	}
	for text, want := range map[string]string{`{"name": "x", "policies": ["modul"]}`: `x.jsonc:1:27: there is no policy "modul"`, `{"seeds": 1}`: `"name" is missing`} {
		if _, err := LoadExperiment(file("x.jsonc", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// The confidence interval of a mean uses Student's t distribution: for four values (3 degrees of freedom) the table
// gives 3.182.
func TestConfidenceInterval(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	if got, want := confidenceInterval(x), 3.18245*math.Sqrt(5.0/3)/2; math.Abs(got-want) > 1e-4 {
		t.Error(got, want)
	}
	if !math.IsNaN(confidenceInterval(x[:1])) {
		t.Error("a single value has a confidence interval")
	}
}

// The recovery time counts from an incident's end until the share earned is back at 95% of its mean over the five
// seconds before the incident.
func TestRecoveryTime(t *testing.T) {
	r := &Result{}
	for second, earning := range []float64{10, 10, 10, 10, 10, 2, 2, 5, 9, 9.6, 10} {
		r.Samples = append(r.Samples, Sample{Second: second, Earning: earning, MaxEarning: 10})
	}
	if took, ok := r.RecoveryTime(IncidentInterval{Begin: 5e9, End: 7e9}); !ok || took.Seconds() != 2 {
		t.Error(took, ok)
	}
	r.Samples = r.Samples[:9]
	if _, ok := r.RecoveryTime(IncidentInterval{Begin: 5e9, End: 7e9}); ok {
		t.Error("a recovery was reported although the day ended before it")
	}
}
