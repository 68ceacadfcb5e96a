package policy

import (
	"slices"
	"time"
)

// Constants of hedges.
const (
	// hedgeBurst bounds the saved-up budget, so that a pool that turns slow as
	// a whole is not hit by a burst of second calls.
	hedgeBurst = 5.0
	// hedgeQuantile is the latency after which a call is hedged.
	hedgeQuantile = 0.95
	// hedgeSamples is how many samples the quantile needs; hedgeWindow how many
	// it covers.
	hedgeSamples = 20
	hedgeWindow  = 256
	// hedgeShare is the share of calls that may be hedged.
	hedgeShare = 0.05
)

// A Hedger decides when an idempotent call of one pool is sent a second time.
type Hedger struct {
	budget     float64
	newSamples int // samples since the quantile was computed
	next       int
	p95        time.Duration
	recent     []time.Duration // ring
	sorted     []time.Duration // scratch
}

// NewHedger returns a Hedge without samples, which hedges nothing yet.
func NewHedger() *Hedger {
	return &Hedger{
		recent: make([]time.Duration, 0, hedgeWindow),
		sorted: make([]time.Duration, 0, hedgeWindow),
	}
}

// AddLatency takes the latency of a call.
func (h *Hedger) AddLatency(latency time.Duration) {
	if len(h.recent) < hedgeWindow {
		h.recent = append(h.recent, latency)
	} else {
		h.recent[h.next] = latency
		h.next = (h.next + 1) % hedgeWindow
	}
	if h.newSamples++; h.newSamples >= hedgeSamples {
		h.newSamples = 0
		h.sorted = append(h.sorted[:0], h.recent...)
		slices.Sort(h.sorted)
		h.p95 = h.sorted[int(float64(len(h.sorted)-1)*hedgeQuantile)]
	}
}

// Delay counts a call and returns after which time it may be hedged. It reports
// false while too little is known.
func (h *Hedger) Delay() (time.Duration, bool) {
	h.budget = min(h.budget+hedgeShare, hedgeBurst)
	return h.p95, h.p95 > 0
}

// Take takes one hedge from the budget.
func (h *Hedger) Take() bool {
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}
