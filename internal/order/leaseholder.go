package order

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/rendezvous"
)

const (
	// maxCandidates is the number of instances of a data centre that try to acquire
	// a lease. If all instances tried, 400 nodes would read the store 200 times a
	// second.
	maxCandidates = 2
	// minRetryPause is the shortest pause after a failed attempt to acquire a lease.
	minRetryPause = 2 * time.Second
	// renewBefore is the remaining time of a lease at which it is renewed: half of
	// its term.
	renewBefore = 7 * time.Second
)

// errNotCandidate reports that this instance does not try to acquire the lease.
var errNotCandidate = errors.New("other instances of the data centre are candidates for the lease")

// A leaseHolder acquires one lease and keeps it renewed with few calls to the store.
type leaseHolder struct {
	lease   persimmoncart.Lease
	retryAt time.Time // no attempt to acquire the lease before
}

// acquire returns the lease, after acquiring or renewing it if necessary. It
// returns a *LeaseHeldError while another instance may hold the lease, and
// errNotCandidate if this instance is no candidate.
func (h *leaseHolder) acquire(ctx context.Context, leases persimmoncart.Leases, members persimmoncart.Members, timer persimmoncart.Timer, name string) (persimmoncart.Lease, error) {
	now := timer.Now()
	if h.lease.Expires.Sub(now) > renewBefore {
		return h.lease, nil
	}
	held := now.Before(h.lease.Expires)
	if !held && now.Before(h.retryAt) {
		return persimmoncart.Lease{}, &persimmoncart.LeaseHeldError{Name: name, RetryAfter: h.retryAt.Sub(now)}
	}
	if !held && !isCandidate(members, name) {
		return persimmoncart.Lease{}, errNotCandidate
	}
	lease, err := leases.Acquire(ctx, name)
	if err == nil {
		h.lease = lease
		return lease, nil
	}
	if held && timer.Now().Before(h.lease.Expires) {
		return h.lease, nil // the renewal failed, but the lease has not expired
	}
	pause := minRetryPause
	if heldByOther := (&persimmoncart.LeaseHeldError{}); errors.As(err, &heldByOther) {
		pause = max(pause, heldByOther.RetryAfter)
	}
	h.retryAt = timer.Now().Add(pause)
	return persimmoncart.Lease{}, err
}

// isCandidate reports whether this instance is one of the maxCandidates instances
// of its data centre that try to acquire the lease.
func isCandidate(members persimmoncart.Members, name string) bool {
	if members == nil {
		return true
	}
	self := members.Self()
	instances := []persimmoncart.InstanceID{self.ID}
	for _, m := range members.View() {
		if i := m.Instance; i.DataCentre == self.DataCentre && i.ID != self.ID && m.State == persimmoncart.MemberAlive {
			instances = append(instances, i.ID)
		}
	}
	ranked := rendezvous.Rank(name, instances)
	return slices.Contains(ranked[:min(maxCandidates, len(ranked))], self.ID)
}
