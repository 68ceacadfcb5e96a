package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

func ExampleOutputEstimator() {
	e := &policy.OutputEstimator{}
	stated := &persimmoncart.GenerationSize{ExpectedOutputTokens: 1000, MaxOutputTokens: 4000}
	unknown := &persimmoncart.GenerationSize{MaxOutputTokens: 4000}
	fmt.Println(e.Estimate(stated), e.Estimate(unknown))
	// Output: 1700 3000
}

// Guards against engines that run out of memory because responses are longer than
// their callers expect, and against memory that is reserved for nothing because they
// are shorter: whatever the callers' error, about outputQuantile of the responses
// stay within their reservation.
func TestOutputEstimatorQuantile(t *testing.T) {
	for _, c := range []struct {
		name         string
		bias, spread float64 // of the responses relative to the callers' expectation
		hint         int
	}{
		{name: "right at the median", bias: 1, spread: 0.5, hint: 1000},
		{name: "too short", bias: 2.5, spread: 0.5, hint: 1000},
		{name: "too long", bias: 0.3, spread: 0.2, hint: 1000},
		{name: "not stated", bias: 0.2, spread: 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := &policy.OutputEstimator{}
			g := &persimmoncart.GenerationSize{ExpectedOutputTokens: c.hint, MaxOutputTokens: 20000}
			base := float64(c.hint)
			if c.hint == 0 {
				base = float64(g.MaxOutputTokens)
			}
			within, total := 0, 0
			for n := range 3000 {
				output := int(base * c.bias * math.Exp(c.spread*random.NormFloat64()))
				if n >= 1000 {
					total++
					if output <= e.Estimate(g) {
						within++
					}
				}
				e.Record(g, output)
			}
			share := float64(within) / float64(total)
			assert.Assert(t, share > 0.82 && share < 0.9, "%f of the responses stay within", share)
		})
	}
}

// Guards against a reservation above the highest output, below zero, or one that a
// run of odd responses makes useless for good.
func TestOutputEstimatorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &policy.OutputEstimator{}
		size := func() *persimmoncart.GenerationSize {
			return &persimmoncart.GenerationSize{
				ExpectedOutputTokens: rapid.IntRange(-1, 5000).Draw(t, "expected"),
				MaxOutputTokens:      rapid.IntRange(0, 5000).Draw(t, "limit"),
			}
		}
		for range rapid.IntRange(0, 300).Draw(t, "responses") {
			e.Record(size(), rapid.IntRange(-1, math.MaxInt32).Draw(t, "output"))
		}
		g := size()
		got := e.Estimate(g)
		assert.Assert(t, got >= 0)
		assert.Assert(t, got <= g.MaxOutputTokens || g.MaxOutputTokens == 0)
		if g.ExpectedOutputTokens > 100 && g.MaxOutputTokens > 0 {
			assert.Assert(t, got >= min(g.ExpectedOutputTokens/20, g.MaxOutputTokens), "%d tokens for %+v", got, g)
		}
	})
}
