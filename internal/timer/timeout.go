package timer

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// WithTimeout returns a context that ends with the given cause when d has passed
// on the timer service; without a cause it is context.DeadlineExceeded. The
// context's own error is context.Canceled in any case.
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
