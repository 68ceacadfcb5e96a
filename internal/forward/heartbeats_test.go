package forward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A beater is the heartbeats of one instance.
type beater struct {
	Faulty *objectapi.Faulty
	Stop   func()

	instances []persimmoncart.InstanceID // as last reported
	mutex     sync.Mutex
}

// known returns the number of instances that are known to be in service.
func (b *beater) known() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.instances)
}

// startBeater starts the heartbeats of an instance before a shared store.
func startBeater(ctx context.Context, running *sync.WaitGroup, store persimmoncart.Store, id string, incarnation persimmoncart.Incarnation) *beater {
	clock := &timer.System{}
	ctx, cancel := context.WithCancel(ctx)
	b := &beater{Faulty: &objectapi.Faulty{Store: store, Timer: clock}, Stop: cancel}
	h := &forward.Heartbeats{
		Changed: func(instances []persimmoncart.InstanceID) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.instances = instances
		},
		Logger: zerolog.Nop(), Self: persimmoncart.Instance{ID: persimmoncart.InstanceID(id), Incarnation: incarnation}, Store: b.Faulty, Timer: clock,
	}
	f := &forward.Follower{
		Changed: h.HandleChange, Listed: h.HandleList, Logger: zerolog.Nop(), Prefix: forward.HeartbeatsPrefix,
		ReachableChanged: h.SetStoreReachable, Store: b.Faulty, Timer: clock,
	}
	running.Go(func() { _ = h.Run(ctx) })
	running.Go(func() { _ = f.Run(ctx) })
	return b
}

// Guards against instances that do not know how many share the limit of an endpoint:
// when they start together, one after the other, end, start again, or lose the store.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectapi.Memory{Timer: &timer.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		var beaters []*beater
		expect := func(want int) {
			t.Helper()
			for n, b := range beaters {
				assert.Equal(t, b.known(), want, "instance %d", n)
			}
		}
		start := func(n int, incarnation persimmoncart.Incarnation) {
			beaters = append(beaters, startBeater(ctx, &running, store, fmt.Sprintf("edge-%d", n), incarnation))
		}
		for n := range 4 {
			start(n, 1)
		}
		time.Sleep(3 * time.Second)
		expect(4)
		start(4, 1)
		time.Sleep(3 * time.Second)
		expect(5)
		time.Sleep(20 * time.Minute)
		expect(5)

		beaters[4].Stop() // starts again
		beaters = beaters[:4]
		time.Sleep(time.Second)
		start(4, 2)
		time.Sleep(3 * time.Second)
		expect(5)

		for _, b := range beaters {
			b.Faulty.SetDown(true)
		}
		time.Sleep(20 * time.Minute)
		expect(5)
		for _, b := range beaters {
			b.Faulty.SetDown(false)
		}
		time.Sleep(3 * time.Minute)
		expect(5)

		beaters[4].Stop() // is gone
		beaters = beaters[:4]
		time.Sleep(2 * time.Minute) // its last heartbeat is up to 1.5 minutes old, and holds for 4
		expect(5)
		time.Sleep(9 * time.Minute)
		expect(4)
		objects, err := store.List(t.Context(), forward.HeartbeatsPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(objects), 4, "the record of an instance that is gone stays in the store")
	})
}
