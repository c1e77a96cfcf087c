package load

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Chart draws latency over quantiles into a file, whose ending (.svg, .png) tells the form.
func Chart(file, title string, results ...*Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "share of requests"
	p.Y.Label.Text = "ms from the due time"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90%"}, {Value: 2, Label: "99%"}, {Value: 3, Label: "99.9%"},
		{Value: 4, Label: "99.99%"}}
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
