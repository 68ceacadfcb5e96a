package forward

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/admission"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// targetStartShare is the share of the latency target after which the reservation
	// of a decode engine is late: the rest is needed for prefill and the first event.
	targetStartShare = 0.6
	// latestStartShare is the share of the latency target after which a request
	// without a decode engine is refused, so that its caller retries after the overload.
	latestStartShare = 0.75
	// retryAfterOverload is the shortest pause before a caller retries a generation that
	// found no decode engine, and the span over which the retries are spread: overloads
	// last some seconds.
	retryAfterOverload = 2 * time.Second
	// retryAfterShare is the share of a caller's time left that it is asked to wait before
	// a retry, and retrySpreadShare the part of it over which retries are spread.
	retryAfterShare  = 0.33
	retrySpreadShare = 0.25
	// maxRetryAfterOverload bounds the pause of callers with much time left, so that they
	// return soon after an overload.
	maxRetryAfterOverload = 5 * time.Second
	// drawSalt makes Entry.Draw independent of the choice of the pool, which takes its
	// number from the request's identifier as well.
	drawSalt = "admission "
)

// errNoCapacity reports that no decode engine had a free slot and memory in time.
var errNoCapacity = errors.New("no decode engine had capacity in time")

// errNoProspect reports that smaller requests are expected to take all room in time.
var errNoProspect = errors.New("no decode engine is expected to have capacity in time")

// decodeRequest returns the request by which a decode engine is chosen.
func (x *exchange) decodeRequest() policy.SelectorRequest {
	return policy.SelectorRequest{
		Avoid: x.tried, Role: persimmoncart.RoleDecode, RunOnce: x.route.Repeat == persimmoncart.RepeatNever,
		Size: *x.engine, Software: x.software(persimmoncart.RoleDecode), Tokens: x.request.Generation.PromptTokens + x.router.Directory.OutputTokens(x.pool, x.request.Generation),
	}
}

// reserveDecode chooses and reserves a decode engine. While all are full, it waits
// for up to latestStartShare of the latency target. A request that can no longer be
// in time, which includes most of those refused before, leaves room for one that can. One
// that resumes a stream waits like a new one.
func (g *generation) reserveDecode(ctx context.Context) (assigned *assignment, err error) {
	waited := g.waited
	if g.origin != nil {
		// The target for the first event is past anyway. Behind all new requests, streams
		// that are partly delivered would end for want of a slot.
		waited = 0
	}
	entry := &admission.Entry{
		Account:     g.accountName(),
		Arrived:     g.request.Arrived,
		Cost:        g.cost(),
		Draw:        hashShare(drawSalt + string(g.request.ID)),
		LatestStart: g.request.Arrived.Add(g.latencyShare(latestStartShare)),
		Priority:    g.priority(),
		TargetStart: g.request.Arrived.Add(g.latencyShare(targetStartShare) - waited),
	}
	if g.charged {
		entry.Cost = 0
	}
	queue := g.router.Directory.DecodeQueue(g.pool)
	hopeful := queue.Enter(entry)
	defer func() {
		queue.Leave(entry, assigned != nil)
		g.charged = g.charged || assigned != nil
	}()
	if !hopeful && g.origin == nil {
		return nil, g.capacityRefusal(errNoProspect)
	}
	queue.Arrive(ctx, entry)
	for first := true; ; first = false {
		if ctx.Err() != nil {
			return nil, g.contextError(ctx, false)
		}
		if assigned, err = g.takeTurn(ctx, queue, entry, first); assigned != nil || err != nil {
			return assigned, err
		}
		queue.Wait(ctx, entry)
	}
}

// takeTurn asks decode engines, one after the other, for room. It returns nil if none of
// those that it may ask has any.
func (g *generation) takeTurn(ctx context.Context, queue *admissionQueue, entry *admission.Entry, first bool) (*assignment, error) {
	for tries := 1; ; tries++ {
		now := g.router.Timer.Now()
		if !now.Before(entry.LatestStart) {
			return nil, g.capacityRefusal(errNoCapacity)
		}
		if err := g.interruptionRefusal(); err != nil {
			return nil, err
		}
		request := g.decodeRequest()
		turn := queue.Turn(entry, request.Tokens)
		request.MinFreeTokens, request.Reserved = turn.freeTokens, turn.reserved
		assigned := g.router.Directory.Assign(g.pool, request)
		ok := false
		if assigned != nil {
			g.reservation, ok = g.reserve(ctx, assigned, request.Tokens, request.MinFreeTokens-request.Tokens)
		}
		if first && tries == 1 {
			queue.Observe(ok)
		}
		switch {
		case ok:
			g.logChoice(assigned)
			return assigned, nil
		case assigned == nil:
			return nil, g.unavailableRefusal(entry.LatestStart.Sub(now))
		case ctx.Err() != nil || tries >= turn.tries:
			return nil, nil //nolint:nilnil // the request waits for its next turn
		}
	}
}

// cost returns the memory that the generation takes times the time for which it does so,
// in tokens and output tokens: it holds its prompt and half of its output on average.
func (x *exchange) cost() float64 {
	output := float64(max(1, x.router.Directory.OutputTokens(x.pool, x.request.Generation)))
	return (float64(x.request.Generation.PromptTokens) + output/2) * output
}

// unavailableRefusal returns the refusal of a request whose pool has no decode engine
// for it, or none that takes requests within the given time; nil if one does.
func (g *generation) unavailableRefusal(within time.Duration) error {
	if err := g.missingEndpointRefusal(persimmoncart.RoleDecode); err != nil {
		return err
	}
	request := policy.SelectorRequest{Role: persimmoncart.RoleDecode, Software: g.software(persimmoncart.RoleDecode)}
	if left, ok := g.router.Directory.WaitLeft(g.pool, request); ok && left > within {
		return g.backOffRefusal(left)
	}
	return nil
}

// capacityRefusal returns the refusal of a generation that no engine accepted. Where
// callers compete for too little room, they are asked to return as late as they will.
func (g *generation) capacityRefusal(cause error) error {
	random := g.router.Directory.RandomShare()
	retryAfter := retryAfterOverload + time.Duration(random*float64(retryAfterOverload))
	if g.router.Directory.Pressure {
		latest := min(maxRetryAfterOverload, time.Duration(retryAfterShare*float64(g.request.Deadline.Sub(g.router.Timer.Now()))))
		retryAfter = max(retryAfterOverload, latest-time.Duration(retrySpreadShare*random*float64(latest)))
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalCapacity, Err: cause, Message: "no engine took the request",
		Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfter,
	}
}
