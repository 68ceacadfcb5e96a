package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// An assignment is the use of an endpoint by one request. Done or DoneFull ends it.
type assignment struct {
	Endpoint   persimmoncart.Endpoint
	Expected   time.Duration       // expected time at the endpoint, its queue included
	Limited    bool                // the endpoint limits its requests, of which this is one
	Unverified bool                // another process may be at its address
	View       policy.EndpointView // state of the endpoint when it was chosen, for logs

	directory *Directory
	pool      *pool
	state     *policy.EndpointState
	tokens    int // counted on the endpoint; negative after the end
}

// Done ends the assignment and wakes the next generation that waits for a decode
// engine of the pool.
func (a *assignment) Done() {
	if a.end() {
		a.pool.decodeQueue.WakeNext()
	}
}

// DoneFull ends the assignment to an endpoint that had no capacity for the
// request. Load may be nil.
func (a *assignment) DoneFull(load *persimmoncart.EndpointLoad) {
	a.end()
	a.ReportLoad(load)
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.MarkFull(a.directory.Timer.Now())
}

// DoneUnreachable ends the assignment to an endpoint that did not respond.
func (a *assignment) DoneUnreachable() {
	a.end()
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	now := a.directory.Timer.Now()
	if a.directory.Pressure {
		a.state.MarkUnreachable(now)
	} else {
		a.state.MarkFull(now)
	}
}

// end removes the request from the load of the endpoint. It reports false if an
// earlier call has done so.
func (a *assignment) end() bool {
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	if a.tokens < 0 {
		return false
	}
	a.state.InFlight--
	a.state.Tokens -= a.tokens
	a.state.ClearFull()
	a.tokens = -1
	return true
}

// Failed counts a failure of the endpoint.
func (a *assignment) Failed() {
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.Failures.Fail(a.directory.Timer.Now())
	a.state.Unverified = true
}

// Identified records that the endpoint is the process that it is taken for.
func (a *assignment) Identified() {
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.Unverified, a.state.Unverified = false, false
	a.state.MarkReachable()
}

// ReportLoad records the load that the endpoint reported; nil is ignored.
func (a *assignment) ReportLoad(load *persimmoncart.EndpointLoad) {
	if load == nil {
		return
	}
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.SetLoad(a.directory.Timer.Now(), *load)
}

// ReservationRefused reports that the endpoint refused a request for which it had
// reserved a slot and memory.
func (a *assignment) ReservationRefused() {
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.ReservationRefused(a.directory.Timer.Now())
}

// GaveUp records that units of work have taken more than the given time, if they were
// given up, which ends ctx. Another failure says nothing about the time.
func (a *assignment) GaveUp(ctx context.Context, took time.Duration, units float64) {
	if ctx.Err() == nil {
		return
	}
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.GiveUpWork(a.directory.Timer.Now(), took, units)
}

// Responded counts a response with the given status after the given time.
func (a *assignment) Responded(took time.Duration, status int) {
	if status < http.StatusInternalServerError || !a.directory.Adaptive {
		a.Succeeded(took, 1)
		return
	}
	// An error says nothing about the speed of the endpoint, however fast it is.
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.Failures.FailWithStatus(a.directory.Timer.Now())
	a.state.Unverified = false
}

// Streamed records the time of the events of a stream that has come to its end, from the
// first one on.
func (a *assignment) Streamed(took time.Duration, events int) {
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	a.state.AddStream(a.directory.Timer.Now(), took, events)
}

// Succeeded counts a response after the given time for the given units of work.
func (a *assignment) Succeeded(took time.Duration, units float64) {
	a.directory.mutex.Lock()
	defer a.directory.mutex.Unlock()
	now := a.directory.Timer.Now()
	a.state.Failures.Succeed(now)
	a.state.Unverified = false
	a.state.MarkReachable()
	a.state.AddWork(now, took, units)
}
