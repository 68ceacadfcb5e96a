package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmoncart/persimmoncart"
)

// A result holds the counters and measures of one router in one run.
type result struct {
	borrowItems     int
	borrows         int
	bytes           int // of control messages of all instances
	requests        []*request
	messages        int
	nodes           int
	usedSlots       float64 // summed over samples, transfers included
	generatingSlots float64 // summed over samples
	seconds         float64 // during which requests arrive
	totalSlots      float64 // decode slots, summed over samples
	computedTokens  float64 // prompt tokens
	values          map[string]float64
	wastedTokens    float64 // prompt tokens of prefills that no complete output used
}

// Measures holds the names of the measures, sorted, with their units.
var Measures = []struct{ Name, Unit string }{
	{"draft_late", "ratio"},
	{"fairness", "ratio"},
	{"goodput", "ratio"},
	{"lookup_p99_ms", "ms"},
	{"refused", "ratio"},
	{"wasted_prefill", "ratio"},
}

// countMessage counts one control message of size bytes in a deployment of
// nodes instances.
func (r *result) countMessage(size, nodes int) {
	r.bytes += size
	r.messages++
	r.nodes = nodes
}

// finish computes the measures over the measured requests.
func (r *result) finish(sim *simulation) {
	r.requests = sim.requests
	r.seconds = (sim.scenario.length + sim.scenario.tail()).Seconds()
	var completions, metTargets, drafts, late, claimed, refused float64
	lookups := hdrhistogram.New(1, int64(2*callDeadline/time.Microsecond), 3)
	for _, q := range sim.requests {
		if !q.measured {
			continue
		}
		switch q.kind {
		case kindLookup:
			latency := callDeadline
			if !q.answered.IsZero() {
				latency = min(q.answered.Sub(q.arrival), callDeadline)
			}
			if err := lookups.RecordValue(int64(latency / time.Microsecond)); err != nil {
				panic(err) // the histogram's range covers callDeadline
			}
		case kindBooking:
			claimed++
			refused += indicator(q.refused)
		case kindCompletion:
			completions++
			claimed++
			metTargets += indicator(q.metTargets())
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
		"goodput":        metTargets / max(completions, 1),
		"lookup_p99_ms":  float64(lookups.ValueAtQuantile(99)) / 1000,
		"refused":        refused / max(claimed, 1),
		"wasted_prefill": r.wastedTokens / max(r.computedTokens, 1),
	}
}

// indicator returns 1 if b is true and 0 otherwise.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// fairness returns Jain's fairness index over the accounts. An account's value
// is its output tokens served within targets, divided by its max-min fair
// share of all output tokens served within targets.
func fairness(requests []*request) float64 {
	demand, served := make(map[int]float64), make(map[int]float64)
	total := 0.0
	for _, q := range requests {
		if !q.measured || q.kind != kindCompletion {
			continue
		}
		demand[q.account] += float64(q.outputTokens)
		if q.metTargets() {
			served[q.account] += float64(q.outputTokens)
			total += float64(q.outputTokens)
		}
	}
	level := maxMinShare(demand, total)
	var n, sum, squares float64
	for _, account := range slices.Sorted(maps.Keys(demand)) {
		if demand[account] <= 0 {
			continue
		}
		ratio := served[account] / min(demand[account], level)
		n++
		sum += ratio
		squares += ratio * ratio
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMinShare returns the share per account at which max-min fairness divides
// total among the demands.
func maxMinShare(demand map[int]float64, total float64) float64 {
	remaining, accounts := total, len(demand)
	values := make([]float64, 0, len(demand))
	for _, account := range slices.Sorted(maps.Keys(demand)) {
		values = append(values, demand[account])
	}
	slices.Sort(values)
	for _, v := range values {
		level := remaining / float64(accounts)
		if v >= level {
			return max(level, 1e-9)
		}
		remaining -= v
		accounts--
	}
	return values[len(values)-1]
}
