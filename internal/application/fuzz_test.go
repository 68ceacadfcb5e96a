package application

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// A fixedTransport is an HTTP transport that returns the same response to each
// request.
type fixedTransport struct {
	body   []byte
	header http.Header
	status int
}

// RoundTrip implements http.RoundTripper.
func (f fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(bytes.NewReader(f.body)), Header: f.header, Request: r, StatusCode: f.status}, nil
}

// Guards against responses that make the client panic or are accepted for another
// attempt, and against requests that make the handler panic.
func FuzzCall(f *testing.F) {
	f.Add("GET", "/a?b", "r/1", "", "not_run", 200, []byte("x"))
	f.Add("POST", "//h/%zz", "r/2", "-1s", "x", 503, []byte(""))
	f.Fuzz(func(t *testing.T, method, path, attempt, retry, outcome string, status int, body []byte) {
		want := persimmoncart.AttemptID{Number: 1, Request: "r"}
		c := &Client{Addr: netip.MustParseAddrPort("127.0.0.1:1"), HTTP: &http.Client{Transport: fixedTransport{
			body:   body,
			header: http.Header{AttemptHeader: {attempt}, OutcomeHeader: {outcome}, RetryAfterHeader: {retry}},
			status: status,
		}}}
		response, err := c.Call(t.Context(), persimmoncart.CallRequest{Attempt: want, Body: body, Method: method, Path: path})
		got, invalid := persimmoncart.ParseAttemptID(attempt)
		if err == nil && (invalid != nil || got != want || response.Attempt != want || !bytes.Equal(response.Body, body)) {
			t.Fatalf("response of %q accepted for %s", attempt, want)
		}
		r, err := http.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set(AttemptHeader, attempt)
		r.Header.Set(FenceHeader, retry)
		fake := NewFake(c.Addr, &Records{}, &timer.System{})
		fake.CallTime = 0
		(&Handler{Application: fake, Fake: fake}).Handler().ServeHTTP(httptest.NewRecorder(), r)
	})
}
