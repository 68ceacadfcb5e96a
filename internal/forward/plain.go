package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// suspectShare is the share of the latency target after which an endpoint that
	// has not responded is counted as failed.
	suspectShare = 0.9
)

// A sendOutcome is the outcome of one send.
type sendOutcome uint8

const (
	sendAnswered    sendOutcome = iota + 1
	sendServerError             // complete response with a status of 500 or above
	sendFailed                  // no usable response; the request may have run
	sendNotRun                  // the request provably did not run
)

// A sendResult is the result of one send.
type sendResult struct {
	endpoint *persimmoncart.Endpoint
	err      error
	outcome  sendOutcome
	response *Response // nil if err is set
}

// A plainCall is a request whose response is one body rather than a stream.
type plainCall struct {
	*exchange

	cancel   context.CancelFunc // ends all sends
	fallback *sendResult        // first response with a server error, used if no send succeeds
	inFlight int                // sends without a result
	results  chan sendResult
}

// plain serves a request whose response is one body.
func (x *exchange) plain(ctx context.Context) (*Response, error) {
	if err := x.quarantineRefusalOrTrial(ctx); err != nil {
		return nil, err
	}
	if err := x.interruptionRefusal(); err != nil { // the quarantine may have taken time
		return nil, err
	}
	sendCtx, cancel := context.WithCancel(ctx)
	p := &plainCall{cancel: cancel, exchange: x, results: make(chan sendResult, maxSends)}
	if !p.send(sendCtx, "") {
		cancel()
		refusal := x.missingEndpointRefusal(persimmoncart.RoleApplication)
		if refusal == nil {
			refusal = x.emptyPoolRefusal()
		}
		return nil, x.noEndpointRefusal(refusal)
	}
	hedge := make(chan time.Time, 1)
	defer x.router.Timer.After(HedgeDelay(x.route), func(now time.Time) { hedge <- now })()
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil, x.contextError(ctx, p.runs > 0)
		case <-hedge:
			if p.mayRun() && !p.suspected() {
				p.send(sendCtx, persimmoncart.RetryHedge)
			}
		case result := <-p.results:
			p.inFlight--
			if result.outcome != sendAnswered && ctx.Err() != nil {
				cancel()
				return nil, x.contextError(ctx, true)
			}
			if response, done, err := p.handleResult(sendCtx, result); done {
				return response, err
			}
		}
	}
}

// emptyPoolRefusal returns the refusal of a request whose pool has no endpoint for
// it.
func (x *exchange) emptyPoolRefusal() error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalPoolEmpty, Message: "no endpoint", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNoEndpoint,
	}
}

// noEndpointRefusal returns refusal, or that of backOffRefusal if all application
// endpoints of the pool want no requests now.
func (x *exchange) noEndpointRefusal(refusal error) error {
	request := policy.SelectorRequest{Role: persimmoncart.RoleApplication, Software: x.software(persimmoncart.RoleApplication)}
	if left, ok := x.router.Directory.WaitLeft(x.pool, request); ok {
		return x.backOffRefusal(left)
	}
	return refusal
}

// backOffRefusal returns the refusal of a request while all endpoints of its pool want
// no requests, or no more than they have got. Left is the time until the first one takes
// requests again.
func (x *exchange) backOffRefusal(left time.Duration) error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalCapacity, Message: "all endpoints ask for fewer requests", Outcome: persimmoncart.OutcomeNotRun,
		RetryAfter: left + rand.N(retryAfterNoEndpoint),
	}
}

// latencyShare returns a share of the route's latency target.
func (x *exchange) latencyShare(share float64) time.Duration {
	return time.Duration(share * float64(x.route.LatencyTarget))
}

// send starts to send the request to one more endpoint; the result goes to
// results. It reports false if there is no endpoint, the route or the retry budget does
// not allow another run, the request crashes endpoints, or the instance stops too soon.
func (p *plainCall) send(ctx context.Context, reason persimmoncart.RetryReason) bool {
	if p.quarantineRefusal() != nil || p.interruptionRefusal() != nil {
		return false
	}
	assigned := p.router.Directory.Assign(p.pool, policy.SelectorRequest{
		Avoid: p.tried, Role: persimmoncart.RoleApplication, RunOnce: p.route.Repeat != persimmoncart.RepeatAlways,
		Software: p.software(persimmoncart.RoleApplication),
	})
	if assigned == nil {
		return false
	}
	if !p.startRun(reason) {
		assigned.Done()
		return false
	}
	p.logChoice(assigned)
	p.inFlight++
	p.tried = append(p.tried, assigned.Endpoint.ID)
	go func() { p.results <- p.sendTo(ctx, assigned) }()
	return true
}

// handleResult handles the result of one send: it sends the request again or
// returns the end of the call. Done is false while further sends are in flight.
func (p *plainCall) handleResult(ctx context.Context, result sendResult) (response *Response, done bool, err error) {
	if result.outcome == sendAnswered {
		response, err = p.deliver(ctx, &result)
		return response, true, err
	}
	p.recordOutcome(result.outcome)
	if result.response != nil && p.fallback == nil {
		p.fallback = &result
	}
	if p.resend(ctx, &result) || p.inFlight > 0 {
		return nil, false, nil
	}
	switch {
	case p.fallback != nil:
		response, err = p.deliver(ctx, p.fallback)
		return response, true, err
	case p.runs > 0:
		p.cancel()
		return nil, true, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalEndpointFailed, Err: result.err, Message: "the endpoint failed",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	default:
		p.cancel()
		if err := p.interruptionRefusal(); err != nil {
			return nil, true, err
		}
		return nil, true, p.noEndpointRefusal(&persimmoncart.Refusal{
			Code: persimmoncart.RefusalCapacity, Err: result.err, Message: "no endpoint took the request",
			Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNoEndpoint,
		})
	}
}

// resend sends the request once more if the result and the route allow it, and
// reports whether it did.
func (p *plainCall) resend(ctx context.Context, result *sendResult) bool {
	if ctx.Err() != nil {
		return false
	}
	reason := persimmoncart.RetryEndpointRefused
	if result.outcome != sendNotRun {
		if p.suspected() {
			return false
		}
		reason = persimmoncart.RetryEndpointDied
	}
	return p.send(ctx, reason)
}

// deliver returns the response of a send. Closing its body cancels other sends.
func (p *plainCall) deliver(ctx context.Context, result *sendResult) (*Response, error) {
	p.endpoint = result.endpoint.ID
	p.recordOrigin(result.endpoint)
	if err := p.fixOrigin(ctx, result.endpoint, result.response.Status); err != nil {
		_ = result.response.Body.Close()
		p.cancel()
		return nil, unrecordedRefusal(err)
	}
	p.router.Metrics.ObserveCall(p.route.Name, p.router.Timer.Now().Sub(p.request.Arrived))
	response := *result.response
	response.Body = &cancellingBody{Body: response.Body, cancel: p.cancel}
	return &response, nil
}

// sendTo sends the request to one endpoint, reads its response and ends the
// assignment.
func (p *plainCall) sendTo(ctx context.Context, assigned *assignment) sendResult {
	result := sendResult{endpoint: &assigned.Endpoint}
	started := p.router.Timer.Now()
	stop := p.router.Timer.After(p.latencyShare(suspectShare), func(time.Time) { assigned.Failed() })
	defer stop()
	defer assigned.Done()
	response, err := p.router.Upstream.Send(ctx, p.upstreamCall(&assigned.Endpoint))
	if err == nil {
		assigned.ReportLoad(response.Load)
		result.response, err = p.readResponse(response)
	}
	if err != nil {
		assigned.GaveUp(ctx, p.router.Timer.Now().Sub(started), 1)
		result.err = err
		result.outcome = p.recordFailure(ctx, assigned, err)
		if result.outcome == sendFailed && ctx.Err() == nil {
			p.checkCrash(&assigned.Endpoint)
		}
		return result
	}
	result.outcome = sendAnswered
	if response.Status >= http.StatusInternalServerError {
		result.outcome = sendServerError
	}
	if response.Status < http.StatusBadRequest {
		p.router.Quarantine.RecordCompletion(p.parts)
	}
	assigned.Responded(p.router.Timer.Now().Sub(started), response.Status)
	return result
}

// recordFailure counts a failed send for its endpoint, logs it and returns its
// outcome.
func (x *exchange) recordFailure(ctx context.Context, assigned *assignment, err error) sendOutcome {
	outcome := sendFailed
	refused, replaced := (*persimmoncart.EndpointRefusedError)(nil), (*persimmoncart.EndpointReplacedError)(nil)
	switch {
	case errors.As(err, &replaced):
		x.router.Directory.DropReplaced(&assigned.Endpoint)
		outcome = sendNotRun
	case errors.As(err, &refused):
		assigned.ReportLoad(refused.Load)
		assigned.Failed()
		outcome = sendNotRun
	case ctx.Err() != nil, errors.Is(err, errOriginUnrecorded):
		return sendFailed // cancelled here, which is no failure of the endpoint
	default:
		assigned.Failed()
	}
	line := x.withParts(x.router.Logger.Info()).Str("endpoint", string(assigned.Endpoint.ID)).Bool("not_run", outcome == sendNotRun)
	if refused != nil && refused.Load != nil {
		line = line.Int("running", refused.Load.Running).Int("waiting", refused.Load.Waiting).Float64("slow", refused.Load.Slowdown)
	}
	line.Err(err).Msg("send failed")
	return outcome
}

// errTrailing reports bytes after the end of a response.
var errTrailing = errors.New("more bytes than the response states")

// errUnauthenticated reports a response without proof that the endpoint made it.
var errUnauthenticated = errors.New("response without the endpoint's proof")

// A StatusError reports a response with a status that must not reach callers.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "unusable status " + http.StatusText(e.Status) }

// checkResponse returns an error for a response that must not reach callers.
func (x *exchange) checkResponse(response *persimmoncart.UpstreamResponse) error {
	if !response.Authenticated {
		return errors.Wrap(errUnauthenticated, "check response")
	}
	switch response.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		// To callers, these mean that the request has not run, which the endpoint
		// has not stated.
		return &StatusError{Status: response.Status}
	}
	return nil
}

// A cancellingBody cancels the context of all sends when it is closed.
type cancellingBody struct {
	Body

	cancel context.CancelFunc
}

// Close implements Body.
func (b *cancellingBody) Close() error {
	err := b.Body.Close()
	b.cancel()
	return err
}

// isEOF reports whether err is the clean end of a response.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
