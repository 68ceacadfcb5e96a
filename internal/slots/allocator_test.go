package slots_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/slots"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A fixedConfiguration never changes.
type fixedConfiguration struct {
	snapshot persimmoncart.Snapshot
}

func (f *fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return &f.snapshot }

func (f *fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// localLenders connects allocators in one process.
type localLenders map[persimmoncart.InstanceID]persimmoncart.Lender

func (l localLenders) Lender(id persimmoncart.InstanceID) persimmoncart.Lender { return l[id] }

func engine(id persimmoncart.EndpointID, role persimmoncart.Role, slots int) *persimmoncart.Endpoint {
	return &persimmoncart.Endpoint{
		Blocks: 100, DataCentre: "sfax-hall1", ID: id, Models: []persimmoncart.ModelName{"m"},
		Pool: "hull-llm", Region: "sfax-coast", Role: role, Slots: slots,
	}
}

func configuration(endpoints ...*persimmoncart.Endpoint) *fixedConfiguration {
	f := &fixedConfiguration{persimmoncart.Snapshot{
		Endpoints: map[persimmoncart.EndpointID]*persimmoncart.Endpoint{},
		Pools:     map[persimmoncart.PoolName]*persimmoncart.Pool{"hull-llm": {Name: "hull-llm"}},
		Version:   1,
	}}
	for _, e := range endpoints {
		f.snapshot.Endpoints[e.ID] = e
	}
	return f
}

func request(class persimmoncart.Class, timeout time.Duration) persimmoncart.ReserveRequest {
	return persimmoncart.ReserveRequest{
		Class: class, Deadline: time.Now().Add(timeout), MaxOutputTokens: 100, Model: "m", Pool: "hull-llm", PromptTokens: 1000,
	}
}

func start(t *testing.T, allocator *slots.Allocator) {
	allocator.Timer = &timer.System{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- allocator.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

func usableReplicas(ids ...persimmoncart.EndpointID) (list []persimmoncart.UsableReplica) {
	for _, id := range ids {
		list = append(list, persimmoncart.UsableReplica{Blocks: 100, Endpoint: id, Owned: true, Slots: 1})
	}
	return list
}

// Guards against granting a slot twice, waking waiting requests out of queue
// order, and losing a slot when its caller leaves.
func TestReserveOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := &slots.Allocator{Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4))}
		start(t, allocator)
		allocator.SetUsable([]persimmoncart.UsableReplica{{Blocks: 100, Endpoint: "d", Owned: true, Slots: 1}, {Blocks: 100, Endpoint: "p", Owned: true, Slots: 4}})
		first, err := allocator.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.NilError(t, allocator.Commit(t.Context(), first.ID))
		var order []string
		reserve := func(name string, ctx context.Context, r persimmoncart.ReserveRequest) {
			go func() {
				grant, err := allocator.Reserve(ctx, r)
				if err != nil {
					order = append(order, name+" failed")
					return
				}
				order = append(order, name)
				allocator.Release(grant.ID)
			}()
			synctest.Wait()
		}
		leavingCtx, leave := context.WithCancel(t.Context())
		reserve("left", leavingCtx, request(persimmoncart.ClassInteractive, 50*time.Second))
		reserve("late", t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		reserve("early", t.Context(), request(persimmoncart.ClassBatch, 30*time.Second))
		reserve("interactive", t.Context(), request(persimmoncart.ClassInteractive, 50*time.Second))
		leave()
		synctest.Wait()
		allocator.Release(first.ID)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"left failed", "interactive", "early", "late"})
	})
}

// Guards against keeping a request in the queue that can no longer be served
// before its deadline.
func TestReserveRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := &slots.Allocator{Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4))}
		start(t, allocator)
		allocator.SetUsable(usableReplicas("d", "p"))
		grant, err := allocator.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.NilError(t, allocator.Commit(t.Context(), grant.ID))
		begin := time.Now()
		_, err = allocator.Reserve(t.Context(), request(persimmoncart.ClassInteractive, 10*time.Second))
		var refusal *persimmoncart.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, persimmoncart.RefusalCapacity)
		assert.Equal(t, refusal.Outcome, persimmoncart.OutcomeNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Assert(t, time.Since(begin) < 9*time.Second, "the refusal came only near the deadline")
	})
}

// Guards against an expired grant that still occupies its slots, and against the
// commit of an expired grant.
func TestGrantExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := &slots.Allocator{Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4))}
		start(t, allocator)
		allocator.SetUsable(usableReplicas("d", "p"))
		grant, err := allocator.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		var unknown *slots.UnknownGrantError
		assert.Assert(t, errors.As(allocator.Commit(t.Context(), grant.ID), &unknown))
		grant, err = allocator.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.NilError(t, allocator.Commit(t.Context(), grant.ID))
		time.Sleep(3 * time.Second)
		allocator.Release(grant.ID)
	})
}

// Guards against an owner that grants a lent slot again, and against a lent slot
// that stays occupied after the borrower has released it.
func TestBorrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 1))
		lenders := localLenders{}
		var allocators []*slots.Allocator
		for _, id := range []persimmoncart.InstanceID{"n1", "n2", "n3"} {
			allocator := &slots.Allocator{Configuration: c, Lenders: lenders, Self: persimmoncart.Instance{ID: id, Region: "sfax-coast"}}
			lenders[id] = allocator
			allocators = append(allocators, allocator)
			start(t, allocator)
		}
		allocators[0].SetUsable(usableReplicas("d"))
		allocators[1].SetUsable(usableReplicas("p"))
		for _, allocator := range allocators {
			for _, peer := range allocators {
				allocator.UpdateDigest(peer.Digest(), time.Millisecond)
			}
		}
		grant, err := allocators[2].Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, grant.Decode.ID, persimmoncart.EndpointID("d"))
		assert.Equal(t, grant.Prefill.ID, persimmoncart.EndpointID("p"))
		assert.NilError(t, allocators[2].Commit(t.Context(), grant.ID))
		allocators[2].PrefillDone(grant.ID)
		time.Sleep(5 * time.Second)
		assert.Equal(t, allocators[0].Digest().Pools[0].FreeSlots, 0)
		assert.Equal(t, allocators[1].Digest().Pools[0].FreeSlots, 1)
		allocators[2].Release(grant.ID)
		time.Sleep(time.Second)
		assert.Equal(t, allocators[0].Digest().Pools[0].FreeSlots, 1)
	})
}

// Guards against a borrow whose repetition takes the reply away from the first call,
// and against a call that ends and takes the reply away from the other one.
func TestLendRepeated(t *testing.T) {
	for _, c := range []struct {
		name   string
		cancel bool // the first call ends before the loan
	}{
		{name: "both calls wait"},
		{name: "the first call ends", cancel: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				allocator := &slots.Allocator{
					Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4)),
					Self:          persimmoncart.Instance{ID: "n1", Region: "sfax-coast"},
				}
				start(t, allocator)
				allocator.SetUsable(usableReplicas("d", "p"))
				grant, err := allocator.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
				assert.NilError(t, err)
				borrow := persimmoncart.BorrowRequest{
					From: "n2", ID: 1, Items: []persimmoncart.BorrowItem{{Decode: true, Request: request(persimmoncart.ClassBatch, time.Minute)}},
					Wait: 20 * time.Second,
				}
				var loans [2]persimmoncart.Loan
				var errs [2]error
				var calls sync.WaitGroup
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				first, cancelFirst := context.WithCancel(ctx)
				defer cancelFirst()
				for n, ctx := range []context.Context{first, ctx} {
					calls.Go(func() { loans[n], errs[n] = allocator.Lend(ctx, borrow) })
					synctest.Wait()
				}
				if c.cancel {
					cancelFirst()
					synctest.Wait()
				}
				allocator.Release(grant.ID)
				calls.Wait()
				assert.NilError(t, errs[1])
				assert.Equal(t, len(loans[1].Slots), 1)
				if c.cancel {
					assert.ErrorIs(t, errs[0], context.Canceled)
					return
				}
				assert.NilError(t, errs[0])
				assert.DeepEqual(t, loans[0], loans[1])
			})
		})
	}
}

// Reserves a prefill slot and a decode slot with its memory in one call.
func ExampleAllocator() {
	allocator := &slots.Allocator{
		Configuration: configuration(engine("decode-1", persimmoncart.RoleDecode, 20), engine("prefill-1", persimmoncart.RolePrefill, 8)),
		Self:          persimmoncart.Instance{ID: "n1", Region: "sfax-coast"},
		Timer:         &timer.System{},
	}
	allocator.SetUsable(usableReplicas("decode-1", "prefill-1"))
	grant, err := allocator.Reserve(context.Background(), request(persimmoncart.ClassBatch, time.Minute))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(grant.Prefill.ID, grant.Decode.ID, grant.Blocks)
	allocator.PrefillDone(grant.ID)
	allocator.Release(grant.ID)
	// Output: prefill-1 decode-1 2
}

// Guards against allocation by the configured role after an order has changed the
// role of an engine. The engine would refuse the calls, and its capacity in the
// new role would stay unused.
func TestReportedRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := &slots.Allocator{Configuration: configuration(engine("a", persimmoncart.RolePrefill, 4), engine("b", persimmoncart.RolePrefill, 4))}
		start(t, allocator)
		allocator.SetUsable([]persimmoncart.UsableReplica{{Blocks: 100, Endpoint: "a", Owned: true, Slots: 4}, {Blocks: 100, Endpoint: "b", Owned: true, Slots: 4}})
		allocator.ApplyLoadReport("a", persimmoncart.LoadReport{Models: []persimmoncart.ModelName{"m"}, Role: persimmoncart.RoleDecode})
		grant, err := allocator.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, grant.Decode.ID, persimmoncart.EndpointID("a"))
		assert.Equal(t, grant.Prefill.ID, persimmoncart.EndpointID("b"))
		allocator.Release(grant.ID)
	})
}
