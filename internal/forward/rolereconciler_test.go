package forward_test

import (
	"context"
	"io"
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

// A slowBody body takes a second for each read.
type slowBody struct{ io.ReadCloser }

func (s slowBody) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return s.ReadCloser.Read(p)
}

// A fakeOrders is a set of engines that take orders.
type fakeOrders struct {
	lost bool // orders are taken and not answered

	mutex  sync.Mutex
	orders []persimmoncart.RoleOrder
	states map[persimmoncart.EndpointID]persimmoncart.RoleState
}

func (o *fakeOrders) SetRole(_ context.Context, e *persimmoncart.Endpoint, order persimmoncart.RoleOrder) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.orders = append(o.orders, order)
	s := o.states[e.ID]
	if order.Sequence != s.Sequence {
		return refused()
	}
	s.Role, s.Sequence = order.Role, s.Sequence+1
	o.states[e.ID] = s
	if o.lost {
		return errReset
	}
	return nil
}

func (o *fakeOrders) State(_ context.Context, e *persimmoncart.Endpoint) (persimmoncart.RoleState, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	s, found := o.states[e.ID]
	if !found {
		s = persimmoncart.RoleState{Role: e.Role}
		if o.states == nil {
			o.states = make(map[persimmoncart.EndpointID]persimmoncart.RoleState)
		}
		o.states[e.ID] = s
	}
	return s, nil
}

// received returns the orders so far.
func (o *fakeOrders) received() []persimmoncart.RoleOrder {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]persimmoncart.RoleOrder(nil), o.orders...)
}

// roleReconciler returns a roleReconciler of the world under a name of its own.
func (f *fixture) roleReconciler(id persimmoncart.InstanceID, store persimmoncart.Store, orders *fakeOrders) *forward.RoleReconciler {
	clock := &timer.System{}
	return &forward.RoleReconciler{
		Directory: f.Directory,
		Leases: &lease.Keeper{
			Margin: 2 * time.Second, Self: persimmoncart.Tag{Incarnation: 1, Instance: id}, Store: store, Term: 8 * time.Second, Timer: clock,
		},
		Logger: zerolog.Nop(), Orders: orders, Self: id, Timer: clock,
	}
}

// serveLongAnswers serves generations with long answers, which need decode engines most.
func (f *fixture) serveLongAnswers(t *testing.T) {
	t.Helper()
	f.Upstream.prefill = func(int) error {
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
		a := streamed(events(1, 5), io.EOF)
		a.Body = slowBody{a.Body}
		return a, nil
	}
	for range 20 {
		_, _, err := f.serve(t.Context(), "/draft/")
		assert.NilError(t, err)
	}
}

// Guards against two instances that order the same engines, and against orders
// under one fencing token by two of them.
func TestRoleReconcilersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.serveLongAnswers(t)
		store := &objectapi.Memory{Timer: &timer.System{}}
		orders := &fakeOrders{}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 3)
		for _, id := range []persimmoncart.InstanceID{"i1", "i2", "i3"} {
			go func() { ended <- f.roleReconciler(id, store, orders).Run(ctx) }()
		}
		time.Sleep(9 * time.Second)
		given := orders.received()
		assert.Equal(t, len(given), 1, "%v", given)
		assert.Equal(t, given[0].Role, persimmoncart.RoleDecode)
		assert.Equal(t, given[0].Fence, uint64(1))
		cancel()
		for range 3 {
			assert.ErrorIs(t, <-ended, context.Canceled)
		}
	})
}

// Guards against an order without an answer that is repeated at once, and may
// then be carried out twice.
func TestRoleReconcilerLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.serveLongAnswers(t)
		orders := &fakeOrders{lost: true}
		ctx, cancel := context.WithTimeout(t.Context(), 11*time.Second)
		defer cancel()
		s := f.roleReconciler("i1", &objectapi.Memory{Timer: &timer.System{}}, orders)
		assert.ErrorIs(t, s.Run(ctx), context.DeadlineExceeded)
		assert.Equal(t, len(orders.received()), 1)
	})
}

// Guards against orders while the store, and with it the lease, cannot be reached.
func TestRoleReconcilerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.serveLongAnswers(t)
		orders := &fakeOrders{}
		store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: &timer.System{}}, Timer: &timer.System{}}
		store.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		assert.ErrorIs(t, f.roleReconciler("i1", store, orders).Run(ctx), context.DeadlineExceeded)
		assert.Equal(t, len(orders.received()), 0)
	})
}
