package curve

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a plot of the series to a file. The file extension selects the
// image format.
func Plot(path string, s Settings, series []Series) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Detection time against false ejections over the threshold\n"+
		"%.0f backend-server hours and %d faults per point, 6 siblings, 5 requests/s each, seed %d\n"+
		"points without a false ejection stand at the 95%% bound of %.1f",
		s.Hours, s.Runs, s.Seed, zeroEventUpperBound*falseEjectionUnitHours/s.Hours)
	p.X.Label.Text = "false ejections per 10,000 backend-server hours (heavy-tailed latency)"
	p.Y.Label.Text = "detection time, p99 (s; 60 = not found)"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	lines := make([]any, 0, 2*len(series))
	for _, x := range series {
		points := make(plotter.XYs, len(x.Points))
		names := make([]string, len(x.Points))
		for i, c := range x.Points {
			points[i] = plotter.XY{X: plottedFalseEjections(c, s.Hours), Y: c.P99.Seconds()}
			names[i] = fmt.Sprintf(" %.0f", c.Threshold)
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
		if err != nil {
			return err
		}
		p.Add(labels)
		lines = append(lines, x.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
