package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// rolePeriod is the time between two checks of the roles of engines.
	rolePeriod = time.Second
	// roleStartSpread is the longest pause before the first check. Instances that
	// start together try for the lease at different times.
	roleStartSpread = 2 * time.Second
	// roleRetrySpread is the longest time that an instance waits for the lease beyond
	// its earliest end.
	roleRetrySpread = 10 * time.Second
	// roleLease is the name of the lease that an instance holds to change roles.
	roleLease = "stages"
	// roleRenewTime is the remaining time of the lease from which it is renewed.
	roleRenewTime = 3 * time.Second
	// roleCallTimeout bounds one call to an engine or to the store for the lease.
	roleCallTimeout = 2 * time.Second
	// roleReadTimeout bounds one round of reading the states of engines.
	roleReadTimeout = 800 * time.Millisecond
	// maxRoleReads is the number of engines whose states are read in one round; of
	// more, a random selection is read. roleReaders of them are read at a time.
	maxRoleReads = 64
	roleReaders  = 8
	// roleSettleTime is the time after an order before the same engine gets another
	// one: the engine finishes its work, changes its role and reports it, and an
	// order without a response may be carried out late.
	roleSettleTime = 12 * time.Second
	// roleConfirmations is the number of checks in a row that have to find a change
	// due, so that an engine that is away for a moment is not replaced.
	roleConfirmations = 2
)

// A RoleReconciler changes the roles of engines to fit the traffic. One instance
// at a time does so, the holder of a lease, which reads the load of all engines: an
// instance's own requests are too few for a plan when hundreds share them. The
// fields are set before Run.
type RoleReconciler struct {
	Controller persimmoncart.RoleController
	Directory  *Directory
	Leases     persimmoncart.Leases
	Logger     zerolog.Logger
	Self       persimmoncart.InstanceID
	Suspended  func() time.Duration // how long the machine has been suspended in all; nil means never
	Timer      persimmoncart.Timer

	balancers     map[persimmoncart.PoolName]*policy.RoleBalancer // while the lease is held
	confirmations int                                             // checks in a row that found a change due
	fence         uint64                                          // fencing token of the lease that was logged last
	lease         *lease.Renewer
	loads         map[persimmoncart.EndpointID]policy.EngineLoad // last load of each engine
	pending       map[persimmoncart.EndpointID]pendingChange     // engines with an order, or that could not be ordered
}

// A pendingChange is a role change of one engine that is not repeated for a time.
type pendingChange struct {
	role  persimmoncart.Role
	until time.Time // when another change of the engine may be ordered
}

// Run checks the roles every rolePeriod until ctx is done and returns its error.
func (r *RoleReconciler) Run(ctx context.Context) error {
	r.lease = &lease.Renewer{
		Leases: r.Leases, Name: roleLease, RenewBefore: roleRenewTime, RetrySpread: roleRetrySpread, Self: r.Self, Suspended: r.Suspended, Timer: r.Timer,
	}
	r.pending = make(map[persimmoncart.EndpointID]pendingChange)
	err := r.Timer.Sleep(ctx, rand.N(roleStartSpread))
	for err == nil {
		r.reconcile(ctx)
		err = r.Timer.Sleep(ctx, rolePeriod)
	}
	return err
}

// reconcile orders the changes that have been due for roleConfirmations checks.
func (r *RoleReconciler) reconcile(ctx context.Context) {
	engines := r.Directory.Engines()
	if len(engines) == 0 {
		return
	}
	if !r.holdLease(ctx) {
		r.balancers, r.loads, r.confirmations = nil, nil, 0
		return
	}
	r.readLoads(ctx, engines)
	changes := r.plan(engines)
	if len(changes) == 0 {
		r.confirmations = 0
		return
	}
	if r.confirmations++; r.confirmations < roleConfirmations {
		return
	}
	r.confirmations = 0
	for n := range changes {
		r.order(ctx, &changes[n])
	}
}

// holdLease acquires or renews the lease when that is due, and reports whether this
// instance holds it.
func (r *RoleReconciler) holdLease(ctx context.Context) bool {
	err := r.call(ctx, r.lease.Renew)
	held := &persimmoncart.LeaseHeldError{}
	switch {
	case err == nil && r.lease.Held() && r.fence != r.lease.Lease().Fence:
		r.fence = r.lease.Lease().Fence
		r.Logger.Info().Uint64("fence", r.fence).Msg("lease for role changes acquired")
	case errors.As(err, &held) && !r.lease.Held():
		r.fence = 0
		r.Logger.Info().Str("holder", string(held.Holder)).Msg("another instance holds the lease for role changes")
	case err != nil && r.lease.Held():
		r.Logger.Warn().Err(err).Msg("lease for role changes not renewed, still held")
	case err != nil:
		r.Logger.Warn().Err(err).Msg("lease for role changes not acquired")
	}
	return r.lease.Held()
}

// call runs f with a timeout of roleCallTimeout.
func (r *RoleReconciler) call(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, roleCallTimeout, nil)
	defer stop()
	return f(ctx)
}

// readLoads reads the loads of up to maxRoleReads engines and gives them to the
// pools' balancers.
func (r *RoleReconciler) readLoads(ctx context.Context, engines map[persimmoncart.PoolName][]persimmoncart.Endpoint) {
	if r.balancers == nil {
		r.balancers = make(map[persimmoncart.PoolName]*policy.RoleBalancer)
	}
	var selected []persimmoncart.Endpoint
	for _, list := range engines {
		for _, e := range list {
			if r.Directory.Accepts(e.ID) {
				selected = append(selected, e)
			}
		}
	}
	rand.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	read := r.readStates(ctx, selected[:min(len(selected), maxRoleReads)])
	now := r.Timer.Now()
	last := r.loads
	r.loads = make(map[persimmoncart.EndpointID]policy.EngineLoad, len(selected))
	for name, list := range engines {
		b := r.balancers[name]
		if b == nil {
			b = &policy.RoleBalancer{}
			r.balancers[name] = b
		}
		var loads []policy.EngineLoad
		count := make(map[persimmoncart.Role]int)
		for _, e := range list {
			count[e.Role]++
			if state, found := read[e.ID]; found {
				l := policy.NewEngineLoad(e, &state)
				loads = append(loads, l)
				r.loads[e.ID] = l
			} else if l, found := last[e.ID]; found && l.Endpoint.Role == e.Role && len(selected) > maxRoleReads {
				r.loads[e.ID] = l
			}
		}
		b.Observe(now, loads, count[persimmoncart.RoleDecode], count[persimmoncart.RolePrefill])
		decode, prefill := b.Loads()
		r.Logger.Info().Str("pool", string(name)).Int("decode", count[persimmoncart.RoleDecode]).Int("prefill", count[persimmoncart.RolePrefill]).
			Float64("decode_load", decode).Float64("prefill_load", prefill).Int("read", len(loads)).Msg("engine loads")
	}
}

// readStates returns the states of those engines that respond within
// roleReadTimeout.
func (r *RoleReconciler) readStates(ctx context.Context, engines []persimmoncart.Endpoint) map[persimmoncart.EndpointID]persimmoncart.RoleState {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, roleReadTimeout, nil)
	defer stop()
	states := make(map[persimmoncart.EndpointID]persimmoncart.RoleState, len(engines))
	next := make(chan *persimmoncart.Endpoint)
	var mutex sync.Mutex
	var readers sync.WaitGroup
	for range roleReaders {
		readers.Go(func() {
			for e := range next {
				state, err := r.Controller.State(ctx, e)
				if err != nil {
					r.Logger.Info().Str("endpoint", string(e.ID)).Err(err).Msg("engine state not read")
					continue
				}
				mutex.Lock()
				states[e.ID] = state
				mutex.Unlock()
			}
		})
	}
	for n := range engines {
		next <- &engines[n]
	}
	close(next)
	readers.Wait()
	return states
}

// plan returns the changes that are due. Engines with a pending change are left
// out, and no other engine of their region changes.
func (r *RoleReconciler) plan(engines map[persimmoncart.PoolName][]persimmoncart.Endpoint) []policy.RoleChange {
	now := r.Timer.Now()
	for id, p := range r.pending {
		if !now.Before(p.until) {
			delete(r.pending, id)
		}
	}
	var changes []policy.RoleChange
	for name, list := range engines {
		loads := make(map[persimmoncart.Region][]policy.EngineLoad)
		changing := make(map[persimmoncart.Region]int)
		for _, e := range list {
			if p, found := r.pending[e.ID]; found && p.role != e.Role {
				changing[e.Region]++
				continue
			}
			delete(r.pending, e.ID)
			l, found := r.loads[e.ID]
			switch {
			case !r.Directory.Accepts(e.ID):
				l = policy.FullEngineLoad(e)
			case !found:
				l = policy.EngineLoad{Endpoint: e}
			}
			loads[e.Region] = append(loads[e.Region], l)
		}
		for region := range loads {
			changes = append(changes, r.balancers[name].Plan(loads[region], changing[region])...)
		}
	}
	return changes
}

// order orders one change, unless the engine wants no requests, is busy, or has
// another role than expected.
func (r *RoleReconciler) order(ctx context.Context, change *policy.RoleChange) {
	var state persimmoncart.RoleState
	e := &change.Endpoint
	if !r.Directory.Accepts(e.ID) {
		r.Logger.Info().Str("endpoint", string(e.ID)).Msg("role not ordered: the engine wants no requests")
		return
	}
	err := r.call(ctx, func(ctx context.Context) (err error) {
		state, err = r.Controller.State(ctx, e)
		return err
	})
	line := r.Logger.Info().Str("endpoint", string(e.ID)).Stringer("from", e.Role).Stringer("to", change.Role).
		Float64("target", change.Target).Uint64("fence", r.lease.Lease().Fence).Bool("busy", state.Busy)
	if err != nil || state.Busy || state.Role != e.Role {
		r.pending[e.ID] = pendingChange{role: change.Role, until: r.Timer.Now().Add(2 * rolePeriod)}
		line.AnErr("cause", err).Msg("role not ordered")
		return
	}
	if !r.lease.Held() {
		line.Msg("lease for role changes expired")
		return
	}
	r.pending[e.ID] = pendingChange{role: change.Role, until: r.Timer.Now().Add(roleSettleTime)}
	err = r.call(ctx, func(ctx context.Context) error {
		return r.Controller.SetRole(ctx, e, persimmoncart.RoleOrder{
			Fence: r.lease.Lease().Fence, Role: change.Role, Sender: r.Self, Sequence: state.Sequence,
		})
	})
	line.AnErr("cause", err).Msg("role ordered")
}
