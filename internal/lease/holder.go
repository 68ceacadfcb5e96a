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

// A Holder acquires one lease and keeps it renewed with few calls to the store. Its
// exported fields are set before the first call; it is not safe for concurrent use.
type Holder struct {
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
func (h *Holder) Held() bool { return h.heldAfter(0) }

// Lease returns the lease that was acquired last, which may have expired.
func (h *Holder) Lease() persimmoncart.Lease { return h.lease }

// Renew acquires or renews the lease if that is due. It returns the error of a
// failed attempt, also while the lease is still held: a failed renewal ends an
// unexpired lease only if another instance holds it. Nil does not mean that the lease
// is held, because no attempt is made before the pause after the last one ends.
func (h *Holder) Renew(ctx context.Context) error {
	if h.heldAfter(h.RenewBefore) {
		return nil
	}
	if !h.Held() {
		if h.Timer.Now().Before(h.retryAt) {
			return nil
		}
		if !h.isCandidate() {
			return errors.Wrapf(errNotCandidate, "acquire lease %q", h.Name)
		}
	}
	lease, err := h.Leases.Acquire(ctx, h.Name)
	if err == nil {
		h.lease = lease
		return nil
	}
	if held := (*persimmoncart.LeaseHeldError)(nil); errors.As(err, &held) && held.Holder != h.Self {
		h.lease = persimmoncart.Lease{}
	}
	if !h.Held() {
		h.retryAt = h.Timer.Now().Add(h.retryPause(err))
	}
	return err
}

// heldAfter reports whether this instance holds the lease, and still will after the
// given time.
func (h *Holder) heldAfter(d time.Duration) bool {
	suspended := time.Duration(0)
	if h.Suspended != nil {
		suspended = h.Suspended()
	}
	return h.lease.Held(h.Timer.Now().Add(d), suspended)
}

// isCandidate reports whether this instance is one of the maxCandidates instances
// of its data centre that try to acquire the lease.
func (h *Holder) isCandidate() bool {
	if h.Members == nil {
		return true
	}
	self := h.Members.Self()
	instances := []persimmoncart.InstanceID{self.ID}
	for _, m := range h.Members.View() {
		if i := m.Instance; i.DataCentre == self.DataCentre && i.ID != self.ID && m.State == persimmoncart.MemberAlive {
			instances = append(instances, i.ID)
		}
	}
	ranked := rendezvous.Rank(h.Name, instances)
	return slices.Contains(ranked[:min(maxCandidates, len(ranked))], self.ID)
}

// retryPause returns the pause after an attempt that failed with err.
func (h *Holder) retryPause(err error) time.Duration {
	held := &persimmoncart.LeaseHeldError{}
	if !errors.As(err, &held) {
		return h.MinRetryPause
	}
	return max(h.MinRetryPause, held.RetryAfter+rand.N(h.RetrySpread+1))
}
