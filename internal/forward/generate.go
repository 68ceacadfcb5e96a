package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// prefillShare is the part of the objective after which a prefill without an
	// answer is tried on another engine.
	prefillShare = 0.5
	// releaseTime bounds the call that frees KV cache nobody will fetch.
	releaseTime = time.Second
	// cacheShare is the part of its lifetime during which exported KV cache is
	// offered to a second decode engine.
	cacheShare = 0.6
)

// A generation is a request that a prefill and a decode engine serve together.
type generation struct {
	*exchange

	cache *exportedCache
}

// An exportedCache is KV cache that waits for its decode engine.
type exportedCache struct {
	at       time.Time
	endpoint persimmoncart.Endpoint // that exported it
	source   persimmoncart.CacheSource
}

// generate serves a generation: a place on a decode engine is taken first, so
// that no prompt is prefilled without one, then the prompt is prefilled near it.
func (x *exchange) generate(ctx context.Context) (*Answer, error) {
	g := &generation{exchange: x}
	var last error
	for {
		decode := x.router.Directory.Take(x.pool, g.decodeRequest())
		if decode == nil {
			g.release()
			return nil, x.empty()
		}
		if err := g.prefill(ctx, &decode.Endpoint); err != nil {
			decode.Done()
			g.release()
			return nil, err
		}
		answer, err := g.decode(ctx, decode)
		if err == nil {
			return answer, nil
		}
		decode.Done()
		if ctx.Err() != nil {
			g.release()
			return nil, x.ended(ctx, true)
		}
		if v := x.failure(ctx, decode, err); v != verdictNotRun && x.rule.Repeat == persimmoncart.RepeatNever {
			g.release()
			return nil, &persimmoncart.Refusal{
				Code: persimmoncart.RefusalEndpointFailed, Err: err, Message: "the engine failed",
				Outcome: persimmoncart.OutcomeUnknown,
			}
		}
		last = err
		x.tried = append(x.tried, decode.Endpoint.ID)
		if !x.repeat(persimmoncart.RetryEndpointRefused) {
			g.release()
			return nil, g.refusal(last)
		}
	}
}

// decodeRequest says what decode engine the generation needs.
func (x *exchange) decodeRequest() policy.SpreadRequest {
	return policy.SpreadRequest{
		Avoid: x.tried, Careful: x.rule.Repeat == persimmoncart.RepeatNever, Role: persimmoncart.RoleDecode,
		Size: *x.engine, Tokens: x.request.Prompt.Total(),
	}
}

// decode sends the request to the decode engine and returns its stream.
func (g *generation) decode(ctx context.Context, l *lease) (*Answer, error) {
	call := g.call(&l.Endpoint)
	if g.cache != nil {
		call.Cache = &g.cache.source
	}
	g.sends++
	stop := g.router.Timer.After(g.rule.Objective, func(time.Time) { l.Failed() })
	defer stop()
	answer, err := g.router.Upstream.Send(ctx, call)
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	g.cache = nil // fetched, or of no use to another engine
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
		if g.router.Timer.Now().Sub(g.cache.at) < time.Duration(cacheShare*float64(g.engine.Hold)) {
			return nil
		}
		g.release()
	}
	var avoid []persimmoncart.EndpointID
	for first := true; ; first = false {
		l := g.router.Directory.Take(g.pool, policy.SpreadRequest{
			Avoid: avoid, DataCentre: decode.DataCentre, Region: decode.Region,
			Role: persimmoncart.RolePrefill, Tokens: g.request.Prompt.Tokens,
		})
		if l == nil || len(avoid) >= 2 {
			if l != nil {
				l.Done()
			}
			return nil
		}
		if !first && !g.repeat(persimmoncart.RetryEndpointDied) {
			l.Done()
			return nil
		}
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
	patient, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.router.Timer.After(g.part(prefillShare), func(time.Time) { cancel() })()
	cache, err := g.router.Upstream.Prefill(patient, g.call(&l.Endpoint))
	if err != nil {
		if ctx.Err() == nil {
			g.failure(ctx, l, err)
		}
		return errors.Wrap(err, "prefill")
	}
	now := g.router.Timer.Now()
	l.Load(cache.Load)
	l.Succeeded(now.Sub(started), float64(g.request.Prompt.Tokens)/1000)
	g.cache = &exportedCache{at: now, endpoint: l.Endpoint, source: cache.Source}
	return nil
}

// refusal returns the refusal of a generation that no engine took.
func (g *generation) refusal(cause error) error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalCapacity, Err: cause, Message: "no engine took the request",
		Outcome: persimmoncart.OutcomeNotRun, Retry: retrySoon,
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
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		defer r.Timer.After(releaseTime, func(time.Time) { cancel() })()
		if err := r.Upstream.Release(ctx, &cache.endpoint, cache.source.Handle); err != nil {
			r.Logger.Info().Str("endpoint", string(cache.endpoint.ID)).Err(err).Msg("release failed")
		}
	}()
}
