package metrics

import "github.com/prometheus/client_golang/prometheus"

// CountCut counts a connection that is cut for a reason, in the given phase. Both are from
// closed sets.
func (m *Metrics) CountCut(reason, phase string) {
	if m != nil {
		m.cuts.WithLabelValues(reason, phase).Inc()
	}
}

// RegisterConnections exports the number of open connections of a listener.
func (m *Metrics) RegisterConnections(listener string, open func() float64) {
	if m != nil {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "connections_open", Help: "Open connections of clients by listener.", ConstLabels: prometheus.Labels{"listener": listener},
		}, open))
	}
}

// RegisterHeldBytes exports the number of bytes of a kind that are held for clients.
func (m *Metrics) RegisterHeldBytes(kind string, held func() float64) {
	if m != nil {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_bytes", Help: "Bytes held for clients by kind.", ConstLabels: prometheus.Labels{"kind": kind},
		}, held))
	}
}
