package lease_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/explore"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var startTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// An environment holds a store, an endpoint that checks fencing tokens and a
// clock, which the keepers of a test share.
type environment struct {
	faults      int    // store faults that may still be injected in this run
	fence       uint64 // highest fencing token that the endpoint received
	objects     map[string]persimmoncart.Object
	staleOrders int // orders that the endpoint refused for their fencing token
	timer       *timer.Virtual
	version     persimmoncart.Version
}

func newEnvironment() *environment {
	return &environment{objects: map[string]persimmoncart.Object{}, timer: timer.NewVirtual(startTime)}
}

// A storeClient is one instance's access to the store. Each call yields before it
// reaches the store. A write may be refused, or lose its response.
type storeClient struct {
	persimmoncart.Store // panics on calls that the keeper does not make

	choose      func(n int) int
	environment *environment
	yield       func(label string) bool
}

func (c *storeClient) Create(_ context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return c.write("create", key, value, 0)
}

func (c *storeClient) Get(_ context.Context, key string) (persimmoncart.Object, error) {
	if c.yield != nil && !c.yield("get") {
		return persimmoncart.Object{}, errors.New("stopped")
	}
	object, ok := c.environment.objects[key]
	if !ok {
		return persimmoncart.Object{}, &persimmoncart.NotFoundError{Epoch: c.environment.version.Epoch(), Key: key}
	}
	return object, nil
}

func (c *storeClient) Update(_ context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return c.write("update", key, value, version)
}

func (c *storeClient) write(operation, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	if c.yield != nil && !c.yield(operation) {
		return 0, errors.New("stopped")
	}
	result := 0
	if c.environment.faults > 0 {
		if result = c.choose(3); result != 0 {
			c.environment.faults--
		}
	}
	if result == 1 {
		return 0, &persimmoncart.UnavailableError{Err: errors.New("refused"), Operation: operation}
	}
	if have := c.environment.objects[key].Version; have != version {
		return 0, &persimmoncart.ConflictError{Have: have, Key: key, Want: version}
	}
	c.environment.version++
	c.environment.objects[key] = persimmoncart.Object{Key: key, Value: value, Version: c.environment.version}
	if result == 2 {
		return 0, &persimmoncart.AmbiguousError{Err: errors.New("response lost"), Key: key}
	}
	return c.environment.version, nil
}

// restore brings the store back from a copy that it had made of its objects.
func (env *environment) restore(copied map[string]persimmoncart.Object) {
	epoch := env.version.Epoch() + 1
	env.version = persimmoncart.NewVersion(epoch, 0)
	env.objects = map[string]persimmoncart.Object{}
	for key, o := range copied {
		o.Version = persimmoncart.NewVersion(epoch, o.Version.Revision())
		env.version = max(env.version, o.Version)
		env.objects[key] = o
	}
}

// keeper returns a keeper with a term of 10 s and a margin of 1 s.
func (env *environment) keeper(name string, store persimmoncart.Store) *lease.Keeper {
	return &lease.Keeper{
		Margin: time.Second,
		Self:   persimmoncart.Tag{Incarnation: 1, Instance: persimmoncart.InstanceID(name)},
		Store:  store,
		Term:   10 * time.Second,
		Timer:  env.timer,
	}
}

func ExampleKeeper() {
	env := newEnvironment()
	first := env.keeper("entry-1", &storeClient{environment: env})
	second := env.keeper("entry-2", &storeClient{environment: env})
	held, _ := first.Acquire(context.Background(), "plan")
	fmt.Println("fence", held.Fence, "for", held.Expires.Sub(startTime))
	_, err := second.Acquire(context.Background(), "plan")
	fmt.Println(err)
	env.timer.Advance(11 * time.Second)
	held, _ = second.Acquire(context.Background(), "plan")
	fmt.Println("fence", held.Fence)
	// Output:
	// fence 1 for 9s
	// lease "plan" is held by entry-1
	// fence 2
}

func TestKeeper(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps func(t *testing.T, env *environment, a, b *lease.Keeper)
	}{
		{
			// Guards against a next holder that waits although the lease was released.
			name: "release",
			steps: func(t *testing.T, _ *environment, a, b *lease.Keeper) {
				held, err := a.Acquire(t.Context(), "plan")
				assert.NilError(t, err)
				assert.NilError(t, a.Release(t.Context(), held))
				next, err := b.Acquire(t.Context(), "plan")
				assert.NilError(t, err)
				assert.Equal(t, next.Fence, held.Fence+1)
				assert.NilError(t, a.Release(t.Context(), held))
				_, err = a.Acquire(t.Context(), "plan")
				var heldError *persimmoncart.LeaseHeldError
				assert.Assert(t, errors.As(err, &heldError))
			},
		},
		{
			// Guards against the takeover of a lease that its holder renews.
			name: "renewal",
			steps: func(t *testing.T, env *environment, a, b *lease.Keeper) {
				for range 5 {
					held, err := a.Acquire(t.Context(), "plan")
					assert.NilError(t, err)
					assert.Equal(t, held.Fence, uint64(1))
					_, err = b.Acquire(t.Context(), "plan")
					var heldError *persimmoncart.LeaseHeldError
					assert.Assert(t, errors.As(err, &heldError))
					assert.Equal(t, heldError.Holder, persimmoncart.InstanceID("a"))
					env.timer.Advance(5 * time.Second)
				}
			},
		},
		{
			// Guards against a restarted process that renews the lease of its earlier incarnation.
			name: "restart",
			steps: func(t *testing.T, env *environment, a, _ *lease.Keeper) {
				_, err := a.Acquire(t.Context(), "plan")
				assert.NilError(t, err)
				restarted := env.keeper("a", &storeClient{environment: env})
				restarted.Self.Incarnation = 2
				_, err = restarted.Acquire(t.Context(), "plan")
				var heldError *persimmoncart.LeaseHeldError
				assert.Assert(t, errors.As(err, &heldError))
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newEnvironment()
			tc.steps(t, env, env.keeper("a", &storeClient{environment: env}), env.keeper("b", &storeClient{environment: env}))
		})
	}
}

// Guards against a lease that nobody can acquire again after its record became
// unreadable, was lost or came back from an older copy of the store, against a
// takeover while the holder may still act, and against a fencing token that was
// used before.
func TestKeeperRecordDamaged(t *testing.T) {
	const key = "leases/plan"
	for _, tc := range []struct {
		name   string
		damage func(env *environment, copied map[string]persimmoncart.Object)
		wait   time.Duration // from the first try to the takeover
	}{
		{name: "bytes that are no record", wait: 11 * time.Second, damage: func(env *environment, _ map[string]persimmoncart.Object) {
			env.version++
			env.objects[key] = persimmoncart.Object{Key: key, Value: []byte("x\x10{"), Version: env.version}
		}},
		{name: "record without fields", wait: 11 * time.Second, damage: func(env *environment, _ map[string]persimmoncart.Object) {
			env.version++
			env.objects[key] = persimmoncart.Object{Key: key, Value: []byte("{}"), Version: env.version}
		}},
		{name: "term of years", wait: 11 * time.Second, damage: func(env *environment, _ map[string]persimmoncart.Object) {
			env.version++
			value := []byte(`{"fence":9,"holder":"c","term":90000000000000000}`)
			env.objects[key] = persimmoncart.Object{Key: key, Value: value, Version: env.version}
		}},
		{name: "restored from before the first holder", wait: 11 * time.Second, damage: func(env *environment, _ map[string]persimmoncart.Object) {
			env.restore(nil)
		}},
		{name: "restored from an earlier holder", wait: 11 * time.Second, damage: func(env *environment, copied map[string]persimmoncart.Object) {
			env.restore(copied)
		}},
		{name: "restored twice", wait: 11 * time.Second, damage: func(env *environment, copied map[string]persimmoncart.Object) {
			env.restore(copied)
			env.restore(copied)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newEnvironment()
			a, b := env.keeper("a", &storeClient{environment: env}), env.keeper("b", &storeClient{environment: env})
			first, err := b.Acquire(t.Context(), "plan")
			assert.NilError(t, err)
			assert.NilError(t, b.Release(t.Context(), first))
			copied := maps.Clone(env.objects)
			held, err := a.Acquire(t.Context(), "plan")
			assert.NilError(t, err)
			tc.damage(env, copied)
			// Neither the holder nor another instance may take it for free or its own.
			for _, k := range []*lease.Keeper{a, b} {
				_, err := k.Acquire(t.Context(), "plan")
				var heldError *persimmoncart.LeaseHeldError
				assert.Assert(t, errors.As(err, &heldError), "%v", err)
				assert.Equal(t, heldError.RetryAfter, tc.wait)
			}
			env.timer.Advance(tc.wait)
			next, err := b.Acquire(t.Context(), "plan")
			assert.NilError(t, err)
			assert.Assert(t, next.Fence > held.Fence, "token %d after %d", next.Fence, held.Fence)
			again, err := b.Acquire(t.Context(), "plan")
			assert.NilError(t, err)
			assert.Equal(t, again.Fence, next.Fence)
		})
	}
}

// Guards against two holders at a time, a fencing token that is issued twice, and
// an endpoint that accepts an order with an old fencing token. Explores all
// interleavings of two instances that acquire, send an order and renew, with one
// store fault and two pauses of 6 s at any point.
func TestAllInterleavings(t *testing.T) {
	const pause = 6 * time.Second
	e := &explore.Explorer{}
	staleOrders := 0
	runs, complete := e.Run(func() bool {
		env := newEnvironment()
		env.faults = 1
		var granted []leasePeriod
		process := func(name string, rounds int) *explore.Process {
			return explore.NewProcess(func(yield func(string) bool) {
				k := env.keeper(name, &storeClient{choose: e.Choose, environment: env, yield: yield})
				for range rounds {
					held, err := k.Acquire(t.Context(), "plan")
					if err != nil {
						continue
					}
					granted = append(granted, leasePeriod{end: held.Expires, fence: held.Fence, name: name, start: env.timer.Now()})
					if !env.timer.Now().Before(held.Expires) {
						continue
					}
					if !yield("order") {
						return
					}
					env.sendOrder(held.Fence)
				}
			})
		}
		processes := []*explore.Process{process("a", 2), process("b", 2)}
		env.drive(e, processes, 2, pause)
		staleOrders += env.staleOrders
		checkLeasePeriods(t, granted, e.Path())
		return !t.Failed()
	})
	assert.Assert(t, complete)
	assert.Assert(t, staleOrders > 0, "no schedule produced a stale order")
	t.Logf("%d schedules, %d stale orders refused", runs, staleOrders)
}

// A leasePeriod is the time from the return of Acquire to the expiry of the lease.
type leasePeriod struct {
	end   time.Time
	fence uint64
	name  string
	start time.Time
}

// checkLeasePeriods fails the test if two instances held the lease at one time or
// with the same fencing token.
func checkLeasePeriods(t *testing.T, granted []leasePeriod, path []int) {
	t.Helper()
	for i, a := range granted {
		for _, b := range granted[:i] {
			if a.name == b.name {
				continue
			}
			assert.Assert(t, a.fence != b.fence, "fencing token %d issued twice, path %v", a.fence, path)
			assert.Assert(t, !a.start.Before(b.end) || !b.start.Before(a.end), "%v and %v overlap, path %v", a, b, path)
		}
	}
}

// drive steps the processes in the order that the explorer chooses, with up to
// the given number of pauses.
func (env *environment) drive(e *explore.Explorer, processes []*explore.Process, pauses int, pause time.Duration) {
	for {
		ready := explore.Ready(processes)
		if len(ready) == 0 {
			return
		}
		options := len(ready)
		if pauses > 0 {
			options++
		}
		c := e.Choose(options)
		if c == len(ready) {
			pauses--
			env.timer.Advance(pause)
			continue
		}
		ready[c].Step()
	}
}

// sendOrder sends an order to the endpoint, which refuses an old fencing token.
func (env *environment) sendOrder(fence uint64) {
	if fence < env.fence {
		env.staleOrders++
		return
	}
	env.fence = fence
}
