package persimmoncart

import (
	"context"
	"time"
)

// A Timer is the timer service that parts subscribe to.
//
// Callbacks of one Timer may run concurrently with each other unless the
// implementation says otherwise; they must not block. Times carry a monotonic
// reading where the implementation has one, so that differences are safe across
// changes of the wall clock.
type Timer interface {
	// After calls f once when d has passed. The returned function stops it.
	After(d time.Duration, f func(time.Time)) (stop func())
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d or until ctx is done and then returns ctx's error.
	Sleep(ctx context.Context, d time.Duration) error
	// Subscribe calls f every period. The returned function ends the subscription.
	Subscribe(period time.Duration, f func(time.Time)) (stop func())
}
