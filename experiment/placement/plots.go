package placement

import (
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	plotWidth      = 9 * vg.Inch
	barPlotHeight  = 8 * vg.Inch
	linePlotHeight = 5 * vg.Inch
	barWidthPoints = 10
)

// PlotBars writes a plot with one bar per policy.
func PlotBars(dir, file, title, axis string, rows []Row, value func(Row) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, axis
	p.X.Min = 0
	var values plotter.Values
	var names []string
	for _, r := range slices.Backward(rows) {
		values = append(values, value(r))
		names = append(names, r.Policy.Name)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
	if err != nil {
		return errors.Wrap(err, "bar chart")
	}
	bars.Horizontal = true
	bars.Color = plotutil.Color(2)
	p.Add(bars, plotter.NewGrid())
	p.NominalY(names...)
	return errors.Wrap(p.Save(plotWidth, barPlotHeight, filepath.Join(dir, file)), "save plot")
}

// PlotSweep writes a plot of reuse against skew, with one line per policy of a sweep.
func PlotSweep(dir, file, title string, rows []Row) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "skew: max load over mean, p99 over seconds", "reuse, % of the best possible"
	p.Legend.Top, p.Legend.YOffs = false, vg.Points(10)
	var lines []any
	for start := 0; start < len(rows); {
		end := start
		var points plotter.XYs
		for ; end < len(rows) && rows[end].Policy.Name == rows[start].Policy.Name; end++ {
			points = append(points, plotter.XY{X: rows[end].Result.SkewP99, Y: 100 * rows[end].ShareOfBest()})
		}
		lines = append(lines, rows[start].Policy.Name, points)
		start = end
	}
	p.Add(plotter.NewGrid())
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "line plot")
	}
	return errors.Wrap(p.Save(plotWidth, linePlotHeight, filepath.Join(dir, file)), "save plot")
}
