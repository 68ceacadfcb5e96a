package policy

import (
	"sync/atomic"
	"time"
)

// stopMargin is the time between the end of a grace period, when responses are cut, and
// the moment at which the process is killed.
const stopMargin = 400 * time.Millisecond

// A GracePeriod knows how much time is left until the process is killed after it was told
// to stop. It is the only owner of that fact: whoever accepts a request, passes it on or
// sends it again asks it. Its methods may be called by several goroutines.
type GracePeriod struct {
	closed atomic.Bool               // no new connections arrive
	end    atomic.Pointer[time.Time] // nil before Begin
	length atomic.Int64              // nanoseconds
}

// NewGracePeriod returns the grace period of a process that is killed the given time after
// the signal to stop.
func NewGracePeriod(length time.Duration) *GracePeriod {
	g := &GracePeriod{}
	g.SetLength(length)
	return g
}

// Begin starts the grace period at the time of the signal to stop, and returns its end.
// Later calls change nothing.
func (g *GracePeriod) Begin(now time.Time) time.Time {
	length := time.Duration(g.length.Load())
	end := now.Add(max(length-stopMargin, length/2))
	g.end.CompareAndSwap(nil, &end)
	return *g.end.Load()
}

// CloseAdmission records that no new connections arrive. A caller that is refused from now
// on reaches another instance at once, so that no request should be accepted that may have
// to be cut.
func (g *GracePeriod) CloseAdmission() { g.closed.Store(true) }

// AdmissionClosed reports whether CloseAdmission was called.
func (g *GracePeriod) AdmissionClosed() bool { return g.closed.Load() }

// Left returns the time until responses are cut, and whether the process is stopping at
// all.
func (g *GracePeriod) Left(now time.Time) (time.Duration, bool) {
	end := g.end.Load()
	if end == nil {
		return 0, false
	}
	return max(0, end.Sub(now)), true
}

// SetLength changes the time from the signal to stop until the process is killed. It has
// no effect on a grace period that has begun.
func (g *GracePeriod) SetLength(length time.Duration) { g.length.Store(int64(length)) }

// Stopping reports whether the process was told to stop.
func (g *GracePeriod) Stopping() bool { return g.end.Load() != nil }
