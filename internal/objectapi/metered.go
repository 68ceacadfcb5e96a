package objectapi

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Store = (*Metered)(nil)

// Metrics are the metrics of calls to a store.
type Metrics struct {
	Calls    *prometheus.CounterVec   // labels op and result
	Duration *prometheus.HistogramVec // seconds, label op
}

// NewMetrics returns Metrics that are registered with r. It returns an error if
// they are registered already.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		Calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Help: "Calls to the store by operation and result.",
			Name: "persimmoncart_store_calls_total",
		}, []string{"op", "result"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
			Help:    "Time of calls to the store by operation.",
			Name:    "persimmoncart_store_call_seconds",
		}, []string{"op"}),
	}
	for _, c := range []prometheus.Collector{m.Calls, m.Duration} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "register store metrics")
		}
	}
	return m, nil
}

// A Metered is a Store that records metrics of its calls.
type Metered struct {
	Metrics *Metrics
	Store   persimmoncart.Store
	Timer   persimmoncart.Timer
}

// Create implements persimmoncart.Store.
func (m *Metered) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	done := m.begin("create")
	v, err := m.Store.Create(ctx, key, value)
	done(err)
	return v, err
}

// Delete implements persimmoncart.Store.
func (m *Metered) Delete(ctx context.Context, key string, version persimmoncart.Version) error {
	done := m.begin("delete")
	err := m.Store.Delete(ctx, key, version)
	done(err)
	return err
}

// Get implements persimmoncart.Store.
func (m *Metered) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	done := m.begin("get")
	o, err := m.Store.Get(ctx, key)
	done(err)
	return o, err
}

// List implements persimmoncart.Store.
func (m *Metered) List(ctx context.Context, prefix string) ([]persimmoncart.Object, error) {
	done := m.begin("list")
	list, err := m.Store.List(ctx, prefix)
	done(err)
	return list, err
}

// Update implements persimmoncart.Store.
func (m *Metered) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	done := m.begin("update")
	v, err := m.Store.Update(ctx, key, value, version)
	done(err)
	return v, err
}

// Watch implements persimmoncart.Store.
func (m *Metered) Watch(ctx context.Context, prefix string, from persimmoncart.Version) (persimmoncart.Watch, error) {
	done := m.begin(watchOperation)
	w, err := m.Store.Watch(ctx, prefix, from)
	done(err)
	return w, err
}

// begin returns a function that records the result and the time of a call that
// starts now.
func (m *Metered) begin(operation string) func(error) {
	start := m.Timer.Now()
	return func(err error) {
		m.Metrics.Calls.WithLabelValues(operation, resultLabel(err)).Inc()
		m.Metrics.Duration.WithLabelValues(operation).Observe(m.Timer.Now().Sub(start).Seconds())
	}
}

// Values of the label result.
const (
	resultAmbiguous   = "ambiguous"
	resultConflict    = "conflict"
	resultNotFound    = "not_found"
	resultOK          = "ok"
	resultOther       = "other"
	resultUnavailable = "unavailable"
)

// resultLabel returns the value of the label result for the error of a call.
func resultLabel(err error) string {
	var (
		ambiguous   *persimmoncart.AmbiguousError
		conflict    *persimmoncart.ConflictError
		missing     *persimmoncart.NotFoundError
		unavailable *persimmoncart.UnavailableError
	)
	switch {
	case err == nil:
		return resultOK
	case errors.As(err, &ambiguous):
		return resultAmbiguous
	case errors.As(err, &conflict):
		return resultConflict
	case errors.As(err, &missing):
		return resultNotFound
	case errors.As(err, &unavailable):
		return resultUnavailable
	default:
		return resultOther
	}
}
