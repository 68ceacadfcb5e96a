package metrics

import "github.com/prometheus/client_golang/prometheus"

// A quotaMetrics measures the quotas of accounts over all instances.
type quotaMetrics struct {
	datagrams prometheus.Counter
	granted   prometheus.Counter
	held      prometheus.Gauge
	returned  prometheus.Counter
	timeouts  prometheus.Counter
}

// newQuotaMetrics registers and returns the metrics.
func newQuotaMetrics(r prometheus.Registerer) quotaMetrics {
	return quotaMetrics{
		datagrams: counter(r, "quota_datagrams_sent_total", "Datagrams of the quota protocol sent to other instances."),
		granted:   counter(r, "quota_units_granted_total", "Tokens and requests of accounts' limits that this instance granted to others."),
		held:      gauge(r, "quota_accounts_held", "Accounts whose limit this instance holds a share of, and that were used."),
		returned:  counter(r, "quota_units_returned_total", "Tokens and requests of accounts' limits given back by requests that did not run."),
		timeouts:  counter(r, "quota_timeouts_total", "Questions to other instances about quotas without a timely answer."),
	}
}

// CountQuotaDatagram counts a datagram of the quota protocol that was sent.
func (m *Metrics) CountQuotaDatagram() {
	if m != nil {
		m.quota.datagrams.Inc()
	}
}

// CountQuotaGranted counts units that were granted to another instance.
func (m *Metrics) CountQuotaGranted(units int) {
	if m != nil {
		m.quota.granted.Add(float64(units))
	}
}

// CountQuotaReturned counts units of a request that did not run.
func (m *Metrics) CountQuotaReturned(units int) {
	if m != nil {
		m.quota.returned.Add(float64(units))
	}
}

// CountQuotaTimeout counts a question without a timely answer.
func (m *Metrics) CountQuotaTimeout() {
	if m != nil {
		m.quota.timeouts.Inc()
	}
}

// SetQuotaAccountsHeld sets the number of accounts whose limit this instance holds a share
// of.
func (m *Metrics) SetQuotaAccountsHeld(count int) {
	if m != nil {
		m.quota.held.Set(float64(count))
	}
}
