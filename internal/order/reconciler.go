package order

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	callTimeout = 2 * time.Second
	// maxEngines is the maximum number of engines checked in one tick.
	maxEngines = 16
	// maxParallelCalls is the maximum number of engines checked at the same time.
	maxParallelCalls = 8
	// planReadPeriod is the time between two reads of the plans from the store.
	planReadPeriod = 10 * time.Second
	// recheckPeriod is the time after an order, or after a failed call, until the
	// engine is checked again. Load reports lag by some seconds.
	recheckPeriod = 10 * time.Second
	// reconcilePeriod is the time between two ticks.
	reconcilePeriod = 2 * time.Second
	// takeoverDelay is the time that a new lease holder waits before its first
	// order. Acquire returns only after the old lease has expired; an order that
	// the old holder sent just before its expiry arrives within callTimeout.
	takeoverDelay = 5 * time.Second
	// verifyPeriod is the time between two checks of an engine in its desired
	// state. With 314 engines in a data centre this costs 5 reports a second.
	verifyPeriod = time.Minute
)

// A Reconciler sends orders to the engines of one data centre until they are in
// the recorded desired state. It works while it holds the data centre's lease.
type Reconciler struct {
	Configuration persimmoncart.Configuration
	DataCentre    persimmoncart.DataCentre
	Engines       persimmoncart.Engines
	Leases        persimmoncart.Leases
	Logger        zerolog.Logger
	Members       persimmoncart.Members // nil if this instance is always a candidate for the lease
	Registerer    prometheus.Registerer // nil registers no metrics
	Self          persimmoncart.InstanceID
	Store         persimmoncart.Store
	Timer         persimmoncart.Timer

	fence      uint64    // fencing token of the lease in the last tick
	firstOrder time.Time // no order is sent before
	lease      *lease.Renewer
	mutex      sync.Mutex                             // guards nextCheck during a tick
	nextCheck  map[persimmoncart.EndpointID]time.Time // when to check the engine again
	orderCount *prometheus.CounterVec
	plans      map[persimmoncart.PoolName]PoolPlan
	readAt     time.Time
}

// Run calls Tick periodically until ctx is done.
func (r *Reconciler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.Tick(ctx); err != nil {
			r.Logger.Debug().Err(err).Msg("orders")
		}
		if r.Timer.Sleep(ctx, reconcilePeriod) != nil {
			break
		}
	}
	return ctx.Err()
}

// Tick renews the lease, checks the engines that are due and sends orders to
// those that differ from their desired state.
func (r *Reconciler) Tick(ctx context.Context) error {
	r.init()
	err := r.lease.Renew(ctx)
	if !r.lease.Held() {
		r.fence = 0 // after the next acquisition takeoverDelay applies again
		if err != nil {
			return errors.Wrap(err, "acquire orders lease")
		}
		return nil // the next attempt to acquire the lease is not due yet
	}
	if err != nil {
		r.Logger.Debug().Err(err).Msg("orders lease not renewed")
	}
	held, now := r.lease.Lease(), r.Timer.Now()
	if held.Fence != r.fence {
		r.fence, r.firstOrder, r.readAt = held.Fence, now.Add(takeoverDelay), time.Time{}
		clear(r.nextCheck)
	}
	if now.Before(r.firstOrder) {
		return nil
	}
	s := r.Configuration.Snapshot()
	if err := r.readPlans(ctx, s, now); err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, e := range r.due(s, now) {
		g.Go(func() error {
			r.reconcile(ctx, e, held)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return nil
}

// init creates the unexported state on the first call.
func (r *Reconciler) init() {
	if r.nextCheck != nil {
		return
	}
	r.lease = newRenewer(r.Leases, r.Members, r.Timer, "orders/"+string(r.DataCentre))
	r.nextCheck = map[persimmoncart.EndpointID]time.Time{}
	r.orderCount = prometheus.NewCounterVec(prometheus.CounterOpts{
		Help: "Orders to engines by kind and result.", Name: "persimmoncart_orders_total",
	}, []string{"kind", "result"})
	if r.Registerer != nil {
		r.Registerer.MustRegister(r.orderCount)
	}
}

// readPlans reads the plans of all engine pools from the store if the last read
// is older than planReadPeriod.
func (r *Reconciler) readPlans(ctx context.Context, s *persimmoncart.Snapshot, now time.Time) error {
	if !r.readAt.IsZero() && now.Sub(r.readAt) < planReadPeriod {
		return nil
	}
	plans := map[persimmoncart.PoolName]PoolPlan{}
	for name, pool := range s.Pools {
		if pool.Role == persimmoncart.RoleApplication {
			continue
		}
		plan, _, err := ReadPlan(ctx, r.Store, name)
		if err != nil {
			return err
		}
		plans[name] = plan
	}
	for pool, plan := range plans {
		for id, d := range plan.Desired {
			if old, found := r.plans[pool].Desired[id]; found && (old.Role != d.Role || !slices.Equal(old.Models, d.Models)) {
				delete(r.nextCheck, id) // check an engine with a new desired state at once
			}
		}
	}
	r.plans, r.readAt = plans, now
	return nil
}

// due returns the engines to check now, the longest overdue first.
func (r *Reconciler) due(s *persimmoncart.Snapshot, now time.Time) []*persimmoncart.Endpoint {
	var due []*persimmoncart.Endpoint
	for _, id := range slices.Sorted(maps.Keys(s.Endpoints)) {
		e := s.Endpoints[id]
		if e.DataCentre == r.DataCentre && e.Role != persimmoncart.RoleApplication && !r.nextCheck[id].After(now) {
			due = append(due, e)
		}
	}
	for id := range r.nextCheck {
		if s.Endpoints[id] == nil {
			delete(r.nextCheck, id)
		}
	}
	slices.SortStableFunc(due, func(a, b *persimmoncart.Endpoint) int { return r.nextCheck[a.ID].Compare(r.nextCheck[b.ID]) })
	return due[:min(maxEngines, len(due))]
}

// reconcile compares an engine with its desired state and sends the orders that
// lead to it.
func (r *Reconciler) reconcile(ctx context.Context, e *persimmoncart.Endpoint, lease persimmoncart.Lease) {
	engine := r.Engines.Engine(e.Addr)
	var report persimmoncart.LoadReport
	err := r.call(ctx, func(ctx context.Context) (err error) {
		report, err = engine.Load(ctx)
		return err
	})
	next := recheckPeriod
	desired, found := r.plans[e.Pool].Desired[e.ID]
	if err == nil && (!found || report.Leaving) {
		next = verifyPeriod
	} else if err == nil {
		orders := Difference(report, desired)
		if len(orders) == 0 {
			next = verifyPeriod
		}
		for _, order := range orders {
			order.Fence, order.Sender = lease.Fence, r.Self
			if !r.send(ctx, engine, order, lease) {
				break
			}
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.nextCheck[e.ID] = r.Timer.Now().Add(next)
}

// send sends one order, unless the lease may have expired. It reports whether the
// engine accepted the order.
func (r *Reconciler) send(ctx context.Context, engine persimmoncart.Engine, order persimmoncart.Order, lease persimmoncart.Lease) bool {
	if !r.Timer.Now().Before(lease.Expires) {
		r.orderCount.WithLabelValues(string(order.Kind), "lease_expired").Inc()
		return false
	}
	err := r.call(ctx, func(ctx context.Context) error { return engine.Order(ctx, order) })
	result := "sent"
	if refused := (&persimmoncart.EndpointRefusedError{}); errors.As(err, &refused) {
		result = "refused"
	} else if err != nil {
		result = "failed"
	}
	r.orderCount.WithLabelValues(string(order.Kind), result).Inc()
	r.Logger.Info().Str("kind", string(order.Kind)).Str("model", string(order.Model)).Str("result", result).Stringer("role", order.Role).Msg("order")
	return err == nil
}

// call runs f with callTimeout.
func (r *Reconciler) call(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, callTimeout, nil)
	defer stop()
	return f(ctx)
}

// Difference returns the orders that lead from the reported to the desired
// state. A model is unloaded only when all desired ones are loaded, so that an
// engine is never without a model.
func Difference(report persimmoncart.LoadReport, desired EngineState) []persimmoncart.Order {
	var orders []persimmoncart.Order
	for _, m := range desired.Models {
		if !slices.Contains(report.Models, m) {
			orders = append(orders, persimmoncart.Order{Kind: persimmoncart.OrderLoad, Model: m})
		}
	}
	if report.Role != desired.Role {
		orders = append(orders, persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: desired.Role})
	}
	if len(orders) > 0 || len(desired.Models) == 0 {
		return orders
	}
	for _, m := range report.Models {
		if !slices.Contains(desired.Models, m) {
			orders = append(orders, persimmoncart.Order{Kind: persimmoncart.OrderUnload, Model: m})
		}
	}
	return orders
}
