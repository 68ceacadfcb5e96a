package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	testRenewBefore = 3 * time.Second
	testRetryPause  = 2 * time.Second
	testRetrySpread = 10 * time.Second
	testTerm        = 6 * time.Second
)

var errStore = errors.New("store is down")

// A fakeLeases grants leases of testTerm, or refuses them with err, and counts
// the attempts.
type fakeLeases struct {
	persimmoncart.Leases // panics on calls that the renewer does not make

	attempts  int
	err       error
	suspended time.Duration
	timer     *timer.Virtual
}

func (l *fakeLeases) Acquire(_ context.Context, name string) (persimmoncart.Lease, error) {
	l.attempts++
	if l.err != nil {
		return persimmoncart.Lease{}, l.err
	}
	return persimmoncart.Lease{Expires: l.timer.Now().Add(testTerm), Fence: 1, Name: name, Suspended: l.suspended}, nil
}

// A fakeMembers is the view that one of n instances of a data centre has.
type fakeMembers struct {
	persimmoncart.Members // panics on calls that the renewer does not make

	n    int
	self int // index of this instance
}

func (m *fakeMembers) Self() persimmoncart.Instance { return m.View()[m.self].Instance }

func (m *fakeMembers) View() []persimmoncart.Member {
	view := make([]persimmoncart.Member, m.n)
	for i := range view {
		id := persimmoncart.InstanceID(fmt.Sprintf("i%d", i))
		view[i] = persimmoncart.Member{Instance: persimmoncart.Instance{DataCentre: "hall1", ID: id}, State: persimmoncart.MemberAlive}
	}
	return view
}

// Guards against too many calls to the store, and against a lease that is used after it
// has ended, given up while it lasts, or never acquired again.
func TestRenewer(t *testing.T) {
	heldByOther := &persimmoncart.LeaseHeldError{Holder: "other", RetryAfter: 4 * time.Second}
	for _, c := range []struct {
		name  string
		steps func(t *testing.T, r *lease.Renewer, leases *fakeLeases)
	}{
		{
			// Guards against a write to the store at each check.
			name: "renewed only when due",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				assert.NilError(t, r.Renew(t.Context()))
				leases.timer.Advance(testTerm - testRenewBefore - 1)
				assert.NilError(t, r.Renew(t.Context()))
				assert.Equal(t, leases.attempts, 1)
				leases.timer.Advance(1)
				assert.NilError(t, r.Renew(t.Context()))
				assert.Equal(t, leases.attempts, 2)
				leases.timer.Advance(testTerm - 1)
				assert.Assert(t, r.Held())
				assert.Equal(t, r.Lease().Fence, uint64(1))
			},
		},
		{
			// Guards against the loss of an unexpired lease with the first failed renewal, and
			// against a lease that is used after its end.
			name: "renewal fails",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				assert.NilError(t, r.Renew(t.Context()))
				leases.timer.Advance(testTerm - 1)
				ownRecord := &persimmoncart.LeaseHeldError{Holder: "self", RetryAfter: testTerm} // the renewal was lost
				for _, leases.err = range []error{errStore, ownRecord} {
					assert.ErrorIs(t, r.Renew(t.Context()), leases.err)
					assert.Assert(t, r.Held())
				}
				assert.Equal(t, leases.attempts, 3)
				leases.timer.Advance(1)
				assert.Assert(t, !r.Held())
			},
		},
		{
			// Guards against a lease that two instances use.
			name: "taken by another instance",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				assert.NilError(t, r.Renew(t.Context()))
				leases.timer.Advance(testTerm - 1)
				leases.err = heldByOther
				assert.ErrorIs(t, r.Renew(t.Context()), heldByOther)
				assert.Assert(t, !r.Held())
				assert.NilError(t, r.Renew(t.Context()))
				assert.Equal(t, leases.attempts, 2)
			},
		},
		{
			// Guards against a store that is called at each check while it fails.
			name: "store fails",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				leases.err = errStore
				assert.ErrorIs(t, r.Renew(t.Context()), errStore)
				leases.err = nil
				leases.timer.Advance(testRetryPause - 1)
				assert.NilError(t, r.Renew(t.Context()))
				assert.Assert(t, !r.Held())
				assert.Equal(t, leases.attempts, 1)
				leases.timer.Advance(1)
				assert.NilError(t, r.Renew(t.Context()))
				assert.Assert(t, r.Held())
			},
		},
		{
			// Guards against attempts before the other holder's lease can end, and against an
			// instance that never tries again.
			name: "held by another instance",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				leases.err = heldByOther
				assert.ErrorIs(t, r.Renew(t.Context()), heldByOther)
				leases.err = nil
				leases.timer.Advance(heldByOther.RetryAfter - 1)
				assert.NilError(t, r.Renew(t.Context()))
				assert.Equal(t, leases.attempts, 1)
				leases.timer.Advance(testRetrySpread + 1)
				assert.NilError(t, r.Renew(t.Context()))
				assert.Assert(t, r.Held())
			},
		},
		{
			// Guards against a lease that lasts longer because the clock stood still during a
			// suspension.
			name: "machine suspended",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				r.Suspended = func() time.Duration { return leases.suspended }
				assert.NilError(t, r.Renew(t.Context()))
				leases.suspended = testTerm - 1
				assert.Assert(t, r.Held())
				leases.suspended = testTerm
				assert.Assert(t, !r.Held())
				assert.NilError(t, r.Renew(t.Context()))
				assert.Assert(t, r.Held())
			},
		},
		{
			// Guards against a data centre whose instances all read the store for one lease,
			// and against one in which none does.
			name: "candidates",
			steps: func(t *testing.T, r *lease.Renewer, leases *fakeLeases) {
				leases.err = errStore
				for i := range 8 {
					other := &lease.Renewer{Leases: leases, Members: &fakeMembers{n: 8, self: i}, Name: r.Name, Timer: leases.timer}
					assert.Assert(t, other.Renew(t.Context()) != nil)
				}
				assert.Equal(t, leases.attempts, 2)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			leases := &fakeLeases{timer: timer.NewVirtual(startTime)}
			c.steps(t, &lease.Renewer{
				Leases: leases, MinRetryPause: testRetryPause, Name: "plan", RenewBefore: testRenewBefore,
				RetrySpread: testRetrySpread, Self: "self", Timer: leases.timer,
			}, leases)
		})
	}
}
