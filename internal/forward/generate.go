package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// prefillTimeoutShare is the share of the latency target after which a prefill
	// without a response is tried on another engine.
	prefillTimeoutShare = 0.5
	// lastPrefillTimeoutShare takes its place if the route allows no other prefill: then
	// the decode engine would read the prompt, more slowly than a late prefill ends.
	lastPrefillTimeoutShare = 1
	// prefillTimeoutFactor is the multiple of a prefill's expected time for which it
	// is waited even if that is longer than prefillTimeoutShare.
	prefillTimeoutFactor = 3
	// maxPrefillShare is the share of the latency target that a prefill may be
	// expected to take, its queue included. Beyond it the decode engine reads the
	// prompt itself, more slowly.
	maxPrefillShare = 0.5
	// cacheReuseShare is the share of its lifetime during which exported KV cache is
	// offered to a second decode engine.
	cacheReuseShare = 0.6
)

// errRetryBudget reports a request that may not be sent again.
var errRetryBudget = errors.New("retry budget is used up")

// A generation is a request that is served by a prefill and a decode engine
// together.
type generation struct {
	*exchange

	cache        *exportedCache // of the prompt; nil before the prefill and after its use
	cacheRefused bool           // a decode engine has refused the request with this cache
	charged      bool           // its account has been charged for it
	reservation  string         // identifier of the reservation on the decode engine; empty without one
}

// An exportedCache is KV cache that a decode engine has yet to fetch.
type exportedCache struct {
	endpoint persimmoncart.Endpoint // prefill engine that exported it
	exported time.Time
	source   persimmoncart.CacheSource
}

// generate serves a generation. It reserves a decode engine first, so that no
// prompt is prefilled in vain, and then has the prompt prefilled near it.
func (x *exchange) generate(ctx context.Context) (*Response, error) {
	g := &generation{exchange: x}
	g.waited = x.router.Directory.Waited(x.route.Name, x.request.Deadline.Sub(x.request.Arrived))
	for {
		decode, err := g.reserveAndPrefill(ctx)
		if err != nil {
			return nil, err
		}
		if !g.startRun(persimmoncart.RetryEndpointRefused) {
			g.abandon(decode)
			return nil, g.capacityRefusal(errRetryBudget)
		}
		response, err := g.decode(ctx, decode)
		if err == nil {
			return response, nil
		}
		reserved := g.reservation != ""
		g.releaseDecode(decode)
		if ctx.Err() != nil {
			g.releaseCache()
			return nil, x.contextError(ctx, true)
		}
		outcome := x.recordFailure(ctx, decode, err)
		x.recordOutcome(outcome)
		if outcome != sendNotRun && !errors.Is(err, errOriginUnrecorded) {
			x.checkCrash(&decode.Endpoint)
		}
		if outcome != sendNotRun || g.cacheRefused {
			g.releaseCache()
		}
		g.cacheRefused = g.cache != nil
		if outcome == sendNotRun && reserved {
			decode.ReservationRefused()
		}
		if !x.mayRun() {
			return nil, x.engineFailedRefusal(err)
		}
		if outcome != sendNotRun && x.awaitSuspicion() {
			return nil, x.engineFailedRefusal(errSuspected)
		}
		x.tried = append(x.tried, decode.Endpoint.ID)
	}
}

// reserveAndPrefill reserves a decode engine and has the prompt prefilled near it. The
// quarantine and the grace period are checked before each of the two and after them, as
// both take time. A trial is claimed once an engine is reserved for it.
func (g *generation) reserveAndPrefill(ctx context.Context) (*assignment, error) {
	if part, left, found := g.router.Quarantine.Check(g.parts); found && left > 0 && !g.trial {
		g.releaseCache()
		return nil, newQuarantineRefusal(part, left)
	}
	decode, err := g.reserveDecode(ctx)
	if err != nil {
		g.releaseCache()
		return nil, err
	}
	g.recordOrigin(&decode.Endpoint)
	if err = g.quarantineRefusalOrTrial(ctx); err == nil {
		err = g.prefill(ctx, &decode.Endpoint)
	}
	if err == nil {
		err = g.quarantineRefusal()
	}
	if err == nil {
		err = g.interruptionRefusal()
	}
	if err != nil {
		g.abandon(decode)
		return nil, err
	}
	return decode, nil
}

// abandon frees the decode engine and the exported KV cache.
func (g *generation) abandon(assigned *assignment) {
	g.releaseDecode(assigned)
	g.releaseCache()
}

// releaseDecode ends the assignment to a decode engine and frees its reservation.
// It keeps exported KV cache for the next engine.
func (g *generation) releaseDecode(assigned *assignment) {
	assigned.Done()
	reservation := g.reservation
	g.reservation = ""
	if reservation == "" {
		return
	}
	g.releaseReservation(&assigned.Endpoint, reservation)
}

// decode sends the request to the decode engine and returns its stream.
func (g *generation) decode(ctx context.Context, assigned *assignment) (*Response, error) {
	call := g.upstreamCall(&assigned.Endpoint)
	call.Reservation = g.reservation
	if g.cache != nil {
		call.Cache = &g.cache.source
	}
	stop := g.router.Timer.After(g.route.LatencyTarget, func(time.Time) { assigned.Failed() })
	defer stop()
	response, err := g.router.Upstream.Send(ctx, call)
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	g.cache, g.reservation = nil, "" // the engine has used both
	assigned.ReportLoad(response.Load)
	if err := g.checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	g.endpoint = assigned.Endpoint.ID
	if err := g.fixOrigin(ctx, &assigned.Endpoint, response.Status); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.Status != http.StatusOK || !g.route.Stream {
		defer assigned.Done()
		result, err := g.readResponse(response)
		if err == nil && response.Status == http.StatusOK {
			g.router.Quarantine.RecordCompletion(g.parts)
		}
		return result, err
	}
	g.progress.position = g.request.Position
	s := &stream{ctx: ctx, exchange: g.exchange, assigned: assigned, started: g.router.Timer.Now()}
	s.open(response.Body)
	return &Response{Body: s, Header: response.Header, Length: -1, Status: response.Status, Stream: true}, nil
}

// prefill has the prompt prefilled near the decode engine, at the same version of the
// software: KV cache of another one is not checked by the decode engine. It returns nil
// without KV cache if no prefill engine responds or is expected to be in time, or the
// route allows no further prefill: then the decode engine reads the prompt itself. A
// trial reaches one engine only.
func (g *generation) prefill(ctx context.Context, decode *persimmoncart.Endpoint) error {
	if g.trial {
		return nil
	}
	if g.cache != nil {
		fresh := g.router.Timer.Now().Sub(g.cache.exported) < time.Duration(cacheReuseShare*float64(g.engine.CacheTTL))
		if fresh && g.cache.endpoint.Software == decode.Software {
			return nil
		}
		g.releaseCache()
	}
	var avoid []persimmoncart.EndpointID
	for {
		assigned := g.router.Directory.Assign(g.pool, policy.SelectorRequest{
			Avoid: avoid, DataCentre: decode.DataCentre, Region: decode.Region,
			Role: persimmoncart.RolePrefill, Software: decode.Software, Tokens: g.request.Generation.PromptTokens,
		})
		if assigned == nil || len(avoid) >= 2 || assigned.Expected > g.latencyShare(maxPrefillShare) {
			if assigned != nil {
				assigned.Done()
			}
			return nil
		}
		if !g.identify(ctx, assigned) {
			avoid = append(avoid, assigned.Endpoint.ID)
			continue
		}
		if err := g.interruptionRefusal(); err != nil {
			assigned.Done()
			return err
		}
		if !g.mayPrefill() || !g.countSend(persimmoncart.RetryEndpointDied) {
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

// prefillOn has one engine prefill the prompt and export the KV cache.
func (g *generation) prefillOn(ctx context.Context, assigned *assignment) error {
	started := g.router.Timer.Now()
	share := prefillTimeoutShare
	if !g.mayPrefillAgain() {
		share = lastPrefillTimeoutShare
	}
	prefillCtx, stop := timer.WithTimeout(ctx, g.router.Timer, max(g.latencyShare(share), prefillTimeoutFactor*assigned.Expected), nil)
	defer stop()
	cache, err := g.router.Upstream.Prefill(prefillCtx, g.upstreamCall(&assigned.Endpoint))
	if err != nil {
		assigned.GaveUp(prefillCtx, g.router.Timer.Now().Sub(started), float64(g.request.Generation.PromptTokens)/1000)
		if g.recordFailure(ctx, assigned, err) == sendNotRun {
			return errors.Wrap(err, "prefill")
		}
		g.startedPrefills++
		if prefillCtx.Err() == nil { // a prefill that timed out shows no crash
			g.checkCrash(&assigned.Endpoint)
		}
		return errors.Wrap(err, "prefill")
	}
	g.startedPrefills++
	now := g.router.Timer.Now()
	assigned.ReportLoad(cache.Load)
	assigned.Succeeded(now.Sub(started), float64(g.request.Generation.PromptTokens)/1000)
	g.uncountPrefill()
	g.cache = &exportedCache{exported: now, endpoint: assigned.Endpoint, source: cache.Source}
	return nil
}

// engineFailedRefusal returns the refusal of a generation whose engine failed, or whose
// run was given up, and that is not sent again.
func (*exchange) engineFailedRefusal(cause error) error {
	if errors.Is(cause, errOriginUnrecorded) {
		return unrecordedRefusal(cause)
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalEndpointFailed, Err: cause, Message: "the engine failed", Outcome: persimmoncart.OutcomeUnknown,
	}
}

// releaseCache frees exported KV cache that no decode engine will fetch, without
// waiting for it.
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
