package forward

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
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
	if len(x.promptParts()) == 0 || !x.router.Directory.Accepts(engine.ID) {
		return
	}
	x.crashChecks.Go(func() {
		// The check goes on when the caller leaves.
		ctx, stop := timer.WithTimeout(context.Background(), x.router.Timer, crashCheckTimeout, nil)
		defer stop()
		if err := x.router.Upstream.Identify(ctx, engine); err == nil || isAlive(err) || ctx.Err() != nil {
			return
		}
		x.withParts(x.router.Logger.Warn()).Str("endpoint", string(engine.ID)).Uint64("incarnation", uint64(engine.Incarnation)).
			Msg("engine crashed when it began to respond")
		x.router.Metrics.CountBrokenByCrash()
		x.router.Quarantine.RecordCrash(engine, x.promptParts())
	})
}

// isAlive reports whether the error of a call to an engine shows that its process
// responds.
func isAlive(err error) bool {
	refused := (*persimmoncart.EndpointRefusedError)(nil)
	return errors.As(err, &refused)
}

// awaitSuspicion waits for pending checks and reports whether the request must not be
// sent again, as its prompt may crash engines.
func (x *exchange) awaitSuspicion() bool {
	x.crashChecks.Wait()
	return x.router.Quarantine.Suspected(x.promptParts())
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
	Part persimmoncart.PromptPart
}

// Error implements error.
func (e *QuarantinedPartError) Error() string {
	return "prompt part " + string(e.Part) + " is quarantined"
}
