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
	// prefillTimeoutShare is the part of the objective after which a prefill without an
	// answer is tried on another engine.
	prefillTimeoutShare = 0.5
	// prefillTimeoutFactor is the same as a multiple of the expected time.
	prefillTimeoutFactor = 3
	// maxPrefillShare is the part of the objective beyond which a prefill is not
	// waited for: the decode engine reads the prompt itself, more slowly.
	maxPrefillShare = 0.5
	// targetStartShare is the part of the objective that is left for prefill and the
	// first event when a place is found at the last moment that is in time.
	targetStartShare = 0.6
	// latestStartShare is the part of the objective after which a request that has found
	// no place is refused, so that it comes back after the crest.
	latestStartShare = 0.75
	// holdTimeoutShare is the part of the objective after which an engine that does not
	// answer a reservation counts as failing.
	holdTimeoutShare = 0.25
	// holdLifetime is how long a place is reserved while the prompt is prefilled.
	holdLifetime = 1500 * time.Millisecond
	// retryAfterOverload is when a generation comes back at the earliest that found no
	// place, and the span over which several come back: crests last some seconds.
	retryAfterOverload = 2 * time.Second
	// releaseTimeout bounds the call that frees KV cache nobody will fetch.
	releaseTimeout = time.Second
	// cacheReuseShare is the part of its lifetime during which exported KV cache is
	// offered to a second decode engine.
	cacheReuseShare = 0.6
)

// errNoCapacity reports that no decode engine had room in time.
var errNoCapacity = errors.New("no place in time")

// errRetryBudget reports a request whose further sends the budget does not allow.
var errRetryBudget = errors.New("budget of repeated sends is used up")

// A generation is a request that a prefill and a decode engine serve together.
type generation struct {
	*exchange

	cache        *exportedCache
	cacheRefused bool   // a decode engine has refused the request with this cache
	hold         string // reservation on the decode engine
}

// An exportedCache is KV cache that waits for its decode engine.
type exportedCache struct {
	endpoint persimmoncart.Endpoint // that exported it
	exported time.Time
	source   persimmoncart.CacheSource
}

// generate serves a generation: a place on a decode engine is secured first, so
// that no prompt is prefilled without one, then the prompt is prefilled near it.
func (x *exchange) generate(ctx context.Context) (*Response, error) {
	g := &generation{exchange: x}
	for {
		decode, err := g.reserveDecode(ctx)
		if err != nil {
			g.releaseCache()
			return nil, err
		}
		if err := g.prefill(ctx, &decode.Endpoint); err != nil {
			g.abandon(decode)
			return nil, err
		}
		if !g.countSend(persimmoncart.RetryEndpointRefused) {
			g.abandon(decode)
			return nil, g.capacityRefusal(errRetryBudget)
		}
		answer, err := g.decode(ctx, decode)
		if err == nil {
			return answer, nil
		}
		held := g.hold != ""
		g.releaseDecode(decode)
		if ctx.Err() != nil {
			g.releaseCache()
			return nil, x.contextError(ctx, true)
		}
		v := x.recordFailure(ctx, decode, err)
		x.mayHaveRun = x.mayHaveRun || v != sendNotRun
		if v != sendNotRun || g.cacheRefused {
			g.releaseCache()
		}
		g.cacheRefused = g.cache != nil
		if v == sendNotRun && held {
			decode.ReservationRefused()
		}
		if v != sendNotRun && x.route.Repeat == persimmoncart.RepeatNever {
			return nil, &persimmoncart.Refusal{
				Code: persimmoncart.RefusalEndpointFailed, Err: err, Message: "the engine failed",
				Outcome: persimmoncart.OutcomeUnknown,
			}
		}
		x.tried = append(x.tried, decode.Endpoint.ID)
	}
}

// abandon gives up a decode engine and all that was prepared.
func (g *generation) abandon(assigned *assignment) {
	g.releaseDecode(assigned)
	g.releaseCache()
}

// releaseDecode gives up a decode engine. Exported KV cache stays for the next one.
func (g *generation) releaseDecode(assigned *assignment) {
	assigned.Done()
	hold := g.hold
	g.hold = ""
	if hold == "" {
		return
	}
	g.releaseAsync("hold", &assigned.Endpoint, func(ctx context.Context) error {
		return g.router.Upstream.ReleaseHold(ctx, &assigned.Endpoint, hold)
	})
}

// releaseAsync makes a call that frees something at an endpoint, without waiting for it.
func (g *generation) releaseAsync(what string, endpoint *persimmoncart.Endpoint, free func(context.Context) error) {
	r := g.router
	go func() {
		ctx, stop := timer.WithTimeout(context.Background(), r.Timer, releaseTimeout, nil)
		defer stop()
		if err := free(ctx); err != nil {
			r.Logger.Info().Str("endpoint", string(endpoint.ID)).Str("what", what).Err(err).Msg("release failed")
		}
	}()
}

// decodeRequest says what decode engine the generation needs.
func (x *exchange) decodeRequest() policy.SelectorRequest {
	return policy.SelectorRequest{
		Avoid: x.tried, RunOnce: x.route.Repeat == persimmoncart.RepeatNever, Role: persimmoncart.RoleDecode,
		Size: *x.engine, Tokens: x.request.Generation.ExpectedKVTokens(),
	}
}

// reserveDecode secures a reserveDecode on a decode engine. It waits while all are full and a
// start is still of use.
func (g *generation) reserveDecode(ctx context.Context) (*assignment, error) {
	w := &policy.Waiting{
		Due:   g.request.Arrived.Add(g.latencyShare(targetStartShare)),
		Since: g.request.Arrived,
		Until: g.request.Arrived.Add(g.latencyShare(latestStartShare)),
	}
	gate := g.router.Directory.DecodeQueue(g.pool)
	for {
		now := g.router.Timer.Now()
		if now.After(w.Until) {
			return nil, g.capacityRefusal(errNoCapacity)
		}
		want := g.decodeRequest()
		want.MinFreeTokens = w.Room(now, want.Tokens)
		assigned := g.router.Directory.Assign(g.pool, want)
		if assigned == nil && !g.router.Directory.HasRole(g.pool, persimmoncart.RoleDecode) {
			return nil, g.emptyPoolRefusal()
		}
		if assigned != nil {
			if g.reserve(ctx, assigned, want.Tokens) {
				g.logChoice(assigned)
				return assigned, nil
			}
			if ctx.Err() == nil {
				continue // the next engine, at once
			}
		}
		gate.Wait(ctx, w)
		if ctx.Err() != nil {
			return nil, g.contextError(ctx, false)
		}
	}
}

// reserve reserves the place on a decode engine and reports whether it is there.
// An engine that is full or does not answer is given up.
func (g *generation) reserve(ctx context.Context, assigned *assignment, tokens int) bool {
	if g.engine.MaxHold <= 0 {
		return true // these engines hold nothing; the request itself finds out
	}
	patient, stop := timer.WithTimeout(ctx, g.router.Timer, g.latencyShare(holdTimeoutShare), nil)
	defer stop()
	hold, err := g.router.Upstream.Hold(patient, &assigned.Endpoint, tokens, min(g.engine.MaxHold, holdLifetime))
	refused := (*persimmoncart.EndpointRefusedError)(nil)
	switch {
	case err == nil:
		g.hold = hold
		return true
	case errors.As(err, &refused):
		assigned.DoneFull(refused.Load)
	case ctx.Err() != nil:
		assigned.Done()
	default:
		g.recordFailure(ctx, assigned, err)
		assigned.DoneFull(nil)
	}
	return false
}

// decode sends the request to the decode engine and returns its stream.
func (g *generation) decode(ctx context.Context, assigned *assignment) (*Response, error) {
	call := g.upstreamCall(&assigned.Endpoint)
	call.Hold = g.hold
	if g.cache != nil {
		call.Cache = &g.cache.source
	}
	stop := g.router.Timer.After(g.route.LatencyTarget, func(time.Time) { assigned.Failed() })
	defer stop()
	answer, err := g.router.Upstream.Send(ctx, call)
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	g.cache, g.hold = nil, "" // used
	assigned.ReportLoad(answer.Load)
	if err := g.checkResponse(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	g.endpoint = assigned.Endpoint.ID
	if answer.Status != http.StatusOK || !g.route.Stream {
		defer assigned.Done()
		return g.readResponse(answer)
	}
	s := &stream{
		ctx: ctx, exchange: g.exchange, assigned: assigned, lastID: g.request.LastEventID, started: g.router.Timer.Now(),
	}
	s.open(answer.Body)
	return &Response{Body: s, Header: answer.Header, Length: -1, Status: answer.Status, Stream: true}, nil
}

// prefill has the prompt prefilled near the decode engine. Without a prefill
// engine that answers, the decode engine reads the prompt itself.
func (g *generation) prefill(ctx context.Context, decode *persimmoncart.Endpoint) error {
	if g.cache != nil {
		if g.router.Timer.Now().Sub(g.cache.exported) < time.Duration(cacheReuseShare*float64(g.engine.CacheTTL)) {
			return nil
		}
		g.releaseCache()
	}
	var avoid []persimmoncart.EndpointID
	for {
		assigned := g.router.Directory.Assign(g.pool, policy.SelectorRequest{
			Avoid: avoid, DataCentre: decode.DataCentre, Region: decode.Region,
			Role: persimmoncart.RolePrefill, Tokens: g.request.Generation.PromptTokens,
		})
		if assigned == nil || len(avoid) >= 2 || assigned.Expected > g.latencyShare(maxPrefillShare) {
			if assigned != nil {
				assigned.Done()
			}
			return nil
		}
		if !g.countSend(persimmoncart.RetryEndpointDied) {
			assigned.Done()
			return nil
		}
		g.logChoice(assigned)
		err := g.prefillOn(ctx, assigned)
		assigned.Done()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return g.contextError(ctx, false)
		}
		avoid = append(avoid, assigned.Endpoint.ID)
	}
}

// prefillOn has one engine prefill the prompt.
func (g *generation) prefillOn(ctx context.Context, assigned *assignment) error {
	started := g.router.Timer.Now()
	patient, stop := timer.WithTimeout(ctx, g.router.Timer, max(g.latencyShare(prefillTimeoutShare), prefillTimeoutFactor*assigned.Expected), nil)
	defer stop()
	cache, err := g.router.Upstream.Prefill(patient, g.upstreamCall(&assigned.Endpoint))
	if err != nil {
		if ctx.Err() == nil {
			g.recordFailure(ctx, assigned, err)
		}
		return errors.Wrap(err, "prefill")
	}
	now := g.router.Timer.Now()
	assigned.ReportLoad(cache.Load)
	assigned.Prefilled(now.Sub(started))
	assigned.Succeeded(now.Sub(started), float64(g.request.Generation.PromptTokens)/1000)
	g.uncountPrefill()
	g.cache = &exportedCache{exported: now, endpoint: assigned.Endpoint, source: cache.Source}
	return nil
}

// capacityRefusal returns the capacityRefusal of a generation that no engine took.
func (g *generation) capacityRefusal(cause error) error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalCapacity, Err: cause, Message: "no engine took the request",
		Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterOverload + rand.N(retryAfterOverload),
	}
}

// releaseCache frees KV cache that no decode engine will fetch, without waiting.
func (g *generation) releaseCache() {
	cache := g.cache
	g.cache = nil
	if cache == nil {
		return
	}
	r := g.router
	r.Metrics.CountWastedPrefill(g.request.Generation.PromptTokens)
	g.log(r.Logger.Info()).Str("endpoint", string(cache.endpoint.ID)).Int("tokens", g.request.Generation.PromptTokens).
		Msg("prefill released")
	g.releaseAsync("cache", &cache.endpoint, func(ctx context.Context) error {
		return r.Upstream.Release(ctx, &cache.endpoint, cache.source.Handle)
	})
}
