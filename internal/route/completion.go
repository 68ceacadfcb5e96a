package route

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A CompletionRequest is a caller's request for generated text.
type CompletionRequest struct {
	Account         *persimmoncart.Account
	Arrived         time.Time
	Class           persimmoncart.Class
	Deadline        time.Time // for the whole response
	ID              persimmoncart.RequestID
	MaxOutputTokens int
	Model           persimmoncart.ModelName
	Pool            *persimmoncart.Pool
	Prompt          string
	Route           *persimmoncart.Route
}

// A Sink receives the tokens of a completion in order. An error from one of its
// methods means that the caller has disconnected.
type Sink interface {
	// Flush sends the buffered tokens to the caller.
	Flush() error
	// WriteToken buffers the next token; last marks the final token.
	WriteToken(text string, last bool) error
}

// Complete serves a completion. It returns a *persimmoncart.Refusal if the response
// is missing or incomplete, and a *CallerGoneError if the caller has disconnected.
func (r *Router) Complete(ctx context.Context, request CompletionRequest, sink Sink) (RequestSummary, error) {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, request.Deadline.Sub(r.Timer.Now()), errDeadline)
	defer stop()
	r.RetryBudgets.RecordFirst(request.Route.Name, request.Account.Name)
	c := &completion{CompletionRequest: request, prefixes: Prefixes(request.Prompt), router: r, sink: sink}
	err := c.run(ctx)
	if !c.firstTokenTime.IsZero() {
		gap := time.Duration(0)
		if n := len(c.sent); n > 1 {
			gap = r.Timer.Now().Sub(c.firstTokenTime) / time.Duration(n-1)
		}
		r.Metrics.EndStream(len(c.sent), gap)
	}
	c.summary.Tokens = len(c.sent)
	return c.summary, err
}

// States of a completion, in the order of a request without failures.
const (
	stateReserve state = iota + 1 // wait for a grant of a prefill and a decode slot
	stateCommit                   // commit the grant
	statePrefill                  // compute and export the KV cache
	stateImport                   // copy the KV cache to the decode engine
	stateDecode                   // start the generation
	stateStream                   // send tokens to the caller
	stateDone
)

// A state identifies the next step of a completion.
type state uint8

// A completion is a CompletionRequest that is being served.
type completion struct {
	CompletionRequest

	attempt        *attempt                   // nil before the first grant and after a failed attempt
	avoid          []persimmoncart.EndpointID // endpoints that failed earlier attempts
	dispatched     bool                       // an engine may have acted on the request
	firstTokenTime time.Time                  // zero before the first token
	prefixes       []uint64
	router         *Router
	sent           []string // tokens written to the sink
	sink           Sink
	summary        RequestSummary
}

// run executes the steps of the completion until it is done or refused. After a
// failure that allows another attempt it starts again with stateReserve.
func (c *completion) run(ctx context.Context) error {
	s := stateReserve
	for s != stateDone {
		next, err := c.step(ctx, s)
		if err != nil {
			if err := c.handleFailure(ctx, s, err); err != nil {
				return err
			}
			next = stateReserve
		}
		s = next
	}
	c.attempt.finish()
	return nil
}

// step executes the step of state s and returns the next state.
func (c *completion) step(ctx context.Context, s state) (state, error) {
	switch s {
	case stateReserve:
		return stateCommit, c.reserve(ctx)
	case stateCommit:
		return statePrefill, c.attempt.commit(ctx)
	case statePrefill:
		return stateImport, c.prefill(ctx)
	case stateImport:
		return stateDecode, c.attempt.importKVCache(ctx, c.Deadline)
	case stateDecode:
		return stateStream, c.decode(ctx)
	default:
		return stateDone, c.stream(ctx)
	}
}

// reserve waits for a grant for the remaining tokens.
func (c *completion) reserve(ctx context.Context) error {
	r := c.router
	c.summary.Attempts++
	id := persimmoncart.AttemptID{Number: c.summary.Attempts, Request: c.ID}
	grant, err := r.Allocator.Reserve(ctx, persimmoncart.ReserveRequest{
		Account:            c.Account.Name,
		Attempt:            id,
		Avoid:              r.avoidList(c.avoid),
		Class:              c.Class,
		Deadline:           c.Deadline,
		FirstTokenDeadline: c.firstTokenDeadline(),
		MaxOutputTokens:    c.MaxOutputTokens - len(c.sent),
		Model:              c.Model,
		Pool:               c.Pool.Name,
		Prefixes:           c.prefixes,
		PromptTokens:       EstimateTokens(c.Prompt) + len(c.sent),
	})
	if err != nil {
		return errors.Wrap(err, "reserve")
	}
	c.attempt = newAttempt(r, id, grant, c.Pool.Name)
	c.summary.Endpoint, c.summary.PrefillEndpoint = grant.Decode.ID, grant.Prefill.ID
	if len(c.sent) > 0 && r.Timer.Now().Add(grant.ExpectedFirstToken).After(c.Deadline) {
		return &persimmoncart.Refusal{Code: persimmoncart.RefusalStreamBroken, Message: "the answer cannot continue before its deadline"}
	}
	return nil
}

// firstTokenDeadline returns the time when the first token is due. It is zero for
// batch requests, for pools without a target, and after a failed attempt, when the
// request is served even if it misses the target.
func (c *completion) firstTokenDeadline() time.Time {
	if c.Class == persimmoncart.ClassBatch || c.Pool.FirstTokenTarget <= 0 || c.summary.Attempts > 1 {
		return time.Time{}
	}
	return c.Arrived.Add(c.Pool.FirstTokenTarget)
}

// prefill computes the KV cache of the prompt and of the tokens sent so far.
func (c *completion) prefill(ctx context.Context) error {
	err := c.attempt.runPrefill(ctx, persimmoncart.PrefillRequest{
		Class:     c.Class,
		Deadline:  c.Deadline,
		Generated: c.sent,
		Model:     c.Model,
		Prompt:    c.Prompt,
	})
	c.dispatched = c.dispatched || !provesNotRun(err)
	return err
}

// decode starts the generation at the first token that has not been sent.
func (c *completion) decode(ctx context.Context) error {
	return c.attempt.startDecode(ctx, persimmoncart.DecodeRequest{
		Class:           c.Class,
		Deadline:        c.Deadline,
		MaxOutputTokens: c.MaxOutputTokens,
		Start:           len(c.sent),
	})
}

// stream writes tokens to the sink until the last one. It discards tokens of other
// attempts and repeated tokens, and returns a *SkippedTokenError if a token is
// missing.
func (c *completion) stream(ctx context.Context) error {
	a := c.attempt
	ctx, progress, stop := c.watchProgress(ctx)
	defer stop()
	buffered, _ := a.stream.(persimmoncart.BufferedTokenStream)
	for {
		t, err := a.stream.Next(ctx)
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return errors.Wrap(unexpectedEOF(err), "stream")
		}
		if t.Attempt != a.id || t.Index < len(c.sent) {
			c.router.Metrics.CountDiscarded()
			continue
		}
		if t.Index > len(c.sent) {
			return &SkippedTokenError{Got: t.Index, Want: len(c.sent)}
		}
		progress.Add(1)
		last := t.Last || t.Index+1 >= c.MaxOutputTokens
		if err := c.writeToken(t.Text, last); err != nil {
			return err
		}
		if !last && buffered != nil && buffered.Buffered() {
			continue
		}
		if err := c.sink.Flush(); err != nil {
			return &CallerGoneError{Err: err}
		}
		if last {
			return nil
		}
	}
}

// writeToken writes one token to the sink and counts it.
func (c *completion) writeToken(text string, last bool) error {
	if len(c.sent) == 0 {
		c.firstTokenTime = c.router.Timer.Now()
		c.router.Metrics.ObserveFirstToken(c.Route.Name, c.firstTokenTime.Sub(c.Arrived))
	}
	if err := c.sink.WriteToken(text, last); err != nil {
		return &CallerGoneError{Err: err}
	}
	c.sent = append(c.sent, text)
	c.attempt.countToken(last)
	return nil
}

// watchProgress returns a context that is cancelled with errStalled if the returned
// counter does not change during one period of the stall timeout. One timer
// subscription for each stream is far cheaper than a timer for each token.
func (c *completion) watchProgress(ctx context.Context) (context.Context, *atomic.Int64, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := &atomic.Int64{}
	var previous int64
	stop := c.router.Timer.Subscribe(positiveOr(c.router.StallTimeout, DefaultStallTimeout), func(time.Time) {
		current := progress.Load()
		if current == previous {
			cancel(errStalled)
		}
		previous = current
	})
	return ctx, progress, func() {
		stop()
		cancel(context.Canceled)
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, because a stream may end
// only after its last token.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
