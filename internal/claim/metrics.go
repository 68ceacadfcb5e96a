package claim

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// A metrics holds the Prometheus metrics of Claims.
type metrics struct {
	batchSize          prometheus.Histogram
	claims             *prometheus.CounterVec
	commits            prometheus.Counter
	directWrites       prometheus.Counter
	droppedSettlements prometheus.Counter
	settlements        *prometheus.CounterVec
}

// newMetrics returns the metrics. It registers them with r unless r is nil.
func newMetrics(r prometheus.Registerer, cache *recordCache, unsettled *settlementQueue) *metrics {
	factory := promauto.With(r)
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmoncart_claim_unsettled",
		Help: "Settlements that wait for the store.",
	}, func() float64 { return float64(unsettled.len()) })
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmoncart_claim_seen",
		Help: "Records remembered for outages of the store.",
	}, func() float64 { return float64(cache.len()) })
	return &metrics{
		batchSize: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "persimmoncart_claim_batch_operations",
			Help:    "Operations in one commit to the store.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}),
		claims: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmoncart_claims_total",
			Help: "Claims of calls that may not be repeated, by result: granted, refused or unavailable.",
		}, []string{"result"}),
		commits: factory.NewCounter(prometheus.CounterOpts{
			Name: "persimmoncart_claim_commits_total",
			Help: "Commits of claims and settlements to the store.",
		}),
		directWrites: factory.NewCounter(prometheus.CounterOpts{
			Name: "persimmoncart_claim_direct_total",
			Help: "Claims and settlements written directly because the writer of the bucket did not answer.",
		}),
		droppedSettlements: factory.NewCounter(prometheus.CounterOpts{
			Name: "persimmoncart_claim_dropped_total",
			Help: "Settlements dropped because too many waited for the store.",
		}),
		settlements: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmoncart_claim_settlements_total",
			Help: "Ends of claimed calls, by state.",
		}, []string{"state"}),
	}
}
