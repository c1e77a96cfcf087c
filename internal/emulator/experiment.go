package emulator

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/director"
	"fordusher/internal/resultarchive"
)

// An Experiment is a grid of days in virtual time. Each point of the grid runs with each policy on each seed, so that
// policies are compared on the same days.
type Experiment struct {
	Name      string
	Script    *day.Script
	Seeds     int
	FirstSeed int
	Policies  []string
	Directors []int
	Loads     []float64
}

// DefaultPolicy is the name of the policy module among the policies of an experiment.
const DefaultPolicy = "module"

// LoadExperiment reads an experiment from a file. Mistakes in the file are returned as conf.Problems.
func LoadExperiment(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	parser, o := conf.Parse(file, text)
	if err := parser.Err(); err != nil {
		return nil, err
	}
	x := &Experiment{
		Name:      o.Text("name", "", true),
		Seeds:     o.Int("seeds", 10, 2, 10_000, false),
		FirstSeed: o.Int("from", 1, 1, 1e9, false),
		Policies:  o.Texts("policies", false),
	}
	for _, n := range o.Numbers("directors", 1, 1000) {
		x.Directors = append(x.Directors, int(n))
	}
	x.Loads = o.Numbers("loads", 0.01, 10)
	script := o.Text("script", "", false)
	if len(x.Policies) == 0 {
		x.Policies = []string{DefaultPolicy}
	}
	for _, p := range x.Policies {
		if p != DefaultPolicy && day.Baselines[p] == nil {
			parser.AddProblem(o.OffsetOf("policies"), "there is no policy %q; there are %s and %s", p, DefaultPolicy,
				strings.Join(sortedKeys(day.Baselines), ", "))
		}
	}
	o.ReportUnknownKeys()
	if err := parser.Err(); err != nil {
		return nil, err
	}
	if script == "" {
		x.Script = day.DefaultScript()
		return x, nil
	}
	x.Script, err = day.LoadScript(filepath.Join(filepath.Dir(file), script))
	return x, err
}

func sortedKeys[V any](m map[string]V) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// A GridPoint is one combination of settings in an experiment's grid.
type GridPoint struct {
	Directors int     `json:"directors"`
	Load      float64 `json:"load"`
}

func (p GridPoint) String() string { return fmt.Sprintf("%d directors, load %g", p.Directors, p.Load) }

// An ExperimentRun is one day of an experiment: one grid point, policy and seed.
type ExperimentRun struct {
	GridPoint
	Policy      string    `json:"policy"`
	Seed        uint64    `json:"seed"`
	Hash        string    `json:"hash"`
	Received    int       `json:"taken"`
	Played      int       `json:"played"`
	Nacked      int       `json:"nacked"`
	Errored     int       `json:"errored"`
	Legs        int       `json:"legs"`
	P99         float64   `json:"p99_ms"`
	Credit      float64   `json:"credit"`
	Violations  int       `json:"broken"`
	Recoveries  []float64 `json:"recoveries"` // in seconds, of the incidents after which earnings recovered
	Unrecovered int       `json:"unmended"`   // incidents after which earnings did not recover within the day
	Samples     []Sample  `json:"points"`
}

// An ExperimentResult holds all runs of an experiment.
type ExperimentResult struct {
	Name string          `json:"name"`
	Runs []ExperimentRun `json:"-"`
}

// Run runs the whole grid on a number of workers.
func (x *Experiment) Run(ctx context.Context, workers int) (*ExperimentResult, error) {
	result := &ExperimentResult{Name: x.Name}
	directors, loads := x.Directors, x.Loads
	if len(directors) == 0 {
		directors = []int{x.Script.Directors}
	}
	if len(loads) == 0 {
		loads = []float64{x.Script.Load}
	}
	for _, count := range directors {
		for _, load := range loads {
			for _, policy := range x.Policies {
				for i := range x.Seeds {
					result.Runs = append(result.Runs, ExperimentRun{GridPoint: GridPoint{count, load}, Policy: policy, Seed: uint64(x.FirstSeed + i)})
				}
			}
		}
	}
	return result, inParallel(workers, len(result.Runs), func(i int) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		run := &result.Runs[i]
		s := *x.Script
		s.Directors, s.Load = run.Directors, run.Load
		var decider func(config *conf.Config, seed uint64) director.Decider
		if run.Policy != DefaultPolicy {
			decider = day.Baselines[run.Policy]
		}
		r, err := Run(&s, run.Seed, Options{NewDecider: decider})
		if err != nil {
			return err
		}
		run.Hash, run.Received, run.Played, run.Nacked, run.Errored, run.Legs, run.P99, run.Credit = r.Hash, r.Received, r.Played,
			r.Nacked, r.Errored, r.Legs, r.P99, r.Credit
		run.Violations, run.Samples = r.violations(), r.Samples
		for _, e := range r.Incidents {
			if took, ok := r.RecoveryTime(e); ok {
				run.Recoveries = append(run.Recoveries, took.Seconds())
			} else {
				run.Unrecovered++
			}
		}
		return nil
	})
}

// Save writes the result to a compressed file.
func (r *ExperimentResult) Save(file string) error { return resultarchive.Save(file, r, r.Runs) }

// LoadExperimentResult reads a file that Save wrote.
func LoadExperimentResult(file string) (*ExperimentResult, error) {
	result, runs, err := resultarchive.Load[*ExperimentResult, ExperimentRun](file)
	switch {
	case err != nil:
		return nil, err
	case result == nil || result.Name == "":
		return nil, fmt.Errorf("%s: not the results of an experiment", file)
	}
	result.Runs = runs
	return result, nil
}

// confidenceInterval returns the half width of the 95% confidence interval of a mean.
func confidenceInterval(x []float64) float64 {
	if len(x) < 2 {
		return math.NaN()
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return t * stat.StdDev(x, nil) / math.Sqrt(float64(len(x)))
}

// runsOf returns the runs of one grid point and policy, by seed.
func (r *ExperimentResult) runsOf(point GridPoint, policy string) (runs []ExperimentRun) {
	for _, d := range r.Runs {
		if d.GridPoint == point && d.Policy == policy {
			runs = append(runs, d)
		}
	}
	return runs
}

// gridPoints returns the grid points of the runs, in their order.
func (r *ExperimentResult) gridPoints() (all []GridPoint) {
	for _, d := range r.Runs {
		if !slices.Contains(all, d.GridPoint) {
			all = append(all, d.GridPoint)
		}
	}
	return all
}

// policies returns the policies of the runs, in their order.
func (r *ExperimentResult) policies() (all []string) {
	for _, d := range r.Runs {
		if !slices.Contains(all, d.Policy) {
			all = append(all, d.Policy)
		}
	}
	return all
}

// mapRuns returns f of each run.
func mapRuns(runs []ExperimentRun, f func(d ExperimentRun) float64) (all []float64) {
	for _, d := range runs {
		all = append(all, f(d))
	}
	return all
}

// FormatTable formats the means over seeds with their 95% confidence intervals, and each policy's difference in credit
// from the first policy, paired by seed.
func (r *ExperimentResult) FormatTable() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%-26s %-14s %5s %16s %16s %8s %9s %9s %10s %9s %7s\n", r.Name, "", "policy", "days", "credit",
		"over the first", "nacked", "errored", "legs/play", "recovery s", "unmended", "broken")
	for _, point := range r.gridPoints() {
		var first []float64
		for _, policy := range r.policies() {
			runs := r.runsOf(point, policy)
			if len(runs) == 0 {
				continue
			}
			credit := mapRuns(runs, func(d ExperimentRun) float64 { return d.Credit })
			diff := ""
			if first == nil {
				first = credit
			} else if len(first) == len(credit) {
				diff = pairedDifference(credit, first)
			}
			sum := func(f func(d ExperimentRun) int) (n int) {
				for _, d := range runs {
					n += f(d)
				}
				return n
			}
			var recoveries []float64
			for _, d := range runs {
				recoveries = append(recoveries, d.Recoveries...)
			}
			received := float64(sum(func(d ExperimentRun) int { return d.Received }))
			mean := math.NaN()
			if len(recoveries) > 0 {
				mean = stat.Mean(recoveries, nil)
			}
			fmt.Fprintf(&b, "%-26s %-14s %5d %8.3f ± %.3f %16s %7.1f%% %8.2f%% %9.3f %10.2f %9d %7d\n", point, policy, len(runs),
				stat.Mean(credit, nil), confidenceInterval(credit), diff,
				100*float64(sum(func(d ExperimentRun) int { return d.Nacked }))/received,
				100*float64(sum(func(d ExperimentRun) int { return d.Errored }))/received,
				float64(sum(func(d ExperimentRun) int { return d.Legs }))/float64(max(1, sum(func(d ExperimentRun) int { return d.Played }))), mean,
				sum(func(d ExperimentRun) int { return d.Unrecovered }), sum(func(d ExperimentRun) int { return d.Violations }))
		}
	}
	return b.String()
}

// pairedDifference formats the mean of paired differences with its confidence interval.
func pairedDifference(a, b []float64) string {
	d := make([]float64, len(a))
	for i := range a {
		d[i] = a[i] - b[i]
	}
	return fmt.Sprintf("%+.3f ± %.3f", stat.Mean(d, nil), confidenceInterval(d))
}

// FormatComparison formats the differences in credit between two results, for each grid point and policy, on the seeds
// that both have.
func (r *ExperimentResult) FormatComparison(other *ExperimentResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s over %s, paired by seed\n%-26s %-14s %5s %16s\n", r.Name, other.Name, "", "policy", "days", "credit")
	for _, point := range r.gridPoints() {
		for _, policy := range r.policies() {
			creditBySeed := map[uint64]float64{}
			for _, d := range other.runsOf(point, policy) {
				creditBySeed[d.Seed] = d.Credit
			}
			var x, y []float64
			for _, d := range r.runsOf(point, policy) {
				if otherCredit, both := creditBySeed[d.Seed]; both {
					x, y = append(x, d.Credit), append(y, otherCredit)
				}
			}
			if len(x) > 1 {
				fmt.Fprintf(&b, "%-26s %-14s %5d %16s\n", point, policy, len(x), pairedDifference(x, y))
			}
		}
	}
	return b.String()
}

// DrawCharts draws a chart for each grid point: the share of the maximum earnings that was earned in each second, as
// the mean over seeds, with a line for each policy.
func (r *ExperimentResult) DrawCharts(path, form string) (drawn []string, err error) {
	for i, point := range r.gridPoints() {
		p := plot.New()
		p.Title.Text = r.Name + ": " + point.String()
		p.X.Label.Text, p.Y.Label.Text = "seconds", "credit per second, share of the maximum"
		p.Y.Min, p.Y.Max = 0, 1
		p.Add(plotter.NewGrid())
		for k, policy := range r.policies() {
			runs := r.runsOf(point, policy)
			var line plotter.XYs
			for second := 0; ; second++ {
				var shares []float64
				for _, d := range runs {
					if second < len(d.Samples) && d.Samples[second].MaxEarning > 0 {
						shares = append(shares, min(1, d.Samples[second].Earning/d.Samples[second].MaxEarning))
					}
				}
				if len(shares) < max(1, len(runs)/2) {
					break
				}
				line = append(line, plotter.XY{X: float64(second), Y: stat.Mean(shares, nil)})
			}
			if len(line) == 0 {
				continue
			}
			l, err := plotter.NewLine(line)
			if err != nil {
				return drawn, err
			}
			l.Color, l.Dashes = plotutil.Color(k), plotutil.Dashes(k)
			p.Add(l)
			p.Legend.Add(policy, l)
		}
		p.Legend.Top = true
		file := fmt.Sprintf("%s-%d.%s", path, i+1, form)
		if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
			return drawn, err
		}
		drawn = append(drawn, file)
	}
	return drawn, nil
}
