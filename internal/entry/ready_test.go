package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against an instance that is ready before it owns replicas, that never gets
// ready because it owns none, or that is no longer ready after it has lost them.
func TestReadiness(t *testing.T) {
	for _, tc := range []struct {
		name  string
		owns  time.Duration // time at which the instance owns replicas; negative for never
		ready time.Duration // time at which the instance is ready
	}{
		{name: "owner at once", owns: 2 * time.Second, ready: 2 * time.Second},
		{name: "owner before the configuration", owns: 0, ready: time.Second},
		{name: "never an owner", owns: -1, ready: ownershipTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			v := timer.NewVirtual(start)
			elapsed := func() time.Duration { return v.Now().Sub(start) }
			lost := false
			r := &readiness{
				Configured: func() bool { return elapsed() >= time.Second },
				Owns:       func() bool { return !lost && tc.owns >= 0 && elapsed() >= tc.owns },
				StartedAt:  start,
				Timer:      v,
			}
			// Ready depends only on the time, not on earlier calls.
			v.Advance(tc.ready - time.Millisecond)
			assert.Assert(t, !r.Ready())
			v.Advance(time.Millisecond)
			assert.Assert(t, r.Ready())
			lost = true
			assert.Assert(t, r.Ready())
		})
	}
}
