package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart/internal/policy"
)

func ExampleDurationEstimator() {
	e := &policy.DurationEstimator{}
	fmt.Println(e.Estimate(100))
	e.Record(100, 2*time.Second)
	fmt.Println(e.Estimate(200))
	// Output:
	// 0s false
	// 4.8s true
}

// Guards against an estimate that many responses exceed, which a planned stop then cuts,
// and against one far above what responses take, for which they are refused.
func TestDurationEstimatorQuantile(t *testing.T) {
	for _, spread := range []float64{0.05, 0.3, 0.6} {
		t.Run(fmt.Sprint(spread), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			e := &policy.DurationEstimator{}
			within, total, sum := 0, 0, 0.0
			for n := range 6000 {
				size := 50 + random.IntN(500)
				took := time.Duration(float64(size) * float64(40*time.Millisecond) * math.Exp(spread*random.NormFloat64()))
				estimate, known := e.Estimate(size)
				if n >= 1000 {
					total++
					sum += float64(estimate) / float64(took)
					if known && took <= estimate {
						within++
					}
				}
				e.Record(size, took)
			}
			share := float64(within) / float64(total)
			assert.Assert(t, share > 0.97, "%f of the responses take no longer", share)
			assert.Assert(t, sum/float64(total) < 8, "estimates are %f times the duration", sum/float64(total))
		})
	}
}

// Guards against estimates that overflow, are negative or stay at zero after odd values.
func TestDurationEstimatorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &policy.DurationEstimator{}
		for range rapid.IntRange(1, 200).Draw(t, "responses") {
			e.Record(rapid.IntRange(-1, math.MaxInt32).Draw(t, "size"), time.Duration(rapid.Int64().Draw(t, "took")))
		}
		estimate, known := e.Estimate(rapid.IntRange(-1, math.MaxInt32).Draw(t, "estimated size"))
		assert.Assert(t, known)
		assert.Assert(t, estimate > 0)
	})
}
