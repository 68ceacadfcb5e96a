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

// Guards against parts that do not fit together: answers that are not whole,
// calls that run twice or get lost, and engine memory that stays held. It checks
// no speed, so that a slow machine gives the same verdict.
func TestDeployments(t *testing.T) {
	for _, name := range fakes.DeploymentNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &demo.Deployment{
				Duration: time.Second, Log: zerolog.Nop(), Name: name, Rate: 20, Seed: 1, Timer: &timer.System{},
			}
			r, err := d.Run(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, r.Passed(), "%+v %v", r, r.Samples)
		})
	}
	_, err := (&demo.Deployment{Name: "x"}).Run(t.Context())
	assert.ErrorContains(t, err, "unknown deployment")
}
