package forward

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// maxReservation bounds the lifetime of a reservation, which has to last until the
	// prompt is prefilled.
	maxReservation = 1500 * time.Millisecond
	// releaseTimeout bounds a call that frees a reservation or exported KV cache.
	releaseTimeout = time.Second
	// reservationTimeoutShare is the share of the latency target after which an engine
	// that does not respond to a reservation counts as failing.
	reservationTimeoutShare = 0.25
)

// reserve reserves a slot and memory on a decode engine that has the spare tokens
// free in addition. It returns the reservation's identifier, which is empty for
// engines without reservations, and for those that limit their requests, of which a
// reservation would be one more. If the engine is full or does not respond, the
// assignment ends and ok is false.
func (x *exchange) reserve(ctx context.Context, assigned *assignment, tokens, spare int) (reservation string, ok bool) {
	unreserved := x.engine.MaxReservation <= 0 || assigned.Limited
	if unreserved && x.origin == nil {
		return "", true // the engine may refuse the request itself
	}
	if !x.identify(ctx, assigned) {
		return "", false
	}
	if unreserved {
		return "", true
	}
	if spare > 0 {
		// Only the engine knows what other instances have reserved on it.
		held, ok := x.takeReservation(ctx, assigned, spare)
		if !ok {
			return "", false
		}
		defer x.releaseReservation(&assigned.Endpoint, held)
	}
	return x.takeReservation(ctx, assigned, tokens)
}

// identify makes sure that an engine is still the process that it is taken for. It ends
// the assignment and reports false if not. Asked are engines that have failed, unless they
// limit their requests: a process that has taken the address reserves memory as well, and
// then refuses the request, which takes a retry. Before a stream goes on, every engine is
// asked: it may have started again under its identifier with another version of the
// software, which this instance learns of later.
func (x *exchange) identify(ctx context.Context, assigned *assignment) bool {
	if x.origin == nil && (!assigned.Unverified || assigned.Limited) {
		return true
	}
	if x.origin != nil && assigned.Limited && !x.router.Directory.TakeCall(assigned.Endpoint.ID) {
		assigned.DoneFull(nil)
		return false
	}
	identifyCtx, stop := timer.WithTimeout(ctx, x.router.Timer, x.latencyShare(reservationTimeoutShare), nil)
	defer stop()
	err := x.router.Upstream.Identify(identifyCtx, &assigned.Endpoint)
	switch {
	case err == nil:
		assigned.Identified()
		return true
	case ctx.Err() != nil:
		assigned.Done()
	default:
		x.recordFailure(ctx, assigned, err)
		assigned.DoneUnreachable()
	}
	return false
}

// takeReservation makes one reservation on a decode engine and returns its
// identifier. It reports false, and ends the assignment, if the engine is full or
// does not respond.
func (x *exchange) takeReservation(ctx context.Context, assigned *assignment, tokens int) (string, bool) {
	reserveCtx, stop := timer.WithTimeout(ctx, x.router.Timer, x.latencyShare(reservationTimeoutShare), nil)
	defer stop()
	reservation, err := x.router.Upstream.Reserve(reserveCtx, &assigned.Endpoint, tokens, min(x.engine.MaxReservation, maxReservation))
	refused := (*persimmoncart.EndpointRefusedError)(nil)
	switch {
	case err == nil:
		return reservation, true
	case errors.As(err, &refused):
		assigned.DoneFull(refused.Load)
	case ctx.Err() != nil:
		assigned.Done()
	default:
		x.recordFailure(ctx, assigned, err)
		assigned.DoneUnreachable()
	}
	return "", false
}

// releaseReservation frees a reservation without waiting for it.
func (x *exchange) releaseReservation(endpoint *persimmoncart.Endpoint, reservation string) {
	x.releaseAsync("hold", endpoint, func(ctx context.Context) error {
		return x.router.Upstream.ReleaseReservation(ctx, endpoint, reservation)
	})
}

// releaseAsync calls free, which frees a resource at an endpoint, without waiting
// for it. A failure is logged with the kind of resource.
func (x *exchange) releaseAsync(resource string, endpoint *persimmoncart.Endpoint, free func(context.Context) error) {
	r := x.router
	if !r.Directory.TakeCall(endpoint.ID) {
		r.Logger.Info().Str("endpoint", string(endpoint.ID)).Str("what", resource).Msg("release left to the endpoint, which wants no requests")
		return
	}
	go func() {
		ctx, stop := timer.WithTimeout(context.Background(), r.Timer, releaseTimeout, nil)
		defer stop()
		if err := free(ctx); err != nil {
			r.Logger.Info().Str("endpoint", string(endpoint.ID)).Str("what", resource).Err(err).Msg("release failed")
		}
	}()
}
