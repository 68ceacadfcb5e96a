package persimmoncart

import (
	"context"
	"time"
)

// A Timer provides the time, pauses, and one-time and periodic callbacks.
//
// Callbacks of one Timer may run concurrently with each other unless the
// implementation states otherwise; they must not block. Times carry a monotonic
// clock reading where the implementation has one, so that differences remain
// correct when the wall clock is changed.
type Timer interface {
	// After calls f once when d has passed. The returned function cancels the call.
	After(d time.Duration, f func(time.Time)) (stop func())
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d. If ctx is done earlier, it returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
	// Subscribe calls f every period. The returned function ends the subscription.
	Subscribe(period time.Duration, f func(time.Time)) (stop func())
}
