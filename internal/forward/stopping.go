package forward

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// retryAfterStopping is the pause before a caller sends a request again that a stopping
// instance refused. The retry reaches another instance, so that there is nothing to wait
// for.
const retryAfterStopping = 50 * time.Millisecond

// ErrStopped is the cause with which the contexts of requests end that are still in flight
// at the end of the grace period.
var ErrStopped = errors.New("grace period of the instance is over")

// stoppingRefusal returns the refusal of a request whose response would be cut by the stop
// of the instance if it were passed on now; nil if it will probably be complete.
func (x *exchange) stoppingRefusal() error {
	now := x.router.Timer.Now()
	left, stopping := x.router.GracePeriod.Left(now)
	if !stopping {
		return nil
	}
	expected := x.expectedDuration(now)
	if expected <= left {
		return nil
	}
	x.log(x.router.Logger.Info()).Dur("expected", expected).Dur("left", left).Msg("request is too long for the rest of the grace period")
	return newStoppingRefusal(false)
}

// newStoppingRefusal returns the refusal of a request that a stopping instance cannot
// finish. Sent states whether it may have reached an endpoint.
func newStoppingRefusal(sent bool) error {
	refusal := &persimmoncart.Refusal{
		Code: persimmoncart.RefusalDraining, Message: "the instance is stopping", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterStopping,
	}
	if sent {
		refusal.Outcome, refusal.RetryAfter = persimmoncart.OutcomeUnknown, 0
	}
	return refusal
}

// expectedDuration returns the time until the response is very probably complete if the
// request is passed on now: until its deadline at most. It is the deadline while nothing is
// known of its route, and for a request that has not run once admission is closed.
func (x *exchange) expectedDuration(now time.Time) time.Duration {
	left := x.deadline.Sub(now)
	expected, known := x.router.Directory.ExpectedDuration(x.route.Name, x.responseSize())
	if !known || x.runs == 0 && x.router.GracePeriod.AdmissionClosed() {
		return left
	}
	if x.progress.events > 0 {
		expected = max(0, expected-now.Sub(x.progress.first))
	}
	if x.generates() {
		expected += x.route.LatencyTarget // until the first event; later ones are refused
	}
	return min(left, expected)
}

// recordDuration records how long a complete response took: a plain one since the request
// arrived, a stream since its first event. The rest of a resumed stream says nothing.
func (x *exchange) recordDuration(status int) {
	if status >= http.StatusBadRequest || x.request.Position.Begun() {
		return
	}
	since := x.request.Arrived
	if x.progress.events > 0 {
		since = x.progress.first
	}
	x.router.Directory.RecordDuration(x.route.Name, x.responseSize(), x.router.Timer.Now().Sub(since))
}

// generates reports whether engines serve the request.
func (x *exchange) generates() bool { return x.request.Generation != nil && x.engine != nil }

// responseSize returns the expected number of output tokens of a generation, and 1 for a
// plain request.
func (x *exchange) responseSize() int {
	if !x.generates() {
		return 1
	}
	return x.router.Directory.OutputTokens(x.pool, x.request.Generation)
}
