package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	callTimeout = 2 * time.Second
	// maxEngines bounds the engines looked at in one tick, parallel the calls
	// that are open at the same time.
	maxEngines       = 16
	reconcilePeriod  = 2 * time.Second
	maxParallelCalls = 8
	planReadPeriod   = 10 * time.Second
	// recheckPeriod is the time after an order before the engine is looked at
	// again; load reports lag by some seconds.
	recheckPeriod = 10 * time.Second
	// takeoverDelay is the wait of a new holder before its first order. Acquire
	// returns only after the old lease has expired; an order that the old holder
	// sent just before arrives within the timeout of its call.
	takeoverDelay = 5 * time.Second
	// verifyPeriod is the time between two looks at an engine in its desired
	// state. With 314 engines in a data centre it costs 5 reports a second.
	verifyPeriod = time.Minute
)

// A Reconciler orders the engines of one data centre towards the recorded desired
// state while it holds the data centre's lease.
type Reconciler struct {
	Configuration persimmoncart.Configuration
	DataCentre    persimmoncart.DataCentre
	Engines       persimmoncart.Engines
	Leases        persimmoncart.Leases
	Log           zerolog.Logger
	Members       persimmoncart.Members // nil if this instance always tries for the lease
	Registerer    prometheus.Registerer // nil registers no metrics
	Self          persimmoncart.InstanceID
	Store         persimmoncart.Store
	Timer         persimmoncart.Timer

	fence      uint64    // of the lease in the last tick
	firstOrder time.Time // no order before
	lease      leaseHolder
	mutex      sync.Mutex                             // guards checks during a tick
	nextCheck  map[persimmoncart.EndpointID]time.Time // when to look next
	orderCount *prometheus.CounterVec
	readAt     time.Time
	records    map[persimmoncart.PoolName]PoolPlan
}

// Run orders until ctx is done.
func (o *Reconciler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := o.Tick(ctx); err != nil {
			o.Log.Debug().Err(err).Msg("orders")
		}
		if o.Timer.Sleep(ctx, reconcilePeriod) != nil {
			break
		}
	}
	return ctx.Err()
}

// Tick renews the lease, looks at the engines that are due and orders those
// that differ from their desired state.
func (o *Reconciler) Tick(ctx context.Context) error {
	o.init()
	lease, err := o.lease.acquire(ctx, o.Leases, o.Members, o.Timer, "orders/"+string(o.DataCentre))
	if err != nil {
		o.fence = 0 // the wait starts anew with the next holding
		return errors.Wrap(err, "orders")
	}
	now := o.Timer.Now()
	if lease.Fence != o.fence {
		o.fence, o.firstOrder, o.readAt = lease.Fence, now.Add(takeoverDelay), time.Time{}
		clear(o.nextCheck)
	}
	if now.Before(o.firstOrder) {
		return nil
	}
	s := o.Configuration.Snapshot()
	if err := o.readPlans(ctx, s, now); err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, e := range o.due(s, now) {
		g.Go(func() error {
			o.reconcile(ctx, e, lease)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return nil
}

// init prepares what the exported fields leave out.
func (o *Reconciler) init() {
	if o.nextCheck != nil {
		return
	}
	o.nextCheck = map[persimmoncart.EndpointID]time.Time{}
	o.orderCount = prometheus.NewCounterVec(prometheus.CounterOpts{
		Help: "Orders to engines by kind and result.", Name: "persimmoncart_orders_total",
	}, []string{"kind", "result"})
	if o.Registerer != nil {
		o.Registerer.MustRegister(o.orderCount)
	}
}

// readPlans reads the recorded desired states when they are due.
func (o *Reconciler) readPlans(ctx context.Context, s *persimmoncart.Snapshot, now time.Time) error {
	if !o.readAt.IsZero() && now.Sub(o.readAt) < planReadPeriod {
		return nil
	}
	records := map[persimmoncart.PoolName]PoolPlan{}
	for name, pool := range s.Pools {
		if pool.Role == persimmoncart.RoleApplication {
			continue
		}
		r, _, err := ReadPlan(ctx, o.Store, name)
		if err != nil {
			return err
		}
		records[name] = r
	}
	for pool, r := range records {
		for id, d := range r.Desired {
			if old, found := o.records[pool].Desired[id]; found && (old.Role != d.Role || !slices.Equal(old.Models, d.Models)) {
				delete(o.nextCheck, id) // a new desired state is due at once
			}
		}
	}
	o.records, o.readAt = records, now
	return nil
}

// due returns the engines to look at, those that wait longest first.
func (o *Reconciler) due(s *persimmoncart.Snapshot, now time.Time) []*persimmoncart.Endpoint {
	var out []*persimmoncart.Endpoint
	for _, id := range sortedKeys(s.Endpoints) {
		e := s.Endpoints[id]
		if e.DataCentre == o.DataCentre && e.Role != persimmoncart.RoleApplication && !o.nextCheck[id].After(now) {
			out = append(out, e)
		}
	}
	for id := range o.nextCheck {
		if s.Endpoints[id] == nil {
			delete(o.nextCheck, id)
		}
	}
	slices.SortStableFunc(out, func(a, b *persimmoncart.Endpoint) int { return o.nextCheck[a.ID].Compare(o.nextCheck[b.ID]) })
	return out[:min(maxEngines, len(out))]
}

// reconcile compares an engine with its desired state and orders the difference.
func (o *Reconciler) reconcile(ctx context.Context, e *persimmoncart.Endpoint, lease persimmoncart.Lease) {
	engine := o.Engines.Engine(e.Addr)
	var report persimmoncart.LoadReport
	err := o.call(ctx, func(ctx context.Context) (err error) {
		report, err = engine.Load(ctx)
		return err
	})
	next := recheckPeriod
	desired, found := o.records[e.Pool].Desired[e.ID]
	if err == nil && (!found || report.Leaving) {
		next = verifyPeriod
	} else if err == nil {
		orders := Difference(report, desired)
		if len(orders) == 0 {
			next = verifyPeriod
		}
		for _, x := range orders {
			x.Fence, x.Sender = lease.Fence, o.Self
			if !o.send(ctx, engine, x, lease) {
				break
			}
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.nextCheck[e.ID] = o.Timer.Now().Add(next)
}

// send sends one order, unless the lease may have expired.
func (o *Reconciler) send(ctx context.Context, engine persimmoncart.Engine, x persimmoncart.Order, lease persimmoncart.Lease) bool {
	if !o.Timer.Now().Before(lease.Expires) {
		o.orderCount.WithLabelValues(string(x.Kind), "lease_expired").Inc()
		return false
	}
	err := o.call(ctx, func(ctx context.Context) error { return engine.Order(ctx, x) })
	result := "sent"
	if refused := (&persimmoncart.EndpointRefusedError{}); errors.As(err, &refused) {
		result = "refused"
	} else if err != nil {
		result = "failed"
	}
	o.orderCount.WithLabelValues(string(x.Kind), result).Inc()
	o.Log.Info().Str("kind", string(x.Kind)).Str("model", string(x.Model)).Str("result", result).Stringer("role", x.Role).Msg("order")
	return err == nil
}

// call runs f with a timeout of the timer service.
func (o *Reconciler) call(ctx context.Context, f func(context.Context) error) error {
	ctx, stop := timer.WithTimeout(ctx, o.Timer, callTimeout, nil)
	defer stop()
	return f(ctx)
}

// Difference returns the orders that lead from the observed to the desired
// state. A model is unloaded only when all desired ones are loaded, so that an
// engine is never without a model in between.
func Difference(report persimmoncart.LoadReport, desired EngineState) []persimmoncart.Order {
	var out []persimmoncart.Order
	for _, m := range desired.Models {
		if !slices.Contains(report.Models, m) {
			out = append(out, persimmoncart.Order{Kind: persimmoncart.OrderLoad, Model: m})
		}
	}
	if report.Role != desired.Role {
		out = append(out, persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: desired.Role})
	}
	if len(out) > 0 || len(desired.Models) == 0 {
		return out
	}
	for _, m := range report.Models {
		if !slices.Contains(desired.Models, m) {
			out = append(out, persimmoncart.Order{Kind: persimmoncart.OrderUnload, Model: m})
		}
	}
	return out
}
