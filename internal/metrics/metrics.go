// Package metrics provides the traffic metrics of one instance.
//
// All label values come from closed sets or from the configuration. The number of
// values from the configuration is limited here.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/persimmoncart/persimmoncart"
)

const (
	namespace = "persimmoncart"
	// maxNames limits the distinct label values from the configuration, so that a
	// large configuration cannot exhaust memory.
	maxNames = 64
	// otherName is the label value of all names beyond maxNames.
	otherName = "other"
)

// Upper bounds of histogram buckets in seconds.
var (
	latencyBuckets  = []float64{.01, .025, .05, .1, .2, .4, .8, 1.2, 1.6, 2.4, 4.8, 10, 30, 60}
	tokenGapBuckets = []float64{.001, .0025, .005, .01, .02, .03, .045, .06, .09, .15, .3, 1, 5}
)

// Metrics counts and measures the traffic of one instance. On a nil *Metrics, its
// methods other than Handler do nothing.
type Metrics struct {
	Registry *prometheus.Registry

	brokenByCrash prometheus.Counter
	calls         *prometheus.HistogramVec
	cuts          *prometheus.CounterVec
	discarded     prometheus.Counter
	firstToken    *prometheus.HistogramVec
	labelValues   map[string]bool
	mutex         sync.Mutex
	quota         quotaMetrics
	refusals      map[persimmoncart.RefusalCode]prometheus.Counter
	requests      *prometheus.CounterVec
	retries       map[persimmoncart.RetryReason]prometheus.Counter
	running       prometheus.Gauge
	streams       prometheus.Gauge
	tokenGap      prometheus.Histogram
	tokens        prometheus.Counter
	version       prometheus.Gauge
	wasted        prometheus.Counter
}

// New returns Metrics with a new registry.
func New() *Metrics {
	r := prometheus.NewRegistry()
	m := &Metrics{
		Registry:      r,
		calls:         histogram(r, "call_seconds", "Latency of answered plain calls.", latencyBuckets, "route"),
		brokenByCrash: counter(r, "requests_broken_by_crash_total", "Requests whose endpoint crashed when it began to respond."),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_cut_total", Help: "Connections of clients that were cut, by reason and phase.",
		}, []string{"reason", "phase"}),
		discarded:   counter(r, "discarded_answers_total", "Answers and tokens that belonged to another attempt or were repeated."),
		firstToken:  histogram(r, "first_token_seconds", "Time from the request to its first token.", latencyBuckets, "route"),
		labelValues: make(map[string]bool),
		quota:       newQuotaMetrics(r),
		tokenGap:    prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "token_gap_seconds", Help: "Mean time between tokens of one stream.", Buckets: tokenGapBuckets}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		running: gauge(r, "requests_running", "Requests in flight."),
		streams: gauge(r, "streams_running", "Completions whose tokens are being streamed."),
		tokens:  counter(r, "tokens_total", "Tokens sent to callers."),
		version: gauge(r, "configuration_version", "Version of the configuration in force."),
		wasted:  counter(r, "wasted_prefill_tokens_total", "Prompt tokens whose prefill was not followed by a first token."),
	}
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), m.cuts, m.tokenGap, m.requests)
	m.refusals = labelledCounters(r, "refusals_total", "Refusals by code.", "code", persimmoncart.RefusalCodes)
	m.retries = labelledCounters(r, "retries_total", "Repeated attempts by reason.", "reason", persimmoncart.RetryReasons)
	return m
}

// CountDiscarded counts a discarded answer or token, one that belongs to another
// attempt or repeats an earlier one.
func (m *Metrics) CountDiscarded() {
	if m != nil {
		m.discarded.Inc()
	}
}

// CountBrokenByCrash counts a request whose endpoint crashed when it began to respond.
func (m *Metrics) CountBrokenByCrash() {
	if m != nil {
		m.brokenByCrash.Inc()
	}
}

// CountRefusal counts a refusal. An unknown code counts as RefusalInternal.
func (m *Metrics) CountRefusal(code persimmoncart.RefusalCode) {
	if m == nil {
		return
	}
	c, ok := m.refusals[code]
	if !ok {
		c = m.refusals[persimmoncart.RefusalInternal]
	}
	c.Inc()
}

// CountRetry counts a repeated attempt. An unknown reason is not counted.
func (m *Metrics) CountRetry(reason persimmoncart.RetryReason) {
	if m == nil {
		return
	}
	if c, ok := m.retries[reason]; ok {
		c.Inc()
	}
}

// CountWastedPrefill counts the prompt tokens of a prefill that was not followed by
// a first token.
func (m *Metrics) CountWastedPrefill(tokens int) {
	if m != nil {
		m.wasted.Add(float64(tokens))
	}
}

// EndStream counts the end of a stream for which ObserveFirstToken was called. Gap
// is the mean time between its tokens.
func (m *Metrics) EndStream(tokens int, gap time.Duration) {
	if m == nil {
		return
	}
	m.streams.Dec()
	m.tokens.Add(float64(tokens))
	if tokens > 1 {
		m.tokenGap.Observe(gap.Seconds())
	}
}

// Handler returns the HTTP handler of /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// ObserveCall records the latency of an answered plain call.
func (m *Metrics) ObserveCall(route persimmoncart.RouteName, d time.Duration) {
	if m != nil {
		m.calls.WithLabelValues(m.labelValue(string(route))).Observe(d.Seconds())
	}
}

// ObserveFirstToken records the time to the first token of a completion and counts
// the start of its stream.
func (m *Metrics) ObserveFirstToken(route persimmoncart.RouteName, d time.Duration) {
	if m != nil {
		m.firstToken.WithLabelValues(m.labelValue(string(route))).Observe(d.Seconds())
		m.streams.Inc()
	}
}

// SetConfigurationVersion sets the version of the configuration in force.
func (m *Metrics) SetConfigurationVersion(version uint64) {
	if m != nil {
		m.version.Set(float64(version))
	}
}

// StartRequest counts the start of a request; the returned function counts its end.
func (m *Metrics) StartRequest() (end func(route persimmoncart.RouteName, outcome persimmoncart.Outcome)) {
	if m == nil {
		return func(persimmoncart.RouteName, persimmoncart.Outcome) {}
	}
	m.running.Inc()
	return func(route persimmoncart.RouteName, outcome persimmoncart.Outcome) {
		m.running.Dec()
		m.requests.WithLabelValues(m.labelValue(string(route)), outcome.String()).Inc()
	}
}

// labelValue returns the label value for a name from the configuration: the name
// itself, or otherName if there are maxNames other names.
func (m *Metrics) labelValue(s string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.labelValues[s] {
		return s
	}
	if len(m.labelValues) >= maxNames {
		return otherName
	}
	m.labelValues[s] = true
	return s
}

// labelledCounters registers a counter with one label and returns a counter for
// each value of the label, so that each is exported from the start.
func labelledCounters[T ~string](r prometheus.Registerer, name, help, label string, values []T) map[T]prometheus.Counter {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
	r.MustRegister(vec)
	counters := make(map[T]prometheus.Counter, len(values))
	for _, v := range values {
		counters[v] = vec.WithLabelValues(string(v))
	}
	return counters
}

// counter registers and returns a counter without labels.
func counter(r prometheus.Registerer, name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	r.MustRegister(c)
	return c
}

// gauge registers and returns a gauge without labels.
func gauge(r prometheus.Registerer, name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	r.MustRegister(g)
	return g
}

// histogram registers and returns a histogram with one label.
func histogram(r prometheus.Registerer, name, help string, buckets []float64, label string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{label})
	r.MustRegister(h)
	return h
}
