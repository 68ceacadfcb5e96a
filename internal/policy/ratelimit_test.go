package policy_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// instanceIDs returns the identifiers of a number of instances.
func instanceIDs(count int) []persimmoncart.InstanceID {
	ids := make([]persimmoncart.InstanceID, count)
	for n := range ids {
		ids[n] = persimmoncart.InstanceID(fmt.Sprintf("edge-%d", n))
	}
	return ids
}

// Guards against shares that exceed the limit together, leave a part of it to no
// instance, or let many instances send at the same moment.
func TestRateShare(t *testing.T) {
	for _, c := range []struct {
		instances int
		limit     float64
		holders   int
	}{
		{instances: 1, limit: 5.9, holders: 1},
		{instances: 8, limit: 5.9, holders: 8},
		{instances: 8, limit: 0.5, holders: 4},
		{instances: 400, limit: 0.5, holders: 4},
		{instances: 400, limit: 30.2, holders: 34},
		{instances: 400, limit: 1e12, holders: 400},
	} {
		t.Run(fmt.Sprintf("%d instances, %g a second", c.instances, c.limit), func(t *testing.T) {
			ids := instanceIDs(c.instances)
			sum, holders := 0.0, 0
			for _, id := range ids {
				share := policy.RateShare(c.limit, "e1", id, ids)
				sum += share
				if share > 0 {
					holders++
				}
			}
			assert.Equal(t, holders, c.holders)
			assert.Assert(t, math.Abs(sum/c.limit-1) < 1e-9, "%g in all", sum)
		})
	}
	assert.Equal(t, policy.RateShare(5, "e1", "edge-9", instanceIDs(2)), 0.0)
	assert.Equal(t, policy.RateShare(5, "e1", "edge-9", nil), 0.0)
}

// Guards against requests beyond an endpoint's limit that are sent at once after a
// pause, at the start of the limit, or whenever the share changes; and against a limit
// that never lets a request through.
func TestEndpointRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &policy.EndpointState{}
	take := func(d time.Duration) int {
		n := 0
		for range int(d / (10 * time.Millisecond)) {
			now = now.Add(10 * time.Millisecond)
			if e.WaitLeft(now) == 0 {
				assert.Assert(t, e.TakeRequest(now))
				n++
			}
		}
		return n
	}
	assert.Equal(t, take(time.Second), 100)
	e.SetRateLimit(now, 4, 2)
	assert.Assert(t, e.WaitLeft(now) > 400*time.Millisecond)
	assert.Equal(t, take(10*time.Second), 20)
	now = now.Add(time.Minute) // without requests
	assert.Equal(t, take(time.Second), 2)
	e.SetRateLimit(now, 4, 1)
	assert.Equal(t, take(10*time.Second), 10)
	e.SetRateLimit(now, 4, 0)
	assert.Equal(t, take(10*time.Second), 0)
	assert.Equal(t, e.WaitLeft(now), 250*time.Millisecond)
	e.SetRateLimit(now, 0, 0)
	assert.Equal(t, take(time.Second), 100)
	e.BackOff(now.Add(time.Second))
	assert.Equal(t, e.WaitLeft(now), time.Second)
	assert.Assert(t, !e.TakeRequest(now))
}
