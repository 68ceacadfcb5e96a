package policy

import (
	"math"
	"time"
)

const (
	// durationQuantile is the share of responses that take no longer than estimated. One
	// that takes longer may be cut by a planned stop.
	durationQuantile = 0.98
	// durationGain is the change of an estimate, relative to it, by one response that
	// takes longer.
	durationGain = 0.1
	// durationMargin is the factor on the quantile: it rises only with responses that
	// exceed it.
	durationMargin = 1.2
	// minUnitDuration bounds an estimate from below, so that it can rise again.
	minUnitDuration = time.Microsecond
)

// A DurationEstimator estimates how long responses take at most, in proportion to their
// size, from those that were complete. The zero value knows nothing yet.
type DurationEstimator struct {
	unit float64 // duration for one unit of size, nanoseconds; zero before the first response
}

// Estimate returns the time within which a response of the given size is very probably
// complete. It reports false before the first response.
func (e *DurationEstimator) Estimate(size int) (time.Duration, bool) {
	estimate := durationMargin * e.unit * float64(max(1, size))
	return time.Duration(min(estimate, math.MaxInt64/2)), e.unit > 0
}

// Record adds a complete response of the given size.
func (e *DurationEstimator) Record(size int, took time.Duration) {
	unit := max(float64(minUnitDuration), float64(took)/float64(max(1, size)))
	switch {
	case e.unit == 0:
		e.unit = unit
	case unit > e.unit: // at most to the response's own duration
		e.unit = min(unit, e.unit*math.Exp(durationGain))
	default: // the rates of rise and fall balance at the quantile
		e.unit *= math.Exp(-durationGain * (1 - durationQuantile) / durationQuantile)
	}
}
