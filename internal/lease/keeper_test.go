package lease_test

import (
	"context"
	"fmt"
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

// An environment is one store, one endpoint that checks fencing tokens and one clock,
// shared by the keepers of a test.
type environment struct {
	faults      int // faults that may still happen in this run
	fence       uint64
	objects     map[string]persimmoncart.Object
	staleOrders int // orders that the endpoint refused
	timer       *timer.Virtual
	version     persimmoncart.Version
}

func newEnvironment() *environment {
	return &environment{objects: map[string]persimmoncart.Object{}, timer: timer.NewVirtual(startTime)}
}

// A storeClient is one instance's access to the world. Each call gives way before it
// reaches the store and may lose its answer.
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
		return persimmoncart.Object{}, &persimmoncart.NotFoundError{Key: key}
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
		return 0, &persimmoncart.AmbiguousError{Err: errors.New("answer lost"), Key: key}
	}
	return c.environment.version, nil
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
			// Guards against a successor that has to wait although the holder stopped in order.
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
				var taken *persimmoncart.LeaseHeldError
				assert.Assert(t, errors.As(err, &taken))
			},
		},
		{
			// Guards against a takeover from a holder that renews.
			name: "renewal",
			steps: func(t *testing.T, env *environment, a, b *lease.Keeper) {
				for range 5 {
					held, err := a.Acquire(t.Context(), "plan")
					assert.NilError(t, err)
					assert.Equal(t, held.Fence, uint64(1))
					_, err = b.Acquire(t.Context(), "plan")
					var taken *persimmoncart.LeaseHeldError
					assert.Assert(t, errors.As(err, &taken))
					assert.Equal(t, taken.Holder, persimmoncart.InstanceID("a"))
					env.timer.Advance(5 * time.Second)
				}
			},
		},
		{
			// Guards against a restarted process that takes its predecessor's lease for its own.
			name: "restart",
			steps: func(t *testing.T, env *environment, a, _ *lease.Keeper) {
				_, err := a.Acquire(t.Context(), "plan")
				assert.NilError(t, err)
				restarted := env.keeper("a", &storeClient{environment: env})
				restarted.Self.Incarnation = 2
				_, err = restarted.Acquire(t.Context(), "plan")
				var taken *persimmoncart.LeaseHeldError
				assert.Assert(t, errors.As(err, &taken))
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newEnvironment()
			tc.steps(t, env, env.keeper("a", &storeClient{environment: env}), env.keeper("b", &storeClient{environment: env}))
		})
	}
}

// Guards against two holders at one time, a fencing token given out twice, and
// a fenced endpoint that acts on a late order: all interleavings of two
// instances that acquire, act and renew, with one store fault and two pauses of
// 6 s at any point.
func TestAllInterleavings(t *testing.T) {
	const pause = 6 * time.Second
	e := &explore.Explorer{}
	late := 0
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
		late += env.staleOrders
		checkLeasePeriods(t, granted, e.Path())
		return !t.Failed()
	})
	assert.Assert(t, complete)
	assert.Assert(t, late > 0, "no schedule produced a late order")
	t.Logf("%d schedules, %d late orders refused", runs, late)
}

// A leasePeriod is the time for which an instance counted on its lease, from the
// return of Acquire.
type leasePeriod struct {
	end   time.Time
	fence uint64
	name  string
	start time.Time
}

// checkLeasePeriods fails the test if two instances held the lease at one time.
func checkLeasePeriods(t *testing.T, granted []leasePeriod, path []int) {
	t.Helper()
	for i, a := range granted {
		for _, b := range granted[:i] {
			if a.name == b.name {
				continue
			}
			assert.Assert(t, a.fence != b.fence, "fence %d given out twice, path %c", a.fence, path)
			assert.Assert(t, !a.start.Before(b.end) || !b.start.Before(a.end), "%c and %c overlap, path %c", a, b, path)
		}
	}
}

// drive steps the processes in every order and pauses up to pauses times.
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

// sendOrder sends an order to an endpoint that checks fencing tokens.
func (env *environment) sendOrder(fence uint64) {
	if fence < env.fence {
		env.staleOrders++
		return
	}
	env.fence = fence
}
