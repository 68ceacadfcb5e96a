package route

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// An attempt holds what one attempt to serve a completion occupies.
type attempt struct {
	decodeEngine   persimmoncart.Engine
	decodeMayHold  bool // the decode engine may hold memory
	grant          persimmoncart.Grant
	id             persimmoncart.AttemptID
	phaseStart     time.Time // of the phase that runs, or of the tokens not yet reported
	pool           persimmoncart.PoolName
	prefillEngine  persimmoncart.Engine
	prefillMayHold bool // the prefill engine may hold memory
	prefillResult  persimmoncart.PrefillResult
	reportedTokens int // tokens whose pace was reported
	router         *Router
	sentTokens     int // passed on in this attempt
	stream         persimmoncart.TokenStream
}

// newAttempt returns the attempt that uses grant.
func newAttempt(r *Router, id persimmoncart.AttemptID, grant persimmoncart.Grant, pool persimmoncart.PoolName) *attempt {
	return &attempt{
		decodeEngine:  r.Engines.Engine(grant.Decode.Addr),
		grant:         grant,
		id:            id,
		pool:          pool,
		prefillEngine: r.Engines.Engine(grant.Prefill.Addr),
		router:        r,
	}
}

// abandon frees everything that the attempt may hold, in the background and
// with a context that outlives the caller's. The grant is released once both
// engines have answered, so that its memory is not handed out while it is still
// occupied.
func (a *attempt) abandon(ctx context.Context) {
	if a.prefillResult.Tokens > 0 && a.sentTokens == 0 {
		a.router.Metrics.CountWastedPrefill(a.prefillResult.Tokens - a.prefillResult.CachedTokens)
	}
	if a.stream != nil {
		_ = a.stream.Close() // the explicit cancellation below covers a failure
	}
	a.router.goBackground(ctx, func(ctx context.Context) {
		defer a.router.Allocator.Release(a.grant.ID)
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.cancel(ctx, a.prefillEngine, a.prefillMayHold)
		}()
		a.cancel(ctx, a.decodeEngine, a.decodeMayHold)
		<-done
	})
}

// cancel ends the attempt's work on one engine if it may hold memory there.
func (a *attempt) cancel(ctx context.Context, engine persimmoncart.Engine, mayHold bool) {
	if !mayHold {
		return
	}
	// An engine that answers none of the tries is gone or left to its owner,
	// which cancels work past its deadline.
	_ = a.router.callWithRetries(ctx, func(ctx context.Context) error { return engine.Cancel(ctx, a.id) })
}

// commit keeps the grant until the attempt ends.
func (a *attempt) commit(ctx context.Context) error {
	if err := a.router.Allocator.Commit(ctx, a.grant.ID); err != nil {
		return errors.Wrap(err, "commit")
	}
	return nil
}

// countToken counts a token that was passed on and reports the pace of the decode
// engine now and then. The first token starts the clock.
func (a *attempt) countToken(last bool) {
	a.sentTokens++
	if a.sentTokens == 1 {
		a.router.health.recordSuccess(a.grant.Decode.ID)
		a.reportedTokens, a.phaseStart = 1, a.router.Timer.Now()
		return
	}
	if n := a.sentTokens - a.reportedTokens; n >= reportTokens || last {
		now := a.router.Timer.Now()
		a.report(context.Background(), a.grant.Decode.ID, persimmoncart.RoleDecode, now.Sub(a.phaseStart), n, nil)
		a.reportedTokens, a.phaseStart = a.sentTokens, now
	}
}

// finish releases a completed attempt. Its engines hold nothing any more.
func (a *attempt) finish() {
	_ = a.stream.Close() // the generation has ended
	a.router.Allocator.Release(a.grant.ID)
}

// importKVCache imports the KV cache into the decode engine and releases the export. The
// engine keeps the deadline, which is the request's, as that of the whole work.
func (a *attempt) importKVCache(ctx context.Context, deadline time.Time) error {
	bounded, stop := timer.WithTimeout(ctx, a.router.Timer, positiveOr(a.router.TransferTimeout, DefaultTransferTimeout), errTransferTimeout)
	defer stop()
	a.decodeMayHold = true
	err := a.decodeEngine.Import(bounded, persimmoncart.ImportRequest{
		Attempt:  a.id,
		Blocks:   a.grant.Blocks,
		Deadline: deadline,
		From:     a.grant.Prefill.Addr,
		Handle:   a.prefillResult.Handle,
		Size:     a.prefillResult.Size,
		Tag:      a.router.Tag,
	})
	if err != nil {
		if cause := context.Cause(bounded); cause != nil {
			err = cause
		}
		a.decodeMayHold = !provesNotRun(err)
		return errors.Wrap(err, "import")
	}
	a.releaseExport(ctx)
	return nil
}

// releaseExport frees the exported KV cache while the decode goes on.
func (a *attempt) releaseExport(ctx context.Context) {
	a.prefillMayHold = false
	a.router.goBackground(ctx, func(ctx context.Context) {
		if err := a.router.callWithRetries(ctx, func(ctx context.Context) error { return a.prefillEngine.Release(ctx, a.id) }); err != nil {
			a.cancel(ctx, a.prefillEngine, true)
		}
	})
}

// report tells the ledger how a phase went, or a part of a decode.
func (a *attempt) report(ctx context.Context, id persimmoncart.EndpointID, role persimmoncart.Role, latency time.Duration, tokens int, err error) {
	a.router.Allocator.Report(persimmoncart.CallResult{
		Cancelled: ctx.Err() != nil,
		Endpoint:  id,
		Failed:    err != nil,
		Latency:   latency,
		Pool:      a.pool,
		Role:      role,
		Tokens:    tokens,
	})
}

// runPrefill runs the prefill.
func (a *attempt) runPrefill(ctx context.Context, request persimmoncart.PrefillRequest) error {
	request.Attempt, request.Tag = a.id, a.router.Tag
	a.prefillMayHold = true
	a.phaseStart = a.router.Timer.Now()
	result, err := a.prefillEngine.Prefill(ctx, request)
	if err == nil && result.Attempt != a.id {
		a.router.Metrics.CountDiscarded()
		err = &persimmoncart.AttemptMismatchError{Got: result.Attempt, Want: a.id}
	}
	a.report(ctx, a.grant.Prefill.ID, persimmoncart.RolePrefill, a.router.Timer.Now().Sub(a.phaseStart), max(result.Tokens-result.CachedTokens, 0), err)
	if err != nil {
		a.prefillMayHold = !provesNotRun(err)
		return errors.Wrap(err, "prefill")
	}
	a.router.health.recordSuccess(a.grant.Prefill.ID)
	a.prefillResult = result
	a.router.Allocator.PrefillDone(a.grant.ID)
	return nil
}

// startDecode starts the generation.
func (a *attempt) startDecode(ctx context.Context, request persimmoncart.DecodeRequest) error {
	request.Attempt, request.Tag = a.id, a.router.Tag
	a.phaseStart = a.router.Timer.Now()
	stream, err := a.decodeEngine.Decode(ctx, request)
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	a.stream = stream
	return nil
}
