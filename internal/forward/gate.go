package forward

import (
	"context"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
)

// gatePeriod is the time between two looks for a place that another instance's
// request may have left.
const gatePeriod = 60 * time.Millisecond

// A gate lets waiting generations of one pool try for a place, one at a time.
type gate struct {
	timer persimmoncart.Timer

	list    policy.Waitlist
	mutex   sync.Mutex
	ticking bool
	wake    map[*policy.WaitlistEntry]chan struct{}
}

// Wait waits until it is the request's turn to try for a place, or ctx ends.
func (g *gate) Wait(ctx context.Context, w *policy.WaitlistEntry) {
	turn := make(chan struct{}, 1)
	g.mutex.Lock()
	if g.wake == nil {
		g.wake = make(map[*policy.WaitlistEntry]chan struct{})
	}
	g.list.Add(w)
	g.wake[w] = turn
	g.tick()
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		g.list.Remove(w)
		delete(g.wake, w)
		g.mutex.Unlock()
	}()
	select {
	case <-ctx.Done():
	case <-turn:
	}
}

// Freed lets the request that goes first try.
func (g *gate) Freed() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w := g.list.Next(g.timer.Now())
	if w == nil {
		return
	}
	g.list.Remove(w)
	g.wake[w] <- struct{}{} // has room for one, and is sent to once
	delete(g.wake, w)
}

// tick keeps looking for places while requests wait; the mutex is held.
func (g *gate) tick() {
	if g.ticking {
		return
	}
	g.ticking = true
	g.timer.After(gatePeriod, func(time.Time) {
		g.mutex.Lock()
		g.ticking = false
		if g.list.Len() > 0 {
			g.tick()
		}
		g.mutex.Unlock()
		g.Freed()
	})
}
