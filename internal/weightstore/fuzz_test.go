package weightstore

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"testing"
)

// fixedResponse is an HTTP transport that always returns status 200 and the same
// body.
type fixedResponse []byte

// RoundTrip implements http.RoundTripper.
func (a fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(bytes.NewReader(a)), Request: r, StatusCode: http.StatusOK}, nil
}

// Guards against responses that make the client panic, and against negative sizes
// and fetch times.
func FuzzModels(f *testing.F) {
	f.Add([]byte(`{"models":{"hull-llm":{"size":16000000000,"fetch":"8s"}}}`))
	f.Add([]byte(`{"models":{"m":{"size":-1,"fetch":"-8s"}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := &Client{Addr: netip.MustParseAddrPort("127.0.0.1:1"), HTTP: &http.Client{Transport: fixedResponse(body)}}
		models, _ := c.Models(t.Context())
		for n, m := range models {
			if m.Size < 0 || m.FetchTime < 0 {
				t.Fatalf("weights of %q: %+v", n, m)
			}
		}
	})
}
