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
	// claimTimeout bounds the wait for a claim. The store answers in milliseconds;
	// one that does not is down, and the call is refused as not run.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds how long an answer waits for its record. A store that
	// is slower than this does not delay the caller; settling goes on.
	settleTimeout = 500 * time.Millisecond
	// claimedRetryAfter is when a repeated key may learn more about a running call.
	claimedRetryAfter = time.Second
)

// ClaimKey returns the identity of a call that may not be repeated.
func ClaimKey(account persimmoncart.AccountID, route persimmoncart.RouteName, key string) persimmoncart.ClaimKey {
	h := sha256.New()
	for _, part := range []string{string(account), string(route), key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return persimmoncart.ClaimKey(h.Sum(nil)[:len(persimmoncart.ClaimKey{})])
}

// runOnce serves a call that may not be repeated: claim, dispatch, settle. It goes
// on when the caller leaves after the dispatch, so that the record shows the
// real end of the call.
func (c *call) runOnce(ctx context.Context) (*persimmoncart.CallResponse, error) {
	r := c.router
	if r.Claims == nil {
		return nil, storeDown(nil)
	}
	own, stop := timer.WithTimeout(context.WithoutCancel(ctx), r.Timer, c.Deadline.Sub(r.Timer.Now()), errDeadline)
	defer stop()
	key := ClaimKey(c.Account.Name, c.Route.Name, c.IdempotencyKey)
	grant, err := c.claim(own, key)
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
	r.Budgets.RecordFirst(c.Route.Name, c.Account.Name)
	response, err := c.dispatch(ctx, own, grant)
	c.settle(ctx, grant, response, err)
	return response, err
}

// claim records the call before its dispatch.
func (c *call) claim(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimGrant, error) {
	ctx, stop := timer.WithTimeout(ctx, c.router.Timer, claimTimeout, errDeadline)
	defer stop()
	grant, err := c.router.Claims.Claim(ctx, key)
	if err != nil {
		return grant, errors.Wrap(err, "claim")
	}
	return grant, nil
}

// dispatch attempts a granted call until an endpoint may have acted on it.
// Another attempt follows only on proof that the one before did not run.
func (c *call) dispatch(caller, own context.Context, grant persimmoncart.ClaimGrant) (*persimmoncart.CallResponse, error) {
	r := c.router
	for n := 1; ; n++ {
		endpoint, err := c.pick(own, c.avoid)
		if err != nil {
			return nil, c.pickError(own, err)
		}
		if err := c.checkDispatch(caller, own, grant); err != nil {
			r.Balancer.Report(persimmoncart.CallResult{Cancelled: true, Endpoint: endpoint.ID, Pool: c.Route.Pool, Role: persimmoncart.RoleApplication})
			return nil, err
		}
		r.dispatched.add(grant.Key)
		p := c.recordResult(c.send(own, endpoint, grant.Record.Fence))
		if p.err == nil {
			return p.response, nil
		}
		if c.dispatched {
			return nil, c.unknownOutcome(own, p.err)
		}
		if !r.waitForRetry(own, c.Route.Name, c.Account.Name, n, c.Deadline) {
			return nil, c.refuse(finalRefusal(p.err))
		}
		c.countRetry(p)
	}
}

// checkDispatch returns the error that forbids a dispatch now. It is called
// directly before each dispatch, because the process may have been paused.
func (c *call) checkDispatch(caller, own context.Context, grant persimmoncart.ClaimGrant) error {
	switch {
	case caller.Err() != nil:
		return &CallerGoneError{Err: context.Cause(caller)}
	case own.Err() != nil:
		return c.interrupted(own)
	case !c.router.Timer.Now().Before(grant.Expires):
		return c.refuse(persimmoncart.Refusal{Code: persimmoncart.RefusalDeadline, Message: "the claim lapsed before the call was sent", RetryAfter: defaultRetryAfter})
	default:
		return nil
	}
}

// pickError returns the final error of a call without an endpoint.
func (c *call) pickError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return c.interrupted(ctx)
	}
	if refusal := as[*persimmoncart.Refusal](err); refusal != nil {
		return c.refuse(*refusal)
	}
	return c.refuse(finalRefusal(err))
}

// settle records the end of a granted call. It waits a short time, so that a
// caller that was answered can usually read the outcome.
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
		// A claim that stays unsettled is reported as unknown, which is true.
		_ = r.callWithRetries(ctx, func(ctx context.Context) error { return r.Claims.Settle(ctx, grant, state, response) })
	})
	late := make(chan struct{})
	stop := r.Timer.After(settleTimeout, func(time.Time) { close(late) })
	defer stop()
	select {
	case <-done:
	case <-late:
	}
}

// unknownOutcome returns the refusal of a call that may have run.
func (c *call) unknownOutcome(ctx context.Context, err error) error {
	refusal := finalRefusal(err)
	if errors.Is(context.Cause(ctx), errDeadline) {
		refusal.Code, refusal.Message = persimmoncart.RefusalDeadline, "the application did not answer in time"
	}
	refusal.RetryAfter = 0 // the same key would get the same outcome
	return c.refuse(refusal)
}

// earlierResult returns what the first call with the same key came to.
func earlierResult(record persimmoncart.ClaimRecord) (*persimmoncart.CallResponse, error) {
	refusal := &persimmoncart.Refusal{Code: persimmoncart.RefusalClaimed, Outcome: persimmoncart.OutcomeUnknown}
	switch record.State {
	case persimmoncart.ClaimAnswered:
		if record.Answer != nil {
			return record.Answer, nil
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

// earlierUnreadable returns the refusal of a call that could not be claimed and whose key
// was used before.
func earlierUnreadable(err error) error {
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalStoreDown,
		Err:        err,
		Message:    "the end of an earlier call with this key cannot be read",
		Outcome:    persimmoncart.OutcomeUnknown,
		RetryAfter: defaultRetryAfter,
	}
}

// storeDown returns the refusal of a call that could not be claimed.
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
// *persimmoncart.Refusal if the store cannot be asked and a
// *persimmoncart.NotFoundError if the key was never used.
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
