package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ExampleHarness() {
	r := newRun(8, 1, event{apply: func(*run) {}, duration: 10 * time.Second, name: "quiet"})
	r.execute()
	fmt.Println(len(r.ownersBefore), r.doubleOwners, r.fleet.falseDeaths())
	// Output: 220 0 0
}

// Guards against violations under each event of docs/design.md, section 12, in a fleet of
// eight nodes: no replica has two owners, no running process is declared dead, every
// replica has an owner at the end, and no bound is exceeded.
func TestEvents(t *testing.T) {
	for _, e := range events(time.Minute) {
		t.Run(e.name, func(t *testing.T) {
			r := newRun(8, 3, e)
			r.execute()
			assert.Equal(t, r.doubleOwners, 0)
			assert.Equal(t, r.fleet.falseDeaths(), 0)
			owners, _ := r.fleet.owners()
			assert.Equal(t, len(owners), r.fleet.topology.replicas)
			results := (&Harness{Seed: 3}).evaluate(r, Costs{})
			assert.Assert(t, len(results) > 10)
			for _, result := range results {
				if result.Bound != nil && result.Measure != "core_share" { // processor time is not repeatable
					assert.Assert(t, result.Max <= *result.Bound, "%s of %s: %g", result.Measure, result.Role, result.Max)
				}
			}
		})
	}
}

// Guards against runs that differ although their seed is the same, so that no result
// could be repeated.
func TestRepeatable(t *testing.T) {
	var sent [2]int
	for i := range sent {
		r := newRun(12, 5, events(time.Minute)[0])
		for _, n := range r.fleet.nodes {
			sent[i] += n.port.TotalBytesSent()
		}
	}
	assert.Equal(t, sent[0], sent[1])
}

// Guards against wrong slopes, from which docs/CAPACITY.md extrapolates.
func TestFit(t *testing.T) {
	intercept, slope := fit([]float64{8, 50, 400}, []float64{108, 150, 500})
	assert.Assert(t, intercept > 99.999 && intercept < 100.001 && slope > 0.999 && slope < 1.001)
}
