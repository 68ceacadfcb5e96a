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
	// holdLimit is the largest answer that is read whole before its first byte
	// goes to the caller, bytes. A shorter one that breaks off can be asked for again.
	holdLimit = 256 << 10
	// hedgeShare is the part of the objective after which an idempotent request
	// that has no answer goes to a second endpoint.
	hedgeShare = 0.45
	// suspectShare is the part of the objective after which an endpoint without
	// an answer counts as failing until it answers.
	suspectShare = 0.9
)

// A verdict says what became of one send.
type verdict uint8

const (
	verdictAnswered verdict = iota + 1
	verdictError            // a whole answer that reports a failure of the endpoint
	verdictFailed           // may have run, and there is no usable answer
	verdictNotRun
)

// A plainResult is the end of one send.
type plainResult struct {
	answer   *Answer
	endpoint persimmoncart.EndpointID
	err      error
	verdict  verdict
}

// A plainCall is a request that is answered by one body.
type plainCall struct {
	*exchange

	cancel   context.CancelFunc // ends all sends
	fallback *plainResult       // the answer if no better one comes
	results  chan plainResult
	running  int
	runs     int // sends that may have run
}

// plain serves a request that is answered by one body.
func (x *exchange) plain(ctx context.Context) (*Answer, error) {
	sending, cancel := context.WithCancel(ctx)
	p := &plainCall{cancel: cancel, exchange: x, results: make(chan plainResult, maxSends)}
	if !p.send(sending, "") {
		cancel()
		return nil, x.empty()
	}
	hedge := make(chan time.Time, 1)
	defer x.router.Timer.After(x.part(hedgeShare), func(now time.Time) { hedge <- now })()
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil, x.ended(ctx, p.running > 0 || p.runs > 0)
		case <-hedge:
			if p.mayRepeat() {
				p.send(sending, persimmoncart.RetryHedge)
			}
		case result := <-p.results:
			p.running--
			if result.verdict != verdictAnswered && ctx.Err() != nil {
				cancel()
				return nil, x.ended(ctx, true)
			}
			if answer, done, err := p.take(sending, result); done {
				return answer, err
			}
		}
	}
}

// empty returns the refusal of a request whose pool has no endpoint.
func (x *exchange) empty() error {
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalPoolEmpty, Message: "no endpoint", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retrySoon,
	}
}

// part returns a part of the route's objective.
func (x *exchange) part(share float64) time.Duration {
	return time.Duration(share * float64(x.rule.LatencyTarget))
}

// mayRepeat reports whether the request may run once more.
func (p *plainCall) mayRepeat() bool {
	return p.rule.Repeat == persimmoncart.RepeatAlways && p.runs+p.running < p.rule.MaxAttempts
}

// send sends the request to one more endpoint. It reports false if there is none
// or the budget is used up.
func (p *plainCall) send(ctx context.Context, reason persimmoncart.RetryReason) bool {
	l := p.router.Directory.Take(p.pool, policy.SpreadRequest{
		Avoid: p.tried, Careful: p.rule.Repeat != persimmoncart.RepeatAlways, Role: persimmoncart.RoleApplication,
	})
	if l == nil {
		return false
	}
	if !p.arrive(reason) {
		l.Done()
		return false
	}
	p.chosen(l)
	p.running++
	p.tried = append(p.tried, l.Endpoint.ID)
	go func() { p.results <- p.once(ctx, l) }()
	return true
}

// take decides on the end of one send. Done is false while others run.
func (p *plainCall) take(ctx context.Context, result plainResult) (answer *Answer, done bool, err error) {
	switch result.verdict {
	case verdictAnswered:
		return p.deliver(&result), true, nil
	case verdictError, verdictFailed:
		p.ran = true
		p.runs++
	case verdictNotRun:
	}
	if result.answer != nil && p.fallback == nil {
		p.fallback = &result
	}
	if p.again(ctx, &result) || p.running > 0 {
		return nil, false, nil
	}
	switch {
	case p.fallback != nil:
		return p.deliver(p.fallback), true, nil
	case p.runs > 0:
		p.cancel()
		return nil, true, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalEndpointFailed, Err: result.err, Message: "the endpoint failed",
			Outcome: persimmoncart.OutcomeUnknown,
		}
	default:
		p.cancel()
		return nil, true, &persimmoncart.Refusal{
			Code: persimmoncart.RefusalCapacity, Err: result.err, Message: "no endpoint took the request",
			Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retrySoon,
		}
	}
}

// again sends the request once more if that is allowed and of use.
func (p *plainCall) again(ctx context.Context, result *plainResult) bool {
	if ctx.Err() != nil {
		return false
	}
	reason := persimmoncart.RetryEndpointRefused
	if result.verdict != verdictNotRun {
		if !p.mayRepeat() {
			return false
		}
		reason = persimmoncart.RetryEndpointDied
	}
	return p.send(ctx, reason)
}

// deliver returns the answer of a send and ends the others with its body.
func (p *plainCall) deliver(result *plainResult) *Answer {
	p.endpoint = result.endpoint
	p.router.Metrics.ObserveCall(p.rule.Name, p.router.Timer.Now().Sub(p.request.Arrived))
	a := *result.answer
	a.Body = &cancellingBody{Body: a.Body, cancel: p.cancel}
	return &a
}

// once sends the request to one endpoint and reads its answer.
func (p *plainCall) once(ctx context.Context, l *lease) plainResult {
	result := plainResult{endpoint: l.Endpoint.ID}
	started := p.router.Timer.Now()
	stop := p.router.Timer.After(p.part(suspectShare), func(time.Time) { l.Failed() })
	defer stop()
	defer l.Done()
	answer, err := p.router.Upstream.Send(ctx, p.call(&l.Endpoint))
	if err == nil {
		l.Load(answer.Load)
		result.answer, err = p.read(answer)
	}
	if err != nil {
		result.err = err
		result.verdict = p.failure(ctx, l, err)
		return result
	}
	result.verdict = verdictAnswered
	if answer.Status >= http.StatusInternalServerError {
		result.verdict = verdictError
	}
	l.Succeeded(p.router.Timer.Now().Sub(started), 1)
	return result
}

// failure returns the verdict on a send that failed and notes it on the endpoint.
func (x *exchange) failure(ctx context.Context, l *lease, err error) verdict {
	verdict := verdictFailed
	refused, replaced := (*persimmoncart.EndpointRefusedError)(nil), (*persimmoncart.EndpointReplacedError)(nil)
	switch {
	case errors.As(err, &replaced):
		x.router.Directory.Replaced(l.Endpoint.ID)
		verdict = verdictNotRun
	case errors.As(err, &refused):
		l.Load(refused.Load)
		l.Failed()
		verdict = verdictNotRun
	case ctx.Err() != nil:
		return verdictFailed // given up here, which says nothing about the endpoint
	default:
		l.Failed()
	}
	line := x.log(x.router.Logger.Info()).Str("endpoint", string(l.Endpoint.ID)).Bool("not_run", verdict == verdictNotRun)
	if refused != nil && refused.Load != nil {
		line = line.Int("running", refused.Load.Running).Int("waiting", refused.Load.Waiting).Float64("slow", refused.Load.Slowdown)
	}
	line.Err(err).Msg("send failed")
	return verdict
}

// read reads an answer whole, or its start if it is long.
func (x *exchange) read(answer *persimmoncart.UpstreamResponse) (*Answer, error) {
	if err := x.check(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	size := holdLimit
	if answer.BodyLength >= 0 && answer.BodyLength < holdLimit {
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
	a := &Answer{Header: answer.Header, Length: answer.BodyLength, Status: answer.Status}
	if len(held) < holdLimit {
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
		a.Body = &heldBody{held: held}
		return a, nil
	}
	a.Body = &heldBody{held: held, rest: answer.Body}
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

// check returns an error for an answer that callers must not get.
func (x *exchange) check(answer *persimmoncart.UpstreamResponse) error {
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

// A heldBody is the start of an answer, and what is still to be read of it.
type heldBody struct {
	held []byte
	rest io.ReadCloser // nil if held is all
}

// Close implements Body.
func (b *heldBody) Close() error {
	if b.rest == nil {
		return nil
	}
	if err := b.rest.Close(); err != nil {
		return errors.Wrap(err, "close answer")
	}
	return nil
}

// Next implements Body.
func (b *heldBody) Next() ([]byte, error) {
	if len(b.held) > 0 {
		held := b.held
		b.held = nil
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
