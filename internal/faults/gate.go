package faults

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var errDead = errors.New("instance has died")

// A gate stands between one instance and everything outside it. It holds calls,
// answers and timers while the instance is paused, and lets nothing through
// once the instance has died.
type gate struct {
	dead   bool
	mutex  sync.Mutex
	resume chan struct{} // closed when the pause ends; nil while running
}

// kill ends the instance as a crash would.
func (g *gate) kill() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.dead = true
	g.wake()
}

// pass waits while the instance is paused. It returns errDead once it has died.
func (g *gate) pass() error {
	for {
		g.mutex.Lock()
		dead, resume := g.dead, g.resume
		g.mutex.Unlock()
		if dead {
			return errDead
		}
		if resume == nil {
			return nil
		}
		<-resume
	}
}

// pause stops the instance until unpause.
func (g *gate) pause() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.resume == nil && !g.dead {
		g.resume = make(chan struct{})
	}
}

// unpause lets a paused instance go on.
func (g *gate) unpause() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.wake()
}

// wake ends a pause; the mutex is held.
func (g *gate) wake() {
	if g.resume != nil {
		close(g.resume)
		g.resume = nil
	}
}

var _ persimmoncart.Timer = (*gatedTimer)(nil)

// A gatedTimer is the timer service of one instance. Callbacks of a paused
// instance run when the pause ends.
type gatedTimer struct {
	persimmoncart.Timer

	gate *gate
}

// After implements persimmoncart.Timer.
func (t *gatedTimer) After(d time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.After(d, t.guard(f))
}

// Sleep implements persimmoncart.Timer.
func (t *gatedTimer) Sleep(ctx context.Context, d time.Duration) error {
	if err := t.Timer.Sleep(ctx, d); err != nil {
		return err
	}
	// A dead instance goes on to its next call to the outside, which fails.
	_ = t.gate.pass()
	return nil
}

// Subscribe implements persimmoncart.Timer.
func (t *gatedTimer) Subscribe(period time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.Subscribe(period, t.guard(f))
}

// guard returns f behind the gate.
func (t *gatedTimer) guard(f func(time.Time)) func(time.Time) {
	return func(time.Time) {
		// Timers of a dead instance still run, so that its goroutines can end;
		// what they send outside is stopped there.
		_ = t.gate.pass()
		f(t.Now())
	}
}
