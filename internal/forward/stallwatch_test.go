package forward_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/forward"
)

// Guards against ending a stream because its engine falls silent for a while: if no
// other engine can take over, the stream goes on when the engine does.
func TestStreamSilentWithoutReplacement(t *testing.T) {
	const silence = 2500 * time.Millisecond
	for _, c := range []struct {
		name     string
		breaks   int               // engines that break off before the one that falls silent
		prepare  func(*fixture)    // called before the request
		refusals int               // engines that refuse the request before the one that falls silent
		reserve  func(n int) error // of reservations; nil accepts all
	}{
		{name: "runs used up", breaks: 1},
		{name: "sends used up", refusals: 3},
		{name: "retry budget used up", prepare: func(f *fixture) {
			for f.Directory.TakeRetry(llm) {
			}
		}},
		{name: "other engine is full", reserve: func(n int) error {
			if n > 0 {
				return refused()
			}
			return nil
		}},
		{name: "other engine is silent too", reserve: func(n int) error {
			if n > 0 {
				return errReset
			}
			return nil
		}},
		{name: "other engine is gone", prepare: func(f *fixture) {
			for _, e := range f.Directory.Engines()[llm] {
				if e.ID == "d2" {
					f.Directory.DropReplaced(&e)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.reserve = c.reserve
				f.Upstream.send = func(_ context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					next := nextEvent(&call)
					switch {
					case n < c.refusals:
						return nil, refused()
					case n < c.breaks:
						return streamed(events(next, next+1), errReset), nil
					}
					return silentStream(next, silence), nil
				}
				if c.refusals > 0 {
					f.addDecodeEngines(c.refusals)
				}
				if c.prepare != nil {
					c.prepare(f)
				}
				_, body, err := f.serve(t.Context(), "/long/")
				time.Sleep(silence) // the engine ends
				assert.NilError(t, err)
				assert.Equal(t, body, events(1, 4+2*c.breaks))
				assert.Equal(t, f.Upstream.count("send"), 1+c.breaks+c.refusals)
			})
		})
	}
}

// Guards against taking a retry for a stalled stream that then stays with its engine:
// the budget is missing elsewhere, or is used in a later window on top of that one's.
func TestStreamSilentKeepsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Upstream.reserve = func(n int) error {
			if n > 0 {
				return refused()
			}
			return nil
		}
		f.Upstream.send = func(_ context.Context, _ int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			return silentStream(nextEvent(&call), 2500*time.Millisecond), nil
		}
		_, _, err := f.serve(t.Context(), "/long/")
		assert.NilError(t, err)
		left := 0
		for f.Directory.TakeRetry(llm) {
			left++
		}
		assert.Equal(t, left, 2)
		assert.Assert(t, f.Upstream.count("hold") <= 8, "%d reservations", f.Upstream.count("hold"))
	})
}

// silentStream returns a stream of four events from the one with identifier first,
// whose engine is silent for a time after the second.
func silentStream(first int, silence time.Duration) *persimmoncart.UpstreamResponse {
	response := streamed("", nil)
	body, engine := io.Pipe()
	response.Body = body
	go func() {
		_, _ = io.WriteString(engine, events(first, first+1))
		time.Sleep(silence)
		_, _ = io.WriteString(engine, events(first+2, first+3)) // fails if the reader has closed
		_ = engine.Close()
	}()
	return response
}

// Guards against ending a stalled stream because its prompt is suspected to crash
// engines: an engine that has sent events shows that it does not.
func TestStreamSilentSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.parts = promptParts
		for n := range 2 {
			f.Router.Quarantine.RecordCrash(&persimmoncart.Endpoint{ID: "d9", Incarnation: persimmoncart.Incarnation(n)}, promptParts)
		}
		f.Upstream.send = func(_ context.Context, n int, call persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			if n > 0 {
				return streamed(events(3, 4), io.EOF), nil
			}
			return silentStream(nextEvent(&call), 2500*time.Millisecond), nil
		}
		_, body, err := f.serve(t.Context(), "/long/")
		time.Sleep(3 * time.Second) // the silent engine ends
		assert.NilError(t, err)
		assert.Equal(t, body, events(1, 4))
		assert.Equal(t, f.Upstream.count("send"), 2)
	})
}

// Guards against logging a stream whose caller left during a resumption as one that
// no engine resumed.
func TestStreamCallerLeavesDuringResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, leave := context.WithCancel(t.Context())
		f.Upstream.send = func(ctx context.Context, n int, _ persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
			if n == 0 {
				return streamed(events(1, 2), errReset), nil
			}
			leave()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		_, body, err := f.serve(ctx, "/long/")
		assert.ErrorType(t, err, &forward.CallerGoneError{})
		assert.Equal(t, body, events(1, 2))
	})
}
