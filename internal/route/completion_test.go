package route_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Addresses of two prefill and two decode engines.
var (
	p1 = netip.MustParseAddrPort("10.0.0.1:1")
	p2 = netip.MustParseAddrPort("10.0.0.2:1")
	d1 = netip.MustParseAddrPort("10.0.1.1:1")
	d2 = netip.MustParseAddrPort("10.0.1.2:1")
)

// fullText is the complete response of a completion.
const fullText = "0 1 2 3 4 5 6 7 8 9 "

// A fixture is a router with fake engines, allocator and sink.
type fixture struct {
	allocator *fakeAllocator
	engines   *fakeEngines
	router    *route.Router
	sink      *fakeSink
}

func newFixture() *fixture {
	f := &fixture{engines: &fakeEngines{byAddr: make(map[netip.AddrPort]*fakeEngine)}, sink: &fakeSink{}}
	for _, a := range []netip.AddrPort{p1, p2, d1, d2} {
		f.engines.byAddr[a] = &fakeEngine{engines: f.engines, held: make(map[persimmoncart.AttemptID]bool)}
	}
	f.allocator = &fakeAllocator{granted: make(map[persimmoncart.GrantID]bool), pairs: [][2]netip.AddrPort{{p1, d1}, {p2, d2}}}
	f.router = &route.Router{RetryBudgets: &route.RetryBudgets{Seed: 1, Timer: &timer.System{}}, Engines: f.engines, Allocator: f.allocator, Timer: &timer.System{}}
	return f
}

// complete serves one completion. It checks that no memory or grant is held
// afterwards.
func (f *fixture) complete(ctx context.Context, t *testing.T) (route.RequestSummary, error) {
	t.Helper()
	now := time.Now()
	result, err := f.router.Complete(ctx, route.CompletionRequest{
		Account:         &persimmoncart.Account{Name: "a"},
		Arrived:         now,
		Class:           persimmoncart.ClassInteractive,
		Deadline:        now.Add(30 * time.Second),
		ID:              "r",
		MaxOutputTokens: 100,
		Pool:            &persimmoncart.Pool{Name: "p", FirstTokenTarget: time.Second},
		Prompt:          "prompt",
		Route:           &persimmoncart.Route{Name: "draft"},
	}, f.sink)
	f.router.Wait()
	assert.DeepEqual(t, f.engines.held(), []string(nil))
	assert.Equal(t, len(f.allocator.granted), 0)
	for _, e := range f.engines.byAddr {
		// With an earlier deadline the sweeper would cancel the running stream.
		assert.Assert(t, e.importDeadline.IsZero() || e.importDeadline.Equal(now.Add(30*time.Second)))
	}
	return result, err
}

// Guards against responses that lack tokens, repeat tokens or contain tokens of
// another attempt when an engine fails in any phase, and against memory that stays
// occupied after the failed attempt.
func TestCompletionFailures(t *testing.T) {
	broken := errors.New("connection reset")
	refused := &persimmoncart.EndpointRefusedError{Addr: p1, Reason: "full"}
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	decodes := func(s fakeStream) func(*fixture) {
		return func(f *fixture) {
			e := f.engines.byAddr[d1]
			e.decode = func(q persimmoncart.DecodeRequest) persimmoncart.TokenStream {
				s.engine, s.request, s.next, s.last = e, q, q.Start, 9
				return &s
			}
		}
	}
	tests := []struct {
		name     string
		set      func(*fixture)
		reason   persimmoncart.RetryReason
		attempts int
	}{
		{"no failure", func(*fixture) {}, "", 1},
		{"grant lost", func(f *fixture) { f.allocator.commitErr = broken }, persimmoncart.RetrySlotLost, 2},
		{"prefill refused", func(f *fixture) {
			f.engines.byAddr[p1].prefill = func(context.Context, *persimmoncart.PrefillResult) error {
				f.engines.byAddr[p1].held = map[persimmoncart.AttemptID]bool{} // the engine refused before it acted
				return refused
			}
		}, persimmoncart.RetryEndpointRefused, 2},
		{"prefill engine dies", func(f *fixture) {
			f.engines.byAddr[p1].prefill = func(context.Context, *persimmoncart.PrefillResult) error { return broken }
		}, persimmoncart.RetryEndpointDied, 2},
		{"prefill answer crossed", func(f *fixture) {
			f.engines.byAddr[p1].prefill = func(_ context.Context, r *persimmoncart.PrefillResult) error {
				return &persimmoncart.AttemptMismatchError{Want: r.Attempt}
			}
		}, persimmoncart.RetryEndpointDied, 2},
		{"KV cache evicted", func(f *fixture) {
			f.engines.byAddr[d1].importKVCache = func(context.Context) error { return &persimmoncart.KVMissingError{Handle: "h"} }
		}, persimmoncart.RetryKVEvicted, 2},
		{"transfer stalls", func(f *fixture) { f.engines.byAddr[d1].importKVCache = hang }, persimmoncart.RetryTransferStalled, 2},
		{"stream ends early", decodes(fakeStream{breakAt: 4}), persimmoncart.RetryResume, 2},
		{"stream hangs", decodes(fakeStream{hangAt: 4}), persimmoncart.RetryResume, 2},
		{"stream dies before its first token", decodes(fakeStream{hangAt: -1, breakAt: -1, mutate: func(t *persimmoncart.Token) {
			t.Index = 3
		}}), persimmoncart.RetryEndpointDied, 2},
		{"token skipped", decodes(fakeStream{mutate: func(t *persimmoncart.Token) {
			if t.Index > 3 {
				t.Index++
			}
		}}), persimmoncart.RetryResume, 2},
		{"tokens of another attempt", decodes(fakeStream{mutate: func(t *persimmoncart.Token) {
			if t.Index > 3 {
				t.Attempt.Number = 7
			}
		}}), persimmoncart.RetryResume, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				test.set(f)
				result, err := f.complete(t.Context(), t)
				assert.NilError(t, err)
				assert.Equal(t, f.sink.text.String(), fullText)
				assert.Equal(t, result.RetryReason, test.reason)
				assert.Equal(t, result.Attempts, test.attempts)
			})
		})
	}
}

// Guards against a resumed stream that starts at the wrong token.
func TestCompletionResumesAfterSentTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		e := f.engines.byAddr[d1]
		e.decode = func(q persimmoncart.DecodeRequest) persimmoncart.TokenStream {
			return &fakeStream{breakAt: 3, engine: e, last: 9, request: q}
		}
		_, err := f.complete(t.Context(), t)
		assert.NilError(t, err)
		assert.DeepEqual(t, f.engines.byAddr[p2].prefillRequests[0].Generated, []string{"0 ", "1 ", "2 "})
		assert.DeepEqual(t, f.allocator.requests[1].Avoid, []persimmoncart.EndpointID{"10.0.1.1:1"})
		assert.Equal(t, f.allocator.requests[1].MaxOutputTokens, 97)
	})
}

// Guards against refusals with a wrong code or outcome.
func TestCompletionRefusals(t *testing.T) {
	broken := errors.New("connection reset")
	tests := []struct {
		name    string
		set     func(*fixture)
		code    persimmoncart.RefusalCode
		outcome persimmoncart.Outcome
	}{
		{"no room", func(f *fixture) { f.allocator.pairs = nil }, persimmoncart.RefusalCapacity, persimmoncart.OutcomeNotRun},
		{"no budget", func(f *fixture) {
			f.router.MaxAttempts = 1
			f.engines.byAddr[p1].prefill = func(context.Context, *persimmoncart.PrefillResult) error { return broken }
		}, persimmoncart.RefusalEndpointFailed, persimmoncart.OutcomeUnknown},
		{"never sent", func(f *fixture) {
			f.router.MaxAttempts = 1
			f.engines.byAddr[p1].prefill = func(context.Context, *persimmoncart.PrefillResult) error {
				f.engines.byAddr[p1].held = map[persimmoncart.AttemptID]bool{} // the engine was not reached
				return &persimmoncart.UnavailableError{Err: broken, Operation: "dial"}
			}
		}, persimmoncart.RefusalEndpointFailed, persimmoncart.OutcomeNotRun},
		{"stream cannot continue", func(f *fixture) {
			f.allocator.pairs = f.allocator.pairs[:1]
			f.engines.byAddr[d1].decode = func(q persimmoncart.DecodeRequest) persimmoncart.TokenStream {
				return &fakeStream{breakAt: 3, engine: f.engines.byAddr[d1], last: 9, request: q}
			}
		}, persimmoncart.RefusalStreamBroken, persimmoncart.OutcomeUnknown},
		{"deadline", func(f *fixture) {
			f.engines.byAddr[p1].prefill = func(ctx context.Context, _ *persimmoncart.PrefillResult) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}, persimmoncart.RefusalDeadline, persimmoncart.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				test.set(f)
				_, err := f.complete(t.Context(), t)
				refusal := &persimmoncart.Refusal{}
				assert.Assert(t, errors.As(err, &refusal), "%v", err)
				assert.Equal(t, refusal.Code, test.code)
				assert.Equal(t, refusal.Outcome, test.outcome)
				assert.Assert(t, refusal.RetryAfter > 0)
			})
		})
	}
}

// Guards against memory that stays occupied when the caller disconnects in any
// phase.
func TestCompletionCallerLeaves(t *testing.T) {
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	tests := map[string]func(*fixture){
		"in prefill": func(f *fixture) {
			f.engines.byAddr[p1].prefill = func(ctx context.Context, _ *persimmoncart.PrefillResult) error { return hang(ctx) }
		},
		"in transfer":   func(f *fixture) { f.engines.byAddr[d1].importKVCache = hang },
		"in decode":     func(*fixture) {},
		"while writing": func(f *fixture) { f.sink.limit = 2 },
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				set(f)
				ctx, cancel := context.WithTimeout(t.Context(), 55*time.Millisecond)
				defer cancel()
				start := time.Now()
				_, err := f.complete(ctx, t)
				gone := &route.CallerGoneError{}
				assert.Assert(t, errors.As(err, &gone), "%v", err)
				assert.Assert(t, time.Since(start) <= 55*time.Millisecond, "memory was freed late")
			})
		})
	}
}
