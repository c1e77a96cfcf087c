package emulator

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

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
	trial, err := x.Run(t.Context(), 4)
	if err != nil || len(trial.Runs) != 12 {
		t.Fatal(len(trial.Runs), err)
	}
	kept := filepath.Join(dir, "x.zst")
	if err := trial.Save(kept); err != nil {
		t.Fatal(err)
	}
	again, err := LoadExperimentResult(kept)
	if err != nil || again.Table() != trial.Table() || !strings.Contains(trial.Table(), "round-robin") {
		t.Fatal(err, trial.Table())
	}
	if drawn, err := again.DrawCharts(filepath.Join(dir, "c"), "svg"); err != nil || len(drawn) != 2 {
		t.Fatal(drawn, err)
	}
	// Against itself there is no difference.
	if text := trial.Compare(again); strings.Count(text, "+0.000 ± 0.000") != 4 {
		t.Error(text)
	}
	for _, d := range trial.Runs {
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

// The interval of a mean, against a table of Student's distribution: four values, 3 degrees of freedom, 3.182.
func TestInterval(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	if got, want := interval(x), 3.18245*math.Sqrt(5.0/3)/2; math.Abs(got-want) > 1e-4 {
		t.Error(got, want)
	}
	if !math.IsNaN(interval(x[:1])) {
		t.Error("one value has an interval")
	}
}

// Recovery is counted from a trouble's end until the part earned is back at 95% of the five seconds before it.
func TestRecovery(t *testing.T) {
	r := &Result{}
	for second, earning := range []float64{10, 10, 10, 10, 10, 2, 2, 5, 9, 9.6, 10} {
		r.Samples = append(r.Samples, Sample{Second: second, Earning: earning, MaxEarning: 10})
	}
	if took, ok := r.RecoveryTime(IncidentInterval{Begin: 5e9, End: 7e9}); !ok || took.Seconds() != 2 {
		t.Error(took, ok)
	}
	r.Samples = r.Samples[:9]
	if _, ok := r.RecoveryTime(IncidentInterval{Begin: 5e9, End: 7e9}); ok {
		t.Error("recovered though the day ended before")
	}
}
