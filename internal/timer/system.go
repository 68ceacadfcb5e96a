// Package timer implements persimmoncart.Timer on the system clock and in virtual
// time.
package timer

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Timer = (*System)(nil)

// A System is a timer on the system clock. The zero value is ready to use.
//
// Callbacks run in their own goroutines. Two callbacks of one subscription never
// run at the same time.
type System struct{}

// After implements persimmoncart.Timer.
func (*System) After(d time.Duration, f func(time.Time)) (stop func()) {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}

// Now implements persimmoncart.Timer.
func (*System) Now() time.Time { return time.Now() }

// Sleep implements persimmoncart.Timer.
func (*System) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Subscribe implements persimmoncart.Timer.
func (*System) Subscribe(period time.Duration, f func(time.Time)) (stop func()) {
	done := make(chan struct{})
	ticker := time.NewTicker(period)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				f(now)
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
