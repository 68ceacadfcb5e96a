package instancelist

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

// Guards against responses that make the client panic, and against entries with
// neither or both of endpoint and instance.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"endpoints":[{"addr":"10.0.0.1:80","id":"d1","role":"decode"}],"instances":[{"id":"e1"}]}`))
	f.Add([]byte(`{"endpoints":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := &Client{Addr: netip.MustParseAddrPort("127.0.0.1:1"), HTTP: &http.Client{Transport: fixedResponse(body)}}
		list, err := c.List(t.Context())
		for _, l := range list {
			if err != nil || (l.Endpoint == nil) == (l.Instance == nil) {
				t.Fatalf("entry %+v, error %v", l, err)
			}
		}
	})
}
