package config

import "github.com/prometheus/client_golang/prometheus"

// Sources of new versions, as labels of a counter.
const (
	sourceCopy  = "peer_copy"
	sourcePull  = "peer_pull"
	sourcePush  = "peer_push"
	sourceStore = "store"
)

// A metrics holds the metrics of a Distributor.
type metrics struct {
	forks   prometheus.Counter
	gauges  []prometheus.Collector
	pushes  prometheus.Counter
	sources *prometheus.CounterVec
	watches prometheus.Gauge
}

// newMetrics returns the metrics of d.
func newMetrics(d *Distributor) *metrics {
	return &metrics{
		forks: prometheus.NewCounter(prometheus.CounterOpts{
			Help: "Digests of peers that held another content of the same version.", Name: "persimmoncart_config_forks_total",
		}),
		gauges: []prometheus.Collector{
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Help: "Configuration version in force.", Name: "persimmoncart_config_version",
			}, func() float64 { return float64(d.held().copied.Version) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Help: "Highest configuration version seen.", Name: "persimmoncart_config_version_highest",
			}, func() float64 { return float64(d.Highest()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Help: "Change sets kept for peers that lag.", Name: "persimmoncart_config_log_sets",
			}, func() float64 {
				d.mutex.Lock()
				defer d.mutex.Unlock()
				return float64(len(d.log))
			}),
		},
		pushes: prometheus.NewCounter(prometheus.CounterOpts{
			Help: "Pushes of change sets to peers.", Name: "persimmoncart_config_pushes_total",
		}),
		sources: prometheus.NewCounterVec(prometheus.CounterOpts{
			Help: "Takeovers of newer versions by source.", Name: "persimmoncart_config_updates_total",
		}, []string{"source"}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Help: "Open watches of the store's head.", Name: "persimmoncart_config_watches",
		}),
	}
}

// collectors returns all metrics.
func (m *metrics) collectors() []prometheus.Collector {
	return append(m.gauges, m.forks, m.pushes, m.sources, m.watches)
}
