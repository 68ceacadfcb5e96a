package policy

import (
	"math"
	"time"
)

const (
	// trustGain is the weight of one result in an endpoint's failure rate.
	trustGain = 0.35
	// trustHalfLife is the time in which a failure rate halves without results,
	// so that an endpoint that failed is tried again.
	trustHalfLife = 3 * time.Second
)

// A Trust is the recent failure rate of one endpoint, from 0 to 1. It answers
// endpoints that fail part of their requests while they look healthy, and those
// that go silent.
type Trust struct {
	at   time.Time
	rate float64
}

// Fail counts a failed request.
func (t *Trust) Fail(now time.Time) {
	t.rate = t.Rate(now)
	t.rate += trustGain * (1 - t.rate)
	t.at = now
}

// Rate returns the failure rate at now.
func (t *Trust) Rate(now time.Time) float64 {
	if t.rate == 0 {
		return 0
	}
	return t.rate * halfLife(now.Sub(t.at), trustHalfLife)
}

// Succeed counts a request that was answered.
func (t *Trust) Succeed(now time.Time) {
	if t.rate == 0 {
		return
	}
	t.rate = t.Rate(now) * (1 - trustGain)
	t.at = now
}

// halfLife returns the weight of what was learned age ago.
func halfLife(age, half time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(half))
}
