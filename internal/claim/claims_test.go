package claim_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/claim"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// newClaims returns the Claims of an instance with the given name.
func newClaims(name string, store persimmoncart.Store) *claim.Claims {
	return &claim.Claims{
		Self:  persimmoncart.Tag{Incarnation: 1, Instance: persimmoncart.InstanceID(name)},
		Store: store,
		Timer: &timer.System{},
	}
}

// keyOf returns a key in bucket n modulo the number of buckets.
func keyOf(n uint64) persimmoncart.ClaimKey {
	var key persimmoncart.ClaimKey
	binary.BigEndian.PutUint64(key[:8], n)
	return key
}

func ExampleClaims() {
	ctx := context.Background()
	store := &objectapi.Memory{Timer: &timer.System{}}
	first, second := newClaims("entry-1", store), newClaims("entry-2", store)
	grant, _ := first.Claim(ctx, keyOf(7))
	fmt.Println("first", grant.Granted)
	again, _ := second.Claim(ctx, keyOf(7))
	fmt.Println("second", again.Granted, again.Record.State)
	response := &persimmoncart.CallResponse{Body: []byte("posted"), Status: http.StatusCreated}
	_ = first.Settle(ctx, grant, persimmoncart.ClaimAnswered, response)
	record, _ := second.Outcome(ctx, keyOf(7))
	fmt.Println(record.State, record.Response.Status, string(record.Response.Body))
	// Output:
	// first true
	// second false claimed
	// answered 201 posted
}

// Guards against records that are lost or return to an earlier state when a head
// is sealed, and against a head that outgrows the store's limit.
func TestSealing(t *testing.T) {
	store := &objectapi.Memory{Timer: &timer.System{}}
	c := newClaims("a", store)
	c.Buckets = 1
	body := bytes.Repeat([]byte("x"), 1500)
	const calls = 200
	for i := range uint64(calls) {
		grant, err := c.Claim(t.Context(), keyOf(i))
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
		response := &persimmoncart.CallResponse{Body: body, Status: http.StatusOK}
		assert.NilError(t, c.Settle(t.Context(), grant, persimmoncart.ClaimAnswered, response))
	}
	objects, err := store.List(t.Context(), "claims/")
	assert.NilError(t, err)
	assert.Assert(t, len(objects) > 3, "%d objects", len(objects))
	other := newClaims("b", store)
	other.Buckets = 1
	for i := range uint64(calls) {
		grant, err := other.Claim(t.Context(), keyOf(i))
		assert.NilError(t, err)
		assert.Assert(t, !grant.Granted)
		assert.Equal(t, grant.Record.State, persimmoncart.ClaimAnswered)
	}
}

// Guards against a claim that stays open for ever although its call was refused as
// one that did not run: after an outage the same key can be claimed again.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var up atomic.Bool
		store := &objectapi.Faulty{
			Decide: downAfterWrite(&up),
			Store:  &objectapi.Memory{Timer: &timer.System{}},
			Timer:  &timer.System{},
		}
		c := newClaims("a", store)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		store.LoseResponses(1)
		_, err := c.Claim(t.Context(), keyOf(1))
		var down *persimmoncart.UnavailableError
		assert.Assert(t, errors.As(err, &down), "%v", err)
		up.Store(true)
		time.Sleep(5 * time.Second)
		grant, err := newClaims("b", store).Claim(t.Context(), keyOf(1))
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
		cancel()
		assert.NilError(t, <-done)
	})
}

// Guards against reporting a repeated payment as not run although the first call
// may have run, while the store is down and the repeat arrives at another instance.
// Both instances send their claims to the writer of the bucket, which caches the
// record.
func TestRepeatWhileStoreDown(t *testing.T) {
	store := &objectapi.Faulty{Store: &objectapi.Memory{Timer: &timer.System{}}, Timer: &timer.System{}}
	writer := newClaims("writer", store)
	first, err := writer.WriteClaim(t.Context(), keyOf(1), persimmoncart.Nonce{Sequence: 1, Tag: persimmoncart.Tag{Instance: "a"}})
	assert.NilError(t, err)
	assert.Assert(t, first.Granted)
	store.SetDown(true)
	again := persimmoncart.Nonce{Sequence: 1, Tag: persimmoncart.Tag{Instance: "b"}}
	repeat, err := writer.WriteClaim(t.Context(), keyOf(1), again)
	assert.NilError(t, err)
	assert.Assert(t, !repeat.Granted)
	assert.Equal(t, repeat.Record.State, persimmoncart.ClaimClaimed)
	_, err = writer.WriteClaim(t.Context(), keyOf(2), again)
	var down *persimmoncart.UnavailableError
	assert.Assert(t, errors.As(err, &down), "%v", err)
}

// downAfterWrite lets one write through and refuses every later call until up.
func downAfterWrite(up *atomic.Bool) func(objectapi.CallKind, string) objectapi.Fault {
	var down atomic.Bool
	return func(kind objectapi.CallKind, _ string) objectapi.Fault {
		f := objectapi.Fault{Down: down.Load() && !up.Load()}
		if kind == objectapi.CallWrite {
			down.Store(true)
		}
		return f
	}
}

// Guards against claims that are no longer batched: many concurrent claims need
// only a few writes.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &objectapi.Memory{Timer: &timer.System{}}
		c := newClaims("a", &objectapi.Faulty{
			Decide: func(objectapi.CallKind, string) objectapi.Fault {
				return objectapi.Fault{Delay: 4 * time.Millisecond}
			},
			Store: memory,
			Timer: &timer.System{},
		})
		c.Buckets = 4
		const calls = 400
		var wg sync.WaitGroup
		for i := range uint64(calls) {
			wg.Go(func() {
				grant, err := c.Claim(t.Context(), keyOf(i))
				assert.Check(t, err)
				assert.Check(t, grant.Granted)
			})
		}
		wg.Wait()
		assert.Assert(t, memory.Counters().Writes <= calls/20, "%d writes", memory.Counters().Writes)
	})
}

// Guards against a second dispatch by concurrent claimants on several instances
// under random store faults. A simple model counts the dispatches of each key.
func TestConcurrentClaimants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 20, 60).Draw(rt, "faults")
		keys := rapid.Uint64Range(1, 3).Draw(rt, "keys")
		synctest.Test(t, func(t *testing.T) {
			memory := &objectapi.Memory{Timer: &timer.System{}}
			store := &objectapi.Faulty{Decide: scriptedFaults(faults), Store: memory, Timer: &timer.System{}}
			var mutex sync.Mutex
			dispatched := map[persimmoncart.ClaimKey]int{}
			var wg sync.WaitGroup
			for i := range uint64(4) {
				c := newClaims(fmt.Sprintf("entry-%d", i), store)
				c.Buckets = 2
				for k := range keys {
					wg.Go(func() {
						grant, err := c.Claim(t.Context(), keyOf(k))
						if err != nil || !grant.Granted {
							return
						}
						mutex.Lock()
						dispatched[grant.Key]++
						mutex.Unlock()
						_ = c.Settle(t.Context(), grant, persimmoncart.ClaimAnswered, nil)
					})
				}
			}
			wg.Wait()
			for key, n := range dispatched {
				assert.Equal(t, n, 1, "key %x", key[:])
			}
		})
	})
}

// scriptedFaults injects a repeating sequence of faults, one for each write.
func scriptedFaults(script []int) func(objectapi.CallKind, string) objectapi.Fault {
	var mutex sync.Mutex
	next := 0
	return func(kind objectapi.CallKind, _ string) objectapi.Fault {
		f := objectapi.Fault{Delay: 2 * time.Millisecond}
		if kind != objectapi.CallWrite {
			return f
		}
		mutex.Lock()
		defer mutex.Unlock()
		switch script[next%len(script)] {
		case 0:
			f.ResponseLost = true
		case 1:
			f.RequestDropped = true
		case 2:
			f.Down = true
		}
		next++
		return f
	}
}
