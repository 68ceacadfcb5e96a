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

// requestsTo serves 60 requests, three a second, and returns the share of them that the
// endpoint got first.
func (f *fixture) requestsTo(t *testing.T, path string, endpoint persimmoncart.EndpointID) float64 {
	t.Helper()
	const count = 60
	first := 0
	for range count {
		for range 5 { // so that the retry budget allows a second send of each
			f.Directory.RecordRequest(ledger)
		}
		sent := f.Upstream.count("send")
		_, _, err := f.serve(t.Context(), path)
		assert.NilError(t, err)
		sends := 0
		for _, call := range f.Upstream.calls {
			if call.Op != "send" {
				continue
			}
			if sends == sent && call.Endpoint == endpoint {
				first++
			}
			sends++
		}
		time.Sleep(time.Second / 3)
	}
	return float64(first) / count
}

// Guards against an endpoint that counts as fast because it answers with errors at once,
// against one whose requests never count because a second endpoint is faster each time,
// and against a slow endpoint that gets as many requests as the others. Each may get half
// of its share, which is a third or, of decode engines, a half.
func TestAdaptiveShares(t *testing.T) {
	failing := false
	for _, c := range []struct {
		name     string
		endpoint persimmoncart.EndpointID
		path     string
		share    float64
		slow     func(ctx context.Context) (*persimmoncart.UpstreamResponse, error) // of the endpoint
	}{
		{name: "fast errors", endpoint: "a1", path: "/look/", share: 1. / 6, slow: func(context.Context) (*persimmoncart.UpstreamResponse, error) {
			return newResponse(http.StatusInternalServerError, "failed"), nil
		}},
		{name: "every other a fast error", endpoint: "a1", path: "/look/", share: 1. / 6, slow: func(context.Context) (*persimmoncart.UpstreamResponse, error) {
			if failing = !failing; failing {
				return newResponse(http.StatusInternalServerError, "failed"), nil
			}
			time.Sleep(15 * time.Millisecond)
			return newResponse(http.StatusOK, "done"), nil
		}},
		{name: "given up", endpoint: "a1", path: "/look/", share: 1. / 6, slow: func(ctx context.Context) (*persimmoncart.UpstreamResponse, error) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(150 * time.Millisecond):
				return newResponse(http.StatusOK, "done"), nil
			}
		}},
		{name: "slow", endpoint: "a1", path: "/look/", share: 1. / 6, slow: func(context.Context) (*persimmoncart.UpstreamResponse, error) {
			time.Sleep(40 * time.Millisecond)
			return newResponse(http.StatusOK, "done"), nil
		}},
		{name: "slow stream", endpoint: "d1", path: "/draft/", share: 1. / 4, slow: func(context.Context) (*persimmoncart.UpstreamResponse, error) {
			return pacedStream(30 * time.Millisecond), nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, directoryOptions{adaptive: true})
				f.Upstream.send = func(ctx context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					switch {
					case call.Endpoint.ID == c.endpoint:
						return c.slow(ctx)
					case call.Endpoint.Role == persimmoncart.RoleDecode:
						return pacedStream(10 * time.Millisecond), nil
					default:
						time.Sleep(15 * time.Millisecond)
						return newResponse(http.StatusOK, "done"), nil
					}
				}
				share := f.requestsTo(t, c.path, c.endpoint)
				assert.Check(t, share <= c.share, "%.2f", share)
				assert.Check(t, len(f.Directory.Concurrency()) > 0)
			})
		})
	}
}

// pacedStream returns a stream of 20 events with a pause before each.
func pacedStream(pause time.Duration) *persimmoncart.UpstreamResponse {
	response := streamed("", nil)
	body, engine := io.Pipe()
	response.Body = body
	go func() {
		for id := range 20 {
			time.Sleep(pause)
			if _, err := io.WriteString(engine, events(id+1, id+1)); err != nil {
				return
			}
		}
		_ = engine.Close()
	}()
	return response
}

// Guards against estimates where no setting turns them on.
func TestNotAdaptive(t *testing.T) {
	f := newInstantFixture(t, 0)
	f.drain(t, "/look/")
	assert.Equal(t, len(f.Directory.Concurrency()), 0)
}
