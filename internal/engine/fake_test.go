package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func ExampleFakeToken() {
	fmt.Println(engine.FakeToken("Weigh lot 4711", 0) == engine.NewFakeOutput("Weigh lot 4711").Token(0))
	fmt.Println(engine.CountTokens("Weigh lot 4711"))
	// Output:
	// true
	// 4
}

// newFakes returns a prefill engine and a decode engine with default settings.
func newFakes() (prefill, decode *engine.Fake) {
	clock, fakes := &timer.System{}, &engine.Fakes{}
	prefill = engine.NewFake(netip.MustParseAddrPort("10.0.0.1:1"), persimmoncart.RolePrefill, clock)
	decode = engine.NewFake(netip.MustParseAddrPort("10.0.0.2:1"), persimmoncart.RoleDecode, clock)
	for _, f := range []*engine.Fake{prefill, decode} {
		f.Models = []persimmoncart.ModelName{model}
		fakes.Add(f)
	}
	return prefill, decode
}

// Guards against an engine whose speed differs from its settings, which would
// invalidate measurements of the router.
func TestSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := newFakes()
		p := &enginePair{decode: decode, prefill: prefill, fakeDecode: decode, fakePrefill: prefill}
		start := time.Now()
		prompt := strings.Repeat("abcd", 2500) // 100 ms of prefill and 40 ms of transfer
		s := p.startGeneration(t.Context(), t, persimmoncart.AttemptID{Request: "a"}, prompt, 10, nil)
		assert.Equal(t, time.Since(start), 140*time.Millisecond)
		_, err := readAll(t.Context(), s)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, time.Since(start), 340*time.Millisecond)
		var streams []persimmoncart.TokenStream
		decode.Change(func(f *engine.Faults) { f.Slow = 2 })
		for n := range 21 {
			s := p.startGeneration(t.Context(), t, persimmoncart.AttemptID{Request: "b", Number: n}, "x", 1000, nil)
			streams = append(streams, s)
		}
		load, err := decode.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, load.Running, 0)
		time.Sleep(2 * time.Second)
		load, err = decode.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, load.Running, 20)
		assert.Equal(t, load.Waiting, 1)
		for _, s := range streams {
			assert.NilError(t, s.Close())
		}
		c := decode.Counters()
		// With 20 requests and Slow at 2, a step takes 59 ms.
		assert.Assert(t, c.Decoded > 20*33 && c.Decoded < 20*36, "%+v", c)
	})
}

// Guards against a waiting batch prompt that is prefilled before an interactive
// one, and against exports and cached blocks that are not evicted in time.
func TestPrefillOrderAndEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := newFakes()
		prompt := strings.Repeat("abcd", 5000)
		type end struct {
			class  persimmoncart.Class
			result persimmoncart.PrefillResult
		}
		ends := make(chan end, 3)
		for n, c := range []persimmoncart.Class{persimmoncart.ClassBatch, persimmoncart.ClassBatch, persimmoncart.ClassInteractive} {
			go func() {
				r, err := prefill.Prefill(t.Context(), persimmoncart.PrefillRequest{
					Attempt: persimmoncart.AttemptID{Request: "r", Number: n}, Class: c, Model: model, Prompt: prompt,
				})
				if err == nil {
					ends <- end{class: c, result: r}
				}
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, (<-ends).class, persimmoncart.ClassBatch)
		assert.Equal(t, (<-ends).class, persimmoncart.ClassInteractive)
		e := <-ends
		last := e.result
		assert.Equal(t, e.class, persimmoncart.ClassBatch)
		assert.Equal(t, last.CachedTokens, 4*persimmoncart.BlockTokens)
		time.Sleep(time.Second)
		missing := &persimmoncart.KVMissingError{}
		err := decode.Import(t.Context(), persimmoncart.ImportRequest{Attempt: last.Attempt, Blocks: 5, From: prefill.Addr, Handle: last.Handle})
		assert.Assert(t, errors.As(err, &missing))
		c := prefill.Counters()
		assert.Equal(t, c.Evicted, uint64(3))
		assert.Equal(t, c.Wasted, c.Prefilled)
		r, err := prefill.Prefill(t.Context(), persimmoncart.PrefillRequest{
			Attempt: persimmoncart.AttemptID{Request: "r", Number: 9}, Model: model, Prompt: prompt,
		})
		assert.NilError(t, err)
		assert.Equal(t, r.CachedTokens, 0)
		assert.NilError(t, prefill.Release(t.Context(), r.Attempt))
	})
}

// Guards against memory that is not freed when calls, cancellations and restarts
// are concurrent.
func TestMemoryAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := newFakes()
		p := &enginePair{decode: decode, prefill: prefill, fakeDecode: decode, fakePrefill: prefill}
		ctx, cancel := context.WithCancel(t.Context())
		for n := range 40 {
			go func() {
				attempt := persimmoncart.AttemptID{Request: "r", Number: n}
				r, err := prefill.Prefill(ctx, persimmoncart.PrefillRequest{Attempt: attempt, Model: model, Prompt: strings.Repeat("x", 400*n)})
				if err != nil {
					return
				}
				if err := decode.Import(ctx, persimmoncart.ImportRequest{Attempt: attempt, Blocks: 2, From: prefill.Addr, Handle: r.Handle}); err != nil {
					return
				}
				s, err := decode.Decode(ctx, persimmoncart.DecodeRequest{Attempt: attempt, MaxOutputTokens: 50})
				if err == nil {
					_, _ = readAll(ctx, s)
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
		decode.Change(func(f *engine.Faults) { f.Down = true })
		decode.Change(func(f *engine.Faults) { f.Down = false })
		time.Sleep(100 * time.Millisecond)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		p.assertEmpty(t.Context(), t)
	})
}
