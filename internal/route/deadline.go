package route

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

// Causes of cancelled contexts.
var (
	errDeadline = errors.New("request deadline passed")
	errHedged   = errors.New("the other call answered first")
	errStalled  = errors.New("no token within the stall timeout")
	errTransfer = errors.New("transfer deadline passed")
)

// withTimeout returns a context that ends with the given cause when d has
// passed on the timer service.
func withTimeout(ctx context.Context, timer persimmoncart.Timer, d time.Duration, cause error) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := timer.After(max(d, 0), func(time.Time) { cancel(cause) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
