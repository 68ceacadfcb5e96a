package policy

import (
	"math"
	"time"
)

// An EndpointView is the state of an endpoint when it was chosen, for logs.
type EndpointView struct {
	Adaptive      bool          // Limit and Speed are estimated
	FailureRate   float64       // recent, from 0 to 1
	InFlight      int           // requests of this instance
	Limit         float64       // estimated concurrency up to which latency holds
	LoadAge       time.Duration // age of the last load report; zero if there is none
	OtherRequests float64       // expected requests of other instances
	Slowdown      float64       // time that work takes relative to normal
	Speed         float64       // estimated speed relative to the mean of the pool
}

// View returns the state of the endpoint at now.
func (e *EndpointState) View(now time.Time) EndpointView {
	v := EndpointView{
		FailureRate: hundredths(e.Failures.Rate(now)), InFlight: e.InFlight,
		OtherRequests: hundredths(e.otherRequests(now)), Slowdown: hundredths(e.slowdown(now)),
	}
	if !e.loadTime.IsZero() {
		v.LoadAge = now.Sub(e.loadTime)
	}
	if a := e.adaptive; a != nil {
		v.Adaptive, v.Limit, v.Speed = true, hundredths(a.estimator.Limit(now)), hundredths(a.estimator.Speed(now))
		v.OtherRequests, v.Slowdown = hundredths(a.others(now)), hundredths(a.load.Slowdown(now, a.pool))
	}
	return v
}

// hundredths rounds a number to two decimal places, for logs.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }
