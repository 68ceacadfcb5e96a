package capacity

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotHeight = 250 * vg.Length(1) // points
	plotWidth  = 430 * vg.Length(1) // points
)

// plotAll draws the highest value of each measure of the entry instances against the
// number of nodes, into one SVG file for each measure with a line for each event.
func plotAll(directory string, results []Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create directory for plots")
	}
	var measures []string
	for _, r := range results {
		if r.Nodes > 0 && !slices.Contains(measures, r.Measure) {
			measures = append(measures, r.Measure)
		}
	}
	for _, m := range measures {
		if err := plotMeasure(directory, m, results); err != nil {
			return errors.Wrapf(err, "plot %s", m)
		}
	}
	return nil
}

// plotMeasure draws one measure and its bound into an SVG file.
func plotMeasure(directory, measure string, results []Result) error {
	p := plot.New()
	p.Title.Text = measure + ", highest"
	p.X.Label.Text = "nodes"
	p.Y.Min = 0
	var lines []any
	var bound *float64
	points := map[string]plotter.XYs{}
	var names []string
	for _, r := range results {
		if r.Measure != measure || r.Role != roleEntry {
			continue
		}
		if points[r.Event] == nil {
			names = append(names, r.Event)
		}
		points[r.Event] = append(points[r.Event], plotter.XY{X: float64(r.Nodes), Y: r.Max})
		bound = r.Bound
	}
	for _, e := range names {
		slices.SortFunc(points[e], func(a, b plotter.XY) int { return int(a.X - b.X) })
		lines = append(lines, e, points[e])
	}
	if bound != nil && *bound > 0 {
		lines = append(lines, "bound", plotter.XYs{{X: 0, Y: *bound}, {X: plannedNodes, Y: *bound}})
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "add lines")
	}
	if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, "capacity-"+measure+".svg")); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
