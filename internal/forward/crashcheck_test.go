package forward_test

import (
	"context"
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
				for range 3 {
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
