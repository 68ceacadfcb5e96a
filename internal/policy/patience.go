package policy

import (
	"slices"
	"time"
)

const (
	// patienceSamples is the number of attempts that usual patience is taken from.
	patienceSamples = 31
	// patienceMinSamples is the number of attempts from which there is a usual
	// patience.
	patienceMinSamples = 7
	// patienceQuantile is the share of attempts below the usual patience. Some
	// callers are far more patient than the others, and in an overload up to half of
	// the attempts are not the first of their caller.
	patienceQuantile = 0.65
	// patienceSpread is the share of the usual patience from which an attempt counts
	// as a caller's first: callers differ in it.
	patienceSpread = 0.85
)

// A Patience tells how long a caller has waited before its present attempt. Callers
// whose attempts were refused come back with less time left than the others of
// their route.
type Patience struct {
	count   int // samples so far
	samples [patienceSamples]time.Duration
}

// Waited adds an attempt whose caller waits for the time left, and returns how
// long the caller has probably waited before it; zero for a first attempt.
func (p *Patience) Waited(left time.Duration) time.Duration {
	p.samples[p.count%patienceSamples] = left
	p.count++
	sorted := slices.Clone(p.samples[:min(p.count, patienceSamples)])
	slices.Sort(sorted)
	usual := sorted[int(patienceQuantile*float64(len(sorted)))]
	if p.count < patienceMinSamples || float64(left) >= patienceSpread*float64(usual) {
		return 0
	}
	return usual - left
}
