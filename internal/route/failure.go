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

// defaultRetryAfter is the retry time of refusals for which no endpoint reported
// one. The caller's handler adds jitter.
const defaultRetryAfter = time.Second

// A CallerGoneError reports that the caller disconnected before the end of the
// response.
type CallerGoneError struct {
	Err error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }

// A SkippedTokenError reports a token stream in which tokens are missing.
type SkippedTokenError struct {
	Got  int // index of the token received
	Want int // index of the token expected
}

// Error implements error.
func (e *SkippedTokenError) Error() string {
	return fmt.Sprintf("stream skipped from token %d to %d", e.Want, e.Got)
}

// CauseLabel returns the kind of err as a fixed label for logs; it is empty if err is
// nil. The label never contains text from callers or endpoints.
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

// handleFailure abandons the attempt that failed with err in state s. It returns nil
// if the completion may be attempted again, after the pause before a retry, and
// the final error if not.
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
	endpoint := endpointToAvoid(s, failed, err)
	c.router.recordFailure(endpoint, err)
	if !c.router.waitForRetry(ctx, c.Route.Name, c.Account.Name, c.summary.Attempts, c.Deadline) {
		if cause := context.Cause(ctx); cause != nil {
			return c.interrupted(cause)
		}
		return c.refuse(c.finalRefusal(s, err))
	}
	c.summary.RetryReason = c.retryReason(s, err)
	c.router.Metrics.CountRetry(c.summary.RetryReason)
	if endpoint != "" {
		c.avoid = append(c.avoid, endpoint)
	}
	return nil
}

// finalRefusal returns the refusal for a failure in state s after which the
// completion is not attempted again.
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

// interrupted returns the final error of a request whose context has ended.
func (c *completion) interrupted(cause error) error {
	if !errors.Is(cause, errDeadline) {
		return &CallerGoneError{Err: cause}
	}
	return c.refuse(&persimmoncart.Refusal{Code: persimmoncart.RefusalDeadline, Err: cause, Message: "the request's deadline passed", RetryAfter: defaultRetryAfter})
}

// retryReason returns the label of the retry metric for a failure in state s.
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

// refuse returns a copy of the refusal with the outcome of the completion. If tokens
// were sent, every code other than that of the deadline becomes that of a broken
// stream.
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

// endpointToAvoid returns the endpoint that failed in state s and that further
// attempts should avoid; it is empty if no endpoint is at fault.
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

// isInvalidResponse reports whether err means that an endpoint violated the
// protocol.
func isInvalidResponse(err error) bool {
	return is[*persimmoncart.AttemptMismatchError](err) || is[*SkippedTokenError](err) || is[*engine.TokenIndexError](err) ||
		is[*transport.ProtocolError](err)
}

// provesNotRun reports whether err proves that the endpoint did not act on the
// request: it refused the request or was never reached.
func provesNotRun(err error) bool {
	return is[*persimmoncart.EndpointRefusedError](err) || is[*persimmoncart.UnavailableError](err)
}

// as returns the first error of type T in the chain of err, or the zero value.
func as[T error](err error) T {
	var target T
	errors.As(err, &target)
	return target
}

// is reports whether the chain of err contains an error of type T.
func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
