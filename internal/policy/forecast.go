package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// forecastBuckets is the number of seconds of arrivals from which the slope is
	// estimated.
	forecastBuckets = 30
	// maxForecastLead is the longest time for which the slope is extrapolated: demand
	// changes within seconds, so that an old slope says little.
	maxForecastLead = 30 * time.Second
	// maxSheetRatio limits the planners' rate to a multiple of the measured one.
	maxSheetRatio = 3.0
)

// A Forecast predicts the arrivals of one pool and model from the planners' sheet and
// the trend of recent arrivals.
type Forecast struct {
	buckets       [forecastBuckets]float64 // arrivals of one second each, as a ring
	currentSecond int64                    // of the newest bucket, since start
	start         time.Time                // of second 0
}

// NewForecast returns a Forecast without arrivals that starts to count at now.
func NewForecast(now time.Time) *Forecast { return &Forecast{start: now} }

// RecordArrivals counts n arrivals.
func (f *Forecast) RecordArrivals(now time.Time, n int) {
	f.advance(now)
	f.buckets[f.currentSecond%forecastBuckets] += float64(n)
}

// Rate returns the expected requests a second at lead from now. sheet is the planners'
// rate for that time; zero or less means that there is none.
func (f *Forecast) Rate(now time.Time, lead time.Duration, sheet float64) float64 {
	level, slope := f.trend(now)
	predicted := max(level+slope*min(lead, maxForecastLead).Seconds(), 0)
	switch {
	case sheet <= 0:
		return predicted
	case level <= 0 && slope <= 0:
		return sheet
	default:
		return max(predicted, min(sheet, level*maxSheetRatio))
	}
}

// advance clears the buckets of the seconds that began since the last call.
func (f *Forecast) advance(now time.Time) {
	second := int64(now.Sub(f.start) / time.Second)
	if second-f.currentSecond >= forecastBuckets {
		f.buckets = [forecastBuckets]float64{}
		f.currentSecond = second
	}
	for f.currentSecond < second {
		f.currentSecond++
		f.buckets[f.currentSecond%forecastBuckets] = 0
	}
}

// trend returns the present level in requests a second and its slope per second, by
// least squares over the complete seconds.
func (f *Forecast) trend(now time.Time) (level, slope float64) {
	f.advance(now)
	n := min(f.currentSecond, forecastBuckets-1)
	if n < 2 {
		return 0, 0
	}
	var sx, sy, sxx, sxy float64
	for i := int64(1); i <= n; i++ {
		x, y := float64(-i), f.buckets[(f.currentSecond-i)%forecastBuckets]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	m := float64(n)
	slope = (m*sxy - sx*sy) / (m*sxx - sx*sx)
	return max((sy-slope*sx)/m, 0), slope
}

// SheetRate returns the planners' rate in requests a second for a pool and model at a
// time, or zero.
func SheetRate(sheet *persimmoncart.Sheet, pool persimmoncart.PoolName, model persimmoncart.ModelName, at time.Time) float64 {
	if sheet == nil {
		return 0
	}
	rate := 0.0
	for _, r := range sheet.Rows {
		if r.Pool == pool && r.Model == model && !at.Before(r.From) && at.Before(r.To) {
			rate += r.Rate
		}
	}
	return rate
}
