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
	// stagePeriod is the time between two looks at the roles of engines.
	stagePeriod = time.Second
	// stageLease names the lease of the instance that orders changes of roles.
	stageLease = "stages"
	// stageCall bounds one call to an engine or to the store's lease.
	stageCall = 2 * time.Second
	// stageSettle is how long an ordered engine is left alone: it lets its work
	// finish, changes its role and says so, and an order without an answer may be
	// carried out late.
	stageSettle = 12 * time.Second
	// stageTries is how many looks in a row have to want a change, so that an
	// engine that is back soon is not replaced.
	stageTries = 3
)

// A Stager changes the roles of engines as the traffic needs. One instance at a
// time does so, under a lease that is taken only when a change is due. Its
// fields are set before Run.
type Stager struct {
	Directory *Directory
	Leases    persimmoncart.Leases
	Logger    zerolog.Logger
	Orders    persimmoncart.StageOrders
	Self      persimmoncart.InstanceID
	Timer     persimmoncart.Timer

	busy  map[persimmoncart.EndpointID]ordered // engines that are left alone
	lease persimmoncart.Lease
	retry time.Time // no try for the lease before
	wants int       // looks in a row that want a change
}

// An ordered is an engine that has been ordered to change its role.
type ordered struct {
	role  persimmoncart.Role
	until time.Time // the change is given up
}

// Run looks at the roles until ctx is done.
func (s *Stager) Run(ctx context.Context) error {
	s.busy = make(map[persimmoncart.EndpointID]ordered)
	for s.Timer.Sleep(ctx, stagePeriod) == nil {
		s.look(ctx)
	}
	return ctx.Err()
}

// call runs f with the bound of one call.
func (s *Stager) call(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, s.Timer, stageCall, nil)
	defer stop()
	return f(ctx)
}

// hold takes or renews the lease and reports whether this instance may order.
func (s *Stager) hold(ctx context.Context) bool {
	err := s.call(ctx, func(ctx context.Context) (err error) {
		s.lease, err = s.Leases.Acquire(ctx, stageLease)
		return err
	})
	held := &persimmoncart.LeaseHeldError{}
	switch {
	case err == nil:
		return true
	case errors.As(err, &held):
		s.retry = s.Timer.Now().Add(held.Retry)
		s.Logger.Info().Str("holder", string(held.Holder)).Msg("roles are changed by another instance")
	default:
		s.Logger.Warn().Err(err).Msg("lease of roles not taken")
	}
	return false
}

// look orders the changes that are due.
func (s *Stager) look(ctx context.Context) {
	now := s.Timer.Now()
	waiting := make(map[persimmoncart.EndpointID]persimmoncart.Role, len(s.busy))
	for id, b := range s.busy {
		if now.Before(b.until) {
			waiting[id] = b.role
		}
	}
	changes := s.Directory.StageChanges(waiting)
	for id := range s.busy {
		if _, busy := waiting[id]; !busy {
			delete(s.busy, id)
		}
	}
	if len(changes) == 0 {
		s.wants = 0
		return
	}
	if s.wants++; s.wants < stageTries || now.Before(s.retry) || !s.hold(ctx) {
		return
	}
	for n := range changes {
		s.order(ctx, &changes[n])
	}
}

// order orders one change.
func (s *Stager) order(ctx context.Context, change *policy.RoleChange) {
	var state persimmoncart.EngineState
	e := &change.Endpoint
	err := s.call(ctx, func(ctx context.Context) (err error) {
		state, err = s.Orders.State(ctx, e)
		return err
	})
	line := s.Logger.Info().Str("endpoint", string(e.ID)).Stringer("from", e.Role).Stringer("to", change.Role).
		Float64("target", change.Target).Uint64("fence", s.lease.Fence).Bool("busy", state.Busy)
	if err != nil || state.Busy || state.Role != e.Role {
		s.busy[e.ID] = ordered{role: change.Role, until: s.Timer.Now().Add(2 * stagePeriod)}
		line.AnErr("cause", err).Msg("role not ordered")
		return
	}
	if !s.Timer.Now().Before(s.lease.Expires) {
		line.Msg("lease of roles ran out")
		return
	}
	s.busy[e.ID] = ordered{role: change.Role, until: s.Timer.Now().Add(stageSettle)}
	err = s.call(ctx, func(ctx context.Context) error {
		return s.Orders.OrderStage(ctx, e, persimmoncart.StageOrder{
			Fence: s.lease.Fence, Role: change.Role, Sender: s.Self, Sequence: state.Sequence,
		})
	})
	line.AnErr("cause", err).Msg("role ordered")
}
