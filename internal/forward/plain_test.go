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
	"github.com/persimmoncart/persimmoncart/internal/forward"
)

// Guards against running a payment twice, a refusal with the wrong outcome, and
// giving up a lookup that may be sent again.
func TestPlainFailures(t *testing.T) {
	unproven := newResponse(http.StatusOK, "x")
	unproven.Authenticated = false
	truncated := newResponse(http.StatusOK, "half")
	truncated.BodyLength = 8
	for _, c := range []struct {
		name    string
		first   *persimmoncart.UpstreamResponse
		err     error
		path    string
		sends   int
		status  int // of the response; zero for a refusal
		code    persimmoncart.RefusalCode
		outcome persimmoncart.Outcome
	}{
		{name: "payment refused before it ran", err: refused(), path: "/pay/", sends: 2, status: 200},
		{name: "payment on a broken connection", err: errReset, path: "/pay/", sends: 1, code: persimmoncart.RefusalEndpointFailed, outcome: persimmoncart.OutcomeUnknown},
		{name: "payment answered without proof", first: unproven, path: "/pay/", sends: 1, code: persimmoncart.RefusalEndpointFailed, outcome: persimmoncart.OutcomeUnknown},
		{name: "payment with a torn answer", first: truncated, path: "/pay/", sends: 1, code: persimmoncart.RefusalEndpointFailed, outcome: persimmoncart.OutcomeUnknown},
		{name: "payment that fails at the endpoint", first: newResponse(500, "no"), path: "/pay/", sends: 1, status: 500},
		{name: "payment that ran and answers 503", first: newResponse(503, "no"), path: "/pay/", sends: 1, code: persimmoncart.RefusalEndpointFailed, outcome: persimmoncart.OutcomeUnknown},
		{name: "lookup on a broken connection", err: errReset, path: "/look/", sends: 2, status: 200},
		{name: "lookup with a torn answer", first: truncated, path: "/look/", sends: 2, status: 200},
		{name: "lookup that fails at the endpoint", first: newResponse(500, "no"), path: "/look/", sends: 2, status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.send = func(_ context.Context, n int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					if n > 0 {
						return newResponse(200, "ok"), nil
					}
					return c.first, c.err
				}
				status, _, err := f.serve(t.Context(), c.path)
				assert.Equal(t, f.Upstream.count("send"), c.sends)
				assert.Equal(t, status, c.status)
				if c.status == 0 {
					r := refusal(t, err)
					assert.Equal(t, r.Code, c.code)
					assert.Equal(t, r.Outcome, c.outcome)
				}
			})
		})
	}
}

// Guards against a late refusal, and against one with the wrong outcome: a request
// has not run only if every endpoint refused it.
func TestPlainAllRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return nil, refused()
		}
		started := time.Now()
		_, _, err := f.serve(t.Context(), "/pay/")
		r := refusal(t, err)
		assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
		assert.Assert(t, r.RetryAfter > 0)
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Equal(t, f.Upstream.count("send"), 3) // RetrySlack is 2
	})
}

// Guards against a lookup that waits for an endpoint that stopped responding, and
// against sending a payment to a second endpoint because the first is slow.
func TestPlainSilence(t *testing.T) {
	for path, sends := range map[string]int{"/look/": 2, "/pay/": 1} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.Upstream.send = func(ctx context.Context, n int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				if n > 0 {
					return newResponse(200, "ok"), nil
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			started := time.Now()
			status, _, err := f.serve(t.Context(), path)
			assert.Equal(t, f.Upstream.count("send"), sends)
			if path == "/look/" {
				assert.Equal(t, status, 200)
				assert.Assert(t, time.Since(started) < 200*time.Millisecond)
				return
			}
			r := refusal(t, err)
			assert.Equal(t, r.Code, persimmoncart.RefusalDeadline)
			assert.Equal(t, r.Outcome, persimmoncart.OutcomeUnknown)
			assert.Equal(t, time.Since(started), 2*time.Second) // the route's timeout
		})
	}
}

// Guards against work that continues after its caller has disconnected.
func TestPlainCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		stopped := false
		f.Upstream.send = func(ctx context.Context, _ int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			<-ctx.Done()
			stopped = true
			return nil, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, _, err := f.serve(ctx, "/pay/")
		assert.ErrorType(t, err, &forward.CallerGoneError{})
		synctest.Wait()
		assert.Assert(t, stopped)
	})
}

// Guards against withholding or truncating a response longer than bufferLimit.
func TestPlainLongResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		text := string(make([]byte, 1<<20))
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return newResponse(200, text), nil
		}
		status, body, err := f.serve(t.Context(), "/look/")
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Assert(t, body == text)
	})
}

// Guards against a response longer than bufferLimit that breaks off and looks
// complete.
func TestPlainLongResponseTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return streamed(string(make([]byte, 1<<20)), io.ErrUnexpectedEOF), nil
		}
		_, _, err := f.serve(t.Context(), "/pay/")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// Guards against refusing a route as unknown while the store is unreachable: it
// may be newer than the routes in force.
func TestRouteUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		_, _, err := f.serve(t.Context(), "/none/")
		assert.Equal(t, refusal(t, err).Code, persimmoncart.RefusalRouteUnknown)
		f.Router.StoreReachable = func() bool { return false }
		_, _, err = f.serve(t.Context(), "/none/")
		r := refusal(t, err)
		assert.Equal(t, r.Code, persimmoncart.RefusalNotReady)
		assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
	})
}
