package route

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// An ApplicationRequest is a caller's call to an application.
type ApplicationRequest struct {
	Account        *persimmoncart.Account
	Arrived        time.Time
	Body           []byte
	Deadline       time.Time
	Header         http.Header
	ID             persimmoncart.RequestID
	IdempotencyKey string // required if calls of the route may not be repeated
	Method         string
	Path           string // path below the route, with the query
	Route          *persimmoncart.Route
}

// Call serves a call to an application. It returns a *persimmoncart.Refusal if there
// is no response, and a *CallerGoneError if the caller has disconnected.
func (r *Router) Call(ctx context.Context, request ApplicationRequest) (*persimmoncart.CallResponse, RequestSummary, error) {
	c := &call{ApplicationRequest: request, router: r}
	if !request.Route.Idempotent {
		response, err := c.runOnce(ctx)
		return response, c.finalSummary(), err
	}
	ctx, stop := timer.WithTimeout(ctx, r.Timer, request.Deadline.Sub(r.Timer.Now()), errDeadline)
	defer stop()
	r.RetryBudgets.RecordFirst(request.Route.Name, request.Account.Name)
	response, err := c.runIdempotent(ctx)
	return response, c.finalSummary(), err
}

// A call is an ApplicationRequest that is being served.
type call struct {
	ApplicationRequest

	attempts   atomic.Int64
	avoid      []persimmoncart.EndpointID // endpoints that failed earlier attempts
	dispatched bool                       // an endpoint may have acted on the call
	router     *Router
	summary    RequestSummary
}

// An attemptResult is the response or the error of one attempt.
type attemptResult struct {
	endpoint persimmoncart.Endpoint
	err      error
	response *persimmoncart.CallResponse
}

// finalSummary returns the summary with the number of attempts.
func (c *call) finalSummary() RequestSummary {
	c.summary.Attempts = int(c.attempts.Load())
	return c.summary
}

// runIdempotent serves an idempotent call with retries and, if the route allows
// them, hedges.
func (c *call) runIdempotent(ctx context.Context) (*persimmoncart.CallResponse, error) {
	for n := 1; ; n++ {
		result := c.sendHedged(ctx)
		if result.err == nil {
			return result.response, nil
		}
		if ctx.Err() != nil {
			return nil, c.interrupted(ctx)
		}
		if refusal := as[*persimmoncart.Refusal](result.err); refusal != nil {
			return nil, c.refuse(*refusal)
		}
		if !c.router.waitForRetry(ctx, c.Route.Name, c.Account.Name, n, c.Deadline) {
			if ctx.Err() != nil {
				return nil, c.interrupted(ctx)
			}
			return nil, c.refuse(finalRefusal(result.err))
		}
		c.countRetry(result)
	}
}

// sendHedged makes one attempt. If it takes longer than most calls to the pool and
// the budget allows a hedge, it makes a second attempt at another endpoint.
func (c *call) sendHedged(ctx context.Context) attemptResult {
	delay := time.Duration(0)
	if c.Route.Hedge {
		delay = c.router.RetryBudgets.HedgeDelay(c.Route.Pool)
	}
	endpoint, err := c.pick(ctx, c.avoid)
	if err != nil {
		return attemptResult{err: err}
	}
	if delay <= 0 {
		return c.recordResult(c.send(ctx, endpoint, 0))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errHedged)
	results := make(chan attemptResult, 2)
	c.router.background.Go(func() { results <- c.send(ctx, endpoint, 0) })
	delayPassed := make(chan struct{})
	stop := c.router.Timer.After(delay, func(time.Time) { close(delayPassed) })
	defer stop()
	select {
	case result := <-results:
		return c.recordResult(result)
	case <-delayPassed:
	}
	pending := 1
	if second, err := c.pickHedge(ctx, endpoint.ID); err == nil {
		pending++
		c.router.Metrics.CountRetry(persimmoncart.RetryHedge)
		c.summary.RetryReason = persimmoncart.RetryHedge
		c.router.background.Go(func() { results <- c.send(ctx, second, 0) })
	}
	return c.firstResponse(results, pending)
}

// firstResponse returns the first of the pending results that is a response, or the
// last error if there is no response.
func (c *call) firstResponse(results <-chan attemptResult, pending int) attemptResult {
	for {
		result := c.recordResult(<-results)
		if pending--; result.err == nil || pending == 0 {
			return result
		}
	}
}

// pickHedge picks the endpoint of a hedge. It returns an error if there is no
// endpoint other than first, or if the hedge budget is used up.
func (c *call) pickHedge(ctx context.Context, first persimmoncart.EndpointID) (persimmoncart.Endpoint, error) {
	avoid := append([]persimmoncart.EndpointID{first}, c.avoid...)
	endpoint, err := c.pick(ctx, avoid)
	if err != nil {
		return endpoint, err
	}
	if endpoint.ID != first && c.router.RetryBudgets.TakeHedge(c.Route.Pool) {
		return endpoint, nil
	}
	c.router.Balancer.Report(persimmoncart.CallResult{Cancelled: true, Endpoint: endpoint.ID, Pool: c.Route.Pool, Role: persimmoncart.RoleApplication})
	return endpoint, errors.New("no other endpoint or no hedge budget")
}

// pick chooses an endpoint of the route's pool.
func (c *call) pick(ctx context.Context, avoid []persimmoncart.EndpointID) (persimmoncart.Endpoint, error) {
	endpoint, err := c.router.Balancer.Pick(ctx, persimmoncart.PickRequest{
		Avoid: c.router.avoidList(avoid),
		Pool:  c.Route.Pool,
		Route: c.Route.Name,
	})
	if err != nil {
		return endpoint, errors.Wrap(err, "pick")
	}
	return endpoint, nil
}

// send makes one attempt at endpoint and reports its result to the balancer, the
// budgets and the metrics.
func (c *call) send(ctx context.Context, endpoint persimmoncart.Endpoint, fence uint64) attemptResult {
	r := c.router
	id := persimmoncart.AttemptID{Number: int(c.attempts.Add(1)), Request: c.ID}
	start := r.Timer.Now()
	response, err := r.Applications.Application(endpoint.Addr).Call(ctx, persimmoncart.CallRequest{
		Attempt:  id,
		Body:     c.Body,
		Deadline: c.Deadline,
		Fence:    fence,
		Header:   c.Header,
		Key:      c.IdempotencyKey,
		Method:   c.Method,
		Path:     c.Path,
	})
	if err == nil && response.Attempt != id {
		err = &persimmoncart.AttemptMismatchError{Got: response.Attempt, Want: id}
	}
	if is[*persimmoncart.AttemptMismatchError](err) {
		r.Metrics.CountDiscarded()
	}
	latency := r.Timer.Now().Sub(start)
	r.Balancer.Report(persimmoncart.CallResult{
		Cancelled: ctx.Err() != nil,
		Endpoint:  endpoint.ID,
		Failed:    err != nil || response.Status >= http.StatusInternalServerError,
		Latency:   latency,
		Pool:      c.Route.Pool,
		Role:      persimmoncart.RoleApplication,
	})
	if err != nil {
		if ctx.Err() == nil {
			r.recordFailure(endpoint.ID, err)
		}
		return attemptResult{endpoint: endpoint, err: errors.Wrap(err, "call")}
	}
	r.health.recordSuccess(endpoint.ID)
	r.RetryBudgets.RecordLatency(c.Route.Pool, latency)
	r.Metrics.ObserveCall(c.Route.Name, latency)
	return attemptResult{endpoint: endpoint, response: response}
}

// recordResult records the endpoint of an attempt and whether it may have acted on
// the call. It returns result.
func (c *call) recordResult(result attemptResult) attemptResult {
	c.summary.Endpoint = result.endpoint.ID
	c.dispatched = c.dispatched || !provesNotRun(result.err)
	return result
}

// countRetry counts a retry after a failed attempt, whose endpoint further attempts
// avoid.
func (c *call) countRetry(result attemptResult) {
	c.avoid = append(c.avoid, result.endpoint.ID)
	c.summary.RetryReason = persimmoncart.RetryEndpointDied
	if is[*persimmoncart.EndpointRefusedError](result.err) {
		c.summary.RetryReason = persimmoncart.RetryEndpointRefused
	}
	c.router.Metrics.CountRetry(c.summary.RetryReason)
}

// interrupted returns the final error of a call whose context has ended.
func (c *call) interrupted(ctx context.Context) error {
	cause := context.Cause(ctx)
	if !errors.Is(cause, errDeadline) {
		return &CallerGoneError{Err: cause}
	}
	return c.refuse(persimmoncart.Refusal{Code: persimmoncart.RefusalDeadline, Err: cause, Message: "the request's deadline passed", RetryAfter: defaultRetryAfter})
}

// refuse returns the refusal with the outcome of the call.
func (c *call) refuse(refusal persimmoncart.Refusal) error {
	refusal.Outcome = persimmoncart.OutcomeNotRun
	if c.dispatched {
		refusal.Outcome = persimmoncart.OutcomeUnknown
	}
	return &refusal
}

// finalRefusal returns the refusal for a failed call that is not retried.
func finalRefusal(err error) persimmoncart.Refusal {
	r := persimmoncart.Refusal{Err: err, RetryAfter: defaultRetryAfter}
	if refused := as[*persimmoncart.EndpointRefusedError](err); refused != nil {
		r.Code, r.Message = persimmoncart.RefusalCapacity, "the application refused the call"
		r.RetryAfter = positiveOr(refused.RetryAfter, defaultRetryAfter)
		return r
	}
	if isInvalidResponse(err) {
		r.Code, r.Message = persimmoncart.RefusalEndpointInvalid, "the application gave an invalid answer"
		return r
	}
	r.Code, r.Message = persimmoncart.RefusalEndpointFailed, "the application did not answer"
	return r
}
