package bench

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// short returns a short run at today's size of the smaller deployment.
func short(name string) *world {
	return newWorld(newDeployment(peachthread, 8, 0), newScenario(name, true), 1)
}

// Guards against a run that differs between two runs of one seed.
func TestDeterministic(t *testing.T) {
	for _, name := range []string{caseCrest, caseTurnover} {
		w, x := short(name), short(name)
		a, b := w.run(newOurs(w)), x.run(newOurs(x))
		assert.DeepEqual(t, a.values, b.values)
		assert.Equal(t, a.messages, b.messages)
	}
}

// Guards against slots or memory of the fakes that stay in use, and against
// requests that never end, whatever happens to the instances.
func TestNothingHeld(t *testing.T) {
	w := short(caseTurnover)
	w.run(newOurs(w))
	w.clock.Run(w.now().Add(liveTimeout * 3))
	for _, r := range w.replicas {
		assert.Equal(t, r.held, 0, "%s", r.endpoint.ID)
		if r.endpoint.Role == persimmoncart.RoleDecode {
			assert.Equal(t, r.blocks, r.endpoint.Blocks)
		}
	}
	for _, j := range w.jobs {
		assert.Assert(t, j.ended, "request %d never ended", j.id)
	}
}

// Guards against a draft class that starves in a crest.
func TestCrestServesDrafts(t *testing.T) {
	w := short(caseCrest)
	r := w.run(newOurs(w))
	drafts, good := 0, 0
	for _, j := range r.jobs {
		if j.kind == kindCompletion && j.class == persimmoncart.ClassBatch && j.measured {
			drafts++
			if j.good() {
				good++
			}
		}
	}
	assert.Assert(t, drafts > 50 && good*2 > drafts, "%d of %d drafts", good, drafts)
}

// Guards against an unknown case that runs everything or nothing.
func TestUnknownCase(t *testing.T) {
	b := &Bench{Case: "calm", Output: &bytes.Buffer{}}
	var unknown *UnknownError
	assert.Assert(t, errors.As(b.Run(t.Context()), &unknown))
	assert.Equal(t, unknown.Value, "calm")
}
