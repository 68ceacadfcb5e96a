package policy

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of one result in an endpoint's failure rate.
	failureGain = 0.35
	// errorStatusGain is the weight of an answer with an error, which may be the fault of
	// the request: one alone must not outweigh the distance to another region.
	errorStatusGain = 0.05
	// failureHalfLife is the time in which a failure rate halves without
	// results, so that an endpoint that failed is tried again.
	failureHalfLife = 3 * time.Second
)

// A FailureRate is the recent failure rate of one endpoint, from 0 to 1. It
// detects endpoints that fail part of their requests although they pass their
// health checks, and endpoints that stop answering.
type FailureRate struct {
	updatedAt time.Time
	rate      float64
}

// Fail records a failed request.
func (f *FailureRate) Fail(now time.Time) { f.add(now, failureGain) }

// FailWithStatus records a request that was answered with an error.
func (f *FailureRate) FailWithStatus(now time.Time) { f.add(now, errorStatusGain) }

// Rate returns the failure rate at now.
func (f *FailureRate) Rate(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * decayWeight(now.Sub(f.updatedAt), failureHalfLife)
}

// Succeed records an answered request.
func (f *FailureRate) Succeed(now time.Time) {
	if f.rate == 0 {
		return
	}
	f.rate = f.Rate(now) * (1 - failureGain)
	f.updatedAt = now
}

// add records a failed request with the given weight.
func (f *FailureRate) add(now time.Time, gain float64) {
	f.rate = f.Rate(now)
	f.rate += gain * (1 - f.rate)
	f.updatedAt = now
}

// decayWeight returns the weight of a sample of the given age.
func decayWeight(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
