// Package configbench measures the distribution of configuration in virtual
// time: the real code of internal/config on hundreds of instances, with an
// in-memory store and network.
package configbench

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

var _ persimmoncart.Timer = (*Scheduler)(nil)

// A Scheduler runs goroutines one at a time in virtual time, so that code that
// blocks gives the same run for the same seed.
//
// Such code must block only in Sleep and Park, and hold no lock meanwhile.
type Scheduler struct {
	*timer.Virtual
	yield chan struct{} // given by the running goroutine when it blocks or ends
}

// NewScheduler returns a Scheduler whose time starts at start.
func NewScheduler(start time.Time) *Scheduler {
	return &Scheduler{Virtual: timer.NewVirtual(start), yield: make(chan struct{})}
}

// Go starts f as a goroutine of the scheduler.
func (s *Scheduler) Go(f func()) {
	s.After(0, func(time.Time) {
		go func() {
			f()
			s.yield <- struct{}{}
		}()
		<-s.yield
	})
}

// Park blocks the calling goroutine until the function that it passes to
// register is called. Later calls of that function have no effect.
func (s *Scheduler) Park(register func(wake func())) {
	resume := make(chan struct{})
	called := false
	register(func() {
		if called {
			return
		}
		called = true
		s.After(0, func(time.Time) {
			resume <- struct{}{}
			<-s.yield
		})
	})
	s.yield <- struct{}{}
	<-resume
}

// Sleep implements persimmoncart.Timer for goroutines of the scheduler. A
// context that ends meanwhile is noticed at the end of the time.
func (s *Scheduler) Sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.Park(func(wake func()) { s.After(d, func(time.Time) { wake() }) })
	return ctx.Err()
}
