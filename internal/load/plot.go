package load

import (
	"fmt"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// DrawLatencyChart draws latencies over percentiles into a file. The file's extension (.svg, .png) selects the format.
func DrawLatencyChart(file, title string, results ...*SetupResult) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "share of requests"
	p.Y.Label.Text = "ms from the due time"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90%"}, {Value: 2, Label: "99%"},
		{Value: 3, Label: "99.9%"}, {Value: 4, Label: "99.99%"}}
	p.Add(plotter.NewGrid())
	for i, r := range results {
		var line plotter.XYs
		for j, q := range r.Quantiles {
			if q < 100 && r.Millis[j] > 0 {
				line = append(line, plotter.XY{X: -math.Log10(1 - q/100), Y: r.Millis[j]})
			}
		}
		l, points, err := plotter.NewLinePoints(line)
		if err != nil {
			return fmt.Errorf("%s: %w", r.Name, err)
		}
		l.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(l, points)
		p.Legend.Add(r.Name, l, points)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

// Table formats the archive's parts over the measured seconds and the resource usage of the directors. If the scenario
// excludes parts from a second run, it adds the ratio of each part's p99 with the excluded parts to that without them.
func (a *Archive) Table() string {
	var b strings.Builder
	s := a.Header.Scenario
	fmt.Fprintf(&b, "%s: %d directors of %d cores, %d clients, %v after %v, %d repeats; machine of %d cores, %s\n", s.Name,
		s.Directors, s.Cores, s.Clients, s.Duration, s.Warmup, s.Repeats, a.Header.Cores, a.Header.At)
	fmt.Fprintf(&b, "%-8s %-14s %9s %9s %8s %8s %8s %8s %8s %9s %9s %9s\n", "run", "part", "due", "answered", "nacked", "errored",
		"turned", "lost", "open", "p50 ms", "p99 ms", "max ms")
	all := a.Summaries()
	for _, x := range all {
		fmt.Fprintf(&b, "%-8s %-14s %9d %9d %8d %8d %8d %8d %8d", x.Run, x.Part, x.Due, x.Answered, x.Nacked, x.Errored, x.Rejected,
			x.Lost, x.Open)
		if x.histogram.TotalCount() > 0 {
			fmt.Fprintf(&b, " %9.3f %9.3f %9.3f", x.Percentile(50), x.Percentile(99), float64(x.histogram.Max())/1000)
		}
		b.WriteByte('\n')
	}
	warmup := int(s.Warmup / time.Second)
	for _, run := range a.runNames() {
		var n, cpu, rss, heap, sockets, conns, loopDelay float64
		for _, r := range a.Rows {
			if r.Run == run && r.Usage != nil && r.Second >= warmup {
				n++
				cpu += r.Usage.CPU
				conns += r.Usage.Conns
				rss, heap, sockets, loopDelay = max(rss, r.Usage.RSS), max(heap, r.Usage.Heap), max(sockets, r.Usage.SocketMemory),
					max(loopDelay, r.Usage.LoopDelay)
			}
		}
		if n > 0 {
			fmt.Fprintf(&b, "%-8s per director: mean %.2f cores, %.0f connections; maximum %.1f MB resident, %.1f MB heap, loop delay %.1f ms; all sockets of the machine %.1f MB\n",
				run, cpu/n, conns/n, rss/1e6, heap/1e6, loopDelay*1000, sockets/1e6)
		}
	}
	for _, x := range all {
		for _, y := range all {
			if x.Run == "with" && y.Run == "without" && x.Part == y.Part && y.histogram.TotalCount() > 0 && x.histogram.TotalCount() > 0 {
				fmt.Fprintf(&b, "%s, p99 with %s over without: %.2f (p50 %.2f)\n", x.Part, strings.Join(s.ExcludedParts, ", "),
					x.Percentile(99)/y.Percentile(99), x.Percentile(50)/y.Percentile(50))
			}
		}
	}
	return b.String()
}

// DrawCharts draws the archive by second: p99 latency, answers, and the directors' CPU, memory and connections. The
// names of the files begin with path.
func (a *Archive) DrawCharts(path, form string) (drawn []string, err error) {
	type series struct {
		file, title, unit string
		of                func(r *ArchiveRow) (name string, y float64, ok bool)
	}
	part := func(f func(r *ArchiveRow) float64) func(r *ArchiveRow) (string, float64, bool) {
		return func(r *ArchiveRow) (string, float64, bool) {
			if r.Part == "" || r.histogram == nil {
				return "", 0, false
			}
			return r.Part + " " + r.Run, f(r), true
		}
	}
	used := func(f func(u *ProcessUsage) float64) func(r *ArchiveRow) (string, float64, bool) {
		return func(r *ArchiveRow) (string, float64, bool) {
			if r.Usage == nil {
				return "", 0, false
			}
			return fmt.Sprintf("director %d %s", r.Director, r.Run), f(r.Usage), true
		}
	}
	for _, x := range []series{
		{"p99", "p99 of each second", "ms from the due time", part(func(r *ArchiveRow) float64 { return float64(r.histogram.ValueAtQuantile(99)) / 1000 })},
		{"answers", "answers with a playing session", "per second", part(func(r *ArchiveRow) float64 { return float64(r.Answered) })},
		{"cpu", "CPU", "cores", used(func(u *ProcessUsage) float64 { return u.CPU })},
		{"memory", "resident memory", "MB", used(func(u *ProcessUsage) float64 { return u.RSS / 1e6 })},
		{"connections", "connected clients", "", used(func(u *ProcessUsage) float64 { return u.Conns })},
	} {
		lines := map[string]plotter.XYs{}
		var names []string
		for i := range a.Rows {
			r := &a.Rows[i]
			name, y, ok := x.of(r)
			if !ok || r.Repeat > 0 { // one repeat is enough for a chart over time
				continue
			}
			if lines[name] == nil {
				names = append(names, name)
			}
			lines[name] = append(lines[name], plotter.XY{X: float64(r.Second), Y: y})
		}
		if len(names) == 0 {
			continue
		}
		p := plot.New()
		p.Title.Text = a.Header.Scenario.Name + ": " + x.title
		p.X.Label.Text, p.Y.Label.Text = "seconds", x.unit
		p.Y.Min = 0
		p.Add(plotter.NewGrid())
		for i, name := range names {
			l, err := plotter.NewLine(lines[name])
			if err != nil {
				return drawn, fmt.Errorf("%s: %w", name, err)
			}
			l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
			p.Add(l)
			p.Legend.Add(name, l)
		}
		p.Legend.Top = true
		file := path + "-" + x.file + "." + form
		if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
			return drawn, err
		}
		drawn = append(drawn, file)
	}
	return drawn, nil
}
