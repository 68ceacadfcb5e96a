package admission

import (
	"math"
	"time"
)

// pressureHalfLife is the time in which the weight of an observation halves.
const pressureHalfLife = 2 * time.Second

// A Pressure is the share of recent requests that found no room at once, from 0 to 1.
type Pressure struct {
	failed  float64 // weight of requests without room
	total   float64 // weight of all requests
	updated time.Time
}

// Observe records whether a request that needs no spare room found room at once.
func (p *Pressure) Observe(now time.Time, room bool) {
	p.decay(now)
	p.total++
	if !room {
		p.failed++
	}
}

// Value returns the pressure at now. Without recent requests it falls to zero.
func (p *Pressure) Value(now time.Time) float64 {
	p.decay(now)
	return p.failed / (p.total + 1)
}

// decay reduces the weights of earlier observations.
func (p *Pressure) decay(now time.Time) {
	if passed := now.Sub(p.updated); passed > 0 {
		weight := math.Exp2(-float64(passed) / float64(pressureHalfLife))
		p.failed *= weight
		p.total *= weight
		p.updated = now
	}
}
