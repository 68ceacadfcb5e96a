package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against a context that ends too late or too early, and against a lost
// cause, which distinguishes a timed-out call from one whose caller has left.
func TestWithTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := errors.New("late")
		for _, c := range []struct{ give, want error }{{late, late}, {nil, context.DeadlineExceeded}} {
			ctx, stop := timer.WithTimeout(t.Context(), &timer.System{}, time.Second, c.give)
			time.Sleep(time.Second - time.Nanosecond)
			assert.NilError(t, ctx.Err())
			time.Sleep(time.Nanosecond)
			synctest.Wait()
			assert.ErrorIs(t, context.Cause(ctx), c.want)
			stop()
		}
		ctx, stop := timer.WithTimeout(t.Context(), &timer.System{}, time.Second, late)
		stop()
		assert.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
