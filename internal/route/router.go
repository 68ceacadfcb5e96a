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
	// DefaultCleanup bounds one order to free memory. An engine that does not
	// answer within it is left to the owner's comparison of work lists.
	DefaultCleanup = 2 * time.Second
	// DefaultMaxAttempts bounds the attempts for one request. A prefill costs as
	// much as many tens of output tokens, so more attempts waste more than they save.
	DefaultMaxAttempts = 4
	// DefaultStall is the longest wait for one token. It is far above the 60 ms
	// target, so that only engines that hang are given up.
	DefaultStall = 5 * time.Second
	// DefaultTransfer bounds the import of KV cache. Exported KV cache is evicted
	// in under a second, so a transfer that has not ended by then rarely does.
	DefaultTransfer = 2 * time.Second

	cleanupTries = 3
	cleanupPause = 100 * time.Millisecond
	// reportTokens is the number of tokens after which a decode engine's pace is
	// reported: under a second at the target, so that stragglers show early.
	reportTokens = 16
)

// A Router serves completions and plain calls. Its fields are set before use.
type Router struct {
	Applications persimmoncart.Applications
	Balancer     persimmoncart.Balancer
	Budgets      persimmoncart.RetryBudgets
	Claims       persimmoncart.Claims // nil if there is no store
	Cleanup      time.Duration        // zero means DefaultCleanup
	Engines      persimmoncart.Engines
	Leaving      *Leaving // nil ignores what is not refused
	MaxAttempts  int      // zero means DefaultMaxAttempts
	Metrics      *metrics.Metrics
	Places       persimmoncart.SlotAllocator
	Stall        time.Duration // zero means DefaultStall
	Tag          persimmoncart.Tag
	Timer        persimmoncart.Timer
	Transfer     time.Duration // zero means DefaultTransfer

	background sync.WaitGroup
	health     health
	seen       seen
}

// Wait waits until all memory of ended requests is freed or given up and all
// claims are settled or given up.
func (r *Router) Wait() { r.background.Wait() }

// avoid returns the endpoints that a request should avoid besides those in own.
func (r *Router) avoid(own []persimmoncart.EndpointID) []persimmoncart.EndpointID {
	return append(r.health.avoid(r.Timer.Now(), own), r.Leaving.List()...)
}

// failed notes how a call to an endpoint failed.
func (r *Router) failed(id persimmoncart.EndpointID, err error) {
	if refused := as[*persimmoncart.EndpointRefusedError](err); refused != nil && refused.Reason == engine.ReasonLeaving && id != "" {
		r.Leaving.See(id)
	}
	r.health.failed(r.Timer.Now(), id, err)
}

// goBackground runs f with a context that outlives the caller's.
func (r *Router) goBackground(ctx context.Context, f func(context.Context)) {
	ctx = context.WithoutCancel(ctx)
	r.background.Go(func() { f(ctx) })
}

// again waits for the pause before another attempt after attempts of them. It
// reports false if there may be no other one.
func (r *Router) again(ctx context.Context, route persimmoncart.RouteName, account persimmoncart.AccountID, attempts int, deadline time.Time) bool {
	if attempts >= positive(r.MaxAttempts, DefaultMaxAttempts) {
		return false
	}
	pause, ok := r.Budgets.TakeRetry(route, account, attempts, deadline)
	return ok && r.Timer.Sleep(ctx, pause) == nil
}

// try calls f with a bounded context until it succeeds, at most cleanupTries times.
func (r *Router) try(ctx context.Context, f func(context.Context) error) error {
	var err error
	for n := range cleanupTries {
		if n > 0 {
			if err := r.Timer.Sleep(ctx, cleanupPause<<n); err != nil {
				return err
			}
		}
		bounded, stop := timer.WithTimeout(ctx, r.Timer, positive(r.Cleanup, DefaultCleanup), errDeadline)
		err = f(bounded)
		stop()
		if err == nil {
			return nil
		}
	}
	return err
}

// positive returns v, or other if v is not set.
func positive[T ~int | ~int64](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// A Result describes how a request was served, for the log.
type Result struct {
	Attempts int
	Decode   persimmoncart.EndpointID // or the application endpoint
	Prefill  persimmoncart.EndpointID
	Reason   persimmoncart.RetryReason // of the last retry; empty if there was none
	Tokens   int                       // sent to the caller
}
