package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmoncart/persimmoncart"
)

// A GroupConcurrency is what is estimated of the endpoints that serve one role of a pool.
type GroupConcurrency struct {
	Limit  float64 // mean concurrency up to which latency holds
	Pool   persimmoncart.PoolName
	Role   persimmoncart.Role
	Spread float64 // mean deviation of the speeds from their mean, as a share of it
}

// ExportConcurrency exports the estimates that read returns, which is called for each
// scrape.
func (m *Metrics) ExportConcurrency(read func() []GroupConcurrency) {
	if m == nil {
		return
	}
	labels := []string{"pool", "role"}
	m.Registry.MustRegister(&concurrencyCollector{
		limit:  prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "endpoint_concurrency_limit"), "Mean estimated concurrency up to which the latency of an endpoint holds.", labels, nil),
		name:   m.labelValue,
		read:   read,
		spread: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "endpoint_speed_spread"), "Mean deviation of the estimated speeds of endpoints from their mean, as a share of it.", labels, nil),
	})
}

// A concurrencyCollector implements prometheus.Collector.
type concurrencyCollector struct {
	limit, spread *prometheus.Desc
	name          func(string) string // returns the label value of a name
	read          func() []GroupConcurrency
}

// Collect implements prometheus.Collector. Pools beyond the number of label values are
// left out: they have the same label.
func (c *concurrencyCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, g := range c.read() {
		pool := c.name(string(g.Pool))
		if pool == otherName {
			continue
		}
		metrics <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, g.Limit, pool, g.Role.String())
		metrics <- prometheus.MustNewConstMetric(c.spread, prometheus.GaugeValue, g.Spread, pool, g.Role.String())
	}
}

// Describe implements prometheus.Collector.
func (c *concurrencyCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.limit
	descriptions <- c.spread
}
