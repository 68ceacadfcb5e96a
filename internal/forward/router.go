// Package forward serves requests whose formats are agreed between callers and
// endpoints: it chooses the pool by host and path and the endpoint by its expected
// cost, sends the request, and passes the response back unchanged.
//
// Package policy decides about endpoints; a persimmoncart.Upstream sends the
// requests.
package forward

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/policy"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

const (
	// retryAfterNoEndpoint is the pause before a caller sends a request again that no
	// endpoint accepted.
	retryAfterNoEndpoint = 200 * time.Millisecond
	// retryAfterNotReady is the pause before a caller sends a request again that an
	// instance refused because it has not read the routes yet.
	retryAfterNotReady = 500 * time.Millisecond
	// maxSends bounds the sends of one request, including those that did not run.
	maxSends = 6
)

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("request deadline exceeded")

// A Router serves forwarded requests. Its fields are set before use.
type Router struct {
	Directory      *Directory
	GracePeriod    *policy.GracePeriod // of the process; asked before a request is accepted or passed on
	Logger         zerolog.Logger
	Metrics        *metrics.Metrics
	Quarantine     *Quarantine
	Quota          persimmoncart.Quota // nil if limits of accounts are not enforced
	Streams        *StreamRecords
	StoreReachable func() bool // while it returns false, an unknown route may be a new one
	Timer          persimmoncart.Timer
	Upstream       persimmoncart.Upstream
}

// Serve serves one request. The caller closes the response's body. The error is a
// *persimmoncart.Refusal if no endpoint gave a usable response, or a
// *CallerGoneError.
func (r *Router) Serve(ctx context.Context, request *persimmoncart.ForwardRequest) (*Response, error) {
	x, err := r.Accept(ctx, request)
	if err != nil {
		return nil, err
	}
	return x.Serve(ctx)
}

// Accept decides by the head of a request whether it is served, and takes what it costs
// from the limit of its account. The error is a *persimmoncart.Refusal, or a
// *CallerGoneError. Serve or Refuse of an accepted request has to be called.
func (r *Router) Accept(ctx context.Context, request *persimmoncart.ForwardRequest) (*exchange, error) {
	x := &exchange{observe: r.Metrics.StartRequest(), request: request, router: r}
	for _, check := range []func() error{x.resolveRoute, x.resolveAccount, x.stoppingRefusal} {
		if err := check(); err != nil {
			return nil, x.Refuse(err)
		}
	}
	if err := x.takeQuota(ctx); err != nil {
		return nil, x.Refuse(err)
	}
	return x, nil
}

// Deadline returns the time after which nobody waits for the response.
func (x *exchange) Deadline() time.Time { return x.deadline }

// Serve serves an accepted request, whose body has been read. The caller closes the
// response's body. The error is a *persimmoncart.Refusal if no endpoint gave a usable
// response, or a *CallerGoneError.
func (x *exchange) Serve(ctx context.Context) (*Response, error) {
	if err := x.stoppingRefusal(); err != nil { // the body may have taken time
		return nil, x.Refuse(err)
	}
	r, request := x.router, x.request
	x.parts = append(slices.Clone(x.promptParts()), persimmoncart.WholeRequest(request.Fingerprint()))
	ctx = x.withDeadline(ctx)
	if err := x.resolveOrigin(ctx); err != nil {
		x.stop()
		return nil, x.Refuse(err)
	}
	r.Directory.RecordRequest(x.pool)
	serve := x.plain
	if x.generates() {
		serve = x.generate
	}
	response, err := serve(ctx)
	if err != nil {
		x.stop()
		return nil, x.Refuse(err)
	}
	response.Body = &closingBody{Body: response.Body, exchange: x, status: response.Status}
	return response, nil
}

// Reject counts and logs a request that is refused before it is served.
func (r *Router) Reject(id persimmoncart.RequestID, refusal *persimmoncart.Refusal) {
	r.Metrics.CountRefusal(refusal.Code)
	r.Logger.Warn().Str("request", string(id)).Str("code", string(refusal.Code)).Stringer("outcome", refusal.Outcome).
		Dur("retry", refusal.RetryAfter).Str("reason", refusal.Message).AnErr("cause", refusal.Err).Msg("request refused")
}

// An exchange is the state of one request while it is served.
type exchange struct {
	account          *persimmoncart.Account // of the caller; nil for none
	countedSends     int                    // sends that count as arrivals at endpoints; those after the first use the retry budget
	crashChecks      sync.WaitGroup         // pending checks whether an engine has crashed
	deadline         time.Time
	endpoint         persimmoncart.EndpointID                             // that made the response
	engine           *persimmoncart.EngineCapacity                        // of the pool's decode engines; nil for a pool without engines
	parts            []persimmoncart.RequestPart                          // that may crash endpoints: of the prompt, and last the whole request
	observe          func(persimmoncart.RouteName, persimmoncart.Outcome) // records the end of the request in the metrics
	origin           *persimmoncart.StreamOrigin                          // where the stream began; nil until it has begun
	originUnrecorded bool                                                 // a run was given up because its origin was not recorded in time
	pool             persimmoncart.PoolName
	prefillAccepted  bool // an engine has accepted a prefill
	progress         streamProgress
	request          *persimmoncart.ForwardRequest
	retryPaid        bool // the next retry has already been taken from the budget
	route            *persimmoncart.ForwardRoute
	router           *Router
	runs             int          // sends that may have run the request, those in flight included
	sends            atomic.Int32 // all sends, up to maxSends; log lines of sends and checks in flight read it
	startedPrefills  int          // prefills that an engine may have accepted
	stop             func()       // releases the context of withDeadline
	ticket           persimmoncart.QuotaTicket
	trial            bool // let through although a part is quarantined
	tried            []persimmoncart.EndpointID
	table            *persimmoncart.ForwardTable // in force when the request arrived; nil before the first
	waited           time.Duration               // of the caller before this attempt, estimated
}

// withDeadline returns a context that ends at the request's deadline.
func (x *exchange) withDeadline(ctx context.Context) context.Context {
	left := x.deadline.Sub(x.router.Timer.Now())
	ctx, x.stop = timer.WithTimeout(ctx, x.router.Timer, left, errDeadline)
	return ctx
}

// upstreamCall returns the call that sends the request to an endpoint.
func (x *exchange) upstreamCall(e *persimmoncart.Endpoint) persimmoncart.UpstreamCall {
	return persimmoncart.UpstreamCall{
		Account: x.accountName(), Deadline: x.deadline, Endpoint: e, HasAccounts: x.table.Accounts != nil, Priority: x.priority(), Request: x.request,
	}
}

// logChoice logs the choice of an endpoint with the state that it was based on.
func (x *exchange) logChoice(assigned *assignment) {
	line := x.log(x.router.Logger.Info())
	if x.request.Position.Begun() {
		line = line.Stringer("last", x.request.Position).Str("resumes", string(x.request.Resumes))
	}
	if assigned.View.Adaptive {
		line = line.Float64("limit", assigned.View.Limit).Float64("speed", assigned.View.Speed)
	}
	line.Str("endpoint", string(assigned.Endpoint.ID)).Stringer("role", assigned.Endpoint.Role).Str("software", string(assigned.Endpoint.Software)).
		Dur("expected", assigned.Expected).Int("running", assigned.View.InFlight).Float64("others", assigned.View.OtherRequests).
		Float64("failing", assigned.View.FailureRate).Float64("slow", assigned.View.Slowdown).Dur("reported", assigned.View.LoadAge).
		Msg("endpoint chosen")
}

// contextError returns the error of a request whose context has ended: a refusal
// at its deadline and when the instance stops, a *CallerGoneError otherwise. Sent states
// whether the request may have reached an endpoint.
func (x *exchange) contextError(ctx context.Context, sent bool) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrStopped):
		return newStoppingRefusal(sent)
	case !errors.Is(cause, errDeadline):
		return &CallerGoneError{}
	}
	if sent {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalDeadline, Message: "no answer in time", Outcome: persimmoncart.OutcomeUnknown,
		}
	}
	return &persimmoncart.Refusal{
		Code: persimmoncart.RefusalCapacity, Message: "no endpoint in time", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNoEndpoint,
	}
}

// log adds the fields of the request to a log line.
func (x *exchange) log(e *zerolog.Event) *zerolog.Event {
	if x.waited > 0 {
		e = e.Dur("waited", x.waited)
	}
	if x.account != nil {
		e = e.Str("account", string(x.account.Name))
	}
	return e.Str("request", string(x.request.ID)).Str("pool", string(x.pool)).Uint64("version", x.tableVersion()).
		Dur("age", x.router.Timer.Now().Sub(x.request.Arrived)).Int32("sends", x.sends.Load())
}

// withParts adds the fields of the request, its own part and those of its prompt to a
// log line.
func (x *exchange) withParts(e *zerolog.Event) *zerolog.Event {
	e = e.Str("whole", string(x.parts[len(x.parts)-1]))
	if parts := x.promptParts(); len(parts) > 0 {
		e = e.Any("parts", parts)
	}
	return x.log(e)
}

// promptParts returns the shared parts of the request's prompt.
func (x *exchange) promptParts() []persimmoncart.RequestPart {
	if x.request.Generation == nil {
		return nil
	}
	return x.request.Generation.PromptParts
}

// Refuse counts and logs the end of a request without a response and returns the
// error for its caller.
func (x *exchange) Refuse(err error) error {
	x.returnQuota()
	name := persimmoncart.RouteName("")
	if x.route != nil {
		name = x.route.Name
	}
	if gone := (*CallerGoneError)(nil); errors.As(err, &gone) {
		x.log(x.router.Logger.Info()).Str("outcome", "caller_gone").Msg("request ended")
		x.observe(name, persimmoncart.OutcomeUnknown)
		return err
	}
	refusal := &persimmoncart.Refusal{}
	if !errors.As(err, &refusal) {
		refusal = &persimmoncart.Refusal{
			Code: persimmoncart.RefusalInternal, Err: err, Message: "internal error", Outcome: persimmoncart.OutcomeUnknown,
		}
	}
	if x.runs > 0 && refusal.Outcome == persimmoncart.OutcomeNotRun {
		// The last refusal states nothing about the sends before it.
		refusal.Outcome, refusal.RetryAfter = persimmoncart.OutcomeUnknown, 0
	}
	x.router.Metrics.CountRefusal(refusal.Code)
	x.observe(name, refusal.Outcome)
	if refusal.Code == persimmoncart.RefusalMemory || refusal.Code == persimmoncart.RefusalProgress {
		return refusal // package inbound has logged it, with others of its kind
	}
	x.log(x.router.Logger.Warn()).Str("route", string(name)).Str("code", string(refusal.Code)).
		Stringer("outcome", refusal.Outcome).Dur("retry", refusal.RetryAfter).Str("reason", refusal.Message).AnErr("cause", refusal.Err).Msg("request refused")
	return refusal
}

// maxRuns returns how many endpoints may run the request.
func (x *exchange) maxRuns() int {
	if x.route.Repeat == persimmoncart.RepeatNever {
		return 1
	}
	return x.route.MaxAttempts
}

// attempts returns the number of the route's attempts that are used up: runs, and
// prefills after the first.
func (x *exchange) attempts() int { return x.runs + max(0, x.startedPrefills-1) }

// mayRun reports whether the route allows the request to run once more.
func (x *exchange) mayRun() bool { return x.attempts() < x.maxRuns() }

// mayPrefill reports whether the route allows the prompt to be prefilled once more
// and the request to run after that.
func (x *exchange) mayPrefill() bool { return x.startedPrefills == 0 || x.attempts()+1 < x.maxRuns() }

// mayPrefillAgain reports whether mayPrefill holds after one more prefill.
func (x *exchange) mayPrefillAgain() bool { return x.runs+x.startedPrefills+1 < x.maxRuns() }

// mayResume reports whether the route and the number of sends allow that the stream
// resumes at another engine.
func (x *exchange) mayResume() bool {
	return x.route.Repeat == persimmoncart.RepeatResume && x.mayRun() && x.sends.Load() < maxSends
}

// startRun counts a send that may run the request, whether it is the first, a
// retry, a hedge or a resumption. It reports false if the route or the retry budget
// does not allow it.
func (x *exchange) startRun(reason persimmoncart.RetryReason) bool {
	if !x.mayRun() || !x.countSend(reason) {
		return false
	}
	x.runs++
	return true
}

// recordOutcome ends the run that startRun counted if the send provably did not
// run the request.
func (x *exchange) recordOutcome(outcome sendOutcome) {
	if outcome == sendNotRun {
		x.runs--
	}
}

// countSend counts one send that an endpoint may count as an arrival of the
// request, and reports whether maxSends and the retry budget allow it. The first
// counted send takes nothing from the budget.
func (x *exchange) countSend(reason persimmoncart.RetryReason) bool {
	switch {
	case x.sends.Load() >= maxSends:
		return false
	case x.countedSends == 0:
	case x.retryPaid:
		x.retryPaid = false
	case !x.router.Directory.TakeRetry(x.pool):
		return false
	}
	if x.sends.Add(1) > 1 && x.countedSends > 0 {
		x.router.Metrics.CountRetry(reason)
		x.log(x.router.Logger.Info()).Str("reason", string(reason)).Msg("request sent again")
	}
	x.countedSends++
	return true
}

// uncountPrefill reverts countSend for the first prefill of a request that an
// engine accepted: that one is no arrival. A retry taken for it is used by the next
// send.
func (x *exchange) uncountPrefill() {
	if x.prefillAccepted {
		return
	}
	x.prefillAccepted = true
	x.countedSends--
	x.retryPaid = x.countedSends > 0
}

// resolveRoute sets the route, pool and deadline of the request, or returns a
// refusal.
func (x *exchange) resolveRoute() error {
	table := x.router.Directory.Table()
	if table == nil || !x.router.Directory.Ready() {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalNotReady, Message: "routes are not known yet",
			Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNotReady,
		}
	}
	x.table = table
	route, found := table.Route(x.request.Host, x.request.Path())
	if !found && !x.router.StoreReachable() {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalNotReady, Message: "newest routes are not known",
			Outcome: persimmoncart.OutcomeNotRun, RetryAfter: retryAfterNotReady,
		}
	}
	if !found {
		return &persimmoncart.Refusal{
			Code: persimmoncart.RefusalRouteUnknown, Message: "no such route", Outcome: persimmoncart.OutcomeNotRun,
		}
	}
	x.route = route
	x.setPool(route.Pool(hashShare(string(x.request.ID))))
	x.deadline = x.request.Arrived.Add(route.Timeout)
	if x.request.Deadline.Before(x.deadline) {
		x.deadline = x.request.Deadline
	}
	return nil
}

// hashShare returns a number from 0 to 1 that is the same for the same text.
func hashShare(text string) float64 { return float64(xxhash.Sum64String(text)) / math.MaxUint64 }

// setPool sets the pool of the request.
func (x *exchange) setPool(name persimmoncart.PoolName) {
	x.pool, x.engine = name, nil
	if p := x.table.Pools[name]; p != nil {
		x.engine = p.Engine
	}
}

// tableVersion returns the version of the routes that the request is served by; zero
// before the first.
func (x *exchange) tableVersion() uint64 {
	if x.table == nil {
		return 0
	}
	return x.table.Version
}

// finish counts and logs the end of a response. A nil error means that the
// response is complete.
func (x *exchange) finish(status int, err error) {
	outcome, line := persimmoncart.OutcomeAnswered, x.router.Logger.Info()
	if err != nil {
		outcome, line = persimmoncart.OutcomeUnknown, x.router.Logger.Warn()
	}
	if p := x.request.Generation; p != nil {
		line = line.Int("tokens", p.PromptTokens).Int("limit", p.MaxOutputTokens).Int("expected", p.ExpectedOutputTokens)
	}
	x.log(line).Str("route", string(x.route.Name)).Str("endpoint", string(x.endpoint)).Int("status", status).
		Stringer("outcome", outcome).AnErr("cause", err).Msg("request ended")
	x.observe(x.route.Name, outcome)
}

// A CallerGoneError reports a request whose caller closed the connection.
type CallerGoneError struct{}

// Error implements error.
func (*CallerGoneError) Error() string { return "caller is gone" }

// A closingBody ends the exchange when the response is closed.
type closingBody struct {
	Body

	closed   bool
	err      error // that Next returned, other than io.EOF
	exchange *exchange
	status   int
}

// Close implements Body.
func (b *closingBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.Body.Close()
	b.exchange.stop()
	b.exchange.finish(b.status, b.err)
	return err
}

// Next implements Body.
func (b *closingBody) Next() ([]byte, error) {
	piece, err := b.Body.Next()
	switch {
	case err == nil:
	case isEOF(err):
		b.exchange.recordDuration(b.status)
	default:
		b.err = err
	}
	return piece, err
}
