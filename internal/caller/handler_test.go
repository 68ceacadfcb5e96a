package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/caller"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/route"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A router is a fake caller.Router.
type router struct {
	call   route.ApplicationRequest // last call
	err    error                    // result of requests
	panics bool                     // calls panic
	record persimmoncart.ClaimRecord
	tokens []string // tokens of completions, sent before err
}

func (r *router) Call(_ context.Context, request route.ApplicationRequest) (*persimmoncart.CallResponse, route.RequestSummary, error) {
	r.call = request
	if r.panics {
		panic("secret-key")
	}
	if r.err != nil {
		return nil, route.RequestSummary{}, r.err
	}
	header := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Lot": {"7"}}
	return &persimmoncart.CallResponse{Body: []byte("lot"), Header: header, Status: http.StatusCreated}, route.RequestSummary{Attempts: 1}, nil
}

func (r *router) Complete(_ context.Context, _ route.CompletionRequest, s route.Sink) (route.RequestSummary, error) {
	for n, t := range r.tokens {
		if err := s.WriteToken(t, r.err == nil && n == len(r.tokens)-1); err != nil {
			return route.RequestSummary{}, err
		}
		if err := s.Flush(); err != nil {
			return route.RequestSummary{}, err
		}
	}
	return route.RequestSummary{}, r.err
}

func (r *router) ClaimRecord(context.Context, persimmoncart.ClaimKey) (persimmoncart.ClaimRecord, error) {
	return r.record, r.err
}

// A fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct{ snapshot *persimmoncart.Snapshot }

func (f fixedConfiguration) Snapshot() *persimmoncart.Snapshot { return f.snapshot }

func (fixedConfiguration) Subscribe(func(*persimmoncart.Snapshot)) (stop func()) { return func() {} }

// newSnapshot returns a configuration with one route of each kind.
func newSnapshot() *persimmoncart.Snapshot {
	account := &persimmoncart.Account{Name: "dar", Burst: 1000, Rate: 1000}
	return &persimmoncart.Snapshot{
		Keys: map[persimmoncart.KeyHash]*persimmoncart.Account{sha256.Sum256([]byte("key")): account},
		Pools: map[persimmoncart.PoolName]*persimmoncart.Pool{
			"hull": {Name: "hull"},
			"yard": {Name: "yard", Role: persimmoncart.RoleApplication},
		},
		Routes: map[persimmoncart.RouteName]*persimmoncart.Route{
			"draft": {Models: []persimmoncart.ModelName{"hull-llm"}, Name: "draft", Pool: "hull"},
			"lost":  {Name: "lost", Pool: "gone"},
			"post":  {MaxBodyBytes: 64, Name: "post", Pool: "yard"},
			"stock": {Name: "stock", Pool: "yard", Idempotent: true},
		},
		Version: 1,
	}
}

// newHandler returns a handler with the router r, and the buffer that it logs to.
func newHandler(r *router) (*caller.Handler, *bytes.Buffer) {
	logs := &bytes.Buffer{}
	return &caller.Handler{
		Configuration: fixedConfiguration{newSnapshot()},
		Logger:        zerolog.New(logs),
		Metrics:       metrics.New(),
		Random:        func() float64 { return 0.5 },
		RateLimiter:   &caller.RateLimiter{Timer: &timer.System{}},
		Router:        r,
		Tag:           persimmoncart.Tag{Instance: "i"},
		Timer:         &timer.System{},
	}, logs
}

// do sends one request. Each header is "name: value".
func do(h http.Handler, method, path string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, body)
	request.Header.Set("Authorization", "Bearer key")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request)
	return w
}

func ExampleHandler() {
	h, _ := newHandler(&router{})
	w := httptest.NewRecorder()
	h.Routes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", http.NoBody))
	fmt.Print(w.Code, " ", w.Body)
	// Output: 200 ready
}

// Guards against invalid, oversized and unauthorised requests that are served, against
// error bodies without code, outcome or retry time, and against internal texts in
// responses and logs.
func TestRefusals(t *testing.T) {
	refusal := &persimmoncart.Refusal{Code: persimmoncart.RefusalCapacity, Err: errors.New("secret-host"), Message: "full", Outcome: persimmoncart.OutcomeNotRun, RetryAfter: time.Second}
	completion := `{"model":"hull-llm","prompt":"p"}`
	tests := []struct {
		name, method, path, body string
		headers                  []string
		router                   router
		status                   int
		code                     persimmoncart.RefusalCode
		outcome                  persimmoncart.Outcome
		retry                    string
	}{
		{name: "no key", headers: []string{"Authorization: "}, status: 401, code: "account_unknown"},
		{name: "wrong key", headers: []string{"Authorization: Bearer other"}, status: 401, code: "account_unknown"},
		{name: "wrong scheme", headers: []string{"Authorization: Basic key"}, status: 401, code: "account_unknown"},
		{name: "no JSON", body: "{", status: 400, code: "body_invalid"},
		{name: "wrong type", body: `{"model":7}`, status: 400, code: "body_invalid"},
		{name: "two values", body: completion + completion, status: 400, code: "body_invalid"},
		{name: "no prompt", body: `{"model":"hull-llm"}`, status: 400, code: "body_invalid"},
		{name: "no messages", path: "/v1/chat/completions", body: `{"model":"hull-llm"}`, status: 400, code: "body_invalid"},
		{name: "two choices", body: `{"model":"hull-llm","prompt":"p","n":2}`, status: 400, code: "body_invalid"},
		{name: "negative limit", body: `{"model":"hull-llm","prompt":"p","max_tokens":-1}`, status: 400, code: "body_invalid"},
		{name: "long prompt", body: `{"model":"hull-llm","prompt":"` + strings.Repeat("a", 4*caller.DefaultMaxPromptTokens+1) + `"}`, status: 413, code: "body_too_large"},
		{name: "long body", path: "/post/x", body: strings.Repeat("a", 65), headers: []string{"Idempotency-Key: k"}, status: 413, code: "body_too_large"},
		{name: "unknown model", body: `{"model":"x","prompt":"p"}`, status: 404, code: "model_unknown"},
		{name: "unknown route", path: "/nowhere", status: 404, code: "route_unknown"},
		{name: "unknown method", method: "DELETE", path: "/v1/completions", status: 404, code: "route_unknown"},
		{name: "engine route", path: "/draft/x", status: 404, code: "route_unknown"},
		{name: "route without pool", path: "/lost/x", status: 503, code: "pool_empty", retry: "6.25s"},
		{name: "dot segments", path: "/stock/../post", status: 404, code: "route_unknown"},
		{name: "idempotency key missing", path: "/post/x", status: 400, code: "key_missing"},
		{name: "idempotency key invalid", path: "/post/x", headers: []string{"Idempotency-Key: a b"}, status: 400, code: "key_invalid"},
		{name: "refused", body: completion, router: router{err: refusal}, status: 503, code: "capacity", retry: "1.25s"},
		{name: "raw error", body: completion, router: router{err: errors.New("secret-host")}, status: 500, code: "internal", outcome: persimmoncart.OutcomeUnknown},
		{name: "panic", path: "/stock", router: router{panics: true}, status: 500, code: "internal", outcome: persimmoncart.OutcomeUnknown},
		{name: "outcome without store", method: "GET", path: "/v1/outcomes/k", router: router{err: refusal}, status: 503, code: "capacity", retry: "1.25s"},
		{name: "outcome of an unknown route", method: "GET", path: "/v1/outcomes/k?route=stock", status: 404, code: "route_unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, logs := newHandler(&test.router)
			method, path := "POST", "/v1/completions"
			if test.method != "" {
				method = test.method
			}
			if test.path != "" {
				path = test.path
			}
			w := do(h.Routes(), method, path, strings.NewReader(test.body), test.headers...)
			assert.Equal(t, w.Code, test.status, w.Body)
			var body struct {
				Error struct {
					Code    persimmoncart.RefusalCode
					Outcome persimmoncart.Outcome
					Retry   string
				}
			}
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			if test.outcome == 0 {
				test.outcome = persimmoncart.OutcomeNotRun
			}
			assert.Equal(t, body.Error.Code, test.code)
			assert.Equal(t, body.Error.Outcome, test.outcome)
			assert.Equal(t, body.Error.Retry, test.retry)
			assert.Equal(t, w.Header().Get("Retry-After") != "", test.retry != "")
			assert.Assert(t, !strings.Contains(w.Body.String()+logs.String(), "secret"), "%s", logs)
			assert.Assert(t, strings.Contains(logs.String(), `"reason":"`+string(test.code)+`"`), "%s", logs)
		})
	}
}

// Guards against a truncated body that is served as if it were complete.
func TestBodyBreaksOff(t *testing.T) {
	h, _ := newHandler(&router{})
	body := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
	w := do(h.Routes(), "POST", "/stock/x", body)
	assert.Equal(t, w.Code, http.StatusBadRequest)
}

// Guards against account limits that admit more than the burst, and against refusals
// without a retry time.
func TestAccountLimited(t *testing.T) {
	h, _ := newHandler(&router{})
	for _, a := range h.Configuration.Snapshot().Keys {
		a.Burst, a.Rate = 4, 0.5
	}
	routes, served := h.Routes(), 0
	for range 10 {
		w := do(routes, "GET", "/stock/x", http.NoBody)
		if w.Code == http.StatusCreated {
			served++
			continue
		}
		assert.Equal(t, w.Code, http.StatusTooManyRequests)
		assert.Assert(t, w.Header().Get("Retry-After") != "")
	}
	assert.Equal(t, served, 2, "an instance starts with half of the burst")
}

// Guards against calls that lose their path, query, idempotency key or headers, and
// against forwarded headers that contain the caller's API key or belong to one
// connection.
func TestCall(t *testing.T) {
	r := &router{}
	h, _ := newHandler(r)
	w := do(h.Routes(), "PUT", "/post/lots/a%2Fb?x=1&y", strings.NewReader("body"), "Idempotency-Key: k", "Connection: X-Hop", "X-Hop: 1", "X-Lot: 7")
	assert.Equal(t, w.Code, http.StatusCreated)
	assert.Equal(t, w.Body.String(), "lot")
	assert.Equal(t, w.Header().Get("X-Lot"), "7")
	assert.Equal(t, w.Header().Get("X-Hop"), "")
	assert.Equal(t, w.Header().Get("Persimmoncart-Outcome"), "answered")
	assert.Equal(t, r.call.Path, "/lots/a%2Fb?x=1&y")
	assert.Equal(t, r.call.IdempotencyKey, "k")
	assert.Equal(t, string(r.call.Body), "body")
	assert.DeepEqual(t, r.call.Header, http.Header{"X-Lot": {"7"}})
}

// Guards against streams that break the format of server-sent events.
func TestStream(t *testing.T) {
	broken := &persimmoncart.Refusal{Code: persimmoncart.RefusalStreamBroken, Outcome: persimmoncart.OutcomeUnknown, RetryAfter: time.Second}
	tests := []struct {
		name, path, body string
		err              error
		want             string
	}{
		{"text", "/v1/completions", `"prompt":"p"`, nil, `a" b` + "\n|stop|[DONE]"},
		{"chat", "/v1/chat/completions", `"messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]`, nil, `a" b` + "\n|stop|[DONE]"},
		{"limit", "/v1/completions", `"prompt":["p"],"max_tokens":2`, nil, `a" b` + "\n|length|[DONE]"},
		{"broken", "/v1/completions", `"prompt":"p"`, broken, `a" b` + "\n|error stream_broken"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newHandler(&router{err: test.err, tokens: []string{`a" `, "b\n"}})
			w := do(h.Routes(), "POST", test.path, strings.NewReader(`{"model":"hull-llm","stream":true,`+test.body+`}`))
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, w.Header().Get("Content-Type"), "text/event-stream")
			assert.Equal(t, readEvents(t, w.Body), test.want)
		})
	}
}

// readEvents returns the joined texts of a stream, its finish reason and its end, as
// "text|reason|[DONE]" or "text|error code".
func readEvents(t *testing.T, r io.Reader) string {
	t.Helper()
	var out strings.Builder
	kind := ""
	for s := bufio.NewScanner(r); s.Scan(); {
		line := s.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			kind = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta  struct{ Content string }
				Reason string `json:"finish_reason"`
				Text   string
			}
			Error struct{ Code string }
		}
		if data == "[DONE]" {
			out.WriteString("|" + data)
			continue
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk), data)
		if kind == "error" {
			out.WriteString("|error " + chunk.Error.Code)
			continue
		}
		out.WriteString(chunk.Choices[0].Text + chunk.Choices[0].Delta.Content)
		if r := chunk.Choices[0].Reason; r != "" {
			out.WriteString("|" + r)
		}
	}
	return out.String()
}

// Guards against responses without streaming that are not valid JSON or lack the text
// or the usage.
func TestCompletionWithoutStreaming(t *testing.T) {
	h, _ := newHandler(&router{tokens: []string{"a\x00\xff", "b\u2028<"}})
	w := do(h.Routes(), "POST", "/v1/chat/completions", strings.NewReader(`{"model":"hull-llm","messages":[{"role":"user","content":"prompt"}]}`))
	var body struct {
		Choices []struct {
			Message struct{ Content, Role string }
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body)
	assert.Equal(t, body.Choices[0].Message.Content, "a\x00\ufffdb\u2028<")
	assert.Equal(t, body.Usage.CompletionTokens, 2)
}

// Guards against a reported outcome that the record does not prove.
func TestOutcome(t *testing.T) {
	tests := map[persimmoncart.ClaimState]string{
		persimmoncart.ClaimAnswered: `"outcome":"answered","recorded":true`,
		persimmoncart.ClaimClaimed:  `"outcome":"unknown","recorded":true`,
		persimmoncart.ClaimNotRun:   `"outcome":"not_run","recorded":true`,
		persimmoncart.ClaimUnknown:  `"outcome":"unknown","recorded":true`,
		"":                          `"outcome":"unknown","recorded":false`,
	}
	for state, want := range tests {
		t.Run(string(state), func(t *testing.T) {
			r := &router{record: persimmoncart.ClaimRecord{State: state}}
			if state == "" {
				r.err = &persimmoncart.NotFoundError{Key: "k"}
			}
			h, _ := newHandler(r)
			w := do(h.Routes(), "GET", "/v1/outcomes/k", http.NoBody)
			assert.Assert(t, strings.Contains(w.Body.String(), want), w.Body)
		})
	}
}

// FuzzCompletionBody guards against bodies that crash the parser or cause a response
// other than a refusal or a completion.
func FuzzCompletionBody(f *testing.F) {
	f.Add(`{"model":"hull-llm","prompt":["a",{"text":"b"}],"stream":true}`)
	f.Add(`{"model":"hull-llm","messages":[{"role":"user","content":null}]}`)
	f.Add(`[[[[{"prompt":`)
	h, _ := newHandler(&router{tokens: []string{"a"}})
	h.Logger, h.RateLimiter = zerolog.Nop(), unlimited{}
	routes := h.Routes()
	f.Fuzz(func(t *testing.T, body string) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			w := do(routes, "POST", path, strings.NewReader(body))
			switch w.Code {
			case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
			default:
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
		}
	})
}

// An unlimited is a rate limiter that allows all requests.
type unlimited struct{}

func (unlimited) Allow(*persimmoncart.Account, int) (time.Duration, bool) { return 0, true }
