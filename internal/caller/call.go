package caller

import (
	"encoding/json"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

const (
	keyHeader     = "Idempotency-Key"
	outcomeHeader = "Persimmoncart-Outcome"
)

// unforwardedHeaders are the headers that are not passed on: they belong to one connection
// or tell the application about the caller's key.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	keyHeader:             true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// serveCall serves a call to an application.
func (h *Handler) serveCall(e *exchange) error {
	r := e.routes.snapshot.Routes[persimmoncart.RouteName(chi.URLParam(e.request, "route"))]
	if r == nil {
		return routeUnknown()
	}
	pool := e.routes.snapshot.Pools[r.Pool]
	if pool != nil && pool.Role != persimmoncart.RoleApplication {
		return routeUnknown() // completions have paths of their own
	}
	e.route = r.Name
	if pool == nil {
		return poolEmpty()
	}
	path, err := pathBelowRoute(e.request, r.Name)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(e.request.Header, !r.Idempotent)
	if err != nil {
		return err
	}
	if err := e.takeRate(0); err != nil {
		return err
	}
	body, err := e.readBody(h.RequestLimits.maxBodyBytes(r))
	if err != nil {
		return err
	}
	response, result, err := h.Router.Call(e.request.Context(), route.ApplicationRequest{
		Account:        e.account,
		Arrived:        e.arrived,
		Body:           body,
		Deadline:       e.arrived.Add(h.RequestLimits.timeout(r)),
		Header:         forwardedHeaders(e.request.Header),
		ID:             e.id,
		IdempotencyKey: key,
		Method:         e.request.Method,
		Path:           path,
		Route:          r,
	})
	e.summary = result
	if err != nil {
		return err
	}
	e.writeCallResponse(response)
	return nil
}

// writeCallResponse writes an application's answer to the caller.
func (e *exchange) writeCallResponse(response *persimmoncart.CallResponse) {
	header := e.writer.Header()
	for name, values := range forwardedHeaders(response.Header) {
		header[name] = values
	}
	header.Set("X-Request-Id", string(e.id))
	header.Set(outcomeHeader, persimmoncart.OutcomeAnswered.String())
	status := response.Status
	if status < http.StatusOK || status > 999 {
		status = http.StatusBadGateway
	}
	e.writeResponse(status, response.Body)
}

// idempotencyKey returns the key of a call; required says whether it must have one.
func idempotencyKey(header http.Header, required bool) (string, error) {
	values := header.Values(keyHeader)
	switch {
	case len(values) == 0 && required:
		return "", &persimmoncart.Refusal{Code: persimmoncart.RefusalKeyMissing, Message: "calls of this route need an Idempotency-Key"}
	case len(values) == 0:
		return "", nil
	case len(values) > 1 || !validKey(values[0]):
		return "", &persimmoncart.Refusal{Code: persimmoncart.RefusalKeyInvalid, Message: "the Idempotency-Key must be 1 to 255 printable ASCII characters"}
	}
	return values[0], nil
}

// validKey reports whether key may identify a call.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// forwardedHeaders returns the headers that go from one side to the other.
func forwardedHeaders(header http.Header) http.Header {
	out := make(http.Header, len(header))
	for name, values := range header {
		if !unforwardedHeaders[name] {
			out[name] = values
		}
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// pathBelowRoute returns the request's path and query below its route. Dot segments
// are refused, because an application might resolve them to a path elsewhere.
func pathBelowRoute(q *http.Request, name persimmoncart.RouteName) (string, error) {
	for segment := range strings.SplitSeq(q.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "", routeUnknown()
		}
	}
	path := strings.TrimPrefix(q.URL.EscapedPath(), "/"+string(name))
	if path == "" {
		path = "/"
	}
	if q.URL.RawQuery != "" {
		path += "?" + q.URL.RawQuery
	}
	return path, nil
}

// An outcomeBody is the answer about a recorded call.
type outcomeBody struct {
	At       time.Time               `json:"at,omitzero"`
	Key      string                  `json:"key"`
	Outcome  persimmoncart.Outcome   `json:"outcome"`
	Recorded bool                    `json:"recorded"`
	Route    persimmoncart.RouteName `json:"route"`
	Status   int                     `json:"status,omitempty"` // of the application's answer, if kept
}

// serveOutcome serves the serveOutcome of a call that may not be repeated. The query
// parameter route is needed when the deployment has several such routes.
func (h *Handler) serveOutcome(e *exchange) error {
	key := chi.URLParam(e.request, "key")
	if !validKey(key) {
		return &persimmoncart.Refusal{Code: persimmoncart.RefusalKeyInvalid, Message: "the key is not valid"}
	}
	r, err := e.routes.runOnceRoute(persimmoncart.RouteName(e.request.URL.Query().Get("route")))
	if err != nil {
		return err
	}
	e.route = r.Name
	if err := e.takeRate(0); err != nil {
		return err
	}
	record, err := h.Router.ClaimRecord(e.request.Context(), route.ClaimKey(e.account.Name, r.Name, key))
	missing := &persimmoncart.NotFoundError{}
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	body := outcomeBody{At: record.Time, Key: key, Outcome: claimOutcome(record.State), Recorded: err == nil, Route: r.Name}
	if record.Answer != nil {
		body.Status = record.Answer.Status
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode outcome")
	}
	e.writer.Header().Set("Content-Type", "application/json")
	status := http.StatusOK
	if !body.Recorded {
		status = http.StatusNotFound
	}
	e.writeResponse(status, append(data, '\n'))
	return nil
}

// runOnceRoute returns the route that an outcome is asked for.
func (c *routeIndex) runOnceRoute(name persimmoncart.RouteName) (*persimmoncart.Route, error) {
	if name == "" && len(c.runOnce) == 1 {
		return c.runOnce[0], nil
	}
	for _, r := range c.runOnce {
		if r.Name == name {
			return r, nil
		}
	}
	if name == "" {
		return nil, bodyInvalid("the query parameter route is missing")
	}
	return nil, routeUnknown()
}

// claimOutcome returns the outcome that a record proves. A key without a record
// proves nothing: its call may be about to be claimed, or its record has expired.
func claimOutcome(state persimmoncart.ClaimState) persimmoncart.Outcome {
	switch state {
	case persimmoncart.ClaimAnswered:
		return persimmoncart.OutcomeAnswered
	case persimmoncart.ClaimNotRun:
		return persimmoncart.OutcomeNotRun
	default:
		return persimmoncart.OutcomeUnknown
	}
}
