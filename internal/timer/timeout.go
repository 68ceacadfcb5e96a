package timer

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// WithTimeout returns a context that ends with the given cause when d has passed
// on the timer t. If cause is nil, it is context.DeadlineExceeded. The error of
// the context is context.Canceled in either case. The returned function ends the
// context and releases its timer.
func WithTimeout(ctx context.Context, t persimmoncart.Timer, d time.Duration, cause error) (context.Context, func()) {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := t.After(max(d, 0), func(time.Time) { cancel(cause) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
