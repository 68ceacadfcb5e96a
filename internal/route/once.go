package route

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// claimTimeout bounds a claim and a read of a claim record. The store normally
	// responds within milliseconds. After the timeout the store is assumed to be
	// down, and the call is refused without being dispatched.
	claimTimeout = 2 * time.Second
	// settleTimeout is the longest time for which a response is delayed until its
	// outcome is recorded. If the store is slower, recording continues in the
	// background.
	settleTimeout = 500 * time.Millisecond
	// claimedRetryAfter is the retry time for a repeated key whose first call may
	// still be running.
	claimedRetryAfter = time.Second
)

// ClaimKey returns the key under which a call that may not be repeated is claimed: a
// hash of the account, the route and the idempotency key.
func ClaimKey(account persimmoncart.AccountID, route persimmoncart.RouteName, key string) persimmoncart.ClaimKey {
	h := sha256.New()
	for _, field := range []string{string(account), string(route), key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	return persimmoncart.ClaimKey(h.Sum(nil)[:len(persimmoncart.ClaimKey{})])
}

// runOnce serves a call that may not be repeated: it claims the key, dispatches the
// call and records the outcome. If the caller disconnects after the dispatch, the
// call continues, so that its outcome is recorded.
func (c *call) runOnce(ctx context.Context) (*persimmoncart.CallResponse, error) {
	r := c.router
	if r.Claims == nil {
		return nil, storeDown(nil)
	}
	callCtx, stop := timer.WithTimeout(context.WithoutCancel(ctx), r.Timer, c.Deadline.Sub(r.Timer.Now()), errDeadline)
	defer stop()
	key := ClaimKey(c.Account.Name, c.Route.Name, c.IdempotencyKey)
	grant, err := c.claim(callCtx, key)
	if err != nil {
		if r.dispatched.has(key) {
			return nil, earlierUnreadable(err)
		}
		return nil, storeDown(err)
	}
	if !grant.Granted {
		if grant.Record.State != persimmoncart.ClaimNotRun {
			r.dispatched.add(key)
		}
		return earlierResult(grant.Record)
	}
	r.RetryBudgets.RecordFirst(c.Route.Name, c.Account.Name)
	response, err := c.dispatch(ctx, callCtx, grant)
	c.settle(ctx, grant, response, err)
	return response, err
}

// claim claims the key of the call before its dispatch.
func (c *call) claim(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	ctx, stop := timer.WithTimeout(ctx, c.router.Timer, claimTimeout, errDeadline)
	defer stop()
	grant, err := c.router.Claims.Claim(ctx, key)
	if err != nil {
		return grant, errors.Wrap(err, "claim")
	}
	return grant, nil
}

// dispatch sends a claimed call to an endpoint. It tries again only if the previous
// attempt provably did not run. callerCtx ends when the caller disconnects, callCtx
// at the deadline.
func (c *call) dispatch(callerCtx, callCtx context.Context, grant persimmoncart.ClaimGrant) (*persimmoncart.CallResponse, error) {
	r := c.router
	for n := 1; ; n++ {
		endpoint, err := c.pick(callCtx, c.avoid)
		if err != nil {
			return nil, c.pickError(callCtx, err)
		}
		if err := c.checkDispatch(callerCtx, callCtx, grant); err != nil {
			r.Balancer.Report(persimmoncart.CallResult{Cancelled: true, Endpoint: endpoint.ID, Pool: c.Route.Pool, Role: persimmoncart.RoleApplication})
			return nil, err
		}
		r.dispatched.add(grant.Key)
		result := c.recordResult(c.send(callCtx, endpoint, grant.Record.Fence))
		if result.err == nil {
			return result.response, nil
		}
		if c.dispatched {
			return nil, c.unknownOutcome(callCtx, result.err)
		}
		if !r.waitForRetry(callCtx, c.Route.Name, c.Account.Name, n, c.Deadline) {
			return nil, c.refuse(finalRefusal(result.err))
		}
		c.countRetry(result)
	}
}

// checkDispatch returns an error if the call must not be dispatched: the caller has
// disconnected, the deadline has passed or the claim has expired. It is called
// directly before each dispatch, because the process may have been paused.
func (c *call) checkDispatch(callerCtx, callCtx context.Context, grant persimmoncart.ClaimGrant) error {
	switch {
	case callerCtx.Err() != nil:
		return &CallerGoneError{Err: context.Cause(callerCtx)}
	case callCtx.Err() != nil:
		return c.interrupted(callCtx)
	case !c.router.Timer.Now().Before(grant.Expires):
		return c.refuse(persimmoncart.Refusal{Code: persimmoncart.RefusalDeadline, Message: "the claim lapsed before the call was sent", RetryAfter: defaultRetryAfter})
	default:
		return nil
	}
}

// pickError returns the final error of a call for which no endpoint was picked.
func (c *call) pickError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return c.interrupted(ctx)
	}
	if refusal := as[*persimmoncart.Refusal](err); refusal != nil {
		return c.refuse(*refusal)
	}
	return c.refuse(finalRefusal(err))
}

// settle records the outcome of a claimed call in the background. It waits for the
// record for at most settleTimeout, so that the caller can usually read the outcome
// as soon as it has the response.
func (c *call) settle(ctx context.Context, grant persimmoncart.ClaimGrant, response *persimmoncart.CallResponse, err error) {
	state := persimmoncart.ClaimAnswered
	switch {
	case err != nil && c.dispatched:
		state = persimmoncart.ClaimUnknown
	case err != nil:
		state = persimmoncart.ClaimNotRun
	}
	r := c.router
	done := make(chan struct{})
	r.goBackground(ctx, func(ctx context.Context) {
		defer close(done)
		// If this fails, the claim stays unsettled and the outcome is reported as
		// unknown, which is correct.
		_ = r.callWithRetries(ctx, func(ctx context.Context) error { return r.Claims.Settle(ctx, grant, state, response) })
	})
	timedOut := make(chan struct{})
	stop := r.Timer.After(settleTimeout, func(time.Time) { close(timedOut) })
	defer stop()
	select {
	case <-done:
	case <-timedOut:
	}
}

// unknownOutcome returns the refusal of a call that may have run. Its retry time is
// zero, because a retry with the same key would get the same outcome.
func (c *call) unknownOutcome(ctx context.Context, err error) error {
	refusal := finalRefusal(err)
	if errors.Is(context.Cause(ctx), errDeadline) {
		refusal.Code, refusal.Message = persimmoncart.RefusalDeadline, "the application did not answer in time"
	}
	refusal.RetryAfter = 0
	return c.refuse(refusal)
}

// earlierResult returns the response or the refusal for a repeated key from the
// record of the first call.
func earlierResult(record persimmoncart.ClaimRecord) (*persimmoncart.CallResponse, error) {
	refusal := &persimmoncart.Refusal{Code: persimmoncart.RefusalClaimed, Outcome: persimmoncart.OutcomeUnknown}
	switch record.State {
	case persimmoncart.ClaimAnswered:
		if record.Response != nil {
			return record.Response, nil
		}
		refusal.Message, refusal.Outcome = "the call was answered; its answer is no longer kept", persimmoncart.OutcomeAnswered
	case persimmoncart.ClaimNotRun:
		refusal.Message, refusal.Outcome, refusal.RetryAfter = "the call did not run", persimmoncart.OutcomeNotRun, defaultRetryAfter
	case persimmoncart.ClaimUnknown:
		refusal.Message = "the call was sent and its end is not known"
	default:
		refusal.Message, refusal.RetryAfter = "the call with this key is not settled", claimedRetryAfter
	}
	return nil, refusal
}

// earlierUnreadable returns the refusal of a call that could not be claimed and
// whose key this instance has dispatched before.
func earlierUnreadable(err error) error {
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalStoreDown,
		Err:        err,
		Message:    "the end of an earlier call with this key cannot be read",
		Outcome:    persimmoncart.OutcomeUnknown,
		RetryAfter: defaultRetryAfter,
	}
}

// storeDown returns the refusal for an unreachable store: of a call that could not
// be claimed, or of a read of a claim record.
func storeDown(err error) error {
	r := &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalStoreDown,
		Err:        err,
		Message:    "the call could not be recorded and was not sent",
		Outcome:    persimmoncart.OutcomeNotRun,
		RetryAfter: defaultRetryAfter,
	}
	if u := as[*persimmoncart.UnavailableError](err); u != nil {
		r.RetryAfter = positiveOr(u.RetryAfter, defaultRetryAfter)
	}
	return r
}

// ClaimRecord returns the record of a call that may not be repeated. It returns a
// *persimmoncart.Refusal if the store cannot be read and a
// *persimmoncart.NotFoundError if there is no record of the key.
func (r *Router) ClaimRecord(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error) {
	if r.Claims == nil {
		return persimmoncart.ClaimRecord{}, storeDown(nil)
	}
	ctx, stop := timer.WithTimeout(ctx, r.Timer, claimTimeout, errDeadline)
	defer stop()
	record, err := r.Claims.Outcome(ctx, key)
	switch {
	case err == nil:
		return record, nil
	case is[*persimmoncart.NotFoundError](err):
		return record, errors.Wrap(err, "outcome")
	default:
		return record, storeDown(errors.Wrap(err, "outcome"))
	}
}
