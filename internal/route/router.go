// Package route takes each request from its reservation to its last token or
// answer, and frees what the request held on every way out.
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

// Defaults of a Router.
const (
	// DefaultCleanupTimeout bounds one order to free memory. An engine that does not
	// answer within it is left to the owner's comparison of work lists.
	DefaultCleanupTimeout = 2 * time.Second
	// DefaultMaxAttempts bounds the attempts for one request. A prefill costs as
	// much as many tens of output tokens, so more attempts waste more than they save.
	DefaultMaxAttempts = 4
	// DefaultStallTimeout is the longest wait for one token. It is far above the 60 ms
	// target, so that only engines that hang are given up.
	DefaultStallTimeout = 5 * time.Second
	// DefaultTransferTimeout bounds the import of KV cache. Exported KV cache is evicted
	// in under a second, so a transfer that has not ended by then rarely does.
	DefaultTransferTimeout = 2 * time.Second

	cleanupAttempts = 3
	cleanupBackoff  = 100 * time.Millisecond
	// reportTokens is the number of tokens after which a decode engine's pace is
	// reported: under a second at the target, so that stragglers show early.
	reportTokens = 16
)

// A Router serves completions and plain calls. Its fields are set before use.
type Router struct {
	Allocator       persimmoncart.SlotAllocator
	Applications    persimmoncart.Applications
	Balancer        persimmoncart.Balancer
	Budgets         persimmoncart.RetryBudgets
	Claims          persimmoncart.Claims // nil if there is no store
	CleanupTimeout  time.Duration        // zero means DefaultCleanupTimeout
	Engines         persimmoncart.Engines
	Leaving         *LeavingEndpoints // nil ignores what is not refused
	MaxAttempts     int               // zero means DefaultMaxAttempts
	Metrics         *metrics.Metrics
	StallTimeout    time.Duration // zero means DefaultStallTimeout
	Tag             persimmoncart.Tag
	Timer           persimmoncart.Timer
	TransferTimeout time.Duration // zero means DefaultTransferTimeout

	background sync.WaitGroup
	dispatched dispatchedKeys
	health     endpointHealth
}

// Wait waits until all memory of ended requests is freed or given up and all
// claims are settled or given up.
func (r *Router) Wait() { r.background.Wait() }

// avoidList returns the endpoints that a request should avoid besides those in own.
func (r *Router) avoidList(own []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	return append(r.health.avoidList(r.Timer.Now(), own), r.Leaving.List()...)
}

// recordFailure notes how a call to an endpoint failed.
func (r *Router) recordFailure(id persimmoncart.EndpointID, err error) {
	if refused := as[*persimmoncart.EndpointRefusedError](err); refused != nil && refused.Reason == engine.ReasonLeaving && id != "" {
		r.Leaving.AddDirect(id)
	}
	r.health.recordFailure(r.Timer.Now(), id, err)
}

// goBackground runs f with a context that outlives the caller's.
func (r *Router) goBackground(ctx context.Context, f func(context.Context)) {
	ctx = context.WithoutCancel(ctx)
	r.background.Go(func() { f(ctx) })
}

// waitForRetry waits for the pause before another attempt after attempts of them. It
// reports false if there may be no other one.
func (r *Router) waitForRetry(ctx context.Context, route persimmoncart.RouteName, account persimmoncart.AccountID, attempts int, deadline time.Time) bool {
	if attempts >= positiveOr(r.MaxAttempts, DefaultMaxAttempts) {
		return false
	}
	pause, ok := r.Budgets.TakeRetry(route, account, attempts, deadline)
	return ok && r.Timer.Sleep(ctx, pause) == nil
}

// callWithRetries calls f with a bounded context until it succeeds, at most cleanupAttempts times.
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

// positiveOr returns v, or other if v is not set.
func positiveOr[T ~int | ~int64](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// A RequestSummary describes how a request was served, for the log.
type RequestSummary struct {
	Attempts        int
	Endpoint        persimmoncart.EndpointID // or the application endpoint
	PrefillEndpoint persimmoncart.EndpointID
	RetryReason     persimmoncart.RetryReason // of the last retry; empty if there was none
	Tokens          int                       // sent to the caller
}
