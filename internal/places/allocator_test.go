package places_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/places"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct {
	snapshot persimmoncart.Snapshot
}

func (f *fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return &f.snapshot }

func (f *fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// localLenders connects places in one process.
type localLenders map[persimmoncart.InstanceID]persimmoncart.Lender

func (p localLenders) Lender(id persimmoncart.InstanceID) persimmoncart.Lender { return p[id] }

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

func request(class persimmoncart.Class, due time.Duration) persimmoncart.ReserveRequest {
	return persimmoncart.ReserveRequest{
		Class: class, Deadline: time.Now().Add(due), MaxOutputTokens: 100, Model: "m", Pool: "hull-llm", PromptTokens: 1000,
	}
}

func start(t *testing.T, p *places.Allocator) {
	p.Timer = &timer.System{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
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

// Guards against a slot that is granted twice, a waiter that is not woken in
// the order of the queue, and a slot lost with a caller that left.
func TestReserveOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places.Allocator{Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4))}
		start(t, p)
		p.SetUsable([]persimmoncart.UsableReplica{{Blocks: 100, Endpoint: "d", Owned: true, Slots: 1}, {Blocks: 100, Endpoint: "p", Owned: true, Slots: 4}})
		first, err := p.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.NilError(t, p.Commit(t.Context(), first.ID))
		var order []string
		wait := func(name string, ctx context.Context, r persimmoncart.ReserveRequest) {
			go func() {
				g, err := p.Reserve(ctx, r)
				if err != nil {
					order = append(order, name+" failed")
					return
				}
				order = append(order, name)
				p.Release(g.ID)
			}()
			synctest.Wait()
		}
		left, leave := context.WithCancel(t.Context())
		wait("left", left, request(persimmoncart.ClassInteractive, 50*time.Second))
		wait("late", t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		wait("early", t.Context(), request(persimmoncart.ClassBatch, 30*time.Second))
		wait("interactive", t.Context(), request(persimmoncart.ClassInteractive, 50*time.Second))
		leave()
		synctest.Wait()
		p.Release(first.ID)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"left failed", "interactive", "early", "late"})
	})
}

// Guards against holding a request that can no longer be served in time.
func TestReserveRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places.Allocator{Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4))}
		start(t, p)
		p.SetUsable(usableReplicas("d", "p"))
		g, err := p.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.NilError(t, p.Commit(t.Context(), g.ID))
		begin := time.Now()
		_, err = p.Reserve(t.Context(), request(persimmoncart.ClassInteractive, 10*time.Second))
		var refusal *persimmoncart.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, persimmoncart.RefusalCapacity)
		assert.Equal(t, refusal.Outcome, persimmoncart.OutcomeNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Assert(t, time.Since(begin) < 9*time.Second, "held until near the deadline")
	})
}

// Guards against an expired grant that still counts, and against one that is
// used after it has expired.
func TestGrantExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places.Allocator{Configuration: configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 4))}
		start(t, p)
		p.SetUsable(usableReplicas("d", "p"))
		g, err := p.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		var lost *places.UnknownGrantError
		assert.Assert(t, errors.As(p.Commit(t.Context(), g.ID), &lost))
		g, err = p.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.NilError(t, p.Commit(t.Context(), g.ID))
		time.Sleep(3 * time.Second)
		p.Release(g.ID)
	})
}

// Guards against a lent slot that the owner grants again, and against one that
// does not come back when the borrower releases it.
func TestBorrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := configuration(engine("d", persimmoncart.RoleDecode, 1), engine("p", persimmoncart.RolePrefill, 1))
		link := localLenders{}
		var all []*places.Allocator
		for _, id := range []persimmoncart.InstanceID{"n1", "n2", "n3"} {
			p := &places.Allocator{Configuration: c, Lenders: link, Self: persimmoncart.Instance{ID: id, Region: "sfax-coast"}}
			link[id] = p
			all = append(all, p)
			start(t, p)
		}
		all[0].SetUsable(usableReplicas("d"))
		all[1].SetUsable(usableReplicas("p"))
		for _, p := range all {
			for _, o := range all {
				p.UpdateDigest(o.Digest(), time.Millisecond)
			}
		}
		g, err := all[2].Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, g.Decode.ID, persimmoncart.EndpointID("d"))
		assert.Equal(t, g.Prefill.ID, persimmoncart.EndpointID("p"))
		assert.NilError(t, all[2].Commit(t.Context(), g.ID))
		all[2].PrefillDone(g.ID)
		time.Sleep(5 * time.Second)
		assert.Equal(t, all[0].Digest().Pools[0].FreeSlots, 0)
		assert.Equal(t, all[1].Digest().Pools[0].FreeSlots, 1)
		all[2].Release(g.ID)
		time.Sleep(time.Second)
		assert.Equal(t, all[0].Digest().Pools[0].FreeSlots, 1)
	})
}

// A request gets a prefill slot and a decode slot with its memory together.
func ExampleAllocator() {
	p := &places.Allocator{
		Configuration: configuration(engine("decode-1", persimmoncart.RoleDecode, 20), engine("prefill-1", persimmoncart.RolePrefill, 8)),
		Self:          persimmoncart.Instance{ID: "n1", Region: "sfax-coast"},
		Timer:         &timer.System{},
	}
	p.SetUsable(usableReplicas("decode-1", "prefill-1"))
	grant, err := p.Reserve(context.Background(), request(persimmoncart.ClassBatch, time.Minute))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(grant.Prefill.ID, grant.Decode.ID, grant.Blocks)
	p.PrefillDone(grant.ID)
	p.Release(grant.ID)
	// Output: prefill-1 decode-1 2
}

// Guards against placement by the recorded role of an engine that an order has
// moved: its calls would be refused and the moved capacity never used.
func TestObservedRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &places.Allocator{Configuration: configuration(engine("a", persimmoncart.RolePrefill, 4), engine("b", persimmoncart.RolePrefill, 4))}
		start(t, p)
		p.SetUsable([]persimmoncart.UsableReplica{{Blocks: 100, Endpoint: "a", Owned: true, Slots: 4}, {Blocks: 100, Endpoint: "b", Owned: true, Slots: 4}})
		p.ApplyLoadReport("a", persimmoncart.LoadReport{Models: []persimmoncart.ModelName{"m"}, Role: persimmoncart.RoleDecode})
		grant, err := p.Reserve(t.Context(), request(persimmoncart.ClassBatch, time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, grant.Decode.ID, persimmoncart.EndpointID("a"))
		assert.Equal(t, grant.Prefill.ID, persimmoncart.EndpointID("b"))
		p.Release(grant.ID)
	})
}
