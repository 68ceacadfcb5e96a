package persimmoncart_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against requests that are taken for others, and attempts that are not
// recognised as those of one request.
func TestFingerprint(t *testing.T) {
	request := func(change func(*persimmoncart.ForwardRequest)) string {
		r := &persimmoncart.ForwardRequest{
			Body: []byte("body"), Header: http.Header{"Authorization": {"key 1"}}, Host: "h", ID: "q1", Method: "POST", Target: "/a/1?x=2",
		}
		change(r)
		return r.Fingerprint()
	}
	same := request(func(*persimmoncart.ForwardRequest) {})
	assert.Equal(t, len(same), 32)
	assert.Equal(t, same, request(func(r *persimmoncart.ForwardRequest) {
		r.ID, r.Position = "q2", persimmoncart.AfterEvent(7)
		r.Header.Set("Accept", "text/plain")
	}))
	for name, change := range map[string]func(*persimmoncart.ForwardRequest){
		"body":        func(r *persimmoncart.ForwardRequest) { r.Body = []byte("bodY") },
		"credentials": func(r *persimmoncart.ForwardRequest) { r.Header.Set("Authorization", "key 2") },
		"host":        func(r *persimmoncart.ForwardRequest) { r.Host = "i" },
		"method":      func(r *persimmoncart.ForwardRequest) { r.Method = "PUT" },
		"moved":       func(r *persimmoncart.ForwardRequest) { r.Target, r.Body = "/a/1?x=2b", []byte("ody") },
		"target":      func(r *persimmoncart.ForwardRequest) { r.Target = "/a/1" },
	} {
		assert.Assert(t, request(change) != same, name)
	}
}
