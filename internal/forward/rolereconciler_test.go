package forward_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
	"github.com/persimmoncart/persimmoncart/internal/lease"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A fakeRoleController records role orders and applies them to a set of engines.
type fakeRoleController struct {
	lost bool // orders are carried out but their responses are lost

	mutex  sync.Mutex
	orders []persimmoncart.RoleOrder
	states map[persimmoncart.EndpointID]persimmoncart.RoleState
}

func (c *fakeRoleController) SetRole(_ context.Context, e *persimmoncart.Endpoint, order persimmoncart.RoleOrder) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.orders = append(c.orders, order)
	s := c.states[e.ID]
	if order.Sequence != s.Sequence {
		return refused()
	}
	s.Role, s.Sequence = order.Role, s.Sequence+1
	c.states[e.ID] = s
	if c.lost {
		return errReset
	}
	return nil
}

func (c *fakeRoleController) State(_ context.Context, e *persimmoncart.Endpoint) (persimmoncart.RoleState, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s, found := c.states[e.ID]
	if !found {
		// The decode engines are full and the prefill engines idle, so that a change
		// of a prefill engine is due.
		s = persimmoncart.RoleState{Role: e.Role, Tokens: 1000}
		if e.Role == persimmoncart.RoleDecode {
			s.Running, s.UsedTokens = 4, 950
		}
		if c.states == nil {
			c.states = make(map[persimmoncart.EndpointID]persimmoncart.RoleState)
		}
		c.states[e.ID] = s
	}
	return s, nil
}

// asked reports whether the state of an engine has been read.
func (c *fakeRoleController) asked() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.states) > 0
}

// received returns the orders received so far.
func (c *fakeRoleController) received() []persimmoncart.RoleOrder {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]persimmoncart.RoleOrder(nil), c.orders...)
}

// roleReconciler returns a reconciler of the fixture's directory that runs as the
// given instance.
func (f *fixture) roleReconciler(id persimmoncart.InstanceID, store persimmoncart.Store, controller *fakeRoleController) *forward.RoleReconciler {
	clock := &timer.System{}
	return &forward.RoleReconciler{
		Controller: controller, Directory: f.Directory,
		Leases: &lease.Keeper{
			Margin: 2 * time.Second, Self: persimmoncart.Tag{Incarnation: 1, Instance: id}, Store: store, Term: 8 * time.Second, Timer: clock,
		},
		Logger: zerolog.Nop(), Self: id, Timer: clock,
	}
}

// Guards against two instances that order changes of the same engines, or that
// use the same fencing token.
func TestRoleReconcilersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		store := &objectapi.Memory{Timer: &timer.System{}}
		controller := &fakeRoleController{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 3)
		for _, id := range []persimmoncart.InstanceID{"i1", "i2", "i3"} {
			go func() { ended <- f.roleReconciler(id, store, controller).Run(ctx) }()
		}
		time.Sleep(15 * time.Second)
		given := controller.received()
		assert.Equal(t, len(given), 1, "%v", given)
		assert.Equal(t, given[0].Role, persimmoncart.RoleDecode)
		assert.Equal(t, given[0].Fence, uint64(1))
		cancel()
		for range 3 {
			assert.ErrorIs(t, <-ended, context.Canceled)
		}
	})
}

// Guards against repeating an order whose response was lost at once: it may then
// be carried out twice.
func TestRoleReconcilerLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		controller := &fakeRoleController{lost: true}
		ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
		defer cancel()
		s := f.roleReconciler("i1", &objectapi.Memory{Timer: &timer.System{}}, controller)
		assert.ErrorIs(t, s.Run(ctx), context.DeadlineExceeded)
		assert.Equal(t, len(controller.received()), 1)
	})
}

// Guards against an order that replaces a prefill engine which only asks for a pause,
// and against reading its state meanwhile.
func TestRoleReconcilerPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for pool, engines := range f.Directory.Engines() {
			for n := range engines {
				if e := &engines[n]; pool == llm && e.Role == persimmoncart.RolePrefill {
					f.Directory.Notice(e, persimmoncart.EndpointNotice{RetryAfter: 30 * time.Second})
				}
			}
		}
		controller := &fakeRoleController{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		r := f.roleReconciler("i1", &objectapi.Memory{Timer: &timer.System{}}, controller)
		assert.ErrorIs(t, r.Run(ctx), context.DeadlineExceeded)
		assert.Equal(t, len(controller.received()), 0)
		assert.Equal(t, len(controller.states), 2, "only the decode engines are asked")
	})
}

// Guards against an order of a holder that was suspended and wakes up after its
// lease has ended, while the clock that it measures the lease with stood still.
func TestRoleReconcilerSuspended(t *testing.T) {
	for _, c := range []struct {
		name      string
		suspended time.Duration
		orders    int
	}{
		{name: "not suspended", orders: 1},
		{name: "for longer than the lease", suspended: 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: &timer.System{}}, Timer: &timer.System{}}
				controller := &fakeRoleController{}
				r := f.roleReconciler("i1", store, controller)
				r.Suspended = func() time.Duration {
					if !controller.asked() {
						return 0
					}
					store.SetDown(true) // a lease that has ended is not renewed
					return c.suspended
				}
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
				defer cancel()
				assert.ErrorIs(t, r.Run(ctx), context.DeadlineExceeded)
				assert.Equal(t, len(controller.received()), c.orders)
			})
		})
	}
}

// Guards against orders without a lease while the store is unreachable.
func TestRoleReconcilerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		controller := &fakeRoleController{}
		store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: &timer.System{}}, Timer: &timer.System{}}
		store.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		assert.ErrorIs(t, f.roleReconciler("i1", store, controller).Run(ctx), context.DeadlineExceeded)
		assert.Equal(t, len(controller.received()), 0)
	})
}

// Guards against a holder that gives up its unexpired lease, and reports another
// holder, because a renewal did not reach the store.
func TestRoleReconcilerRenewalLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		clock := &timer.System{}
		store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: clock}, Timer: clock}
		var log bytes.Buffer
		r := f.roleReconciler("i1", store, &fakeRoleController{})
		r.Logger = zerolog.New(&log)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(3 * time.Second) // the first check follows within 2 s
		store.DropRequests(1)
		time.Sleep(10 * time.Second)
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Equal(t, strings.Count(log.String(), "lease for role changes acquired"), 1, log.String())
		assert.Equal(t, strings.Count(log.String(), "lease for role changes not renewed, still held"), 1, log.String())
		assert.Assert(t, !strings.Contains(log.String(), "lease for role changes not acquired"), log.String())
		assert.Assert(t, !strings.Contains(log.String(), "another instance holds"), log.String())
	})
}

// A takenLeases grants a lease once; from then on another instance holds it.
type takenLeases struct {
	persimmoncart.Leases // panics on calls that the reconciler does not make

	attempts int
}

func (l *takenLeases) Acquire(_ context.Context, name string) (persimmoncart.Lease, error) {
	if l.attempts++; l.attempts > 1 {
		return persimmoncart.Lease{}, &persimmoncart.LeaseHeldError{Holder: "i2", Name: name, RetryAfter: time.Minute}
	}
	return persimmoncart.Lease{Expires: time.Now().Add(6 * time.Second), Fence: 1, Name: name}, nil
}

// Guards against a holder that keeps its unexpired lease although another instance
// holds it by now.
func TestRoleReconcilerLeaseTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var log bytes.Buffer
		r := f.roleReconciler("i1", &objectapi.Memory{Timer: &timer.System{}}, &fakeRoleController{})
		leases := &takenLeases{}
		r.Leases, r.Logger = leases, zerolog.New(&log)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(20 * time.Second)
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
		assert.Equal(t, leases.attempts, 2)
		assert.Equal(t, strings.Count(log.String(), "another instance holds"), 1, log.String())
	})
}
