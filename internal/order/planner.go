package order

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	planKey = "plan/" // prefix of the store keys of plans, before the pool's name
	// planLease is the name of the lease that the planning instance holds.
	planLease = "plan"
	// planPeriod is the time between two ticks.
	planPeriod = 10 * time.Second
)

// A PoolPlan is the stored desired state of the engines of one pool.
type PoolPlan struct {
	CreatedAt time.Time                                `json:"at"`
	Desired   map[persimmoncart.EndpointID]EngineState `json:"desired"`
	Fence     uint64                                   `json:"fence"`
	Version   uint64                                   `json:"version"` // version of the configuration
	Warning   string                                   `json:"warning,omitempty"`
}

// An EngineState is the stored desired state of one engine.
type EngineState struct {
	Models []persimmoncart.ModelName `json:"models,omitempty"`
	Role   persimmoncart.Role        `json:"role"`
	Since  time.Time                 `json:"since,omitzero"`
}

// A Planner plans the desired state of the engines of all pools and records it in
// the store while it holds the lease.
type Planner struct {
	Configuration persimmoncart.Configuration
	Leases        persimmoncart.Leases
	Logger        zerolog.Logger
	Members       persimmoncart.Members // nil if this instance is always a candidate for the lease
	// NewRolePlanner returns a new planner for a pool; nil creates a RolePlanner.
	NewRolePlanner func(persimmoncart.PoolName) persimmoncart.RolePlanner
	Registerer     prometheus.Registerer // nil registers no metrics
	Store          persimmoncart.Store
	Timer          persimmoncart.Timer
	// Weights returns the duration of a fetch of weights; if nil, a move takes
	// DefaultMoveTime.
	Weights persimmoncart.WeightStore

	fallback    *prometheus.GaugeVec
	lastWarning map[persimmoncart.PoolName]string
	lease       *lease.Renewer
	planners    map[persimmoncart.PoolName]persimmoncart.RolePlanner
}

// Run calls Tick periodically until ctx is done.
func (p *Planner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.Tick(ctx); err != nil {
			p.Logger.Debug().Err(err).Msg("plan")
		}
		if p.Timer.Sleep(ctx, planPeriod) != nil {
			break
		}
	}
	return ctx.Err()
}

// Tick plans all pools of engines once if this instance holds the lease. After
// errors it goes on with the next pool and returns the first error.
func (p *Planner) Tick(ctx context.Context) error {
	p.init()
	err := p.lease.Renew(ctx)
	if !p.lease.Held() {
		if err != nil {
			return errors.Wrap(err, "acquire plan lease")
		}
		return nil // the next attempt to acquire the lease is not due yet
	}
	if err != nil {
		p.Logger.Debug().Err(err).Msg("plan lease not renewed")
	}
	s := p.Configuration.Snapshot()
	var firstErr error
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		if pool := s.Pools[name]; pool.Role != persimmoncart.RoleApplication {
			if err := p.planPool(ctx, s, pool, p.lease.Lease()); err != nil && firstErr == nil {
				firstErr = errors.Wrapf(err, "plan pool %s", name)
			}
		}
	}
	return firstErr
}

// init creates the unexported state on the first call.
func (p *Planner) init() {
	if p.planners != nil {
		return
	}
	p.lease = newRenewer(p.Leases, p.Members, p.Timer, planLease)
	p.planners = map[persimmoncart.PoolName]persimmoncart.RolePlanner{}
	p.lastWarning = map[persimmoncart.PoolName]string{}
	p.fallback = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Help: "1 while the sizes of the pool do not come from today's sheet.", Name: "persimmoncart_plan_fallback",
	}, []string{"pool"})
	if p.Registerer != nil {
		p.Registerer.MustRegister(p.fallback)
	}
}

// rolePlanner returns the pool's planner, which it creates on the first call.
func (p *Planner) rolePlanner(ctx context.Context, pool *persimmoncart.Pool) persimmoncart.RolePlanner {
	if p.planners[pool.Name] == nil {
		if p.NewRolePlanner != nil {
			p.planners[pool.Name] = p.NewRolePlanner(pool.Name)
		} else {
			p.planners[pool.Name] = &RolePlanner{MoveTime: p.moveTime(ctx, pool), Planner: policy.NewPlanner(DefaultParallelFetches)}
		}
	}
	return p.planners[pool.Name]
}

// moveTime returns the time that a move of a replica to another model may take, or
// zero if it is unknown. Parallel fetches share the weight store's rate limit.
func (p *Planner) moveTime(ctx context.Context, pool *persimmoncart.Pool) time.Duration {
	if p.Weights == nil {
		return 0
	}
	weights, err := p.Weights.Models(ctx)
	if err != nil {
		p.Logger.Warn().Err(err).Msg("weight store unavailable, assuming the default move time")
		return 0
	}
	longest := time.Duration(0)
	for _, m := range pool.Models {
		longest = max(longest, weights[m].FetchTime)
	}
	return longest * DefaultParallelFetches
}

// planPool plans one pool and records the plan if it changed.
func (p *Planner) planPool(ctx context.Context, s *persimmoncart.Snapshot, pool *persimmoncart.Pool, lease persimmoncart.Lease) error {
	now := p.Timer.Now()
	old, version, err := ReadPlan(ctx, p.Store, pool.Name)
	if err != nil {
		return err
	}
	if old.Fence > lease.Fence {
		return errors.Errorf("plan was recorded by a later lease holder: fencing token %d is higher than %d", old.Fence, lease.Fence)
	}
	sizes, warning := Sizes(s, pool, now)
	p.recordWarning(pool.Name, warning)
	request := persimmoncart.PlanRequest{Previous: map[persimmoncart.EndpointID]persimmoncart.DesiredState{}, Now: now, Pins: s.Pins, Sizes: sizes}
	for _, id := range slices.Sorted(maps.Keys(s.Endpoints)) {
		if e := s.Endpoints[id]; e.Pool == pool.Name {
			request.Endpoints = append(request.Endpoints, e)
		}
	}
	for id, d := range old.Desired {
		request.Previous[id] = persimmoncart.DesiredState{Endpoint: id, Models: d.Models, Role: d.Role, Since: d.Since}
	}
	next := PoolPlan{CreatedAt: now.UTC().Round(0), Desired: map[persimmoncart.EndpointID]EngineState{}, Fence: lease.Fence, Version: s.Version, Warning: warning}
	for _, d := range p.rolePlanner(ctx, pool).Plan(request) {
		next.Desired[d.Endpoint] = EngineState{Models: d.Models, Role: d.Role, Since: d.Since.UTC().Round(0)}
	}
	if version != 0 && next.Warning == old.Warning && reflect.DeepEqual(next.Desired, old.Desired) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	// An *AmbiguousError needs no handling: the next tick reads the recorded plan.
	if version == 0 {
		_, err = p.Store.Create(ctx, planKey+string(pool.Name), value)
	} else {
		_, err = p.Store.Update(ctx, planKey+string(pool.Name), value, version)
	}
	if err != nil {
		return errors.Wrap(err, "record plan")
	}
	return nil
}

// recordWarning logs a warning that differs from the last one of the pool, and
// sets the fallback gauge.
func (p *Planner) recordWarning(pool persimmoncart.PoolName, warning string) {
	value := 0.0
	if warning != "" {
		value = 1
		if p.lastWarning[pool] != warning {
			p.Logger.Warn().Str("pool", string(pool)).Msg(warning)
		}
	}
	p.lastWarning[pool] = warning
	p.fallback.WithLabelValues(string(pool)).Set(value)
}

// ReadPlan returns the recorded plan of a pool and the version of its object in
// the store, which is zero if there is no plan.
func ReadPlan(ctx context.Context, s persimmoncart.Store, pool persimmoncart.PoolName) (PoolPlan, persimmoncart.Version, error) {
	var plan PoolPlan
	o, err := s.Get(ctx, planKey+string(pool))
	if missing := (&persimmoncart.NotFoundError{}); errors.As(err, &missing) {
		return plan, 0, nil
	}
	if err != nil {
		return plan, 0, errors.Wrap(err, "read plan")
	}
	if err := json.Unmarshal(o.Value, &plan); err != nil {
		return plan, 0, errors.Wrap(err, "decode plan")
	}
	return plan, o.Version, nil
}
