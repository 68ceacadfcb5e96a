package lease_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/lease"
)

// Guards against two holders at a time and a fencing token that does not grow.
// Compares random histories of three instances, with refused writes and lost
// responses, with a simple model that records the last holder and the expiry of
// its lease.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newEnvironment()
		var keepers []*lease.Keeper
		for i := range 3 {
			c := &storeClient{environment: env}
			c.choose = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "fault") }
			keepers = append(keepers, env.keeper(fmt.Sprintf("entry-%d", i), c))
		}
		held := make([]persimmoncart.Lease, len(keepers))
		holder, fence := -1, uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				i := rapid.IntRange(0, len(keepers)-1).Draw(t, "instance")
				got, err := keepers[i].Acquire(t.Context(), "plan")
				if err != nil {
					return
				}
				if holder != i && holder >= 0 {
					assert.Assert(t, !env.timer.Now().Before(held[holder].Expires), "entry-%d still holds the lease", holder)
					assert.Assert(t, got.Fence > fence)
				}
				assert.Assert(t, got.Fence >= fence)
				held[i], holder, fence = got, i, got.Fence
			},
			"fault": func(*rapid.T) { env.faults = 1 },
			"pass": func(t *rapid.T) {
				env.timer.Advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			},
			"release": func(t *rapid.T) {
				if holder < 0 {
					t.Skip("no holder")
				}
				// The holder stops using the lease before it releases it.
				released := held[holder]
				held[holder].Expires = env.timer.Now()
				_ = keepers[holder].Release(t.Context(), released)
			},
		})
	})
}
