package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// Guards against subscriptions that leak their goroutine or miss ticks, and
// against a Sleep that does not end with its context.
func TestSystem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &timer.System{}
		start := s.Now()
		ticks := 0
		stop := s.Subscribe(time.Second, func(time.Time) { ticks++ })
		fired := false
		s.After(1500*time.Millisecond, func(time.Time) { fired = true })
		assert.NilError(t, s.Sleep(t.Context(), 3500*time.Millisecond))
		synctest.Wait()
		assert.Equal(t, ticks, 3)
		assert.Assert(t, fired)
		stop()
		stop()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.ErrorIs(t, s.Sleep(ctx, time.Hour), context.Canceled)
		assert.Equal(t, s.Now().Sub(start), 3500*time.Millisecond)
	})
}
