package policy

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of one result in an endpoint's failure rate.
	failureGain = 0.35
	// failureHalfLife is the time in which a failure rate halves without results,
	// so that an endpoint that failed is tried again.
	failureHalfLife = 3 * time.Second
)

// A FailureRate is the recent failure rate of one endpoint, from 0 to 1. It answers
// endpoints that fail part of their requests while they look healthy, and those
// that go silent.
type FailureRate struct {
	updatedAt time.Time
	rate      float64
}

// Fail counts a failed request.
func (t *FailureRate) Fail(now time.Time) {
	t.rate = t.Rate(now)
	t.rate += failureGain * (1 - t.rate)
	t.updatedAt = now
}

// Rate returns the failure rate at now.
func (t *FailureRate) Rate(now time.Time) float64 {
	if t.rate == 0 {
		return 0
	}
	return t.rate * decayWeight(now.Sub(t.updatedAt), failureHalfLife)
}

// Succeed counts a request that was answered.
func (t *FailureRate) Succeed(now time.Time) {
	if t.rate == 0 {
		return
	}
	t.rate = t.Rate(now) * (1 - failureGain)
	t.updatedAt = now
}

// decayWeight returns the weight of what was learned age ago.
func decayWeight(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
