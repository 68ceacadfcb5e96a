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

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// A world is one store, one endpoint that checks fencing tokens and one clock,
// shared by the keepers of a test.
type world struct {
	faults  int // faults that may still happen in this run
	fence   uint64
	late    int // orders that the endpoint refused
	objects map[string]persimmoncart.Object
	timer   *timer.Virtual
	version persimmoncart.Version
}

func newWorld() *world {
	return &world{objects: map[string]persimmoncart.Object{}, timer: timer.NewVirtual(epoch)}
}

// A view is one instance's access to the world. Each call gives way before it
// reaches the store and may lose its answer.
type view struct {
	persimmoncart.Store // panics on calls that the keeper does not make

	choose func(n int) int
	world  *world
	yield  func(label string) bool
}

func (v *view) Create(_ context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return v.write("create", key, value, 0)
}

func (v *view) Get(_ context.Context, key string) (persimmoncart.Object, error) {
	if v.yield != nil && !v.yield("get") {
		return persimmoncart.Object{}, errors.New("stopped")
	}
	object, ok := v.world.objects[key]
	if !ok {
		return persimmoncart.Object{}, &persimmoncart.NotFoundError{Key: key}
	}
	return object, nil
}

func (v *view) Update(_ context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return v.write("update", key, value, version)
}

func (v *view) write(op, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	if v.yield != nil && !v.yield(op) {
		return 0, errors.New("stopped")
	}
	result := 0
	if v.world.faults > 0 {
		if result = v.choose(3); result != 0 {
			v.world.faults--
		}
	}
	if result == 1 {
		return 0, &persimmoncart.UnavailableError{Err: errors.New("refused"), Operation: op}
	}
	if have := v.world.objects[key].Version; have != version {
		return 0, &persimmoncart.ConflictError{Have: have, Key: key, Want: version}
	}
	v.world.version++
	v.world.objects[key] = persimmoncart.Object{Key: key, Value: value, Version: v.world.version}
	if result == 2 {
		return 0, &persimmoncart.AmbiguousError{Err: errors.New("answer lost"), Key: key}
	}
	return v.world.version, nil
}

// keeper returns a keeper with a term of 10 s and a margin of 1 s.
func (w *world) keeper(name string, store persimmoncart.Store) *lease.Keeper {
	return &lease.Keeper{
		Margin: time.Second,
		Self:   persimmoncart.Tag{Incarnation: 1, Instance: persimmoncart.InstanceID(name)},
		Store:  store,
		Term:   10 * time.Second,
		Timer:  w.timer,
	}
}

func ExampleKeeper() {
	w := newWorld()
	first := w.keeper("entry-1", &view{world: w})
	second := w.keeper("entry-2", &view{world: w})
	held, _ := first.Acquire(context.Background(), "plan")
	fmt.Println("fence", held.Fence, "for", held.Expires.Sub(epoch))
	_, err := second.Acquire(context.Background(), "plan")
	fmt.Println(err)
	w.timer.Advance(11 * time.Second)
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
		steps func(t *testing.T, w *world, a, b *lease.Keeper)
	}{
		{
			// Guards against a successor that has to wait although the holder stopped in order.
			name: "release",
			steps: func(t *testing.T, _ *world, a, b *lease.Keeper) {
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
			steps: func(t *testing.T, w *world, a, b *lease.Keeper) {
				for range 5 {
					held, err := a.Acquire(t.Context(), "plan")
					assert.NilError(t, err)
					assert.Equal(t, held.Fence, uint64(1))
					_, err = b.Acquire(t.Context(), "plan")
					var taken *persimmoncart.LeaseHeldError
					assert.Assert(t, errors.As(err, &taken))
					assert.Equal(t, taken.Holder, persimmoncart.InstanceID("a"))
					w.timer.Advance(5 * time.Second)
				}
			},
		},
		{
			// Guards against a restarted process that takes its predecessor's lease for its own.
			name: "restart",
			steps: func(t *testing.T, w *world, a, _ *lease.Keeper) {
				_, err := a.Acquire(t.Context(), "plan")
				assert.NilError(t, err)
				restarted := w.keeper("a", &view{world: w})
				restarted.Self.Incarnation = 2
				_, err = restarted.Acquire(t.Context(), "plan")
				var taken *persimmoncart.LeaseHeldError
				assert.Assert(t, errors.As(err, &taken))
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld()
			tc.steps(t, w, w.keeper("a", &view{world: w}), w.keeper("b", &view{world: w}))
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
		w := newWorld()
		w.faults = 1
		var granted []holding
		process := func(name string, rounds int) *explore.Process {
			return explore.NewProcess(func(yield func(string) bool) {
				k := w.keeper(name, &view{choose: e.Choose, world: w, yield: yield})
				for range rounds {
					held, err := k.Acquire(t.Context(), "plan")
					if err != nil {
						continue
					}
					granted = append(granted, holding{end: held.Expires, fence: held.Fence, name: name, start: w.timer.Now()})
					if !w.timer.Now().Before(held.Expires) {
						continue
					}
					if !yield("order") {
						return
					}
					w.order(held.Fence)
				}
			})
		}
		processes := []*explore.Process{process("a", 2), process("b", 2)}
		w.drive(e, processes, 2, pause)
		late += w.late
		checkHoldings(t, granted, e.Path())
		return !t.Failed()
	})
	assert.Assert(t, complete)
	assert.Assert(t, late > 0, "no schedule produced a late order")
	t.Logf("%d schedules, %d late orders refused", runs, late)
}

// A holding is the time for which an instance counted on its lease, from the
// return of Acquire.
type holding struct {
	end   time.Time
	fence uint64
	name  string
	start time.Time
}

// checkHoldings fails the test if two instances held the lease at one time.
func checkHoldings(t *testing.T, granted []holding, path []int) {
	t.Helper()
	for i, a := range granted {
		for _, b := range granted[:i] {
			if a.name == b.name {
				continue
			}
			assert.Assert(t, a.fence != b.fence, "fence %d given out twice, path %v", a.fence, path)
			assert.Assert(t, !a.start.Before(b.end) || !b.start.Before(a.end), "%v and %v overlap, path %v", a, b, path)
		}
	}
}

// drive steps the processes in every order and pauses up to pauses times.
func (w *world) drive(e *explore.Explorer, processes []*explore.Process, pauses int, pause time.Duration) {
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
			w.timer.Advance(pause)
			continue
		}
		ready[c].Step()
	}
}

// order is an order to an endpoint that checks fencing tokens.
func (w *world) order(fence uint64) {
	if fence < w.fence {
		w.late++
		return
	}
	w.fence = fence
}
