package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// grace is the grace period of the fixture's instance without the margin before the kill.
const grace = 7600 * time.Millisecond

// stopWith begins the grace period and waits until the given time of it is left.
func (f *fixture) stopWith(left time.Duration) {
	f.Router.GracePeriod.Begin(time.Now())
	time.Sleep(grace - left)
}

// learn serves a request whose response takes the given time.
func (f *fixture) learn(t *testing.T, path string, took time.Duration) {
	t.Helper()
	f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
		time.Sleep(took)
		return newResponse(http.StatusOK, "ok"), nil
	}
	_, _, err := f.serve(t.Context(), path)
	assert.NilError(t, err)
	time.Sleep(took) // a hedge ends
	synctest.Wait()
	f.Upstream.calls = nil
}

// learnStream serves a stream that takes the given time from its first event.
func (f *fixture) learnStream(t *testing.T, path string, took time.Duration) {
	t.Helper()
	f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
		a := newResponse(http.StatusOK, "")
		a.BodyLength, a.Body = -1, pacedBody(8, took/8)
		return a, nil
	}
	_, _, err := f.serve(t.Context(), path)
	assert.NilError(t, err)
	time.Sleep(took) // a hedge ends
	synctest.Wait()
	f.Upstream.calls = nil
}

// pacedBody returns the body of a stream with the given number of events and pause after
// each.
func pacedBody(count int, pause time.Duration) io.ReadCloser {
	body, engine := io.Pipe()
	go func() {
		for n := range count {
			_, _ = io.WriteString(engine, events(n+1, n+1)) // fails if the reader has closed
			time.Sleep(pause)
		}
		_ = engine.Close()
	}()
	return body
}

// Guards against a request that is passed on although the instance is killed before its
// response can be complete, on each path that sends one, and against one that is refused
// although its response ends in time.
func TestStoppingRefusesLateRequests(t *testing.T) {
	for _, c := range []struct {
		name, path string
		left       time.Duration
		closed     bool // no new connections arrive
		learned    bool // responses have taken a second, streams three
		served     bool
	}{
		{name: "plain, up to the deadline", path: "/pay/", left: 2100 * time.Millisecond, served: true},
		{name: "plain, beyond the deadline", path: "/pay/", left: 1900 * time.Millisecond},
		{name: "plain, shorter than the rest", path: "/pay/", left: 1300 * time.Millisecond, learned: true, served: true},
		{name: "plain, longer than the rest", path: "/pay/", left: 1100 * time.Millisecond, learned: true},
		{name: "idempotent", path: "/look/", left: 1100 * time.Millisecond, learned: true},
		{name: "stream, duration unknown", path: "/draft/", left: grace},
		{name: "stream, shorter than the rest", path: "/draft/", left: 4800 * time.Millisecond, learned: true, served: true},
		{name: "stream, longer than the rest", path: "/draft/", left: 4200 * time.Millisecond, learned: true},
		{name: "stream, admission closed", path: "/draft/", left: 7 * time.Second, learned: true, closed: true},
		{name: "plain, admission closed", path: "/pay/", left: 1500 * time.Millisecond, learned: true, closed: true},
		{name: "plain, admission closed, up to the deadline", path: "/pay/", left: 2100 * time.Millisecond, learned: true, closed: true, served: true},
		{name: "resumable", path: "/long/", left: 4200 * time.Millisecond, learned: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				if c.learned {
					learn, took := f.learn, time.Second
					if c.path == "/draft/" || c.path == "/long/" {
						learn, took = f.learnStream, 3*time.Second
					}
					learn(t, c.path, took)
				}
				f.stopWith(c.left)
				if c.closed {
					f.Router.GracePeriod.CloseAdmission()
				}
				f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					return streamed(events(1, 3), io.EOF), nil
				}
				started := time.Now()
				_, _, err := f.serve(t.Context(), c.path)
				if c.served {
					assert.NilError(t, err)
					return
				}
				r := refusal(t, err)
				assert.Equal(t, r.Code, persimmoncart.RefusalDraining)
				assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
				assert.Assert(t, r.RetryAfter > 0)
				assert.Equal(t, time.Since(started), time.Duration(0), "the refusal is late")
				f.assertOps(t)
			})
		})
	}
}

// Guards against a plain request that is sent again, as a retry or a hedge, although its
// response would be cut.
func TestStoppingSendsNoneAgain(t *testing.T) {
	for _, fails := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.learn(t, "/look/", time.Second)
			f.Upstream.send = func(ctx context.Context, _ int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				if fails {
					time.Sleep(300 * time.Millisecond)
					return nil, errReset
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			f.stopWith(1250 * time.Millisecond)
			_, _, err := f.serve(t.Context(), "/look/")
			assert.Equal(t, refusal(t, err).Outcome, persimmoncart.OutcomeUnknown)
			assert.Equal(t, f.Upstream.count("send"), 1)
		})
	}
}

// Guards against a generation that waits for an engine until its response can no longer be
// complete before the kill.
func TestStoppingEndsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.learnStream(t, "/draft/", 3*time.Second)
		f.Upstream.reserve = func(int) error { return refused() }
		f.stopWith(4700 * time.Millisecond)
		_, _, err := f.serve(t.Context(), "/draft/")
		r := refusal(t, err)
		assert.Equal(t, r.Code, persimmoncart.RefusalDraining)
		assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
		assert.Equal(t, f.Upstream.count("send")+f.Upstream.count("prefill"), 0)
	})
}

// Guards against a stream that goes on at another engine although the instance is killed
// before its end, while its caller could resume it at another instance, and against one
// that ends although it can go on.
func TestStoppingResumes(t *testing.T) {
	for _, c := range []struct {
		left    time.Duration
		resumed bool
	}{
		{left: 7 * time.Second, resumed: true},
		{left: 4600 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.learnStream(t, "/long/", 3*time.Second)
			broken := false
			f.Upstream.send = func(_ context.Context, n int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
				if n > 0 {
					return streamed(events(4, 8), io.EOF), nil
				}
				time.Sleep(2 * time.Second) // until the first event
				broken = true
				return streamed(events(1, 3), errReset), nil
			}
			f.stopWith(c.left)
			_, body, err := f.serve(t.Context(), "/long/")
			assert.Assert(t, broken)
			assert.Equal(t, err == nil, c.resumed, "%v", err)
			assert.Assert(t, strings.HasPrefix(events(1, 8), body))
		})
	}
}
