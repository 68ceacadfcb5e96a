package faults

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
)

var errDead = errors.New("instance has died")

// A gate controls all communication of one instance. It delays calls, responses and
// timer callbacks while the instance is paused. Calls and responses fail once the
// instance has died.
type gate struct {
	dead   bool
	mutex  sync.Mutex
	resume chan struct{} // closed when the pause ends; nil while running
}

// kill marks the instance as dead and ends a pause.
func (g *gate) kill() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.dead = true
	g.wake()
}

// pass waits while the instance is paused. It returns errDead if the instance has
// died.
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

// pause pauses a live instance until unpause or kill.
func (g *gate) pause() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.resume == nil && !g.dead {
		g.resume = make(chan struct{})
	}
}

// unpause ends a pause.
func (g *gate) unpause() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.wake()
}

// wake ends a pause. The caller holds the mutex.
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
	return t.Timer.After(d, t.gated(f))
}

// Sleep implements persimmoncart.Timer.
func (t *gatedTimer) Sleep(ctx context.Context, d time.Duration) error {
	if err := t.Timer.Sleep(ctx, d); err != nil {
		return err
	}
	// A dead instance continues to its next outgoing call, which fails.
	_ = t.gate.pass()
	return nil
}

// Subscribe implements persimmoncart.Timer.
func (t *gatedTimer) Subscribe(period time.Duration, f func(time.Time)) (stop func()) {
	return t.Timer.Subscribe(period, t.gated(f))
}

// gated returns a callback that passes the gate before it calls f.
func (t *gatedTimer) gated(f func(time.Time)) func(time.Time) {
	return func(time.Time) {
		// Timers of a dead instance still run, so that its goroutines can end.
		// Their outgoing calls fail at the gate.
		_ = t.gate.pass()
		f(t.Now())
	}
}
