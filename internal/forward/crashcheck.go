package forward

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// crashCheckPause is the time between the two calls of a check. A call may use an
	// idle connection that the crash has reset.
	crashCheckPause = 50 * time.Millisecond
	// crashCheckTimeout bounds the check whether an endpoint has crashed. A process that
	// is gone refuses connections at once; one that is only silent exceeds the timeout
	// and does not count as crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// retryAfterTrial is the shortest pause before a caller sends a quarantined request
	// again: a trial that is due or in progress has ended by then.
	retryAfterTrial = 5 * time.Second
	// maxEarlyEvents is the number of events up to which a response that breaks off
	// counts as broken off at its beginning.
	maxEarlyEvents = 1
)

// errSuspected is the cause of a request that is not sent again because it may crash
// endpoints.
var errSuspected = errors.New("the request may crash endpoints")

// checkCrash finds out whether an endpoint that broke off when it began to respond to
// the request has crashed, and records the crash. It does not wait for that;
// awaitSuspicion does.
func (x *exchange) checkCrash(endpoint *persimmoncart.Endpoint) {
	if endpoint.Role != persimmoncart.RoleApplication && !x.router.Directory.TakeCall(endpoint.ID) {
		return
	}
	x.crashChecks.Go(func() {
		// The check goes on when the caller leaves.
		ctx, stop := timer.WithTimeout(context.Background(), x.router.Timer, crashCheckTimeout, nil)
		defer stop()
		err := x.router.Upstream.Identify(ctx, endpoint)
		if err != nil && !isGone(err) && x.router.Timer.Sleep(ctx, crashCheckPause) == nil {
			err = x.router.Upstream.Identify(ctx, endpoint)
		}
		if !isGone(err) {
			x.withParts(x.router.Logger.Info()).Str("endpoint", string(endpoint.ID)).Err(err).Msg("endpoint broke off without a crash")
			return
		}
		x.withParts(x.router.Logger.Warn()).Str("endpoint", string(endpoint.ID)).Uint64("incarnation", uint64(endpoint.Incarnation)).
			Msg("endpoint crashed when it began to respond")
		x.router.Metrics.CountBrokenByCrash()
		x.router.Quarantine.RecordCrash(endpoint, x.parts)
	})
}

// isGone reports whether the error of a call to an engine shows that its process is
// gone: another one responds, or none accepts connections. An engine may reset a
// connection for other reasons.
func isGone(err error) bool {
	replaced := (*persimmoncart.EndpointReplacedError)(nil)
	return errors.As(err, &replaced) || errors.Is(err, syscall.ECONNREFUSED)
}

// awaitSuspicion waits for pending checks and reports whether the request must not be
// sent again, as it may crash endpoints.
func (x *exchange) awaitSuspicion() bool {
	x.crashChecks.Wait()
	return x.suspected()
}

// suspected reports whether the request must not be sent again by what is known now.
func (x *exchange) suspected() bool {
	return x.router.Quarantine.Suspected(x.parts) || x.quarantineRefusal() != nil
}

// quarantineRefusal returns the refusal of a request that crashes endpoints, or nil. It
// is nil for a trial.
func (x *exchange) quarantineRefusal() error {
	part, left, found := x.router.Quarantine.Check(x.parts)
	if !found || x.trial {
		return nil
	}
	return newQuarantineRefusal(part, left)
}

// quarantineRefusalOrTrial does the same, but lets the request through as a trial if one
// is due.
func (x *exchange) quarantineRefusalOrTrial(ctx context.Context) error {
	part, left, found := x.router.Quarantine.Check(x.parts)
	if !found || x.trial {
		return nil
	}
	if left > 0 || !x.router.Quarantine.Trial(ctx, part) {
		return newQuarantineRefusal(part, left)
	}
	x.trial = true
	x.withParts(x.router.Logger.Info()).Str("part", string(part)).Msg("request let through as a trial")
	return nil
}

// newQuarantineRefusal returns the refusal of a request with a quarantined part whose
// next trial is due after the given time.
func newQuarantineRefusal(part persimmoncart.RequestPart, left time.Duration) *persimmoncart.Refusal {
	code, message := persimmoncart.RefusalPromptQuarantined, "a part of the prompt crashes engines"
	if part.IsWholeRequest() {
		code, message = persimmoncart.RefusalRequestQuarantined, "the request crashes endpoints"
	}
	return &persimmoncart.Refusal{
		Code: code, Err: &QuarantinedPartError{Part: part}, Message: message, Outcome: persimmoncart.OutcomeNotRun,
		RetryAfter: max(left, retryAfterTrial),
	}
}

// A QuarantinedPartError reports a request with a part that crashes endpoints, or that
// does so itself.
type QuarantinedPartError struct {
	Part persimmoncart.RequestPart
}

// Error implements error.
func (e *QuarantinedPartError) Error() string {
	return string(e.Part) + " is quarantined"
}
