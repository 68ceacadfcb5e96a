package config

import "github.com/prometheus/client_golang/prometheus"

// Values of the label "kind" of persimmoncart_config_updates_total.
const (
	updateCopy = "copy"
	updateSet  = "set"
)

// metrics holds the Prometheus metrics of a Follower.
type metrics struct {
	gauges  []prometheus.Collector
	updates *prometheus.CounterVec
	watches prometheus.Gauge
}

// newMetrics creates the metrics of f without registering them.
func newMetrics(f *Follower) *metrics {
	return &metrics{
		gauges: []prometheus.Collector{
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Help: "Configuration version in force.", Name: "persimmoncart_config_version",
			}, func() float64 { return float64(f.Version()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Help: "Highest configuration version seen.", Name: "persimmoncart_config_version_highest",
			}, func() float64 { return float64(f.HighestVersion()) }),
		},
		updates: prometheus.NewCounterVec(prometheus.CounterOpts{
			Help: "Versions taken from the store as change sets or full copies.", Name: "persimmoncart_config_updates_total",
		}, []string{"kind"}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Help: "Open watches of the store's head.", Name: "persimmoncart_config_watches",
		}),
	}
}

// collectors returns all metrics for registration.
func (m *metrics) collectors() []prometheus.Collector {
	return append(m.gauges, m.updates, m.watches)
}
