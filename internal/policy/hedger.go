package policy

import (
	"slices"
	"time"
)

const (
	// hedgeBurst is the maximum number of hedges saved up, so that a pool that
	// slows down as a whole is not hit by a burst of second calls.
	hedgeBurst = 5.0
	// hedgeQuantile is the quantile of latencies after which a call is hedged.
	hedgeQuantile = 0.95
	// hedgeSamples is the number of new samples after which the quantile is
	// computed. There is no hedge before the first time.
	hedgeSamples = 20
	// hedgeWindow is the number of latest samples that the quantile covers.
	hedgeWindow = 256
	// hedgeShare is the share of calls that may be hedged.
	hedgeShare = 0.05
)

// A Hedger decides when an idempotent call of one pool is sent a second time.
type Hedger struct {
	budget     float64 // hedges that may be sent now
	newSamples int     // samples since the quantile was computed
	next       int     // index of the oldest latency in recent
	p95        time.Duration
	recent     []time.Duration // ring buffer of latencies
	sorted     []time.Duration // scratch
}

// NewHedger returns a Hedger without samples, which allows no hedges yet.
func NewHedger() *Hedger {
	return &Hedger{
		recent: make([]time.Duration, 0, hedgeWindow),
		sorted: make([]time.Duration, 0, hedgeWindow),
	}
}

// AddLatency records the latency of a call.
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

// Delay counts a call, which adds to the budget, and returns the time after
// which the call may be hedged. It reports false until there are enough
// samples.
func (h *Hedger) Delay() (time.Duration, bool) {
	h.budget = min(h.budget+hedgeShare, hedgeBurst)
	return h.p95, h.p95 > 0
}

// Take takes one hedge from the budget and reports whether the budget allows
// it.
func (h *Hedger) Take() bool {
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}
