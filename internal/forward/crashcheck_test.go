package forward_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against connections that break for other reasons and count as crashes, and
// against crashes that do not.
func TestCrashCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		identify func(n int) error // response to a call; n counts the earlier ones
		events   int               // before each break
		want     bool              // whether the part is quarantined
	}{
		{name: "connection refused", want: true, identify: func(int) error { return errors.Wrap(syscall.ECONNREFUSED, "dial") }},
		{name: "another process", want: true, identify: func(int) error { return &persimmoncart.EndpointReplacedError{} }},
		{name: "idle connection reset first", want: true, identify: func(n int) error {
			if n%2 == 0 {
				return errReset
			}
			return syscall.ECONNREFUSED
		}},
		{name: "reset again", identify: func(int) error { return errReset }},
		{name: "responds", identify: func(int) error { return nil }},
		{name: "refuses the call", identify: func(int) error { return refused() }},
		{name: "crashed later", events: 2, identify: func(int) error { return syscall.ECONNREFUSED }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.parts = promptParts
				var calls atomic.Int32
				f.Upstream.identify = func(persimmoncart.EndpointID) error { return c.identify(int(calls.Add(1)) - 1) }
				incarnation := persimmoncart.Incarnation(1)
				f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					return streamed(events(1, c.events), errReset), nil
				}
				for n := range 3 {
					f.body = strconv.Itoa(n) // different requests share the parts
					_, _, err := f.serve(t.Context(), "/draft/")
					assert.Assert(t, err != nil)
					time.Sleep(time.Second) // for the check
					incarnation++
					for _, id := range []string{"d1", "d2"} { // the engines are back as new processes
						f.restart(id, incarnation)
					}
				}
				_, _, found := f.Router.Quarantine.Check(promptParts)
				assert.Equal(t, found, c.want)
			})
		})
	}
}

// Guards against a plain request that crashes endpoint after endpoint, and against one
// that is refused because connections break for another reason or because it was
// answered meanwhile.
func TestCrashCheckPlain(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		identify error
		answered bool // the request is answered once after two crashes
		attempts int  // that break, with three sends in all
		want     bool // whether the request is refused after them
	}{
		{name: "run once", path: "/pay/", identify: syscall.ECONNREFUSED, attempts: 3, want: true},
		{name: "repeatable", path: "/look/", identify: syscall.ECONNREFUSED, attempts: 2, want: true},
		{name: "endpoint responds", path: "/pay/", attempts: 3},
		{name: "answered", path: "/pay/", identify: syscall.ECONNREFUSED, answered: true, attempts: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Upstream.identify = func(persimmoncart.EndpointID) error { return c.identify }
				broken := func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
					return nil, errReset
				}
				sends := 0
				for n := range c.attempts {
					if c.answered && n == 2 {
						f.Upstream.send = func(context.Context, int, persimmoncart.UpstreamCall) (*persimmoncart.UpstreamResponse, error) {
							return newResponse(http.StatusOK, "ok"), nil
						}
						_, _, err := f.serve(t.Context(), c.path)
						assert.NilError(t, err)
						time.Sleep(2 * time.Second) // crashes at once after it would not count
					}
					f.Upstream.send = broken
					before := f.Upstream.count("send")
					_, _, err := f.serve(t.Context(), c.path)
					assert.Equal(t, refusal(t, err).Code, persimmoncart.RefusalEndpointFailed)
					sends += f.Upstream.count("send") - before
					time.Sleep(time.Second) // for the check
				}
				assert.Equal(t, sends, 3)
				before := f.Upstream.count("send")
				_, _, err := f.serve(t.Context(), c.path)
				r := refusal(t, err)
				if !c.want {
					assert.Equal(t, r.Code, persimmoncart.RefusalEndpointFailed)
					return
				}
				assert.Equal(t, r.Code, persimmoncart.RefusalRequestQuarantined)
				assert.Equal(t, r.Outcome, persimmoncart.OutcomeNotRun)
				assert.Assert(t, r.RetryAfter > 0)
				assert.Equal(t, f.Upstream.count("send"), before)
			})
		})
	}
}
