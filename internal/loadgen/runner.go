// Package loadgen sends the load of a deployment to entry instances and checks
// every response.
//
// Arrivals are open-loop: each request is sent at its intended time even if
// earlier ones are still in flight, and its latency counts from that time.
package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

const (
	// maxResponseBytes is the largest response without streaming.
	maxResponseBytes = 1 << 20
	// maxInFlight is the most requests in flight, which bounds the memory of a
	// run without responses.
	maxInFlight = 20_000
	// unreachablePause is how long an instance gets no requests after it could
	// not be reached.
	unreachablePause = time.Second
	// callerGrace is how long callers wait beyond the deadline of a request.
	callerGrace = 30 * time.Second
	// progressPeriod is the time between progress lines.
	progressPeriod = 5 * time.Second
)

// errTooManyInFlight is the error of a request that was not sent because
// maxInFlight requests were in flight.
var errTooManyInFlight = errors.New("too many requests in flight")

// Targets are the latency targets that responses have to meet to count as
// goodput.
type Targets struct {
	FirstToken time.Duration // to the first token; for calls, to the complete response
	TokenGap   time.Duration // mean time between the tokens of a response
}

// PlanTargets are the targets of the two-year plan (docs/design.md, section 4).
var PlanTargets = Targets{FirstToken: 1600 * time.Millisecond, TokenGap: 60 * time.Millisecond}

// A Runner sends the requests of one run. Set the exported fields before Run.
type Runner struct {
	Addrs    []netip.AddrPort // entry instances, in turn
	APIKey   string           // API key of the account
	HTTP     *http.Client     // from transport.NewClient
	Progress io.Writer        // receives a line every progressPeriod; nil for none
	Secure   bool             // use HTTPS
	Source   *Source
	Targets  Targets
	Timer    persimmoncart.Timer

	group            sync.WaitGroup
	inFlight         atomic.Int64
	mutex            sync.Mutex                   // guards unreachableUntil and lastInstance
	unreachableUntil map[netip.AddrPort]time.Time // end of the pause of an instance
	lastInstance     int                          // index into Addrs of the last instance picked
	start            time.Time
	tally            *tally
}

// Run sends all requests, waits for the responses and returns the report. If
// ctx ends first, it returns early, and requests in flight count as failed.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if len(r.Addrs) == 0 {
		return nil, errors.New("no entry instances to send requests to")
	}
	r.tally = newTally(r.Source.Mix, r.Targets)
	r.start = r.Timer.Now()
	r.unreachableUntil = map[netip.AddrPort]time.Time{}
	if r.Progress != nil {
		stop := r.Timer.Subscribe(progressPeriod, func(now time.Time) {
			// An error such as a closed terminal must not end the run.
			_, _ = fmt.Fprintln(r.Progress, r.tally.progress(now.Sub(r.start), r.inFlight.Load()))
		})
		defer stop()
	}
	for q, ok := r.Source.Next(); ok; q, ok = r.Source.Next() {
		if r.Timer.Sleep(ctx, q.Start-r.Timer.Now().Sub(r.start)) != nil {
			break
		}
		r.spawn(ctx, q, q.Start)
		if q.RetryDelay > 0 {
			r.spawn(ctx, q, q.Start+q.RetryDelay)
		}
	}
	r.group.Wait()
	return r.tally.report(r.Source, r.Timer.Now().Sub(r.start)), nil
}

// spawn sends q at offset at from the start of the run, in its own goroutine.
func (r *Runner) spawn(ctx context.Context, q Request, at time.Duration) {
	if r.inFlight.Add(1) > maxInFlight {
		r.inFlight.Add(-1)
		r.tally.add(&Result{Start: at, Err: errTooManyInFlight, Request: q})
		return
	}
	r.group.Go(func() {
		defer r.inFlight.Add(-1)
		if wait := at - r.Timer.Now().Sub(r.start); wait > 0 && r.Timer.Sleep(ctx, wait) != nil {
			return
		}
		r.tally.add(r.send(ctx, q, at))
	})
}

// send sends q and returns its result.
func (r *Runner) send(ctx context.Context, q Request, at time.Duration) *Result {
	result := &Result{Start: at, Request: q}
	// The caller waits longer than the route's deadline, so that it receives
	// the router's final response instead of its own timeout.
	ctx, cancel := context.WithTimeout(ctx, q.Workload.Deadline+callerGrace)
	defer cancel()
	result.Err = r.exchange(ctx, q, result)
	result.Latency = r.Timer.Now().Sub(r.start) - at
	return result
}

// exchange sends q, reads its response into result and checks it. If the
// instance could not be reached, another one is tried.
func (r *Runner) exchange(ctx context.Context, q Request, result *Result) error {
	addr := r.pickInstance()
	request, err := http.NewRequestWithContext(ctx, q.Method, transport.URL(addr, r.Secure)+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+r.APIKey)
	if len(q.Body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if q.IdempotencyKey != "" {
		// With the canonical name of the header, net/http would retry the call
		// by itself.
		request.Header["idempotency-key"] = []string{q.IdempotencyKey}
		request.GetBody = nil
	}
	tracked, tracker := transport.TrackSend(ctx)
	response, err := r.HTTP.Do(request.WithContext(tracked))
	if err != nil {
		if !tracker.Sent() && ctx.Err() == nil && r.markUnreachable(addr) {
			return r.exchange(ctx, q, result)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		b, err := transport.ReadAll(response.Body, maxResponseBytes)
		if err != nil {
			return err
		}
		return parseRefusal(b)
	}
	if q.Workload.Kind == KindDraft && !q.NonStreaming {
		return r.readDraft(q, response.Body, result)
	}
	b, err := transport.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if q.NonStreaming {
		verifier := textVerifier{want: engine.NewFakeOutput(q.Prompt)}
		err := checkCompletion(&verifier, q.MaxOutputTokens, b)
		result.Tokens = verifier.tokens
		return err
	}
	return checkCall(q, b)
}

// pickInstance returns the instance for the next request: each in turn, except
// those in their pause after a failure.
func (r *Runner) pickInstance() netip.AddrPort {
	now := r.Timer.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range r.Addrs {
		r.lastInstance = (r.lastInstance + 1) % len(r.Addrs)
		if a := r.Addrs[r.lastInstance]; !now.Before(r.unreachableUntil[a]) {
			return a
		}
	}
	return r.Addrs[r.lastInstance]
}

// markUnreachable sends no requests to an instance for unreachablePause, as
// the platform's load balancer does. It reports whether another instance is
// usable.
func (r *Runner) markUnreachable(addr netip.AddrPort) bool {
	now := r.Timer.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unreachableUntil[addr] = now.Add(unreachablePause)
	for _, a := range r.Addrs {
		if !now.Before(r.unreachableUntil[a]) {
			return true
		}
	}
	return false
}

// readDraft reads and checks a streamed completion.
func (r *Runner) readDraft(q Request, body io.Reader, result *Result) error {
	s := &stream{
		verifier:  textVerifier{want: engine.NewFakeOutput(q.Prompt)},
		maxTokens: q.MaxOutputTokens,
		onText:    func() { result.tokenTimes.record(r.Timer.Now()) },
	}
	err := s.read(body)
	result.Tokens = s.verifier.tokens
	if !result.tokenTimes.first.IsZero() {
		result.FirstToken = result.tokenTimes.first.Sub(r.start) - result.Start
	}
	return err
}

// checkCall compares the response to a call with that of the fake application.
func checkCall(q Request, body []byte) error {
	// The application receives the path below the route.
	want := application.FakeReceipt(q.IdempotencyKey, q.Body)
	if q.Workload.Kind == KindLookup {
		want = application.FakeLookup(q.Path[len("/")+len(q.Workload.Route):])
	}
	if !bytes.Equal(body, want) {
		return &InvalidResponseError{Reason: fmt.Sprintf("%.80q, want %q", body, want)}
	}
	return nil
}
