package bench

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// short returns a shortened run of a case on the smaller deployment at today's
// size.
func short(name string) *simulation {
	return newSimulation(newDeployment(peachthread, 8, 0), newScenario(name, true), 1)
}

// Guards against results that differ between two runs of one seed.
func TestDeterministic(t *testing.T) {
	for _, name := range []string{caseCrest, caseTurnover} {
		sim, x := short(name), short(name)
		a, b := sim.run(newBrokerRouter(sim)), x.run(newBrokerRouter(x))
		assert.DeepEqual(t, a.values, b.values)
		assert.Equal(t, a.messages, b.messages)
	}
}

// Guards against slots or memory of engines that stay in use, and against
// requests that never end, while instances stop and crash.
func TestNothingHeld(t *testing.T) {
	sim := short(caseTurnover)
	sim.run(newBrokerRouter(sim))
	sim.clock.Run(sim.now().Add(interactiveTimeout * 3))
	for _, r := range sim.replicas {
		assert.Equal(t, r.usedSlots, 0, "%s", r.endpoint.ID)
		if r.endpoint.Role == persimmoncart.RoleDecode {
			assert.Equal(t, r.freeBlocks, r.endpoint.Blocks)
		}
	}
	for _, q := range sim.requests {
		assert.Assert(t, q.ended, "request %d never ended", q.id)
	}
}

// Guards against batch requests that starve during an overload.
func TestCrestServesDrafts(t *testing.T) {
	sim := short(caseCrest)
	r := sim.run(newBrokerRouter(sim))
	drafts, good := 0, 0
	for _, q := range r.requests {
		if q.kind == kindCompletion && q.class == persimmoncart.ClassBatch && q.measured {
			drafts++
			if q.metTargets() {
				good++
			}
		}
	}
	assert.Assert(t, drafts > 50 && good*2 > drafts, "%d of %d drafts", good, drafts)
}

// Guards against an unknown case that runs all cases or none.
func TestUnknownCase(t *testing.T) {
	b := &Bench{Case: "calm", Output: &bytes.Buffer{}}
	var unknown *UnknownError
	assert.Assert(t, errors.As(b.Run(t.Context()), &unknown))
	assert.Equal(t, unknown.Value, "calm")
}
