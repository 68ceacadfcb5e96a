// Package loadgen sends the load of a deployment to entry instances and checks
// every answer.
//
// Arrivals are open-loop: each request is sent at its intended time, however
// slow the answers to earlier ones are, and its latency counts from that time.
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
	// maxResponseBytes bounds the answer to a plain call.
	maxResponseBytes = 1 << 20
	// maxInFlight bounds the memory of a run whose answers never come.
	maxInFlight = 20_000
	// unreachablePause is how long an instance that cannot be reached gets no requests.
	unreachablePause = time.Second
	// callerGrace is how long callers wait beyond the deadline of a request.
	callerGrace = 30 * time.Second
	// progressPeriod is the time between progress lines.
	progressPeriod = 5 * time.Second
)

// errTooManyInFlight is the error of a request that was not sent because too many were
// in flight.
var errTooManyInFlight = errors.New("too many requests in flight")

// Targets are the latency targets of goodput.
type Targets struct {
	FirstToken time.Duration // to the first token, and for the whole answer of plain calls
	TokenGap   time.Duration // mean time between the tokens of an answer
}

// PlanTargets are the targets of the two-year plan (docs/design.md, section 4).
var PlanTargets = Targets{FirstToken: 1600 * time.Millisecond, TokenGap: 60 * time.Millisecond}

// A Runner sends one run. Set the fields before Run.
type Runner struct {
	Addrs    []netip.AddrPort // entry instances, used in turn
	HTTP     *http.Client     // from transport.NewClient
	APIKey   string           // API key of the account
	Progress io.Writer        // gets a line every 5 s; nil gets none
	Secure   bool             // HTTPS
	Source   *Source
	Targets  Targets
	Timer    persimmoncart.Timer

	group            sync.WaitGroup
	inFlight         atomic.Int64
	mutex            sync.Mutex                   // guards the two fields below
	unreachableUntil map[netip.AddrPort]time.Time // until when an instance gets no requests
	lastInstance     int                          // number of the last instance
	start            time.Time
	tally            *tally
}

// Run sends all requests, waits for the answers and returns the report. It
// returns early when ctx ends; requests in flight then count as failed.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if len(r.Addrs) == 0 {
		return nil, errors.New("no instance to send to")
	}
	r.tally = newTally(r.Source.Mix, r.Targets)
	r.start = r.Timer.Now()
	r.unreachableUntil = map[netip.AddrPort]time.Time{}
	if r.Progress != nil {
		stop := r.Timer.Subscribe(progressPeriod, func(now time.Time) {
			// A closed terminal must not end the run.
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

// spawn sends q at offset at from the start.
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

// send sends q and checks its answer.
func (r *Runner) send(ctx context.Context, q Request, at time.Duration) *Result {
	result := &Result{Start: at, Request: q}
	// The caller waits longer than the route's own deadline, so that it gets the
	// router's final answer in place of its own timeout.
	ctx, cancel := context.WithTimeout(ctx, q.Workload.Deadline+callerGrace)
	defer cancel()
	result.Err = r.exchange(ctx, q, result)
	result.Latency = r.Timer.Now().Sub(r.start) - at
	return result
}

// exchange sends q and reads its answer into result.
func (r *Runner) exchange(ctx context.Context, q Request, result *Result) error {
	addr := r.pickInstance()
	h, err := http.NewRequestWithContext(ctx, q.Method, transport.URL(addr, r.Secure)+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return err
	}
	h.Header.Set("Authorization", "Bearer "+r.APIKey)
	if len(q.Body) > 0 {
		h.Header.Set("Content-Type", "application/json")
	}
	if q.IdempotencyKey != "" {
		// The canonical form would let net/http send the call twice by itself.
		h.Header["idempotency-key"] = []string{q.IdempotencyKey}
		h.GetBody = nil
	}
	tracked, tracker := transport.TrackSend(ctx)
	response, err := r.HTTP.Do(h.WithContext(tracked))
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
		check := textVerifier{want: engine.NewFakeAnswer(q.Prompt)}
		err := checkCompletion(&check, q.MaxOutputTokens, b)
		result.Tokens = check.tokens
		return err
	}
	return checkCall(q, b)
}

// pickInstance returns the instance of the next request: each in turn, without those
// that failed lately.
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

// markUnreachable leaves an instance that cannot be reached out for a while, as the
// platform's load balancer does. It reports whether another one is left.
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

// readDraft reads a streamed completion.
func (r *Runner) readDraft(q Request, body io.Reader, result *Result) error {
	s := &stream{
		verifier: textVerifier{want: engine.NewFakeAnswer(q.Prompt)},
		limit:    q.MaxOutputTokens,
		onText:   func() { result.tokenTimes.record(r.Timer.Now()) },
	}
	err := s.read(body)
	result.Tokens = s.verifier.tokens
	if !result.tokenTimes.first.IsZero() {
		result.FirstToken = result.tokenTimes.first.Sub(r.start) - result.Start
	}
	return err
}

// checkCall compares the answer to a plain call with that of a fake.
func checkCall(q Request, body []byte) error {
	// The application gets the path below the route.
	want := application.FakeReceipt(q.IdempotencyKey, q.Body)
	if q.Workload.Kind == KindLookup {
		want = application.FakeLookup(q.Path[len("/")+len(q.Workload.Route):])
	}
	if !bytes.Equal(body, want) {
		return &InvalidResponseError{Reason: fmt.Sprintf("%.80q, want %q", body, want)}
	}
	return nil
}
