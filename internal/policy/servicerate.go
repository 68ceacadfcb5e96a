package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// serviceRateHalfLife is the time in which the weight of a sample halves.
	serviceRateHalfLife = 4 * time.Second
	// serviceRateMinimum is the time with waiting requests that has to be measured
	// before the rate is used.
	serviceRateMinimum = 500 * time.Millisecond
)

// A serviceRate measures how many requests a second are served while requests wait.
type serviceRate struct {
	busySeconds float64   // seconds with waiting requests, with decay
	served      float64   // requests served in that time, with decay
	updated     time.Time // last call of advance
	queued      bool      // requests wait since updated
}

// add counts one served request.
func (s *serviceRate) add() { s.served++ }

// advance counts the time since the last call. queued says whether requests wait from
// now on.
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

// rate returns requests a second, or zero if no time was measured.
func (s *serviceRate) rate() float64 {
	if s.busySeconds <= 0 {
		return 0
	}
	return s.served / s.busySeconds
}

// expectedWait returns the expected wait behind ahead requests. It reports false if
// too little was measured.
func (s *serviceRate) expectedWait(ahead int) (time.Duration, bool) {
	if s.busySeconds < serviceRateMinimum.Seconds() || s.served < 1 {
		return 0, false
	}
	return time.Duration(float64(ahead) / s.rate() * float64(time.Second)), true
}

// Bounds of the wait that RetryAfter starts from.
const (
	maxRetryAfter = 30 * time.Second
	minRetryAfter = 500 * time.Millisecond
)

// RetryAfter returns the time after which a refused caller may try again: at random
// between once and twice the wait, so that callers refused together do not retry
// together. The wait is limited to the range from minRetryAfter to maxRetryAfter.
func RetryAfter(random *rand.Rand, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(random.Int64N(int64(wait)))
}
