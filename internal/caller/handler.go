// Package caller serves callers over HTTP: completions, calls to applications,
// outcomes of calls, and health.
package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

// A Router serves the requests that a Handler has read and checked.
type Router interface {
	// Call serves a call to an application.
	Call(ctx context.Context, request route.ApplicationRequest) (*persimmoncart.CallResponse, route.RequestSummary, error)
	// ClaimRecord returns the record of a call that may run only once. It returns a
	// *persimmoncart.NotFoundError if there is none.
	ClaimRecord(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error)
	// Complete serves a completion and writes its tokens to sink.
	Complete(ctx context.Context, request route.CompletionRequest, sink route.Sink) (route.RequestSummary, error)
}

// A Handler serves callers. Its exported fields are set before use.
type Handler struct {
	Configuration persimmoncart.Configuration
	Logger        zerolog.Logger
	Metrics       *metrics.Metrics
	Random        func() float64 // returns a number in [0,1) for the jitter of retry times; nil means math/rand/v2
	RateLimiter   persimmoncart.RateLimiter
	Ready         func() bool // reports whether the instance is ready; nil means always
	RequestLimits RequestLimits
	Router        Router
	Tag           persimmoncart.Tag
	Timer         persimmoncart.Timer

	inFlight   atomic.Int64 // requests in flight
	routeIndex atomic.Pointer[routeIndex]
	sequence   atomic.Uint64 // of the last request, for its identifier
}

// Routes returns the handler of all paths that callers use.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.healthz)
	r.Get("/readyz", h.readyz)
	r.Post("/v1/completions", h.serve(h.serveCompletions(textFormat)))
	r.Post("/v1/chat/completions", h.serve(h.serveCompletions(chatFormat)))
	r.Get("/v1/outcomes/{key}", h.serve(h.serveOutcome))
	r.HandleFunc("/{route}", h.serve(h.serveCall))
	r.HandleFunc("/{route}/*", h.serve(h.serveCall))
	notFound := h.serve(func(*exchange) error { return routeUnknown() })
	r.NotFound(notFound)
	r.MethodNotAllowed(notFound)
	return r
}

// healthz responds with OK as long as the process runs.
func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writePlainText(w, http.StatusOK, "ok\n")
}

// readyz responds with OK if the load balancer should send callers to this instance.
func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if h.ready() {
		writePlainText(w, http.StatusOK, "ready\n")
		return
	}
	writePlainText(w, http.StatusServiceUnavailable, "not ready\n")
}

// ready reports whether the load balancer should send callers to this instance.
func (h *Handler) ready() bool { return h.Ready == nil || h.Ready() }

// serve wraps f with the steps that all requests share: limits, authentication,
// refusals, metrics and one log line.
func (h *Handler) serve(f func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e := h.newExchange(w, r)
		defer e.end()
		if err := e.admit(); err != nil {
			e.refuse(err)
			return
		}
		if err := f(e); err != nil {
			e.refuse(err)
		}
	}
}

// newExchange returns the exchange for one request.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		controller: http.NewResponseController(w),
		endRequest: h.Metrics.StartRequest(),
		handler:    h,
		id: persimmoncart.RequestID(string(h.Tag.Instance) + "-" + strconv.FormatUint(uint64(h.Tag.Incarnation), 36) +
			"-" + strconv.FormatUint(h.sequence.Add(1), 36)),
		outcome:  persimmoncart.OutcomeAnswered,
		request:  r,
		inFlight: h.inFlight.Add(1),
		arrived:  h.Timer.Now(),
		writer:   w,
	}
}

// writePlainText writes a response of plain text.
func writePlainText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // a failed write means that the caller is gone
}

// An exchange is one request with its response.
type exchange struct {
	account         *persimmoncart.Account
	arrived         time.Time
	cause           string                    // cause of a failure, for the log; may be empty
	code            persimmoncart.RefusalCode // empty if the request was not refused
	controller      *http.ResponseController
	endRequest      func(persimmoncart.RouteName, persimmoncart.Outcome) // records the end in the metrics
	handler         *Handler
	id              persimmoncart.RequestID
	inFlight        int64 // requests in flight at its arrival, this one included
	outcome         persimmoncart.Outcome
	request         *http.Request
	responseStarted bool                    // a response to the caller has started
	route           persimmoncart.RouteName // empty until the route is found
	routes          *routeIndex             // configuration in force at its arrival
	summary         route.RequestSummary
	writer          http.ResponseWriter
}

// admit makes the checks that all kinds of requests share, and sets the account and
// the routes. It returns a *persimmoncart.Refusal if a check fails.
func (e *exchange) admit() error {
	e.writer.Header().Set("X-Request-Id", string(e.id))
	h := e.handler
	if !h.ready() {
		// Callers open new connections to other instances before this one stops.
		e.writer.Header().Set("Connection", "close")
	}
	if e.inFlight > int64(h.RequestLimits.maxRequests()) {
		return &persimmoncart.Refusal{Code: persimmoncart.RefusalCapacity, Message: "too many requests in flight", RetryAfter: time.Second}
	}
	e.routes = h.currentRoutes()
	if e.routes.snapshot.Version == 0 && len(e.routes.snapshot.Keys) == 0 {
		return &persimmoncart.Refusal{Code: persimmoncart.RefusalNotReady, Message: "no configuration is in force yet", RetryAfter: time.Second}
	}
	account, err := authenticate(e.routes.snapshot, e.request.Header)
	if err != nil {
		return err
	}
	e.account = account
	return nil
}

// end ends the exchange. It recovers from a panic and refuses the request, and updates
// metrics and log.
func (e *exchange) end() {
	if p := recover(); p != nil {
		if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value as well
			panic(p)
		}
		// The value may contain request data, so only its type is logged.
		e.refuse(&persimmoncart.Refusal{Code: persimmoncart.RefusalInternal, Message: "internal error", Outcome: persimmoncart.OutcomeUnknown})
		e.cause = "panic " + typeName(p)
	}
	e.handler.inFlight.Add(-1)
	e.endRequest(e.route, e.outcome)
	e.logRequest()
}

// logRequest writes the log line of the request.
func (e *exchange) logRequest() {
	level := zerolog.InfoLevel
	if e.code == persimmoncart.RefusalInternal {
		level = zerolog.ErrorLevel
	}
	line := e.handler.Logger.WithLevel(level).Str("request", string(e.id)).Str("route", string(e.route)).Stringer("outcome", e.outcome).
		Dur("took", e.handler.Timer.Now().Sub(e.arrived))
	if e.account != nil {
		line = line.Str("account", string(e.account.Name))
	}
	if e.summary.Attempts > 0 {
		line = line.Int("attempts", e.summary.Attempts).Str("decision", decision(e.summary)).Int("tokens", e.summary.Tokens)
	}
	if e.summary.RetryReason != "" {
		line = line.Str("retried", string(e.summary.RetryReason))
	}
	if e.code != "" {
		line = line.Str("reason", string(e.code))
	}
	if e.cause != "" {
		line = line.Str("cause", e.cause)
	}
	line.Msg("request")
}

// decision returns the identifiers of the endpoints that served a request, as
// "endpoint" or "prefill endpoint>decode endpoint".
func decision(s route.RequestSummary) string {
	if s.PrefillEndpoint == "" {
		return string(s.Endpoint)
	}
	return string(s.PrefillEndpoint) + ">" + string(s.Endpoint)
}

// typeName returns the name of the type of v.
func typeName(v any) string {
	return fmt.Sprintf("%T", v)
}
