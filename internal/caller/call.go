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

// unforwardedHeaders are the headers that are not forwarded, because they belong to
// one connection or contain a key: the caller's API key, or the idempotency key, which
// the router sends itself.
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
		return routeUnknown() // routes of engines are served on the completion paths
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
	response, summary, err := h.Router.Call(e.request.Context(), route.ApplicationRequest{
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
	e.summary = summary
	if err != nil {
		return err
	}
	e.writeCallResponse(response)
	return nil
}

// writeCallResponse writes the response of an application to the caller.
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

// idempotencyKey returns the idempotency key of a call, or an empty one if there is
// none and none is required. It returns a *persimmoncart.Refusal if a required key is
// missing or the key is invalid.
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

// validKey reports whether key is valid as an idempotency key.
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

// forwardedHeaders returns the headers that are forwarded, of a request or a response.
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

// pathBelowRoute returns the path and query of a request without the name of its
// route. It refuses dot segments, because an application might resolve them to a path
// of another route.
func pathBelowRoute(r *http.Request, name persimmoncart.RouteName) (string, error) {
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return "", routeUnknown()
		}
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+string(name))
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path, nil
}

// An outcomeBody is the JSON body of a response about the outcome of a call.
type outcomeBody struct {
	At       time.Time               `json:"at,omitzero"` // time of the record
	Key      string                  `json:"key"`
	Outcome  persimmoncart.Outcome   `json:"outcome"`
	Recorded bool                    `json:"recorded"` // the store has a record of the call
	Route    persimmoncart.RouteName `json:"route"`
	Status   int                     `json:"status,omitempty"` // status of the application's response, if it is kept
}

// serveOutcome serves the outcome of a call that may run only once. The query
// parameter route is required if several routes have such calls.
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
	if record.Response != nil {
		body.Status = record.Response.Status
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

// runOnceRoute returns the named route, whose calls may run only once. The name may be
// empty if there is only one. It returns a *persimmoncart.Refusal if there is no such
// route.
func (i *routeIndex) runOnceRoute(name persimmoncart.RouteName) (*persimmoncart.Route, error) {
	if name == "" && len(i.runOnce) == 1 {
		return i.runOnce[0], nil
	}
	for _, r := range i.runOnce {
		if r.Name == name {
			return r, nil
		}
	}
	if name == "" {
		return nil, bodyInvalid("the query parameter route is missing")
	}
	return nil, routeUnknown()
}

// claimOutcome returns the outcome of a call whose record is in the given state. It is
// unknown without a record: the call may be about to be claimed, or its record may
// have expired.
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
