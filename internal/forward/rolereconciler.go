package forward

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// rolePeriod is the time between two checks of the roles of engines.
	rolePeriod = time.Second
	// roleLease is the name of the lease that an instance holds to change roles.
	roleLease = "stages"
	// roleCallTimeout bounds one call to an engine or to the store for the lease.
	roleCallTimeout = 2 * time.Second
	// roleSettleTime is the time after an order before the same engine gets another
	// one: the engine finishes its work, changes its role and reports it, and an
	// order without a response may be carried out late.
	roleSettleTime = 12 * time.Second
	// roleConfirmations is the number of checks in a row that have to find a change
	// due, so that an engine that is away for a moment is not replaced.
	roleConfirmations = 3
)

// A RoleReconciler changes the roles of engines to fit the traffic. One instance
// at a time does so, under a lease that it acquires only when a change is due.
// The fields are set before Run.
type RoleReconciler struct {
	Controller persimmoncart.RoleController
	Directory  *Directory
	Leases     persimmoncart.Leases
	Logger     zerolog.Logger
	Self       persimmoncart.InstanceID
	Timer      persimmoncart.Timer

	confirmations int // checks in a row that found a change due
	lease         persimmoncart.Lease
	pending       map[persimmoncart.EndpointID]pendingChange // engines with an order, or that could not be ordered
	retryAt       time.Time                                  // earliest time to try for the lease again
}

// A pendingChange is a role change of one engine that is not repeated for a time.
type pendingChange struct {
	role  persimmoncart.Role
	until time.Time // when another change of the engine may be ordered
}

// Run checks the roles every rolePeriod until ctx is done and returns its error.
func (r *RoleReconciler) Run(ctx context.Context) error {
	r.pending = make(map[persimmoncart.EndpointID]pendingChange)
	for r.Timer.Sleep(ctx, rolePeriod) == nil {
		r.reconcile(ctx)
	}
	return ctx.Err()
}

// acquireLease acquires or renews the lease and reports whether this instance
// holds it.
func (r *RoleReconciler) acquireLease(ctx context.Context) bool {
	err := r.call(ctx, func(ctx context.Context) (err error) {
		r.lease, err = r.Leases.Acquire(ctx, roleLease)
		return err
	})
	held := &persimmoncart.LeaseHeldError{}
	switch {
	case err == nil:
		return true
	case errors.As(err, &held):
		r.retryAt = r.Timer.Now().Add(held.RetryAfter)
		r.Logger.Info().Str("holder", string(held.Holder)).Msg("another instance holds the lease for role changes")
	default:
		r.Logger.Warn().Err(err).Msg("lease for role changes not acquired")
	}
	return false
}

// call runs f with a timeout of roleCallTimeout.
func (r *RoleReconciler) call(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, roleCallTimeout, nil)
	defer stop()
	return f(ctx)
}

// order orders one change, unless the engine is busy or its role is no longer the
// expected one.
func (r *RoleReconciler) order(ctx context.Context, change *policy.RoleChange) {
	var state persimmoncart.RoleState
	e := &change.Endpoint
	err := r.call(ctx, func(ctx context.Context) (err error) {
		state, err = r.Controller.State(ctx, e)
		return err
	})
	line := r.Logger.Info().Str("endpoint", string(e.ID)).Stringer("from", e.Role).Stringer("to", change.Role).
		Float64("target", change.Target).Uint64("fence", r.lease.Fence).Bool("busy", state.Busy)
	if err != nil || state.Busy || state.Role != e.Role {
		r.pending[e.ID] = pendingChange{role: change.Role, until: r.Timer.Now().Add(2 * rolePeriod)}
		line.AnErr("cause", err).Msg("role not ordered")
		return
	}
	if !r.Timer.Now().Before(r.lease.Expires) {
		line.Msg("lease for role changes expired")
		return
	}
	r.pending[e.ID] = pendingChange{role: change.Role, until: r.Timer.Now().Add(roleSettleTime)}
	err = r.call(ctx, func(ctx context.Context) error {
		return r.Controller.SetRole(ctx, e, persimmoncart.RoleOrder{
			Fence: r.lease.Fence, Role: change.Role, Sender: r.Self, Sequence: state.Sequence,
		})
	})
	line.AnErr("cause", err).Msg("role ordered")
}

// reconcile orders the changes that have been due for roleConfirmations checks.
func (r *RoleReconciler) reconcile(ctx context.Context) {
	now := r.Timer.Now()
	pending := make(map[persimmoncart.EndpointID]persimmoncart.Role, len(r.pending))
	for id, p := range r.pending {
		if now.Before(p.until) {
			pending[id] = p.role
		}
	}
	changes := r.Directory.RoleChanges(pending)
	for id := range r.pending {
		if _, found := pending[id]; !found {
			delete(r.pending, id)
		}
	}
	if len(changes) == 0 {
		r.confirmations = 0
		return
	}
	if r.confirmations++; r.confirmations < roleConfirmations || now.Before(r.retryAt) || !r.acquireLease(ctx) {
		return
	}
	for n := range changes {
		r.order(ctx, &changes[n])
	}
}
