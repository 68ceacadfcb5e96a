package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const model = "hull-llm"

// An enginePair is a prefill engine and a decode engine that are tested through the
// persimmoncart.Engine interface, and the fakes behind them.
type enginePair struct {
	decode, prefill         persimmoncart.Engine
	fakeDecode, fakePrefill *engine.Fake
}

// newEnginePair returns two fakes. If served, they are called over loopback HTTP.
func newEnginePair(t *testing.T, served bool) *enginePair {
	t.Helper()
	clock := &timer.System{}
	p := &enginePair{
		fakeDecode:  engine.NewFake(netip.MustParseAddrPort("127.0.0.1:1"), persimmoncart.RoleDecode, clock),
		fakePrefill: engine.NewFake(netip.MustParseAddrPort("127.0.0.1:2"), persimmoncart.RolePrefill, clock),
	}
	fakes, clients := &engine.Fakes{}, &engine.Clients{HTTP: transport.NewClient(nil)}
	for _, f := range []*engine.Fake{p.fakeDecode, p.fakePrefill} {
		f.EventLag, f.LoadReportLag, f.StepTime = 0, 0, time.Millisecond
		f.KVTTL = time.Minute
		f.Models = []persimmoncart.ModelName{model}
		f.TransferRate = 1e12
		if served {
			server := httptest.NewServer((&engine.Handler{Engine: f, Fake: f}).Handler())
			t.Cleanup(server.Close)
			f.Addr = netip.MustParseAddrPort(server.Listener.Addr().String())
			f.Exporter = clients
			continue
		}
		fakes.Add(f)
	}
	t.Cleanup(clients.HTTP.CloseIdleConnections)
	p.decode, p.prefill = p.fakeDecode, p.fakePrefill
	if served {
		p.decode, p.prefill = clients.Engine(p.fakeDecode.Addr), clients.Engine(p.fakePrefill.Addr)
	}
	return p
}

// forEach runs f on fakes in memory and on fakes behind Handler and Client.
func forEach(t *testing.T, f func(ctx context.Context, t *testing.T, p *enginePair)) {
	for name, served := range map[string]bool{"http": true, "memory": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			f(ctx, t, newEnginePair(t, served))
		})
	}
}

// startGeneration prefills and imports prompt and starts the generation.
func (p *enginePair) startGeneration(ctx context.Context, t *testing.T, attempt persimmoncart.AttemptID, prompt string, maxOutputTokens int, generated []string) persimmoncart.TokenStream {
	t.Helper()
	r, err := p.prefill.Prefill(ctx, persimmoncart.PrefillRequest{
		Attempt: attempt, Class: persimmoncart.ClassInteractive, Generated: generated, Model: model, Prompt: prompt,
	})
	assert.NilError(t, err)
	assert.NilError(t, p.decode.Import(ctx, persimmoncart.ImportRequest{
		Attempt: attempt, Blocks: persimmoncart.Blocks(r.Tokens + maxOutputTokens), From: p.fakePrefill.Addr, Handle: r.Handle, Size: r.Size,
	}))
	assert.NilError(t, p.prefill.Release(ctx, attempt))
	s, err := p.decode.Decode(ctx, persimmoncart.DecodeRequest{
		Attempt: attempt, Class: persimmoncart.ClassInteractive, MaxOutputTokens: maxOutputTokens, Start: len(generated),
	})
	assert.NilError(t, err)
	return s
}

// readAll reads s to its end and returns the texts of the tokens and the error that
// ended it.
func readAll(ctx context.Context, s persimmoncart.TokenStream) (list []string, err error) {
	for {
		t, err := s.Next(ctx)
		if err != nil {
			return list, err
		}
		list = append(list, t.Text)
	}
}

// Guards against incomplete token streams, also when another engine continues the
// generation, and against memory that is not freed afterwards.
func TestAnswer(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
		const prompt = "weighing 4711, 25 crates of \"figs\" – grade A"
		want := make([]string, 30)
		for i := range want {
			want[i] = engine.FakeToken(prompt, i)
		}
		s := p.startGeneration(ctx, t, persimmoncart.AttemptID{Request: "r"}, prompt, len(want), nil)
		got, err := readAll(ctx, s)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, got, want)
		assert.NilError(t, s.Close())
		s = p.startGeneration(ctx, t, persimmoncart.AttemptID{Request: "r", Number: 1}, prompt, len(want), want[:12])
		got, err = readAll(ctx, s)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, got, want[12:])
		p.assertEmpty(ctx, t)
	})
}

// assertEmpty checks that both engines have no work and all memory is free.
func (p *enginePair) assertEmpty(ctx context.Context, t *testing.T) {
	t.Helper()
	for _, e := range []persimmoncart.Engine{p.decode, p.prefill} {
		work, err := e.ListWork(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(work), 0)
		load, err := e.Load(ctx)
		assert.NilError(t, err)
		assert.Equal(t, load.FreeBlocks, load.Blocks)
	}
}

// Guards against a work list that reports the deadline of the transfer for a
// generation. The instance that started it would cancel it while its caller still
// waits.
func TestWorkDeadline(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
		attempt, tag := persimmoncart.AttemptID{Request: "r"}, persimmoncart.Tag{Incarnation: 7, Instance: "e1"}
		soon := time.Now().Add(time.Minute).Round(0).UTC()
		late := soon.Add(time.Hour)
		r, err := p.prefill.Prefill(ctx, persimmoncart.PrefillRequest{Attempt: attempt, Deadline: late, Model: model, Prompt: "p", Tag: tag})
		assert.NilError(t, err)
		assert.NilError(t, p.decode.Import(ctx, persimmoncart.ImportRequest{
			Attempt: attempt, Blocks: 100, Deadline: soon, From: p.fakePrefill.Addr, Handle: r.Handle, Tag: tag,
		}))
		assertDeadline := func(e persimmoncart.Engine, want time.Time) {
			t.Helper()
			work, err := e.ListWork(ctx)
			assert.NilError(t, err)
			assert.Equal(t, len(work), 1)
			assert.Equal(t, work[0].Attempt, attempt)
			assert.Equal(t, work[0].Tag, tag)
			assert.Assert(t, work[0].Deadline.Equal(want), "%s, want %s", work[0].Deadline, want)
		}
		assertDeadline(p.prefill, late)
		assertDeadline(p.decode, soon)
		s, err := p.decode.Decode(ctx, persimmoncart.DecodeRequest{Attempt: attempt, Deadline: late, MaxOutputTokens: 100_000, Tag: tag})
		assert.NilError(t, err)
		assertDeadline(p.decode, late)
		assert.NilError(t, s.Close())
		assert.NilError(t, p.prefill.Cancel(ctx, attempt))
	})
}

// Guards against broken streams that end like complete ones.
func TestBrokenStreams(t *testing.T) {
	// Faults at a token index are set before the stream starts. The others are set
	// after the first token; at one token per millisecond they take effect long
	// before the stream ends.
	const limit = 100_000
	cases := []struct {
		name  string
		early bool
		fault engine.Faults
		check func(error) bool
	}{
		{"crossed", false, engine.Faults{Cross: true}, func(err error) bool {
			e := &persimmoncart.AttemptMismatchError{}
			return errors.As(err, &e)
		}},
		{"dies", false, engine.Faults{Down: true}, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"garbage", false, engine.Faults{Garbage: true}, func(err error) bool {
			e := &transport.ProtocolError{}
			return errors.As(err, &e)
		}},
		{"skipped token", true, engine.Faults{Skip: 5}, func(err error) bool {
			e := &engine.TokenIndexError{}
			return errors.As(err, &e) && e.Want == 5
		}},
		{"truncated", true, engine.Faults{Stop: 3}, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
				set := func(on bool) {
					if on {
						p.fakeDecode.Change(func(f *engine.Faults) { *f = c.fault })
					}
				}
				set(c.early)
				s := p.startGeneration(ctx, t, persimmoncart.AttemptID{Request: "r"}, "p", limit, nil)
				_, err := s.Next(ctx)
				assert.NilError(t, err)
				set(!c.early)
				list, err := readAll(ctx, s)
				assert.Assert(t, c.check(err), "%v", err)
				assert.Assert(t, len(list) < limit-1)
				assert.NilError(t, s.Close())
				p.fakeDecode.Change(func(f *engine.Faults) { *f = engine.Faults{} })
				p.assertEmpty(ctx, t)
			})
		})
	}
}

// Guards against calls that do not return when their context is done, and against
// memory that is not freed after a cancellation.
func TestCancel(t *testing.T) {
	attempt := persimmoncart.AttemptID{Request: "r"}
	forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
		s := p.startGeneration(ctx, t, attempt, "p", 100_000, nil)
		p.fakeDecode.Change(func(f *engine.Faults) { f.Slow = 1e9 })
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := readAll(short, s)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.NilError(t, s.Close())
		p.fakeDecode.Change(func(f *engine.Faults) { f.Slow, f.Stall = 0, true })
		r, err := p.prefill.Prefill(ctx, persimmoncart.PrefillRequest{Attempt: attempt, Model: model, Prompt: "p"})
		assert.NilError(t, err)
		short, cancel = context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		err = p.decode.Import(short, persimmoncart.ImportRequest{Attempt: attempt, Blocks: 1, From: p.fakePrefill.Addr, Handle: r.Handle})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.NilError(t, p.decode.Cancel(ctx, attempt))
		assert.NilError(t, p.prefill.Cancel(ctx, attempt))
		assert.NilError(t, p.prefill.Cancel(ctx, attempt))
		p.fakePrefill.Change(func(f *engine.Faults) { f.Slow = 1e9 })
		short, cancel = context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err = p.prefill.Prefill(short, persimmoncart.PrefillRequest{Attempt: attempt, Model: model, Prompt: "p"})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.NilError(t, p.prefill.Cancel(ctx, attempt))
		p.assertEmpty(ctx, t)
	})
}

// Guards against error types that confuse refusals, missing KV cache, unavailable
// engines and calls with an unknown effect.
func TestRefusals(t *testing.T) {
	attempt := persimmoncart.AttemptID{Request: "r"}
	forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
		refused := &persimmoncart.EndpointRefusedError{}
		missing := &persimmoncart.KVMissingError{}
		unavailable := &persimmoncart.UnavailableError{}
		_, err := p.prefill.Prefill(ctx, persimmoncart.PrefillRequest{Attempt: attempt, Model: "other", Prompt: "p"})
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Reason, engine.ReasonModel)
		assert.Equal(t, refused.Addr, p.fakePrefill.Addr)
		err = p.decode.Import(ctx, persimmoncart.ImportRequest{Attempt: attempt, Blocks: 1, From: p.fakePrefill.Addr, Handle: "gone"})
		assert.Assert(t, errors.As(err, &missing))
		err = p.decode.Import(ctx, persimmoncart.ImportRequest{Attempt: attempt, Blocks: 1 << 20, From: p.fakePrefill.Addr})
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Reason, engine.ReasonMemory)
		_, err = p.decode.Decode(ctx, persimmoncart.DecodeRequest{Attempt: attempt, MaxOutputTokens: 1})
		assert.Assert(t, errors.As(err, &missing))
		p.fakePrefill.Change(func(f *engine.Faults) { f.Leaving = true })
		_, err = p.prefill.Prefill(ctx, persimmoncart.PrefillRequest{Attempt: attempt, Model: model, Prompt: "p"})
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Reason, engine.ReasonLeaving)
		load, err := p.prefill.Load(ctx)
		assert.NilError(t, err)
		assert.Assert(t, load.Leaving)
		p.fakePrefill.Change(func(f *engine.Faults) { f.Down = true })
		_, err = p.prefill.Load(ctx)
		assert.Assert(t, errors.As(err, &unavailable))
	})
}

// Guards against orders that take effect although they come from a former lease
// holder or from a sender that is not allowed.
func TestOrders(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
		p.fakeDecode.Fences = true
		p.fakeDecode.AllowSender = func(i persimmoncart.InstanceID) bool { return i == "a" }
		p.fakeDecode.ModelLoadTime = 0
		order := persimmoncart.Order{Fence: 2, Kind: persimmoncart.OrderLoad, Model: "m2", Sender: "a"}
		assert.NilError(t, p.decode.Order(ctx, order))
		order = persimmoncart.Order{Fence: 1, Kind: persimmoncart.OrderUnload, Model: "m2", Sender: "a"}
		refused := &persimmoncart.EndpointRefusedError{}
		assert.Assert(t, errors.As(p.decode.Order(ctx, order), &refused))
		assert.Equal(t, refused.Reason, engine.ReasonFence)
		order.Fence, order.Sender = 3, "b"
		assert.Assert(t, errors.As(p.decode.Order(ctx, order), &refused))
		assert.Equal(t, refused.Reason, engine.ReasonSender)
		assert.NilError(t, p.prefill.Order(ctx, persimmoncart.Order{Kind: persimmoncart.OrderRole, Role: persimmoncart.RoleDecode}))
		load, err := p.prefill.Load(ctx)
		assert.NilError(t, err)
		assert.Equal(t, load.Role, persimmoncart.RoleDecode)
	})
}

// Guards against cache events that do not match the blocks of the prompt, and
// against sequence numbers that hide lost events.
func TestCacheEvents(t *testing.T) {
	forEach(t, func(ctx context.Context, t *testing.T, p *enginePair) {
		prompt := string(make([]byte, 3*persimmoncart.BlockTokens*engine.BytesPerToken))
		p.fakePrefill.EventDropInterval = 2
		for n := range 2 {
			r, err := p.prefill.Prefill(ctx, persimmoncart.PrefillRequest{
				Attempt: persimmoncart.AttemptID{Number: n, Request: "r"}, Model: model, Prompt: prompt,
			})
			assert.NilError(t, err)
			assert.Equal(t, r.CachedTokens, n*(3*persimmoncart.BlockTokens-1))
		}
		s, err := p.prefill.CacheEvents(ctx, 0)
		assert.NilError(t, err)
		for _, i := range []int{0, 2} {
			e, err := s.Next(ctx)
			assert.NilError(t, err)
			assert.Equal(t, e.Sequence, uint64(i+1))
			assert.Equal(t, e.Prefix, engine.PrefixHashes(prompt)[i])
		}
		assert.NilError(t, s.Close())
	})
}

// Guards against a client that accepts the response of another kind of server.
func TestForeignAnswers(t *testing.T) {
	for _, body := range []string{"", "{", "<html>", `{"error":null}`, `{"attempt":"x"}`, `{"attempt":"r/0","handle":"","size":-1}`} {
		for _, status := range []int{http.StatusOK, http.StatusFound, http.StatusBadGateway} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			}))
			clients := &engine.Clients{HTTP: transport.NewClient(nil)}
			e := clients.Engine(netip.MustParseAddrPort(server.Listener.Addr().String()))
			_, err := e.Prefill(t.Context(), persimmoncart.PrefillRequest{Attempt: persimmoncart.AttemptID{Request: "r"}})
			protocol, mismatch := &transport.ProtocolError{}, &persimmoncart.AttemptMismatchError{}
			assert.Assert(t, errors.As(err, &protocol) || errors.As(err, &mismatch), "%d %q: %v", status, body, err)
			server.Close()
		}
	}
}
