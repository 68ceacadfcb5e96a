package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// Constants of the measured service rate.
const (
	// servedHalfLife is the age at which a sample counts half.
	servedHalfLife = 4 * time.Second
	// servedMinimum is the time with waiting requests before the rate is used.
	servedMinimum = 500 * time.Millisecond
)

// A servedRate measures how many requests a second are served while some wait.
type servedRate struct {
	busy   float64 // seconds with waiting requests, decayed
	count  float64 // requests served meanwhile, decayed
	last   time.Time
	queued bool
}

// add counts one served request.
func (s *servedRate) add() { s.count++ }

// tick accounts the time since the last call.
func (s *servedRate) tick(now time.Time, queued bool) {
	d := now.Sub(s.last)
	if s.queued && d > 0 && !s.last.IsZero() {
		decay := math.Exp2(-float64(d) / float64(servedHalfLife))
		s.busy = s.busy*decay + d.Seconds()
		s.count *= decay
	}
	if !queued {
		s.count = min(s.count, s.busy*s.rate())
	}
	s.last, s.queued = now, queued
}

// rate returns requests a second; zero if it is unknown.
func (s *servedRate) rate() float64 {
	if s.busy <= 0 {
		return 0
	}
	return s.count / s.busy
}

// wait returns the expected wait behind ahead requests, and whether it is known.
func (s *servedRate) wait(ahead int) (time.Duration, bool) {
	if s.busy < servedMinimum.Seconds() || s.count < 1 {
		return 0, false
	}
	return time.Duration(float64(ahead) / s.rate() * float64(time.Second)), true
}

// Bounds of the time that refused callers are told to wait.
const (
	retryMaximum = 30 * time.Second
	retryMinimum = 500 * time.Millisecond
)

// SpreadRetry returns a time to come back between once and twice the wait, at
// random, so that callers refused together do not return together.
func SpreadRetry(random *rand.Rand, wait time.Duration) time.Duration {
	wait = min(max(wait, retryMinimum), retryMaximum)
	return wait + time.Duration(random.Int64N(int64(wait)))
}
