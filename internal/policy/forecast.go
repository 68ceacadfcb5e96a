package policy

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// Constants of the forecast.
const (
	// forecastBuckets is the number of seconds of arrivals that the slope covers.
	forecastBuckets = 30
	// maxForecastLead bounds how far ahead the slope is continued: demand swings
	// within seconds, so that an old slope says little.
	maxForecastLead = 30 * time.Second
	// maxSheetRatio bounds the sheet relative to what is seen: a sheet that is
	// off by more than this factor is taken at the bound.
	maxSheetRatio = 3.0
)

// A Forecast predicts the arrivals of one pool and model from the planners'
// sheet and the slope of the last arrivals.
type Forecast struct {
	buckets       [forecastBuckets]float64
	start         time.Time
	currentSecond int64 // of the newest bucket, since first
}

// NewForecast returns a Forecast without arrivals; now is the start of counting.
func NewForecast(now time.Time) *Forecast { return &Forecast{start: now} }

// RecordArrivals counts n arrivals.
func (f *Forecast) RecordArrivals(now time.Time, n int) {
	f.advance(now)
	f.buckets[f.currentSecond%forecastBuckets] += float64(n)
}

// Rate returns the expected requests a second at lead from now. The sheet is
// the planners' rate for that time; zero or less means that there is none.
func (f *Forecast) Rate(now time.Time, lead time.Duration, sheet float64) float64 {
	level, slope := f.trend(now)
	seen := max(level+slope*min(lead, maxForecastLead).Seconds(), 0)
	switch {
	case sheet <= 0:
		return seen
	case level <= 0 && slope <= 0:
		return sheet
	default:
		return max(seen, min(sheet, level*maxSheetRatio))
	}
}

// advance clears the buckets of the seconds that have begun since the last call.
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

// trend returns the level now and the slope a second, by least squares over the
// complete seconds.
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

// SheetRate returns the planners' rate for a pool and model at a time, or zero.
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
