package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

const (
	// bufferLimit is the largest answer that is read whole before its first byte
	// goes to the caller, bytes. A shorter one that breaks off can be asked for again.
	bufferLimit = 256 << 10
	// hedgeDelayShare is the part of the objective after which an idempotent request
	// that has no answer goes to a second endpoint.
	hedgeDelayShare = 0.45
	// suspectShare is the part of the objective after which an endpoint without
	// an answer counts as failing until it answers.
	suspectShare = 0.9
)

// A sendOutcome says what became of one send.
type sendOutcome uint8

const (
	sendAnswered    sendOutcome = iota + 1
	sendServerError             // a whole answer that reports a failure of the endpoint
	sendFailed                  // may have run, and there is no usable answer
	sendNotRun
)

// A sendResult is the end of one send.
type sendResult struct {
	endpoint persimmoncart.EndpointID
	err      error
	outcome  sendOutcome
	response *Response
}

// A plainCall is a request that is answered by one body.
type plainCall struct {
	*exchange

	cancel       context.CancelFunc // ends all sends
	fallback     *sendResult        // the answer if no better one comes
	inFlight     int
	possibleRuns int // sends that may have run
	results      chan sendResult
}

// plain serves a request that is answered by one body.
func (x *exchange) plain(ctx context.Context) (*Response, error) {
	sending, cancel := context.WithCancel(ctx)
	p := &plainCall{cancel: cancel, exchange: x, results: make(chan sendResult, maxSends)}
	if !p.send(sending, "") {
		cancel()
		return nil, x.emptyPoolRefusal()
	}
	hedge := make(chan time.Time, 1)
	defer x.router.Timer.After(x.latencyShare(hedgeDelayShare), func(now time.Time) { hedge <- now })()
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil, x.contextError(ctx, p.inFlight > 0 || p.possibleRuns > 0)
		case <-hedge:
			if p.mayRepeat() {
				p.send(sending, persimmoncart.RetryHedge)
			}
		case result := <-p.results:
			p.inFlight--
			if result.outcome != sendAnswered && ctx.Err() != nil {
				cancel()
				return nil, x.contextError(ctx, true)
			}
			if answer, done, err := p.handleResult(sending, result); done {
				return answer, err
			}
		}
	}
}

// emptyPoolRefusal returns the refusal of a request whose pool has no endpoint.
func (x *exchange) emptyPoolRefusal() error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalPoolEmpty, Message: "no endpoint", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNoEndpoint,
	}
}

// latencyShare returns a latencyShare of the route's objective.
func (x *exchange) latencyShare(share float64) time.Duration {
	return time.Duration(share * float64(x.route.LatencyTarget))
}

// mayRepeat reports whether the request may run once more.
func (p *plainCall) mayRepeat() bool {
	return p.route.Repeat == persimmoncart.RepeatAlways && p.possibleRuns+p.inFlight < p.route.MaxAttempts
}

// send sends the request to one more endpoint. It reports false if there is none
// or the budget is used up.
func (p *plainCall) send(ctx context.Context, reason persimmoncart.RetryReason) bool {
	assigned := p.router.Directory.Assign(p.pool, policy.SelectorRequest{
		Avoid: p.tried, RunOnce: p.route.Repeat != persimmoncart.RepeatAlways, Role: persimmoncart.RoleApplication,
	})
	if assigned == nil {
		return false
	}
	if !p.countSend(reason) {
		assigned.Done()
		return false
	}
	p.logChoice(assigned)
	p.inFlight++
	p.tried = append(p.tried, assigned.Endpoint.ID)
	go func() { p.results <- p.sendTo(ctx, assigned) }()
	return true
}

// handleResult decides on the end of one send. Done is false while others run.
func (p *plainCall) handleResult(ctx context.Context, result sendResult) (answer *Response, done bool, err error) {
	switch result.outcome {
	case sendAnswered:
		return p.deliver(&result), true, nil
	case sendServerError, sendFailed:
		p.mayHaveRun = true
		p.possibleRuns++
	case sendNotRun:
	}
	if result.response != nil && p.fallback == nil {
		p.fallback = &result
	}
	if p.resend(ctx, &result) || p.inFlight > 0 {
		return nil, false, nil
	}
	switch {
	case p.fallback != nil:
		return p.deliver(p.fallback), true, nil
	case p.possibleRuns > 0:
		p.cancel()
		return nil, true, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalEndpointFailed, Err: result.err, Message: "the endpoint failed",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	default:
		p.cancel()
		return nil, true, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalCapacity, Err: result.err, Message: "no endpoint took the request",
			Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNoEndpoint,
		}
	}
}

// resend sends the request once more if that is allowed and of use.
func (p *plainCall) resend(ctx context.Context, result *sendResult) bool {
	if ctx.Err() != nil {
		return false
	}
	reason := persimmoncart.RetryEndpointRefused
	if result.outcome != sendNotRun {
		if !p.mayRepeat() {
			return false
		}
		reason = persimmoncart.RetryEndpointDied
	}
	return p.send(ctx, reason)
}

// deliver returns the answer of a send and ends the others with its body.
func (p *plainCall) deliver(result *sendResult) *Response {
	p.endpoint = result.endpoint
	p.router.Metrics.ObserveCall(p.route.Name, p.router.Timer.Now().Sub(p.request.Arrived))
	a := *result.response
	a.Body = &cancellingBody{Body: a.Body, cancel: p.cancel}
	return &a
}

// sendTo sends the request to one endpoint and reads its answer.
func (p *plainCall) sendTo(ctx context.Context, assigned *assignment) sendResult {
	result := sendResult{endpoint: assigned.Endpoint.ID}
	started := p.router.Timer.Now()
	stop := p.router.Timer.After(p.latencyShare(suspectShare), func(time.Time) { assigned.Failed() })
	defer stop()
	defer assigned.Done()
	answer, err := p.router.Upstream.Send(ctx, p.upstreamCall(&assigned.Endpoint))
	if err == nil {
		assigned.ReportLoad(answer.Load)
		result.response, err = p.readResponse(answer)
	}
	if err != nil {
		result.err = err
		result.outcome = p.recordFailure(ctx, assigned, err)
		return result
	}
	result.outcome = sendAnswered
	if answer.Status >= http.StatusInternalServerError {
		result.outcome = sendServerError
	}
	assigned.Succeeded(p.router.Timer.Now().Sub(started), 1)
	return result
}

// recordFailure returns the verdict on a send that failed and notes it on the endpoint.
func (x *exchange) recordFailure(ctx context.Context, assigned *assignment, err error) sendOutcome {
	verdict := sendFailed
	refused, replaced := (*persimmoncart.EndpointRefusedError)(nil), (*persimmoncart.EndpointReplacedError)(nil)
	switch {
	case errors.As(err, &replaced):
		x.router.Directory.DropReplaced(assigned.Endpoint.ID)
		verdict = sendNotRun
	case errors.As(err, &refused):
		assigned.ReportLoad(refused.Load)
		assigned.Failed()
		verdict = sendNotRun
	case ctx.Err() != nil:
		return sendFailed // given up here, which says nothing about the endpoint
	default:
		assigned.Failed()
	}
	line := x.log(x.router.Logger.Info()).Str("endpoint", string(assigned.Endpoint.ID)).Bool("not_run", verdict == sendNotRun)
	if refused != nil && refused.Load != nil {
		line = line.Int("running", refused.Load.Running).Int("waiting", refused.Load.Waiting).Float64("slow", refused.Load.Slowdown)
	}
	line.Err(err).Msg("send failed")
	return verdict
}

// readResponse reads an answer whole, or its start if it is long.
func (x *exchange) readResponse(answer *persimmoncart.UpstreamResponse) (*Response, error) {
	if err := x.checkResponse(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	size := bufferLimit
	if answer.BodyLength >= 0 && answer.BodyLength < bufferLimit {
		size = int(answer.BodyLength)
	}
	var held []byte
	rest := io.Reader(answer.Body)
	if size > 0 {
		var err error
		if held, err = io.ReadAll(io.LimitReader(rest, int64(size))); err != nil {
			_ = answer.Body.Close()
			return nil, errors.Wrap(err, "read answer")
		}
	}
	a := &Response{Header: answer.Header, Length: answer.BodyLength, Status: answer.Status}
	if len(held) < bufferLimit {
		// The end is read as well, which gives the connection back.
		if n, err := io.Copy(io.Discard, io.LimitReader(rest, 1)); err != nil || n > 0 {
			_ = answer.Body.Close()
			return nil, errors.Wrap(errors.Join(err, errTrailing), "read end of answer")
		}
		_ = answer.Body.Close()
		if answer.BodyLength >= 0 && int64(len(held)) != answer.BodyLength {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "read answer")
		}
		a.Length = int64(len(held))
		a.Body = &bufferedBody{buffered: held}
		return a, nil
	}
	a.Body = &bufferedBody{buffered: held, rest: answer.Body}
	return a, nil
}

// errTrailing reports bytes after the end of an answer.
var errTrailing = errors.New("more bytes than the answer states")

// errUnproven reports an answer that the endpoint did not make.
var errUnproven = errors.New("answer without the endpoint's proof")

// A StatusError reports an answer whose status promises more than is known.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "unusable status " + http.StatusText(e.Status) }

// checkResponse returns an error for an answer that callers must not get.
func (x *exchange) checkResponse(answer *persimmoncart.UpstreamResponse) error {
	if !answer.Authenticated {
		return errors.Wrap(errUnproven, "check answer")
	}
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		// Callers take these as the promise that nothing ran, which the
		// endpoint did not give.
		return &StatusError{Status: answer.Status}
	}
	return nil
}

// A bufferedBody is the start of an answer, and what is still to be read of it.
type bufferedBody struct {
	buffered []byte
	rest     io.ReadCloser // nil if held is all
}

// Close implements Body.
func (b *bufferedBody) Close() error {
	if b.rest == nil {
		return nil
	}
	if err := b.rest.Close(); err != nil {
		return errors.Wrap(err, "close answer")
	}
	return nil
}

// Next implements Body.
func (b *bufferedBody) Next() ([]byte, error) {
	if len(b.buffered) > 0 {
		held := b.buffered
		b.buffered = nil
		return held, nil
	}
	if b.rest == nil {
		return nil, io.EOF
	}
	piece := make([]byte, 32<<10)
	n, err := b.rest.Read(piece)
	if n > 0 {
		return piece[:n], nil
	}
	return nil, err
}

// A cancellingBody ends other sends when the answer has been passed on.
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

// isEOF reports whether err is the clean end of an answer.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
