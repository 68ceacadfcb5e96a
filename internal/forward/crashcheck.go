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
	// crashCheckTimeout bounds the check whether an engine has crashed. A process that
	// is gone refuses connections at once; an engine that is only silent exceeds the
	// timeout and does not count as crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// maxEarlyEvents is the number of events up to which a response that breaks off
	// counts as broken off at its beginning.
	maxEarlyEvents = 1
)

// errPromptSuspected is the cause of a request that is not sent again because its
// prompt may crash engines.
var errPromptSuspected = errors.New("the prompt may crash engines")

// checkCrash finds out whether an engine that broke off when it began to respond to
// the request has crashed, and records the crash. It does not wait for that;
// awaitSuspicion does.
func (x *exchange) checkCrash(engine *persimmoncart.Endpoint) {
	if len(x.promptParts()) == 0 || !x.router.Directory.TakeCall(engine.ID) {
		return
	}
	x.crashChecks.Go(func() {
		// The check goes on when the caller leaves.
		ctx, stop := timer.WithTimeout(context.Background(), x.router.Timer, crashCheckTimeout, nil)
		defer stop()
		err := x.router.Upstream.Identify(ctx, engine)
		if err != nil && !isGone(err) && x.router.Timer.Sleep(ctx, crashCheckPause) == nil {
			err = x.router.Upstream.Identify(ctx, engine)
		}
		if !isGone(err) {
			x.withParts(x.router.Logger.Info()).Str("endpoint", string(engine.ID)).Err(err).Msg("engine broke off without a crash")
			return
		}
		x.withParts(x.router.Logger.Warn()).Str("endpoint", string(engine.ID)).Uint64("incarnation", uint64(engine.Incarnation)).
			Msg("engine crashed when it began to respond")
		x.router.Metrics.CountBrokenByCrash()
		x.router.Quarantine.RecordCrash(engine, x.promptParts())
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
// sent again, as its prompt may crash engines.
func (x *exchange) awaitSuspicion() bool {
	x.crashChecks.Wait()
	return x.router.Quarantine.Suspected(x.promptParts()) || x.quarantineRefusal() != nil
}

// quarantineRefusal returns the refusal of a request whose prompt crashes engines, or
// nil.
func (x *exchange) quarantineRefusal() error {
	part, left, found := x.router.Quarantine.Check(x.promptParts())
	if !found {
		return nil
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalPromptQuarantined, Err: &QuarantinedPartError{Part: part},
		Message: "a part of the prompt crashes engines", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: left,
	}
}

// A QuarantinedPartError reports a prompt with a part that crashes engines.
type QuarantinedPartError struct {
	Part persimmoncart.RequestPart
}

// Error implements error.
func (e *QuarantinedPartError) Error() string {
	return "prompt part " + string(e.Part) + " is quarantined"
}
