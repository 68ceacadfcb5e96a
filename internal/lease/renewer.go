package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

// maxCandidates is the number of instances of a data centre that try to acquire a
// lease. If all instances tried, 400 nodes would read the store 200 times a second.
const maxCandidates = 2

// errNotCandidate reports that this instance does not try to acquire the lease.
var errNotCandidate = errors.New("other instances of the data centre are candidates for the lease")

// A Renewer acquires one lease and keeps it renewed with few calls to the store. Its
// exported fields are set before the first call; it is not safe for concurrent use.
type Renewer struct {
	Leases        persimmoncart.Leases
	Members       persimmoncart.Members // nil if this instance is always a candidate for the lease
	MinRetryPause time.Duration         // shortest pause after a failed attempt to acquire the lease
	Name          string
	RenewBefore   time.Duration // remaining time of the lease at which it is renewed
	// RetrySpread is the longest time that an instance waits for the lease beyond
	// its earliest end. Each try costs a call, and of many instances one tries early.
	RetrySpread time.Duration
	Self        persimmoncart.InstanceID
	Suspended   func() time.Duration // how long the machine has been suspended in all; nil means never
	Timer       persimmoncart.Timer

	lease   persimmoncart.Lease
	retryAt time.Time // no attempt to acquire the lease before
}

// Held reports whether this instance holds the lease.
func (r *Renewer) Held() bool { return r.heldAfter(0) }

// Lease returns the lease that was acquired last, which may have expired.
func (r *Renewer) Lease() persimmoncart.Lease { return r.lease }

// Renew acquires or renews the lease if that is due. It returns the error of a
// failed attempt, also while the lease is still held: a failed renewal ends an
// unexpired lease only if another instance holds it. Nil does not mean that the lease
// is held, because no attempt is made before the pause after the last one ends.
func (r *Renewer) Renew(ctx context.Context) error {
	if r.heldAfter(r.RenewBefore) {
		return nil
	}
	if !r.Held() {
		if r.Timer.Now().Before(r.retryAt) {
			return nil
		}
		if !r.isCandidate() {
			return errors.Wrapf(errNotCandidate, "acquire lease %q", r.Name)
		}
	}
	lease, err := r.Leases.Acquire(ctx, r.Name)
	if err == nil {
		r.lease = lease
		return nil
	}
	if held := (*persimmoncart.LeaseHeldError)(nil); errors.As(err, &held) && held.Holder != r.Self {
		r.lease = persimmoncart.Lease{}
	}
	if !r.Held() {
		r.retryAt = r.Timer.Now().Add(r.retryPause(err))
	}
	return err
}

// heldAfter reports whether this instance holds the lease, and still will after the
// given time.
func (r *Renewer) heldAfter(d time.Duration) bool {
	suspended := time.Duration(0)
	if r.Suspended != nil {
		suspended = r.Suspended()
	}
	return r.lease.Held(r.Timer.Now().Add(d), suspended)
}

// isCandidate reports whether this instance is one of the maxCandidates instances
// of its data centre that try to acquire the lease.
func (r *Renewer) isCandidate() bool {
	if r.Members == nil {
		return true
	}
	self := r.Members.Self()
	instances := []persimmoncart.InstanceID{self.ID}
	for _, m := range r.Members.View() {
		if i := m.Instance; i.DataCentre == self.DataCentre && i.ID != self.ID && m.State == persimmoncart.MemberAlive {
			instances = append(instances, i.ID)
		}
	}
	ranked := rendezvous.Rank(r.Name, instances)
	return slices.Contains(ranked[:min(maxCandidates, len(ranked))], self.ID)
}

// retryPause returns the pause after an attempt that failed with err.
func (r *Renewer) retryPause(err error) time.Duration {
	held := &persimmoncart.LeaseHeldError{}
	if !errors.As(err, &held) {
		return r.MinRetryPause
	}
	return max(r.MinRetryPause, held.RetryAfter+rand.N(r.RetrySpread+1))
}
