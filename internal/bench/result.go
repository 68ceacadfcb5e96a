package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmoncart/persimmoncart"
)

// A result is what one router did with one load.
type result struct {
	borrowItems     int
	borrows         int
	bytes           int // control traffic of all instances
	requests        []*request
	messages        int
	nodes           int
	usedSlots       float64 // decode slots in use, summed over samples
	generatingSlots float64 // decode slots that generate, summed over samples
	seconds         float64 // with arrivals
	totalSlots      float64 // decode slots, summed over samples
	computedTokens  float64 // tokens computed
	values          map[string]float64
	wastedTokens    float64 // tokens computed in vain
}

// Measures are the names of the measures, sorted, with their units.
var Measures = []struct{ Name, Unit string }{
	{"draft_late", "ratio"},
	{"fairness", "ratio"},
	{"goodput", "ratio"},
	{"lookup_p99_ms", "ms"},
	{"refused", "ratio"},
	{"wasted_prefill", "ratio"},
}

// countMessage counts one control countMessage.
func (r *result) countMessage(size, nodes int) {
	r.bytes += size
	r.messages++
	r.nodes = nodes
}

// finish computes the measures over the requests after the warm-up.
func (r *result) finish(sim *simulation) {
	r.requests = sim.requests
	r.seconds = (sim.scenario.length + sim.scenario.tail()).Seconds()
	var completions, good, drafts, late, claimed, refused float64
	lookups := hdrhistogram.New(1, int64(2*callDeadline/time.Microsecond), 3)
	for _, q := range sim.requests {
		if !q.measured {
			continue
		}
		switch q.kind {
		case kindLookup:
			took := callDeadline
			if !q.answered.IsZero() {
				took = min(q.answered.Sub(q.arrival), callDeadline)
			}
			if err := lookups.RecordValue(int64(took / time.Microsecond)); err != nil {
				panic(err) // the range covers the deadline
			}
		case kindBooking:
			claimed++
			refused += indicator(q.refused)
		case kindCompletion:
			completions++
			claimed++
			good += indicator(q.metTargets())
			refused += indicator(q.refused)
			if q.class == persimmoncart.ClassBatch {
				drafts++
				late += indicator(!q.refused && (q.answered.IsZero() || q.answered.After(q.deadline)))
			}
		}
	}
	r.values = map[string]float64{
		"draft_late":     late / max(drafts, 1),
		"fairness":       fairness(sim.requests),
		"goodput":        good / max(completions, 1),
		"lookup_p99_ms":  float64(lookups.ValueAtQuantile(99)) / 1000,
		"refused":        refused / max(claimed, 1),
		"wasted_prefill": r.wastedTokens / max(r.computedTokens, 1),
	}
}

// indicator returns 1 for true.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// fairness returns Jain's index over accounts of what each got in time relative
// to its max-min fair share of all that was served in time.
func fairness(jobs []*request) float64 {
	demand, got := make(map[int]float64), make(map[int]float64)
	total := 0.0
	for _, q := range jobs {
		if !q.measured || q.kind != kindCompletion {
			continue
		}
		demand[q.account] += float64(q.outputTokens)
		if q.metTargets() {
			got[q.account] += float64(q.outputTokens)
			total += float64(q.outputTokens)
		}
	}
	level := maxMinShare(demand, total)
	var n, sum, squares float64
	for _, account := range sorted(demand) {
		if demand[account] <= 0 {
			continue
		}
		x := got[account] / min(demand[account], level)
		n++
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMinShare returns the level up to which all demands are met from total.
func maxMinShare(demand map[int]float64, total float64) float64 {
	left, rest := total, len(demand)
	values := make([]float64, 0, len(demand))
	for _, account := range sorted(demand) {
		values = append(values, demand[account])
	}
	slices.Sort(values)
	for _, v := range values {
		level := left / float64(rest)
		if v >= level {
			return max(level, 1e-9)
		}
		left -= v
		rest--
	}
	return values[len(values)-1]
}
