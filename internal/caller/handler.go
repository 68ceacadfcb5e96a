// Package caller speaks HTTP with callers: completions, plain routes, outcomes
// and health.
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
	// Complete serves a completion.
	Complete(ctx context.Context, request route.CompletionRequest, sink route.Sink) (route.RequestSummary, error)
	// ClaimRecord returns the record of a call that may not be repeated.
	ClaimRecord(ctx context.Context, key persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error)
}

// A Handler serves callers. Its fields are set before use.
type Handler struct {
	Configuration persimmoncart.Configuration
	Logger        zerolog.Logger
	Metrics       *metrics.Metrics
	Random        func() float64 // in [0,1); spreads retry times; nil means math/rand/v2
	RateLimiter   persimmoncart.RateLimiter
	Ready         func() bool
	RequestLimits RequestLimits
	Router        Router
	Tag           persimmoncart.Tag
	Timer         persimmoncart.Timer

	inFlight   atomic.Int64
	routeIndex atomic.Pointer[routeIndex]
	sequence   atomic.Uint64
}

// Routes returns the handler of all paths towards callers.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.healthz)
	r.Get("/readyz", h.readyz)
	r.Post("/v1/completions", h.serve(h.serveCompletions(textFormat)))
	r.Post("/v1/chat/completions", h.serve(h.serveCompletions(chatFormat)))
	r.Get("/v1/outcomes/{key}", h.serve(h.serveOutcome))
	r.HandleFunc("/{route}", h.serve(h.serveCall))
	r.HandleFunc("/{route}/*", h.serve(h.serveCall))
	missing := h.serve(func(*exchange) error { return routeUnknown() })
	r.NotFound(missing)
	r.MethodNotAllowed(missing)
	return r
}

// healthz answers as long as the process runs.
func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writePlainText(w, http.StatusOK, "ok\n")
}

// readyz answers whether the load balancer should send callers here.
func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if h.ready() {
		writePlainText(w, http.StatusOK, "ready\n")
		return
	}
	writePlainText(w, http.StatusServiceUnavailable, "not ready\n")
}

// ready reports whether new callers are wanted.
func (h *Handler) ready() bool { return h.Ready == nil || h.Ready() }

// serve wraps f with what all requests share: bounds, authentication, refusal
// bodies, metrics and one log line.
func (h *Handler) serve(f func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		e := h.newExchange(w, q)
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
func (h *Handler) newExchange(w http.ResponseWriter, q *http.Request) *exchange {
	return &exchange{
		controller: http.NewResponseController(w),
		endRequest: h.Metrics.StartRequest(),
		handler:    h,
		id: persimmoncart.RequestID(string(h.Tag.Instance) + "-" + strconv.FormatUint(uint64(h.Tag.Incarnation), 36) +
			"-" + strconv.FormatUint(h.sequence.Add(1), 36)),
		outcome:  persimmoncart.OutcomeAnswered,
		request:  q,
		inFlight: h.inFlight.Add(1),
		arrived:  h.Timer.Now(),
		writer:   w,
	}
}

// writePlainText writes a short text answer.
func writePlainText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // nobody is left to tell about a failure
}

// An exchange is one request with its answer.
type exchange struct {
	account         *persimmoncart.Account
	arrived         time.Time
	cause           string
	code            persimmoncart.RefusalCode // empty if the request was not refused
	controller      *http.ResponseController
	endRequest      func(persimmoncart.RouteName, persimmoncart.Outcome)
	handler         *Handler
	id              persimmoncart.RequestID
	inFlight        int64 // requests in flight, this one included
	outcome         persimmoncart.Outcome
	request         *http.Request
	responseStarted bool // the answer has begun
	route           persimmoncart.RouteName
	routes          *routeIndex
	summary         route.RequestSummary
	writer          http.ResponseWriter
}

// admit checks what does not depend on the kind of request.
func (e *exchange) admit() error {
	e.writer.Header().Set("X-Request-Id", string(e.id))
	h := e.handler
	if !h.ready() {
		// Connections move to other instances before this one stops.
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

// end ends the exchange: it turns a panic into a refusal, counts and logs.
func (e *exchange) end() {
	if p := recover(); p != nil {
		if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value as well
			panic(p)
		}
		// The value may hold request data, so that only its type is logged.
		e.refuse(&persimmoncart.Refusal{Code: persimmoncart.RefusalInternal, Message: "internal error", Outcome: persimmoncart.OutcomeUnknown})
		e.cause = "panic " + typeName(p)
	}
	e.handler.inFlight.Add(-1)
	e.endRequest(e.route, e.outcome)
	e.logRequest()
}

// logRequest writes the exchange's line.
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

// decision names the endpoints that served a request.
func decision(r route.RequestSummary) string {
	if r.PrefillEndpoint == "" {
		return string(r.Endpoint)
	}
	return string(r.PrefillEndpoint) + ">" + string(r.Endpoint)
}

// typeName returns the name of p's type.
func typeName(p any) string {
	return fmt.Sprintf("%T", p)
}
