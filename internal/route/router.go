// Package route serves each request from the allocation of slots to its last token
// or response, retries failed attempts, and frees the slots and memory of every
// attempt.
package route

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// DefaultCleanupTimeout bounds one request to free the memory of an attempt on an
	// engine. If an engine does not respond in time, its owner finds the remaining
	// work by comparing work lists.
	DefaultCleanupTimeout = 2 * time.Second
	// DefaultMaxAttempts is the highest number of attempts for one request. A prefill
	// costs as much as many tens of output tokens, so that more attempts would waste
	// more capacity than they save.
	DefaultMaxAttempts = 4
	// DefaultStallTimeout is the longest wait for a token of a stream. It is far above
	// the target of 60 ms, so that only streams of hanging engines end.
	DefaultStallTimeout = 5 * time.Second
	// DefaultTransferTimeout bounds the import of KV cache by the decode engine. The
	// prefill engine evicts exported KV cache in under a second, so that a longer
	// transfer rarely succeeds.
	DefaultTransferTimeout = 2 * time.Second

	// cleanupAttempts is the highest number of tries of background work of an ended
	// request, such as freeing memory on an engine.
	cleanupAttempts = 3
	// cleanupBackoff doubles with each try: the pauses between the tries are 200 ms
	// and 400 ms.
	cleanupBackoff = 100 * time.Millisecond
	// reportTokens is the number of tokens in one report of the speed of a decode
	// engine. At the target token gap a report is sent in under a second, so that
	// stragglers are detected early.
	reportTokens = 16
)

// A Router serves completions and application calls. Set the exported fields before
// use.
type Router struct {
	Allocator       persimmoncart.SlotAllocator
	Applications    persimmoncart.Applications
	Balancer        persimmoncart.Balancer
	Claims          persimmoncart.Claims // nil without a store; calls that may not be repeated are then refused
	CleanupTimeout  time.Duration        // zero means DefaultCleanupTimeout
	Engines         persimmoncart.Engines
	Leaving         *LeavingEndpoints // nil ignores reports that endpoints are leaving
	MaxAttempts     int               // zero means DefaultMaxAttempts
	Metrics         *metrics.Metrics
	RetryBudgets    persimmoncart.RetryBudgets
	StallTimeout    time.Duration // zero means DefaultStallTimeout
	Tag             persimmoncart.Tag
	Timer           persimmoncart.Timer
	TransferTimeout time.Duration // zero means DefaultTransferTimeout

	background sync.WaitGroup
	dispatched dispatchedKeys
	health     endpointHealth
}

// Wait waits for the background work of ended requests: outstanding hedged calls,
// freeing memory on engines and recording the outcomes of claimed calls. Failed
// work is tried again a limited number of times.
func (r *Router) Wait() { r.background.Wait() }

// avoidList returns the endpoints that a request should avoid: those in failed,
// those in backoff and those that are leaving.
func (r *Router) avoidList(failed []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	return append(r.health.avoidList(r.Timer.Now(), failed), r.Leaving.List()...)
}

// recordFailure records that a call to an endpoint failed with err, and whether the
// endpoint refused it because it is leaving.
func (r *Router) recordFailure(id persimmoncart.EndpointID, err error) {
	if refused := as[*persimmoncart.EndpointRefusedError](err); refused != nil && refused.Reason == engine.ReasonLeaving && id != "" {
		r.Leaving.AddDirect(id)
	}
	r.health.recordFailure(r.Timer.Now(), id, err)
}

// goBackground runs f in a goroutine that Wait waits for, with a context that is not
// cancelled with ctx.
func (r *Router) goBackground(ctx context.Context, f func(context.Context)) {
	ctx = context.WithoutCancel(ctx)
	r.background.Go(func() { f(ctx) })
}

// waitForRetry takes a retry from the budget after the given number of attempts and
// waits for the pause before it. It returns false if another attempt is not allowed
// or ctx ends.
func (r *Router) waitForRetry(ctx context.Context, route persimmoncart.RouteName, account persimmoncart.AccountID, attempts int, deadline time.Time) bool {
	if attempts >= positiveOr(r.MaxAttempts, DefaultMaxAttempts) {
		return false
	}
	pause, ok := r.RetryBudgets.TakeRetry(route, account, attempts, deadline)
	return ok && r.Timer.Sleep(ctx, pause) == nil
}

// callWithRetries calls f until it succeeds, at most cleanupAttempts times, each time
// with the cleanup timeout. It returns the last error.
func (r *Router) callWithRetries(ctx context.Context, f func(context.Context) error) error {
	var err error
	for n := range cleanupAttempts {
		if n > 0 {
			if err := r.Timer.Sleep(ctx, cleanupBackoff<<n); err != nil {
				return err
			}
		}
		bounded, stop := timer.WithTimeout(ctx, r.Timer, positiveOr(r.CleanupTimeout, DefaultCleanupTimeout), errDeadline)
		err = f(bounded)
		stop()
		if err == nil {
			return nil
		}
	}
	return err
}

// positiveOr returns v if it is positive, and fallback otherwise.
func positiveOr[T ~int | ~int64](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// A RequestSummary describes for the request log how a request was served.
type RequestSummary struct {
	Attempts        int
	Endpoint        persimmoncart.EndpointID  // decode engine or application endpoint of the last attempt
	PrefillEndpoint persimmoncart.EndpointID  // of the last attempt; empty for application calls
	RetryReason     persimmoncart.RetryReason // of the last retry; empty without retries
	Tokens          int                       // sent to the caller
}
