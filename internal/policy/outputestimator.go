package policy

import (
	"math"

	"github.com/persimmoncart/persimmoncart"
)

const (
	// outputQuantile is the share of generations whose output stays within its
	// reservation. An engine that runs out of memory preempts a generation, and its
	// prompt is prefilled again.
	outputQuantile = 0.86
	// outputGain is the change of a factor, relative to it, by one response that
	// exceeds its reservation.
	outputGain = 0.1
	// initialHintFactor and initialLimitShare are the factors before the first
	// response. The median of callers' expectations is right, but many are far off.
	initialHintFactor = 1.7
	initialLimitShare = 0.75
	// minFactor and maxFactor bound the factors.
	minFactor = 0.05
	maxFactor = 8
)

// An OutputEstimator estimates how many tokens generations produce, from what their
// callers expect and what earlier ones have shown: a quantile, so that memory is
// reserved for most and few are preempted. It is made for engines whose memory is
// scarcer than their slots, where responses are as long as prompts.
type OutputEstimator struct {
	hintFactor float64 // of the caller's expectation; zero before the first response
	limitShare float64 // of the highest number of output tokens; zero before the first response
}

// Estimate returns the number of output tokens to reserve memory for.
func (e *OutputEstimator) Estimate(g *persimmoncart.GenerationSize) int {
	base, factor := e.basis(g)
	estimate := int(*factor * float64(base))
	if g.MaxOutputTokens > 0 {
		estimate = min(estimate, g.MaxOutputTokens)
	}
	return max(0, estimate)
}

// Record adds the output of a whole response.
func (e *OutputEstimator) Record(g *persimmoncart.GenerationSize, tokens int) {
	base, factor := e.basis(g)
	if base <= 0 {
		return
	}
	// The factor rises and falls at rates whose balance is at the quantile.
	change := -outputGain * (1 - outputQuantile) / outputQuantile
	if float64(tokens) > *factor*float64(base) {
		change = outputGain
	}
	*factor = min(maxFactor, max(minFactor, *factor*math.Exp(change)))
}

// basis returns the number that an estimate is a multiple of, and the factor.
func (e *OutputEstimator) basis(g *persimmoncart.GenerationSize) (int, *float64) {
	if e.hintFactor == 0 {
		e.hintFactor, e.limitShare = initialHintFactor, initialLimitShare
	}
	if g.ExpectedOutputTokens > 0 {
		return g.ExpectedOutputTokens, &e.hintFactor
	}
	return g.MaxOutputTokens, &e.limitShare
}
