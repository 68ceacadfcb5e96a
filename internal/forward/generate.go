package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// prefillShare is the part of the objective after which a prefill without an
	// answer is tried on another engine.
	prefillShare = 0.5
	// prefillFactor is the same as a multiple of the expected time.
	prefillFactor = 3
	// queueShare is the part of the objective beyond which a prefill is not
	// waited for: the decode engine reads the prompt itself, more slowly.
	queueShare = 0.5
	// startShare is the part of the objective that is left for prefill and the
	// first event when a place is found at the last moment that is in time.
	startShare = 0.6
	// waitShare is the part of the objective after which a request that has found
	// no place is refused, so that it comes back after the crest.
	waitShare = 0.75
	// holdShare is the part of the objective after which an engine that does not
	// answer a reservation counts as failing.
	holdShare = 0.25
	// holdLifetime is how long a place is reserved while the prompt is prefilled.
	holdLifetime = 1500 * time.Millisecond
	// retryCrest is when a generation comes back at the earliest that found no
	// place, and the span over which several come back: crests last some seconds.
	retryCrest = 2 * time.Second
	// releaseTime bounds the call that frees KV cache nobody will fetch.
	releaseTime = time.Second
	// cacheShare is the part of its lifetime during which exported KV cache is
	// offered to a second decode engine.
	cacheShare = 0.6
)

// errNoPlace reports that no decode engine had room in time.
var errNoPlace = errors.New("no place in time")

// errBudget reports a request whose further sends the budget does not allow.
var errBudget = errors.New("budget of repeated sends is used up")

// A generation is a request that a prefill and a decode engine serve together.
type generation struct {
	*exchange

	cache   *exportedCache
	hold    string // reservation on the decode engine
	offered bool   // a decode engine has refused the request with this cache
}

// An exportedCache is KV cache that waits for its decode engine.
type exportedCache struct {
	at       time.Time
	endpoint persimmoncart.Endpoint // that exported it
	source   persimmoncart.CacheSource
}

// generate serves a generation: a place on a decode engine is secured first, so
// that no prompt is prefilled without one, then the prompt is prefilled near it.
func (x *exchange) generate(ctx context.Context) (*Answer, error) {
	g := &generation{exchange: x}
	for {
		decode, err := g.place(ctx)
		if err != nil {
			g.release()
			return nil, err
		}
		if err := g.prefill(ctx, &decode.Endpoint); err != nil {
			g.abandon(decode)
			return nil, err
		}
		if !g.arrive(persimmoncart.RetryEndpointRefused) {
			g.abandon(decode)
			return nil, g.refusal(errBudget)
		}
		answer, err := g.decode(ctx, decode)
		if err == nil {
			return answer, nil
		}
		held := g.hold != ""
		g.leave(decode)
		if ctx.Err() != nil {
			g.release()
			return nil, x.ended(ctx, true)
		}
		v := x.failure(ctx, decode, err)
		x.ran = x.ran || v != verdictNotRun
		if v != verdictNotRun || g.offered {
			g.release()
		}
		g.offered = g.cache != nil
		if v == verdictNotRun && held {
			decode.Shut()
		}
		if v != verdictNotRun && x.rule.Repeat == persimmoncart.RepeatNever {
			return nil, &persimmoncart.Refusal{
				Code: persimmoncart.RefusalEndpointFailed, Err: err, Message: "the engine failed",
				Outcome: persimmoncart.OutcomeUnknown,
			}
		}
		x.tried = append(x.tried, decode.Endpoint.ID)
	}
}

// abandon gives up a decode engine and all that was prepared.
func (g *generation) abandon(l *lease) {
	g.leave(l)
	g.release()
}

// leave gives up a decode engine. Exported KV cache stays for the next one.
func (g *generation) leave(l *lease) {
	l.Done()
	hold := g.hold
	g.hold = ""
	if hold == "" {
		return
	}
	g.aside("hold", &l.Endpoint, func(ctx context.Context) error {
		return g.router.Upstream.ReleaseHold(ctx, &l.Endpoint, hold)
	})
}

// aside makes a call that frees something at an endpoint, without waiting for it.
func (g *generation) aside(what string, endpoint *persimmoncart.Endpoint, free func(context.Context) error) {
	r := g.router
	go func() {
		ctx, stop := timer.WithTimeout(context.Background(), r.Timer, releaseTime, nil)
		defer stop()
		if err := free(ctx); err != nil {
			r.Logger.Info().Str("endpoint", string(endpoint.ID)).Str("what", what).Err(err).Msg("release failed")
		}
	}()
}

// decodeRequest says what decode engine the generation needs.
func (x *exchange) decodeRequest() policy.SpreadRequest {
	return policy.SpreadRequest{
		Avoid: x.tried, Careful: x.rule.Repeat == persimmoncart.RepeatNever, Role: persimmoncart.RoleDecode,
		Size: *x.engine, Tokens: x.request.Prompt.Held(),
	}
}

// place secures a place on a decode engine. It waits while all are full and a
// start is still of use.
func (g *generation) place(ctx context.Context) (*lease, error) {
	w := &policy.WaitlistEntry{
		TargetStart: g.request.Arrived.Add(g.part(startShare)),
		Arrived:     g.request.Arrived,
		LatestStart: g.request.Arrived.Add(g.part(waitShare)),
	}
	gate := g.router.Directory.Gate(g.pool)
	for {
		now := g.router.Timer.Now()
		if now.After(w.LatestStart) {
			return nil, g.refusal(errNoPlace)
		}
		want := g.decodeRequest()
		want.Room = w.RequiredFreeTokens(now, want.Tokens)
		l := g.router.Directory.Take(g.pool, want)
		if l == nil && !g.router.Directory.Has(g.pool, persimmoncart.RoleDecode) {
			return nil, g.empty()
		}
		if l != nil {
			if g.secure(ctx, l, want.Tokens) {
				g.chosen(l)
				return l, nil
			}
			if ctx.Err() == nil {
				continue // the next engine, at once
			}
		}
		gate.Wait(ctx, w)
		if ctx.Err() != nil {
			return nil, g.ended(ctx, false)
		}
	}
}

// secure reserves the place on a decode engine and reports whether it is there.
// An engine that is full or does not answer is given up.
func (g *generation) secure(ctx context.Context, l *lease, tokens int) bool {
	if g.engine.Hold <= 0 {
		return true // these engines hold nothing; the request itself finds out
	}
	patient, stop := timer.WithTimeout(ctx, g.router.Timer, g.part(holdShare), nil)
	defer stop()
	hold, err := g.router.Upstream.Hold(patient, &l.Endpoint, tokens, min(g.engine.Hold, holdLifetime))
	refused := (*persimmoncart.EndpointRefusedError)(nil)
	switch {
	case err == nil:
		g.hold = hold
		return true
	case errors.As(err, &refused):
		l.Full(refused.Load)
	case ctx.Err() != nil:
		l.Done()
	default:
		g.failure(ctx, l, err)
		l.Full(nil)
	}
	return false
}

// decode sends the request to the decode engine and returns its stream.
func (g *generation) decode(ctx context.Context, l *lease) (*Answer, error) {
	call := g.call(&l.Endpoint)
	call.Hold = g.hold
	if g.cache != nil {
		call.Cache = &g.cache.source
	}
	stop := g.router.Timer.After(g.rule.Objective, func(time.Time) { l.Failed() })
	defer stop()
	answer, err := g.router.Upstream.Send(ctx, call)
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	g.cache, g.hold = nil, "" // used
	l.Load(answer.Load)
	if err := g.check(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	g.endpoint = l.Endpoint.ID
	if answer.Status != http.StatusOK || !g.rule.Stream {
		defer l.Done()
		return g.read(answer)
	}
	s := &stream{
		ctx: ctx, exchange: g.exchange, lease: l, last: g.request.Last, started: g.router.Timer.Now(),
	}
	s.open(answer.Body)
	return &Answer{Body: s, Header: answer.Header, Length: -1, Status: answer.Status, Stream: true}, nil
}

// prefill has the prompt prefilled near the decode engine. Without a prefill
// engine that answers, the decode engine reads the prompt itself.
func (g *generation) prefill(ctx context.Context, decode *persimmoncart.Endpoint) error {
	if g.cache != nil {
		if g.router.Timer.Now().Sub(g.cache.at) < time.Duration(cacheShare*float64(g.engine.Cache)) {
			return nil
		}
		g.release()
	}
	var avoid []persimmoncart.EndpointID
	for {
		l := g.router.Directory.Take(g.pool, policy.SpreadRequest{
			Avoid: avoid, DataCentre: decode.DataCentre, Region: decode.Region,
			Role: persimmoncart.RolePrefill, Tokens: g.request.Prompt.Tokens,
		})
		if l == nil || len(avoid) >= 2 || l.Expected > g.part(queueShare) {
			if l != nil {
				l.Done()
			}
			return nil
		}
		if !g.arrive(persimmoncart.RetryEndpointDied) {
			l.Done()
			return nil
		}
		g.chosen(l)
		err := g.prefillOn(ctx, l)
		l.Done()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return g.ended(ctx, false)
		}
		avoid = append(avoid, l.Endpoint.ID)
	}
}

// prefillOn has one engine prefill the prompt.
func (g *generation) prefillOn(ctx context.Context, l *lease) error {
	started := g.router.Timer.Now()
	patient, stop := timer.WithTimeout(ctx, g.router.Timer, max(g.part(prefillShare), prefillFactor*l.Expected), nil)
	defer stop()
	cache, err := g.router.Upstream.Prefill(patient, g.call(&l.Endpoint))
	if err != nil {
		if ctx.Err() == nil {
			g.failure(ctx, l, err)
		}
		return errors.Wrap(err, "prefill")
	}
	now := g.router.Timer.Now()
	l.Load(cache.Load)
	l.Prefilled(now.Sub(started))
	l.Succeeded(now.Sub(started), float64(g.request.Prompt.Tokens)/1000)
	g.uncount()
	g.cache = &exportedCache{at: now, endpoint: l.Endpoint, source: cache.Source}
	return nil
}

// refusal returns the refusal of a generation that no engine took.
func (g *generation) refusal(cause error) error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalCapacity, Err: cause, Message: "no engine took the request",
		Outcome: persimmoncart.OutcomeNotRun, Retry: retryCrest + rand.N(retryCrest),
	}
}

// release frees KV cache that no decode engine will fetch, without waiting.
func (g *generation) release() {
	cache := g.cache
	g.cache = nil
	if cache == nil {
		return
	}
	r := g.router
	r.Metrics.Wasted(g.request.Prompt.Tokens)
	g.log(r.Logger.Info()).Str("endpoint", string(cache.endpoint.ID)).Int("tokens", g.request.Prompt.Tokens).
		Msg("prefill released")
	g.aside("cache", &cache.endpoint, func(ctx context.Context) error {
		return r.Upstream.Release(ctx, &cache.endpoint, cache.source.Handle)
	})
}
