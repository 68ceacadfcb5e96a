package forward_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// A slowPrefillUpstream is a fakeUpstream whose prefills take a time.
type slowPrefillUpstream struct {
	*fakeUpstream

	took func(n int) time.Duration
}

func (u *slowPrefillUpstream) Prefill(ctx context.Context, call persimmoncart.UpstreamCall) (persimmoncart.PrefilledCache, error) {
	select {
	case <-time.After(u.took(u.count("prefill"))):
	case <-ctx.Done():
		u.record(recordedCall{Call: call, Endpoint: call.Endpoint.ID, Op: "prefill"})
		return persimmoncart.PrefilledCache{}, ctx.Err()
	}
	return u.fakeUpstream.Prefill(ctx, call)
}

// Guards against a slow prefill that is given up although the route allows no other, so
// that the decode engine reads the whole prompt, more slowly and between the tokens of
// other requests; and against waiting for one that another engine can replace.
func TestGenerateSlowPrefill(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		took     func(n int) time.Duration
		prefills int
		cached   bool // the decode engine fetches the KV cache
	}{
		{name: "no other allowed", path: "/draft/", took: func(int) time.Duration { return 700 * time.Millisecond }, prefills: 1, cached: true},
		{name: "no other allowed, silent", path: "/draft/", took: func(int) time.Duration { return time.Minute }, prefills: 1},
		{name: "another is faster", path: "/long/", took: func(n int) time.Duration {
			return []time.Duration{700 * time.Millisecond, 100 * time.Millisecond}[min(n, 1)]
		}, prefills: 2, cached: true},
		{name: "the other is slow", path: "/long/", took: func(int) time.Duration { return 700 * time.Millisecond }, prefills: 2, cached: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				cached := false
				f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					cached = call.Cache != nil
					return streamed(events(1, 3), io.EOF), nil
				}
				f.Router.Upstream = &slowPrefillUpstream{fakeUpstream: f.Upstream, took: c.took}
				status, _, err := f.serve(t.Context(), c.path)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, f.Upstream.count("prefill"), c.prefills)
				assert.Equal(t, cached, c.cached)
			})
		})
	}
}
