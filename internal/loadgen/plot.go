package loadgen

import (
	"math"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotHeight = 4 * vg.Inch
	plotWidth  = 6.5 * vg.Inch
)

// tailNines is the number of nines of the highest percentile in the latency
// plot: 99.99%.
const tailNines = 4

// SavePlots writes two plots beside file, in the format of its extension, .png
// or .svg: "<name>-latency" shows the latency percentiles of each workload and
// "<name>-arrivals" the requests a second. It returns an *ExtensionError for
// other formats.
func (r *Report) SavePlots(file string) error {
	extension := filepath.Ext(file)
	if extension != ".png" && extension != ".svg" {
		return &ExtensionError{Value: file}
	}
	name := strings.TrimSuffix(file, extension)
	for suffix, draw := range map[string]func() (*plot.Plot, error){
		"-arrivals": r.plotArrivals,
		"-latency":  r.plotLatency,
	} {
		p, err := draw()
		if err != nil {
			return errors.Wrap(err, "draw plot")
		}
		if err := p.Save(plotWidth, plotHeight, name+suffix+extension); err != nil {
			return errors.Wrapf(err, "save plot %s", name+suffix+extension)
		}
	}
	return nil
}

// plotArrivals draws the requests a second of each workload.
func (r *Report) plotArrivals() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Deployment
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	var lines []any
	for _, c := range r.curves {
		points := make(plotter.XYs, len(c.arrivals))
		for i, n := range c.arrivals {
			points[i] = plotter.XY{X: float64(i), Y: float64(n)}
		}
		if len(points) > 0 {
			lines = append(lines, c.name, points)
		}
	}
	return p, plotutil.AddLines(p, lines...)
}

// plotLatency draws the latency of each workload by percentile.
func (r *Report) plotLatency() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Deployment
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}, {Value: tailNines, Label: "99.99"},
	}
	var lines []any
	for _, c := range r.curves {
		if c.latency.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for nines := 0.0; nines <= tailNines; nines += 0.1 {
			quantile := 100 * (1 - math.Pow(10, -nines))
			points = append(points, plotter.XY{X: nines, Y: float64(c.latency.ValueAtQuantile(quantile)) / 1000})
		}
		lines = append(lines, c.name, points)
	}
	return p, plotutil.AddLines(p, lines...)
}

// An ExtensionError reports a plot file of an unknown format.
type ExtensionError struct {
	Value string
}

// Error implements error.
func (e *ExtensionError) Error() string {
	return "plot file " + e.Value + " ends in neither .png nor .svg"
}
