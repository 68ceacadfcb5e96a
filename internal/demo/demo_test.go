package demo_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/demo"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against components that do not work together: incomplete responses, calls
// that run twice or are lost, and engine memory that is not released. No speed is
// checked, so that the test also passes on a slow machine.
func TestDeployments(t *testing.T) {
	for _, name := range fakes.DeploymentNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &demo.Runner{
				Duration: time.Second, Log: zerolog.Nop(), Name: name, Rate: 20, Seed: 1, Timer: &timer.System{},
			}
			r, err := d.Run(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, r.Passed(), "%+v %v", r, r.Samples)
		})
	}
	_, err := (&demo.Runner{Name: "x"}).Run(t.Context())
	assert.ErrorContains(t, err, "unknown deployment")
}
