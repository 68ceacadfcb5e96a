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
	// candidates is the number of instances of a cell that try for a lease. If
	// all of a cell's instances tried, 400 nodes would read 200 times a second.
	candidates = 2
	// renewBefore is the rest of a lease at which it is renewed: half of a term.
	renewBefore = 7 * time.Second
	// retryAtLeast is the shortest pause after a lease was found held.
	retryAtLeast = 2 * time.Second
)

// errNoCandidate reports an instance that leaves a lease to others.
var errNoCandidate = errors.New("other instances of the cell try for the lease")

// A tenure holds one lease as long as possible with few calls of the store.
type tenure struct {
	lease persimmoncart.Lease
	retry time.Time // no attempt before
}

// hold returns the lease, renewed when it is due.
func (t *tenure) hold(ctx context.Context, leases persimmoncart.Leases, members persimmoncart.Members, timer persimmoncart.Timer, name string) (persimmoncart.Lease, error) {
	now := timer.Now()
	if t.lease.Expires.Sub(now) > renewBefore {
		return t.lease, nil
	}
	held := now.Before(t.lease.Expires)
	if !held && now.Before(t.retry) {
		return persimmoncart.Lease{}, &persimmoncart.LeaseHeldError{Name: name, RetryAfter: t.retry.Sub(now)}
	}
	if !held && !candidate(members, name) {
		return persimmoncart.Lease{}, errNoCandidate
	}
	lease, err := leases.Acquire(ctx, name)
	if err == nil {
		t.lease = lease
		return lease, nil
	}
	if held && timer.Now().Before(t.lease.Expires) {
		return t.lease, nil // the store is away, and the lease still runs
	}
	pause := retryAtLeast
	if other := (&persimmoncart.LeaseHeldError{}); errors.As(err, &other) {
		pause = max(pause, other.RetryAfter)
	}
	t.retry = timer.Now().Add(pause)
	return persimmoncart.Lease{}, err
}

// candidate reports whether this instance tries for a lease.
func candidate(members persimmoncart.Members, name string) bool {
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
	return slices.Contains(ranked[:min(candidates, len(ranked))], self.ID)
}
