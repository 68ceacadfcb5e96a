package persimmoncart

import (
	"context"
	"fmt"
	"time"
)

// A Lease is a named lease that this instance holds.
type Lease struct {
	Expires   time.Time // local time until which the holder may act
	Fence     uint64    // fencing token; increases with each change of holder
	Name      string
	Suspended time.Duration // how long the machine had been suspended in all when the lease was requested
}

// Held reports whether the holder may still act at now. Suspended is how long the
// machine has been suspended in all; now does not count that time.
func (l *Lease) Held(now time.Time, suspended time.Duration) bool {
	return now.Add(suspended - l.Suspended).Before(l.Expires)
}

// Leases grants named leases that are recorded in the store.
type Leases interface {
	// Acquire takes or renews the lease. It returns a *LeaseHeldError while
	// another instance may hold it.
	Acquire(ctx context.Context, name string) (Lease, error)
	// Release gives up the lease, so that the next holder need not wait for its
	// expiry.
	Release(ctx context.Context, lease Lease) error
}

// A LeaseHeldError reports that another instance may hold the lease.
type LeaseHeldError struct {
	Holder     InstanceID
	Name       string
	RetryAfter time.Duration // until the lease may be free
}

// Error implements error.
func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease %q is held by %s", e.Name, e.Holder)
}
