package loadgen

import (
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/internal/config"
)

// Shape of an overload.
const (
	overloadFactor = 3
	overloadRamp   = 3 * time.Second // for the rise and the fall
)

// A Curve gives the rate of arrivals over a run.
type Curve interface {
	// Peak returns the highest rate, requests a second.
	Peak() float64
	// Rate returns the rate at offset at from the start, requests a second.
	Rate(at time.Duration) float64
}

// A Constant is a curve of one rate, requests a second.
type Constant float64

// Peak implements Curve.
func (c Constant) Peak() float64 { return float64(c) }

// Rate implements Curve.
func (c Constant) Rate(time.Duration) float64 { return float64(c) }

// An Overload is a curve that triples the base rate in the middle third of the
// run. The rate rises within overloadRamp, or a sixth of a short run, and
// falls as fast.
type Overload struct {
	Base     float64       // requests a second
	Duration time.Duration // of the run
}

// Peak implements Curve.
func (o Overload) Peak() float64 { return o.Base * overloadFactor }

// Rate implements Curve.
func (o Overload) Rate(at time.Duration) float64 {
	rise := min(overloadRamp, o.Duration/6)
	start, end := o.Duration/3, o.Duration*2/3
	share := 0.0
	switch {
	case at >= start && at < start+rise:
		share = float64(at-start) / float64(rise)
	case at >= start+rise && at < end:
		share = 1
	case at >= end && at < end+rise:
		share = 1 - float64(at-end)/float64(rise)
	}
	return o.Base * (1 + (overloadFactor-1)*share)
}

// A Sheet is the curve of a planning sheet, scaled in time and rate.
type Sheet struct {
	rows  []config.RowSpec
	peak  float64
	scale float64
	speed float64
	start time.Time
}

// NewSheet returns the curve of the sheet in data, in the format of
// config.ParseSheet; file names it in errors. One second of the run stands for
// speed seconds of the sheet, and rates are multiplied by scale. It returns
// config.Issues for an invalid sheet and a *ScaleError for an invalid speed or
// scale.
func NewSheet(file string, data []byte, speed, scale float64) (*Sheet, error) {
	for _, v := range []float64{speed, scale} {
		if !(v > 0) || math.IsInf(v, 1) {
			return nil, &ScaleError{Value: v}
		}
	}
	entries, issues := config.ParseSheet(file, data, time.UTC)
	if len(issues) > 0 {
		return nil, errors.Wrap(issues, "parse sheet")
	}
	s := &Sheet{scale: scale, speed: speed}
	for _, e := range entries {
		if spec, ok := e.Spec.(*config.SheetSpec); ok {
			s.rows = append(s.rows, spec.Rows...)
		}
	}
	for i, r := range s.rows {
		if i == 0 || r.From.Before(s.start) {
			s.start = r.From
		}
	}
	for _, r := range s.rows {
		s.peak = max(s.peak, s.rateAt(r.From))
	}
	return s, nil
}

// Peak implements Curve.
func (s *Sheet) Peak() float64 { return s.peak }

// Rate implements Curve.
func (s *Sheet) Rate(at time.Duration) float64 {
	return s.rateAt(s.start.Add(time.Duration(float64(at) * s.speed)))
}

// rateAt returns the scaled rate at a time of the sheet.
func (s *Sheet) rateAt(t time.Time) float64 {
	sum := 0.0
	for _, r := range s.rows {
		if !t.Before(r.From) && t.Before(r.To) {
			sum += r.Rate
		}
	}
	return sum * s.scale
}

// A ScaleError reports a speed or scale that is not a finite number above
// zero.
type ScaleError struct {
	Value float64
}

// Error implements error.
func (e *ScaleError) Error() string {
	return fmt.Sprintf("speed or scale %v is not a finite number above zero", e.Value)
}
