package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/persimmoncart/persimmoncart"
)

// A result is what one router did with one load.
type result struct {
	borrowItems int
	borrows     int
	bytes       int // control traffic of all instances
	jobs        []*job
	messages    int
	nodes       int
	held        float64 // decode slots in use, summed over samples
	running     float64 // decode slots that generate, summed over samples
	seconds     float64 // with arrivals
	slots       float64 // decode slots, summed over samples
	prefilled   float64 // tokens computed
	values      map[string]float64
	wasted      float64 // tokens computed in vain
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

// message counts one control message.
func (r *result) message(size, nodes int) {
	r.bytes += size
	r.messages++
	r.nodes = nodes
}

// finish computes the measures over the requests after the warm-up.
func (r *result) finish(w *world) {
	r.jobs = w.jobs
	r.seconds = (w.scenario.length + w.scenario.tail()).Seconds()
	var completions, good, drafts, late, claimed, refused float64
	lookups := hdrhistogram.New(1, int64(2*callDeadline/time.Microsecond), 3)
	for _, j := range w.jobs {
		if !j.measured {
			continue
		}
		switch j.kind {
		case kindLookup:
			took := callDeadline
			if !j.answered.IsZero() {
				took = min(j.answered.Sub(j.arrive), callDeadline)
			}
			if err := lookups.RecordValue(int64(took / time.Microsecond)); err != nil {
				panic(err) // the range covers the deadline
			}
		case kindBooking:
			claimed++
			refused += count(j.refused)
		case kindCompletion:
			completions++
			claimed++
			good += count(j.good())
			refused += count(j.refused)
			if j.class == persimmoncart.ClassBatch {
				drafts++
				late += count(!j.refused && (j.answered.IsZero() || j.answered.After(j.deadline)))
			}
		}
	}
	r.values = map[string]float64{
		"draft_late":     late / max(drafts, 1),
		"fairness":       fairness(w.jobs),
		"goodput":        good / max(completions, 1),
		"lookup_p99_ms":  float64(lookups.ValueAtQuantile(99)) / 1000,
		"refused":        refused / max(claimed, 1),
		"wasted_prefill": r.wasted / max(r.prefilled, 1),
	}
}

// count returns 1 for true.
func count(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// fairness returns Jain's index over accounts of what each got in time relative
// to its max-min fair share of all that was served in time.
func fairness(jobs []*job) float64 {
	demand, got := make(map[int]float64), make(map[int]float64)
	total := 0.0
	for _, j := range jobs {
		if !j.measured || j.kind != kindCompletion {
			continue
		}
		demand[j.account] += float64(j.output)
		if j.good() {
			got[j.account] += float64(j.output)
			total += float64(j.output)
		}
	}
	level := fill(demand, total)
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

// fill returns the level up to which all demands are met from total.
func fill(demand map[int]float64, total float64) float64 {
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
