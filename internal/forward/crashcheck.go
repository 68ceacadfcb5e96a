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
	// is gone refuses connections at once; one that does not respond may be silent.
	crashCheckTimeout = 300 * time.Millisecond
	// maxBeginningEvents is the number of events of a response that has only begun.
	maxBeginningEvents = 1
)

// checkCrash finds out whether an engine that broke off when it began to respond to
// the request has crashed, and records the crash. It does not wait for that; suspected
// does.
func (x *exchange) checkCrash(engine persimmoncart.Endpoint) {
	if len(x.promptParts()) == 0 || !x.router.Directory.Accepts(engine.ID) {
		return
	}
	done := make(chan struct{})
	x.crashChecked = done
	go func() {
		defer close(done)
		// The check goes on when the caller leaves.
		ctx, stop := timer.WithTimeout(context.Background(), x.router.Timer, crashCheckTimeout, nil)
		defer stop()
		if err := x.router.Upstream.Identify(ctx, &engine); err == nil || isAlive(err) || ctx.Err() != nil {
			return
		}
		x.router.Quarantine.RecordCrash(&engine, x.promptParts())
	}()
}

// isAlive reports whether the error of a call to an engine shows that its process
// responds.
func isAlive(err error) bool {
	refused := (*persimmoncart.EndpointRefusedError)(nil)
	return errors.As(err, &refused)
}

// suspected reports whether the request must not be sent again, as its prompt seems to
// crash engines. It waits for the last check.
func (x *exchange) suspected() bool {
	if x.crashChecked != nil {
		<-x.crashChecked
	}
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
