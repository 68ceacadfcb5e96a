package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Constants of the measured service rate.
const (
	// serviceRateHalfLife is the age at which a sample counts half.
	serviceRateHalfLife = 4 * time.Second
	// serviceRateMinimum is the time with waiting requests before the rate is used.
	serviceRateMinimum = 500 * time.Millisecond
)

// A serviceRate measures how many requests a second are served while some wait.
type serviceRate struct {
	busySeconds float64 // seconds with waiting requests, decayed
	served      float64 // requests served meanwhile, decayed
	updated     time.Time
	queued      bool
}

// add counts one served request.
func (s *serviceRate) add() { s.served++ }

// advance accounts the time since the last call.
func (s *serviceRate) advance(now time.Time, queued bool) {
	d := now.Sub(s.updated)
	if s.queued && d > 0 && !s.updated.IsZero() {
		decay := math.Exp2(-float64(d) / float64(serviceRateHalfLife))
		s.busySeconds = s.busySeconds*decay + d.Seconds()
		s.served *= decay
	}
	if !queued {
		s.served = min(s.served, s.busySeconds*s.rate())
	}
	s.updated, s.queued = now, queued
}

// rate returns requests a second; zero if it is unknown.
func (s *serviceRate) rate() float64 {
	if s.busySeconds <= 0 {
		return 0
	}
	return s.served / s.busySeconds
}

// expectedWait returns the expected expectedWait behind ahead requests, and whether it is known.
func (s *serviceRate) expectedWait(ahead int) (time.Duration, bool) {
	if s.busySeconds < serviceRateMinimum.Seconds() || s.served < 1 {
		return 0, false
	}
	return time.Duration(float64(ahead) / s.rate() * float64(time.Second)), true
}

// Bounds of the time that refused callers are told to wait.
const (
	maxRetryAfter = 30 * time.Second
	minRetryAfter = 500 * time.Millisecond
)

// RetryAfter returns a time to come back between once and twice the wait, at
// random, so that callers refused together do not return together.
func RetryAfter(random *rand.Rand, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(random.Int64N(int64(wait)))
}
