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
	// rolePeriod is the time between two looks at the roles of engines.
	rolePeriod = time.Second
	// roleLease names the lease of the instance that orders changes of roles.
	roleLease = "stages"
	// roleCallTimeout bounds one call to an engine or to the store'r lease.
	roleCallTimeout = 2 * time.Second
	// roleSettleTime is how long an ordered engine is left alone: it lets its work
	// finish, changes its role and says so, and an order without an answer may be
	// carried out late.
	roleSettleTime = 12 * time.Second
	// roleConfirmations is how many looks in a row have to want a change, so that an
	// engine that is back soon is not replaced.
	roleConfirmations = 3
)

// A RoleReconciler changes the roles of engines as the traffic needs. One instance at a
// time does so, under a lease that is taken only when a change is due. Its
// fields are set before Run.
type RoleReconciler struct {
	Directory *Directory
	Leases    persimmoncart.Leases
	Logger    zerolog.Logger
	Orders    persimmoncart.RoleController
	Self      persimmoncart.InstanceID
	Timer     persimmoncart.Timer

	confirmations int // looks in a row that want a change
	lease         persimmoncart.Lease
	pending       map[persimmoncart.EndpointID]pendingChange // engines that are left alone
	retryAt       time.Time                                  // no try for the lease before
}

// An pendingChange is an engine that has been pendingChange to change its role.
type pendingChange struct {
	role  persimmoncart.Role
	until time.Time // the change is given up
}

// Run looks at the roles until ctx is done.
func (r *RoleReconciler) Run(ctx context.Context) error {
	r.pending = make(map[persimmoncart.EndpointID]pendingChange)
	for r.Timer.Sleep(ctx, rolePeriod) == nil {
		r.reconcile(ctx)
	}
	return ctx.Err()
}

// acquireLease takes or renews the lease and reports whether this instance may order.
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
		r.Logger.Info().Str("holder", string(held.Holder)).Msg("roles are changed by another instance")
	default:
		r.Logger.Warn().Err(err).Msg("lease of roles not taken")
	}
	return false
}

// call runs f with the bound of one call.
func (r *RoleReconciler) call(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, roleCallTimeout, nil)
	defer stop()
	return f(ctx)
}

// order orders one change.
func (r *RoleReconciler) order(ctx context.Context, change *policy.RoleChange) {
	var state persimmoncart.RoleState
	e := &change.Endpoint
	err := r.call(ctx, func(ctx context.Context) (err error) {
		state, err = r.Orders.State(ctx, e)
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
		line.Msg("lease of roles ran out")
		return
	}
	r.pending[e.ID] = pendingChange{role: change.Role, until: r.Timer.Now().Add(roleSettleTime)}
	err = r.call(ctx, func(ctx context.Context) error {
		return r.Orders.SetRole(ctx, e, persimmoncart.RoleOrder{
			Fence: r.lease.Fence, Role: change.Role, Sender: r.Self, Sequence: state.Sequence,
		})
	})
	line.AnErr("cause", err).Msg("role ordered")
}

// reconcile orders the changes that are due.
func (r *RoleReconciler) reconcile(ctx context.Context) {
	now := r.Timer.Now()
	waiting := make(map[persimmoncart.EndpointID]persimmoncart.Role, len(r.pending))
	for id, b := range r.pending {
		if now.Before(b.until) {
			waiting[id] = b.role
		}
	}
	changes := r.Directory.RoleChanges(waiting)
	for id := range r.pending {
		if _, busy := waiting[id]; !busy {
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
