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
	// maxCandidates is the number of instances of a cell that try for a lease. If
	// all of a cell's instances tried, 400 nodes would read 200 times a second.
	maxCandidates = 2
	// renewBefore is the rest of a lease at which it is renewed: half of a term.
	renewBefore = 7 * time.Second
	// minRetryPause is the shortest pause after a lease was found held.
	minRetryPause = 2 * time.Second
)

// errNotCandidate reports an instance that leaves a lease to others.
var errNotCandidate = errors.New("other instances of the cell try for the lease")

// A leaseHolder holds one lease as long as possible with few calls of the store.
type leaseHolder struct {
	lease   persimmoncart.Lease
	retryAt time.Time // no attempt before
}

// acquire returns the lease, renewed when it is due.
func (t *leaseHolder) acquire(ctx context.Context, leases persimmoncart.Leases, members persimmoncart.Members, timer persimmoncart.Timer, name string) (persimmoncart.Lease, error) {
	now := timer.Now()
	if t.lease.Expires.Sub(now) > renewBefore {
		return t.lease, nil
	}
	held := now.Before(t.lease.Expires)
	if !held && now.Before(t.retryAt) {
		return persimmoncart.Lease{}, &persimmoncart.LeaseHeldError{Name: name, RetryAfter: t.retryAt.Sub(now)}
	}
	if !held && !isCandidate(members, name) {
		return persimmoncart.Lease{}, errNotCandidate
	}
	lease, err := leases.Acquire(ctx, name)
	if err == nil {
		t.lease = lease
		return lease, nil
	}
	if held && timer.Now().Before(t.lease.Expires) {
		return t.lease, nil // the store is away, and the lease still runs
	}
	pause := minRetryPause
	if other := (&persimmoncart.LeaseHeldError{}); errors.As(err, &other) {
		pause = max(pause, other.RetryAfter)
	}
	t.retryAt = timer.Now().Add(pause)
	return persimmoncart.Lease{}, err
}

// isCandidate reports whether this instance tries for a lease.
func isCandidate(members persimmoncart.Members, name string) bool {
	if members == nil {
		return true
	}
	self := members.Self()
	cell := []persimmoncart.InstanceID{self.ID}
	for _, m := range members.View() {
		if i := m.Instance; i.DataCentre == self.DataCentre && i.ID != self.ID && m.State == persimmoncart.MemberAlive {
			cell = append(cell, i.ID)
		}
	}
	ranked := rendezvous.Rank(name, cell)
	return slices.Contains(ranked[:min(maxCandidates, len(ranked))], self.ID)
}
