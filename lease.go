package persimmoncart

import (
	"context"
	"fmt"
	"time"
)

// A Lease is one holding of a named lease.
type Lease struct {
	Expires time.Time // local time until which the holder may act
	Fence   uint64    // fencing token; grows with each change of holder
	Name    string
}

// Leases grants named leases that are recorded in the store.
type Leases interface {
	// Acquire takes or renews the lease. It returns a *LeaseHeldError while
	// another instance may hold it.
	Acquire(ctx context.Context, name string) (Lease, error)
	// Release gives the lease up so that a successor need not wait.
	Release(ctx context.Context, lease Lease) error
}

// A LeaseHeldError reports that another instance may hold the lease.
type LeaseHeldError struct {
	Holder     InstanceID
	Name       string
	RetryAfter time.Duration
}

// Error implements error.
func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease %q is held by %s", e.Name, e.Holder)
}
