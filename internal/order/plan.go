package order

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	planKey = "plan/"
	// planLease is the lease of the instance that plans.
	planLease  = "plan"
	planPeriod = 10 * time.Second
)

// A Record is the stored desired state of one pool.
type Record struct {
	At      time.Time                          `json:"at"`
	Desired map[persimmoncart.EndpointID]State `json:"desired"`
	Fence   uint64                             `json:"fence"`
	Version uint64                             `json:"version"` // of the configuration
	Warning string                             `json:"warning,omitempty"`
}

// A State is the stored desired state of one engine.
type State struct {
	Models []persimmoncart.ModelName `json:"models,omitempty"`
	Role   persimmoncart.Role        `json:"role"`
	Since  time.Time                 `json:"since,omitzero"`
}

// A Plan keeps the desired state of all pools current while it holds the lease.
type Plan struct {
	Configuration persimmoncart.Configuration
	Leases        persimmoncart.Leases
	Log           zerolog.Logger
	Members       persimmoncart.Members // nil if this instance always tries for the lease
	// Planner returns the planner of a pool; nil uses Roles.
	Planner    func(persimmoncart.PoolName) persimmoncart.RolePlanner
	Registerer prometheus.Registerer // nil registers no metrics
	Store      persimmoncart.Store
	Timer      persimmoncart.Timer
	// Weights says how long a fetch of weights takes; nil uses DefaultFetch.
	Weights persimmoncart.WeightStore

	fallback *prometheus.GaugeVec
	held     tenure
	planners map[persimmoncart.PoolName]persimmoncart.RolePlanner
	warned   map[persimmoncart.PoolName]string
}

// Run plans until ctx is done.
func (p *Plan) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.Tick(ctx); err != nil {
			p.Log.Debug().Err(err).Msg("plan")
		}
		if p.Timer.Sleep(ctx, planPeriod) != nil {
			break
		}
	}
	return ctx.Err()
}

// Tick plans all pools once if this instance holds the lease.
func (p *Plan) Tick(ctx context.Context) error {
	p.init()
	lease, err := p.held.hold(ctx, p.Leases, p.Members, p.Timer, planLease)
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	s := p.Configuration.Snapshot()
	var first error
	for _, name := range sortedNames(s.Pools) {
		if pool := s.Pools[name]; pool.Role != persimmoncart.RoleApplication {
			if err := p.pool(ctx, s, pool, lease); err != nil && first == nil {
				first = errors.Wrapf(err, "plan pool %s", name)
			}
		}
	}
	return first
}

// init prepares what the exported fields leave out.
func (p *Plan) init() {
	if p.planners != nil {
		return
	}
	p.planners = map[persimmoncart.PoolName]persimmoncart.RolePlanner{}
	p.warned = map[persimmoncart.PoolName]string{}
	p.fallback = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Help: "1 while the sizes of the pool do not come from today's sheet.", Name: "persimmoncart_plan_fallback",
	}, []string{"pool"})
	if p.Registerer != nil {
		p.Registerer.MustRegister(p.fallback)
	}
}

// planner returns the planner of a pool.
func (p *Plan) planner(ctx context.Context, pool *persimmoncart.Pool) persimmoncart.RolePlanner {
	if p.planners[pool.Name] == nil {
		if p.Planner != nil {
			p.planners[pool.Name] = p.Planner(pool.Name)
		} else {
			p.planners[pool.Name] = &Roles{Fetch: p.fetch(ctx, pool), Planner: policy.NewPlanner(DefaultLoads)}
		}
	}
	return p.planners[pool.Name]
}

// fetch returns the time that a move of a replica may take, or zero if it is not
// known. Fetches at the same time share the weight store's rate.
func (p *Plan) fetch(ctx context.Context, pool *persimmoncart.Pool) time.Duration {
	if p.Weights == nil {
		return 0
	}
	weights, err := p.Weights.Models(ctx)
	if err != nil {
		p.Log.Warn().Err(err).Msg("weight store does not answer; a move is taken to last the default time")
		return 0
	}
	longest := time.Duration(0)
	for _, m := range pool.Models {
		longest = max(longest, weights[m].FetchTime)
	}
	return longest * DefaultLoads
}

// pool plans one pool and records the result if it changed.
func (p *Plan) pool(ctx context.Context, s *persimmoncart.Snapshot, pool *persimmoncart.Pool, lease persimmoncart.Lease) error {
	now := p.Timer.Now()
	old, version, err := ReadRecord(ctx, p.Store, pool.Name)
	if err != nil {
		return err
	}
	if old.Fence > lease.Fence {
		return errors.Errorf("a later holder with token %d has planned", old.Fence)
	}
	sizes, warning := Sizes(s, pool, now)
	p.warn(pool.Name, warning)
	request := persimmoncart.PlanRequest{Previous: map[persimmoncart.EndpointID]persimmoncart.DesiredState{}, Now: now, Pins: s.Pins, Sizes: sizes}
	for _, id := range sortedNames(s.Endpoints) {
		if e := s.Endpoints[id]; e.Pool == pool.Name {
			request.Endpoints = append(request.Endpoints, e)
		}
	}
	for id, d := range old.Desired {
		request.Previous[id] = persimmoncart.DesiredState{Endpoint: id, Models: d.Models, Role: d.Role, Since: d.Since}
	}
	next := Record{At: now.UTC().Round(0), Desired: map[persimmoncart.EndpointID]State{}, Fence: lease.Fence, Version: s.Version, Warning: warning}
	for _, d := range p.planner(ctx, pool).Plan(request) {
		next.Desired[d.Endpoint] = State{Models: d.Models, Role: d.Role, Since: d.Since.UTC().Round(0)}
	}
	if version != 0 && next.Warning == old.Warning && reflect.DeepEqual(next.Desired, old.Desired) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	// A lost answer needs no settling: the next tick reads what is recorded.
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

// warn logs a new warning and sets the gauge.
func (p *Plan) warn(pool persimmoncart.PoolName, warning string) {
	value := 0.0
	if warning != "" {
		value = 1
		if p.warned[pool] != warning {
			p.Log.Warn().Str("pool", string(pool)).Msg(warning)
		}
	}
	p.warned[pool] = warning
	p.fallback.WithLabelValues(string(pool)).Set(value)
}

// ReadRecord returns the recorded desired state of a pool; the version is zero
// if there is none.
func ReadRecord(ctx context.Context, s persimmoncart.Store, pool persimmoncart.PoolName) (Record, persimmoncart.Version, error) {
	var r Record
	o, err := s.Get(ctx, planKey+string(pool))
	if missing := (&persimmoncart.NotFoundError{}); errors.As(err, &missing) {
		return r, 0, nil
	}
	if err != nil {
		return r, 0, errors.Wrap(err, "read plan")
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, 0, errors.Wrap(err, "decode plan")
	}
	return r, o.Version, nil
}

// sortedNames returns the keys of m, sorted.
func sortedNames[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(string(a), string(b)) })
	return keys
}
