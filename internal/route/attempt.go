package route

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// An attempt is one attempt to serve a completion, with its grant and the engines
// that may hold memory for it.
type attempt struct {
	decodeEngine   persimmoncart.Engine
	decodeMayHold  bool // the decode engine may hold memory of the attempt
	grant          persimmoncart.Grant
	id             persimmoncart.AttemptID
	phaseStart     time.Time // start of the running phase, or of the tokens not yet reported
	pool           persimmoncart.PoolName
	prefillEngine  persimmoncart.Engine
	prefillMayHold bool // the prefill engine may hold memory of the attempt
	prefillResult  persimmoncart.PrefillResult
	reportedTokens int // tokens covered by reports to the slot allocator
	router         *Router
	sentTokens     int // tokens of this attempt that were sent to the caller
	stream         persimmoncart.TokenStream
}

// newAttempt returns an attempt that uses the slots of grant.
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

// abandon frees the memory of the attempt on both engines, in the background and
// with a context that outlives the caller's. It releases the grant after both
// engines have responded or all tries have failed, so that the slot allocator does
// not grant memory that is still occupied.
func (a *attempt) abandon(ctx context.Context) {
	if a.prefillResult.Tokens > 0 && a.sentTokens == 0 {
		a.router.Metrics.CountWastedPrefill(a.prefillResult.Tokens - a.prefillResult.CachedTokens)
	}
	if a.stream != nil {
		_ = a.stream.Close() // the cancellation below also covers a failed close
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

// cancel cancels the attempt on one engine unless the engine holds no memory of it.
func (a *attempt) cancel(ctx context.Context, engine persimmoncart.Engine, mayHold bool) {
	if !mayHold {
		return
	}
	// If all tries fail, the engine has stopped, or its owner cancels the work
	// after its deadline.
	_ = a.router.callWithRetries(ctx, func(ctx context.Context) error { return engine.Cancel(ctx, a.id) })
}

// commit commits the grant, so that it no longer expires.
func (a *attempt) commit(ctx context.Context) error {
	if err := a.router.Allocator.Commit(ctx, a.grant.ID); err != nil {
		return errors.Wrap(err, "commit")
	}
	return nil
}

// countToken counts a token that was sent to the caller. Counting from the first
// token, it reports the latency of every reportTokens tokens and of the remaining
// ones after the last token.
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

// finish releases the grant of a completed attempt. The engines have already freed
// its memory.
func (a *attempt) finish() {
	_ = a.stream.Close() // the generation has ended
	a.router.Allocator.Release(a.grant.ID)
}

// importKVCache imports the KV cache into the decode engine and releases the
// export. The deadline is that of the whole request, because the engine applies it
// to the decode as well.
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

// releaseExport frees the exported KV cache on the prefill engine in the
// background. If the release fails, it cancels the attempt there.
func (a *attempt) releaseExport(ctx context.Context) {
	a.prefillMayHold = false
	a.router.goBackground(ctx, func(ctx context.Context) {
		if err := a.router.callWithRetries(ctx, func(ctx context.Context) error { return a.prefillEngine.Release(ctx, a.id) }); err != nil {
			a.cancel(ctx, a.prefillEngine, true)
		}
	})
}

// report reports the result of a phase, or of a part of a decode, to the slot
// allocator.
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

// runPrefill computes and exports the KV cache on the prefill engine and then
// releases the prefill slot.
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

// startDecode starts the generation on the decode engine.
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
