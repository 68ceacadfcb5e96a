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
	decoder  persimmoncart.Engine
	exported bool // the prefill engine may hold memory
	grant    persimmoncart.Grant
	id       persimmoncart.AttemptID
	imported bool // the decode engine may hold memory
	pool     persimmoncart.PoolName
	prefill  persimmoncart.Engine
	result   persimmoncart.PrefillResult
	router   *Router
	reported int       // tokens whose pace was reported
	started  time.Time // of the phase that runs, or of the tokens not yet reported
	stream   persimmoncart.TokenStream
	tokens   int // passed on in this attempt
}

// newAttempt returns the attempt that uses grant.
func newAttempt(r *Router, id persimmoncart.AttemptID, grant persimmoncart.Grant, pool persimmoncart.PoolName) *attempt {
	return &attempt{
		decoder: r.Engines.Engine(grant.Decode.Addr),
		grant:   grant,
		id:      id,
		pool:    pool,
		prefill: r.Engines.Engine(grant.Prefill.Addr),
		router:  r,
	}
}

// abandon frees everything that the attempt may hold, in the background and
// with a context that outlives the caller's. The grant is released once both
// engines have answered, so that its memory is not handed out while it is still
// occupied.
func (a *attempt) abandon(ctx context.Context) {
	if a.result.Tokens > 0 && a.tokens == 0 {
		a.router.Metrics.CountWastedPrefill(a.result.Tokens - a.result.CachedTokens)
	}
	if a.stream != nil {
		_ = a.stream.Close() // the explicit cancellation below covers a failure
	}
	a.router.goBackground(ctx, func(ctx context.Context) {
		defer a.router.Places.Release(a.grant.ID)
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.cancel(ctx, a.prefill, a.exported)
		}()
		a.cancel(ctx, a.decoder, a.imported)
		<-done
	})
}

// cancel ends the attempt's work on one engine if it may hold memory there.
func (a *attempt) cancel(ctx context.Context, engine persimmoncart.Engine, held bool) {
	if !held {
		return
	}
	// An engine that answers none of the tries is gone or left to its owner,
	// which cancels work past its deadline.
	_ = a.router.try(ctx, func(ctx context.Context) error { return engine.Cancel(ctx, a.id) })
}

// commit keeps the grant until the attempt ends.
func (a *attempt) commit(ctx context.Context) error {
	if err := a.router.Places.Commit(ctx, a.grant.ID); err != nil {
		return errors.Wrap(err, "commit")
	}
	return nil
}

// compute runs the prefill.
func (a *attempt) compute(ctx context.Context, request persimmoncart.PrefillRequest) error {
	request.Attempt, request.Tag = a.id, a.router.Tag
	a.exported = true
	a.started = a.router.Timer.Now()
	result, err := a.prefill.Prefill(ctx, request)
	if err == nil && result.Attempt != a.id {
		a.router.Metrics.CountDiscarded()
		err = &persimmoncart.AttemptMismatchError{Got: result.Attempt, Want: a.id}
	}
	a.report(ctx, a.grant.Prefill.ID, persimmoncart.RolePrefill, a.router.Timer.Now().Sub(a.started), max(result.Tokens-result.CachedTokens, 0), err)
	if err != nil {
		a.exported = !notRun(err)
		return errors.Wrap(err, "prefill")
	}
	a.router.health.answered(a.grant.Prefill.ID)
	a.result = result
	a.router.Places.PrefillDone(a.grant.ID)
	return nil
}

// decode starts the generation.
func (a *attempt) decode(ctx context.Context, request persimmoncart.DecodeRequest) error {
	request.Attempt, request.Tag = a.id, a.router.Tag
	a.started = a.router.Timer.Now()
	stream, err := a.decoder.Decode(ctx, request)
	if err != nil {
		return errors.Wrap(err, "decode")
	}
	a.stream = stream
	return nil
}

// finish releases a completed attempt. Its engines hold nothing any more.
func (a *attempt) finish() {
	_ = a.stream.Close() // the generation has ended
	a.router.Places.Release(a.grant.ID)
}

// load imports the KV cache into the decode engine and releases the export. The
// engine keeps the deadline, which is the request's, as that of the whole work.
func (a *attempt) load(ctx context.Context, deadline time.Time) error {
	bounded, stop := timer.WithTimeout(ctx, a.router.Timer, positive(a.router.Transfer, DefaultTransfer), errTransfer)
	defer stop()
	a.imported = true
	err := a.decoder.Import(bounded, persimmoncart.ImportRequest{
		Attempt:  a.id,
		Blocks:   a.grant.Blocks,
		Deadline: deadline,
		From:     a.grant.Prefill.Addr,
		Handle:   a.result.Handle,
		Size:     a.result.Size,
		Tag:      a.router.Tag,
	})
	if err != nil {
		if cause := context.Cause(bounded); cause != nil {
			err = cause
		}
		a.imported = !notRun(err)
		return errors.Wrap(err, "import")
	}
	a.release(ctx)
	return nil
}

// release frees the exported KV cache while the decode goes on.
func (a *attempt) release(ctx context.Context) {
	a.exported = false
	a.router.goBackground(ctx, func(ctx context.Context) {
		if err := a.router.try(ctx, func(ctx context.Context) error { return a.prefill.Release(ctx, a.id) }); err != nil {
			a.cancel(ctx, a.prefill, true)
		}
	})
}

// passed counts a token that was passed on and reports the pace of the decode
// engine now and then. The first token starts the clock.
func (a *attempt) passed(last bool) {
	a.tokens++
	if a.tokens == 1 {
		a.router.health.answered(a.grant.Decode.ID)
		a.reported, a.started = 1, a.router.Timer.Now()
		return
	}
	if n := a.tokens - a.reported; n >= reportTokens || last {
		now := a.router.Timer.Now()
		a.report(context.Background(), a.grant.Decode.ID, persimmoncart.RoleDecode, now.Sub(a.started), n, nil)
		a.reported, a.started = a.tokens, now
	}
}

// report tells the ledger how a phase went, or a part of a decode.
func (a *attempt) report(ctx context.Context, id persimmoncart.EndpointID, role persimmoncart.Role, latency time.Duration, tokens int, err error) {
	a.router.Places.Report(persimmoncart.CallResult{
		Cancelled: ctx.Err() != nil,
		Endpoint:  id,
		Failed:    err != nil,
		Latency:   latency,
		Pool:      a.pool,
		Role:      role,
		Tokens:    tokens,
	})
}
