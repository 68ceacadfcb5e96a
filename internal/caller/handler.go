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
	Bounds        Bounds
	Configuration persimmoncart.Configuration
	Limits        persimmoncart.RateLimiter
	Logger        zerolog.Logger
	Metrics       *metrics.Metrics
	Random        func() float64 // in [0,1); spreads retry times; nil means math/rand/v2
	Ready         func() bool
	Router        Router
	Tag           persimmoncart.Tag
	Timer         persimmoncart.Timer

	catalogue atomic.Pointer[catalogue]
	running   atomic.Int64
	sequence  atomic.Uint64
}

// Routes returns the handler of all paths towards callers.
func (h *Handler) Routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.healthz)
	r.Get("/readyz", h.readyz)
	r.Post("/v1/completions", h.serve(h.completions(text)))
	r.Post("/v1/chat/completions", h.serve(h.completions(chat)))
	r.Get("/v1/outcomes/{key}", h.serve(h.outcome))
	r.HandleFunc("/{route}", h.serve(h.plain))
	r.HandleFunc("/{route}/*", h.serve(h.plain))
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
		e := h.exchange(w, q)
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

// exchange returns the exchange for one request.
func (h *Handler) exchange(w http.ResponseWriter, q *http.Request) *exchange {
	return &exchange{
		control: http.NewResponseController(w),
		ended:   h.Metrics.StartRequest(),
		handler: h,
		id: persimmoncart.RequestID(string(h.Tag.Instance) + "-" + strconv.FormatUint(uint64(h.Tag.Incarnation), 36) +
			"-" + strconv.FormatUint(h.sequence.Add(1), 36)),
		outcome: persimmoncart.OutcomeAnswered,
		request: q,
		running: h.running.Add(1),
		start:   h.Timer.Now(),
		writer:  w,
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
	account *persimmoncart.Account
	code    persimmoncart.RefusalCode // empty if the request was not refused
	control *http.ResponseController
	cause   string
	ended   func(persimmoncart.RouteName, persimmoncart.Outcome)
	handler *Handler
	id      persimmoncart.RequestID
	outcome persimmoncart.Outcome
	request *http.Request
	result  route.RequestSummary
	route   persimmoncart.RouteName
	running int64 // requests in flight, this one included
	start   time.Time
	started bool // the answer has begun
	view    *catalogue
	writer  http.ResponseWriter
}

// admit checks what does not depend on the kind of request.
func (e *exchange) admit() error {
	e.writer.Header().Set("X-Request-Id", string(e.id))
	h := e.handler
	if !h.ready() {
		// Connections move to other instances before this one stops.
		e.writer.Header().Set("Connection", "close")
	}
	if e.running > int64(h.Bounds.requests()) {
		return &persimmoncart.Refusal{Code: persimmoncart.RefusalCapacity, Message: "too many requests in flight", RetryAfter: time.Second}
	}
	e.view = h.view()
	if e.view.snapshot.Version == 0 && len(e.view.snapshot.Keys) == 0 {
		return &persimmoncart.Refusal{Code: persimmoncart.RefusalNotReady, Message: "no configuration is in force yet", RetryAfter: time.Second}
	}
	account, err := authenticate(e.view.snapshot, e.request.Header)
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
	e.handler.running.Add(-1)
	e.ended(e.route, e.outcome)
	e.log()
}

// log writes the exchange's line.
func (e *exchange) log() {
	level := zerolog.InfoLevel
	if e.code == persimmoncart.RefusalInternal {
		level = zerolog.ErrorLevel
	}
	line := e.handler.Logger.WithLevel(level).Str("request", string(e.id)).Str("route", string(e.route)).Stringer("outcome", e.outcome).
		Dur("took", e.handler.Timer.Now().Sub(e.start))
	if e.account != nil {
		line = line.Str("account", string(e.account.Name))
	}
	if e.result.Attempts > 0 {
		line = line.Int("attempts", e.result.Attempts).Str("decision", decision(e.result)).Int("tokens", e.result.Tokens)
	}
	if e.result.RetryReason != "" {
		line = line.Str("retried", string(e.result.RetryReason))
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
