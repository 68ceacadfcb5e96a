package route

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// defaultRetryAfter is the base of the retry time of refusals that name none. The
// caller's side spreads it.
const defaultRetryAfter = time.Second

// A CallerGoneError reports that the caller went away before its answer ended.
type CallerGoneError struct {
	Err error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }

// A SkippedTokenError reports a stream that skipped tokens.
type SkippedTokenError struct {
	Got  int // index of the token
	Want int
}

// Error implements error.
func (e *SkippedTokenError) Error() string {
	return fmt.Sprintf("stream skipped from token %d to %d", e.Want, e.Got)
}

// CauseLabel returns a short name of what kind of error err is, for logs. It never
// contains text from outside.
func CauseLabel(err error) string {
	switch {
	case err == nil:
		return ""
	case is[*persimmoncart.EndpointRefusedError](err):
		return "endpoint_refused"
	case is[*persimmoncart.UnavailableError](err):
		return "unavailable"
	case is[*persimmoncart.KVMissingError](err):
		return "kv_missing"
	case is[*persimmoncart.AttemptMismatchError](err):
		return "attempt_mismatch"
	case is[*persimmoncart.NotFoundError](err):
		return "not_found"
	case is[*SkippedTokenError](err), is[*engine.TokenIndexError](err):
		return "token_gap"
	case is[*transport.ProtocolError](err):
		return "garbage"
	case is[*CallerGoneError](err), errors.Is(err, context.Canceled):
		return "caller_gone"
	case errors.Is(err, errDeadline), errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, errStalled):
		return "stalled"
	case errors.Is(err, errTransferTimeout):
		return "transfer_stalled"
	default:
		return "broken"
	}
}

// handleFailure frees the attempt that failed in state s and decides whether there is
// another. It returns nil if there is, and the final error if not.
func (c *completion) handleFailure(ctx context.Context, s state, err error) error {
	failed := c.attempt
	c.attempt = nil
	if failed != nil {
		if s == stateDecode || s == stateStream {
			failed.report(ctx, failed.grant.Decode.ID, persimmoncart.RoleDecode, c.router.Timer.Now().Sub(failed.phaseStart), 0, err)
		}
		failed.abandon(ctx)
	}
	if is[*CallerGoneError](err) {
		return err
	}
	if cause := context.Cause(ctx); cause != nil {
		return c.interrupted(cause)
	}
	if refusal := as[*persimmoncart.Refusal](err); refusal != nil {
		return c.refuse(refusal)
	}
	bad := endpointToAvoid(s, failed, err)
	c.router.recordFailure(bad, err)
	if !c.router.waitForRetry(ctx, c.Route.Name, c.Account.Name, c.summary.Attempts, c.Deadline) {
		if cause := context.Cause(ctx); cause != nil {
			return c.interrupted(cause)
		}
		return c.refuse(c.finalRefusal(s, err))
	}
	c.summary.RetryReason = c.retryReason(s, err)
	c.router.Metrics.CountRetry(c.summary.RetryReason)
	if bad != "" {
		c.avoid = append(c.avoid, bad)
	}
	return nil
}

// finalRefusal returns the refusal for a failure that allows no other attempt.
func (c *completion) finalRefusal(s state, err error) *persimmoncart.Refusal {
	r := &persimmoncart.Refusal{Err: err, RetryAfter: defaultRetryAfter}
	refused := as[*persimmoncart.EndpointRefusedError](err)
	switch {
	case isInvalidResponse(err):
		r.Code, r.Message = persimmoncart.RefusalEndpointInvalid, "an engine gave an invalid answer"
	case errors.Is(err, errTransferTimeout):
		r.Code, r.Message = persimmoncart.RefusalTransferStalled, "the transfer to the decode engine stalled"
	case refused != nil || s <= stateCommit:
		r.Code, r.Message = persimmoncart.RefusalCapacity, "no engine has room for the request"
		if refused != nil && refused.RetryAfter > 0 {
			r.RetryAfter = refused.RetryAfter
		}
	default:
		r.Code, r.Message = persimmoncart.RefusalEndpointFailed, "the engines that served the request failed"
	}
	return r
}

// interrupted returns the final error of a request whose context ended.
func (c *completion) interrupted(cause error) error {
	if !errors.Is(cause, errDeadline) {
		return &CallerGoneError{Err: cause}
	}
	return c.refuse(&persimmoncart.Refusal{Code: persimmoncart.RefusalDeadline, Err: cause, Message: "the request's deadline passed", RetryAfter: defaultRetryAfter})
}

// retryReason returns the label of the retry counter for a failure in state s.
func (c *completion) retryReason(s state, err error) persimmoncart.RetryReason {
	switch {
	case len(c.sent) > 0:
		return persimmoncart.RetryResume
	case s <= stateCommit:
		return persimmoncart.RetrySlotLost
	case is[*persimmoncart.KVMissingError](err):
		return persimmoncart.RetryKVEvicted
	case is[*persimmoncart.EndpointRefusedError](err):
		return persimmoncart.RetryEndpointRefused
	case errors.Is(err, errTransferTimeout):
		return persimmoncart.RetryTransferStalled
	default:
		return persimmoncart.RetryEndpointDied
	}
}

// refuse completes a refusal with the outcome. A stream that already sent
// tokens is broken whatever the reason.
func (c *completion) refuse(r *persimmoncart.Refusal) error {
	out := *r
	if len(c.sent) > 0 && out.Code != persimmoncart.RefusalDeadline {
		out.Code = persimmoncart.RefusalStreamBroken
	}
	out.Outcome = persimmoncart.OutcomeNotRun
	if c.dispatched {
		out.Outcome = persimmoncart.OutcomeUnknown
	}
	if out.RetryAfter <= 0 && !c.dispatched && r.Code == persimmoncart.RefusalCapacity {
		out.RetryAfter = defaultRetryAfter
	}
	return &out
}

// endpointToAvoid returns the endpoint that another attempt should avoid.
func endpointToAvoid(s state, a *attempt, err error) persimmoncart.EndpointID {
	switch {
	case a == nil, s <= stateCommit, is[*persimmoncart.KVMissingError](err):
		return ""
	case s == statePrefill:
		return a.grant.Prefill.ID
	default:
		return a.grant.Decode.ID
	}
}

// isInvalidResponse reports whether err means that an endpoint broke the protocol.
func isInvalidResponse(err error) bool {
	return is[*persimmoncart.AttemptMismatchError](err) || is[*SkippedTokenError](err) || is[*engine.TokenIndexError](err) ||
		is[*transport.ProtocolError](err)
}

// provesNotRun reports whether err proves that the endpoint did not act.
func provesNotRun(err error) bool {
	return is[*persimmoncart.EndpointRefusedError](err) || is[*persimmoncart.UnavailableError](err)
}

// as returns the first error of type T in err's chain, or the zero value.
func as[T error](err error) T {
	var target T
	errors.As(err, &target)
	return target
}

// is reports whether err's chain holds an error of type T.
func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
