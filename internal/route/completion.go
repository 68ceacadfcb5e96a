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

// A CompletionRequest is a request for generated text.
type CompletionRequest struct {
	Account         *persimmoncart.Account
	Arrived         time.Time // when the request arrived
	Class           persimmoncart.Class
	Deadline        time.Time // when the whole answer is due
	ID              persimmoncart.RequestID
	MaxOutputTokens int // highest number of output tokens
	Model           persimmoncart.ModelName
	Pool            *persimmoncart.Pool
	Prompt          string
	Route           *persimmoncart.Route
}

// A Sink takes the tokens of a completion in order. An error from it means that
// the caller is gone.
type Sink interface {
	// Flush sends what was taken to the caller.
	Flush() error
	// WriteToken takes the next token.
	WriteToken(text string, last bool) error
}

// Complete serves a completion. It returns a *persimmoncart.Refusal if there is
// no whole answer, and a *CallerGoneError if the caller went away.
func (r *Router) Complete(ctx context.Context, request CompletionRequest, sink Sink) (RequestSummary, error) {
	ctx, stop := timer.WithTimeout(ctx, r.Timer, request.Deadline.Sub(r.Timer.Now()), errDeadline)
	defer stop()
	r.Budgets.RecordFirst(request.Route.Name, request.Account.Name)
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

// States of a completion, in the order of a request that meets no failure.
const (
	stateReserve state = iota + 1 // wait for a grant of both slots
	stateCommit                   // keep the grant
	statePrefill                  // compute and export the KV cache
	stateImport                   // the decode engine copies the KV cache
	stateDecode                   // start the generation
	stateStream                   // pass tokens on
	stateDone
)

// A state is a step in the life of a completion.
type state uint8

// A completion is a CompletionRequest that is being served.
type completion struct {
	CompletionRequest

	attempt        *attempt // nil before the first reservation and after it was freed
	avoid          []persimmoncart.EndpointID
	dispatched     bool      // an engine may have acted on the request
	firstTokenTime time.Time // of the first token; zero before it
	prefixes       []uint64
	router         *Router
	sent           []string // tokens passed to the sink
	sink           Sink
	summary        RequestSummary
}

// run drives the completion from state to state until it is done or refused.
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

// step performs one state and returns the next.
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

// reserve waits for a grant for what remains to be generated.
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

// firstTokenDeadline returns when the first token is due; zero for drafts and for
// requests that can no longer meet the target but are still worth an answer.
func (c *completion) firstTokenDeadline() time.Time {
	if c.Class == persimmoncart.ClassBatch || c.Pool.FirstTokenTarget <= 0 || c.summary.Attempts > 1 {
		return time.Time{}
	}
	return c.Arrived.Add(c.Pool.FirstTokenTarget)
}

// prefill computes the KV cache of the prompt and of the tokens already sent.
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

// decode starts the generation at the first token that was not sent yet.
func (c *completion) decode(ctx context.Context) error {
	return c.attempt.startDecode(ctx, persimmoncart.DecodeRequest{
		Class:           c.Class,
		Deadline:        c.Deadline,
		MaxOutputTokens: c.MaxOutputTokens,
		Start:           len(c.sent),
	})
}

// stream passes tokens to the sink until the last one. Tokens of other attempts
// and repeated tokens are discarded; a skipped token breaks the stream.
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

// writeToken hands one token to the sink.
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

// watchProgress returns a context that ends when progress stands still for too long.
// One subscription for each stream is far cheaper than a timer for each token.
func (c *completion) watchProgress(ctx context.Context) (context.Context, *atomic.Int64, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := &atomic.Int64{}
	var seen int64
	stop := c.router.Timer.Subscribe(positiveOr(c.router.StallTimeout, DefaultStallTimeout), func(time.Time) {
		now := progress.Load()
		if now == seen {
			cancel(errStalled)
		}
		seen = now
	})
	return ctx, progress, func() {
		stop()
		cancel(context.Canceled)
	}
}

// unexpectedEOF replaces io.EOF, because a stream ends only with its last token.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
